package system

import (
	"context"
	"syscall"
	"time"
)

const (
	AcceptRetryDelay = 5 * time.Millisecond  // after an accept that failed
	StartRetryDelay  = 20 * time.Millisecond // between two tries of what a start needs
	StartTimeout     = 5 * time.Second       // for what a start needs: 10 s are allowed until it is ready
	DialRetryDelay   = 5 * time.Millisecond  // between two tries of a connection that failed for a lack of this machine's
	DialRetryTimeout = 50 * time.Millisecond // and for how long: the endpoint is not to blame, but others wait as well
)

// passing errors are those that a start waits out: a shortage, a file system in trouble, or an address that the
// process before it has not let go of.
var passingAtStart = append([]syscall.Errno{syscall.EIO, syscall.EADDRINUSE, syscall.ENETDOWN}, shortages...)

// Retry calls f until it succeeds, fails for good, or has failed in passing for so long, or ctx ends. It returns f's
// last error.
func Retry(ctx context.Context, patience, rest time.Duration, passes func(error) bool, f func() error) error {
	for end := time.Now().Add(patience); ; Sleep(ctx, rest) {
		err := f()
		if err == nil || !passes(err) || !time.Now().Before(end) || ctx.Err() != nil {
			return err
		}
	}
}

// RetryAtStart calls f until what it needs is there.
func RetryAtStart(ctx context.Context, f func() error) error {
	passes := func(err error) bool { return IsErrno(err, passingAtStart) }
	return Retry(ctx, StartTimeout, StartRetryDelay, passes, f)
}

// Sleep waits for a while, but not beyond ctx.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
