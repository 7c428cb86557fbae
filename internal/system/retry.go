package system

import (
	"context"
	"time"
)

// Delays and timeouts of retries after transient errors.
const (
	// AcceptRetryDelay is the pause after a failed accept. It prevents a busy loop during a shortage, and is short
	// compared with the time that a client waits.
	AcceptRetryDelay = 5 * time.Millisecond

	// StartRetryDelay is the pause between two attempts of an operation that the start of the process requires.
	StartRetryDelay = 20 * time.Millisecond

	// StartTimeout is how long an operation is retried during the start. It must be less than 10 s, because the sidecar
	// has to be ready within 10 s.
	StartTimeout = 5 * time.Second

	// DialRetryDelay is the pause between two dials that fail because of a resource shortage on this machine.
	DialRetryDelay = 5 * time.Millisecond

	// DialRetryTimeout is how long a dial that fails because of a resource shortage on this machine is repeated. The
	// endpoint is not at fault, so a dial to another endpoint would be as likely to fail. The time is limited because the
	// request's remaining time is running out and other requests wait for the same resource.
	DialRetryTimeout = 50 * time.Millisecond
)

// Retry calls f until f succeeds, f returns an error that is not transient, timeout has passed, or ctx is done. It
// waits for delay between two calls and returns the result of the last call. It calls f at least once.
func Retry(ctx context.Context, timeout, delay time.Duration, isTransient func(error) bool, f func() error) error {
	for deadline := time.Now().Add(timeout); ; Sleep(ctx, delay) {
		err := f()
		if err == nil || !isTransient(err) || !time.Now().Before(deadline) || ctx.Err() != nil {
			return err
		}
	}
}

// RetryAtStart calls f as Retry does, for up to StartTimeout. It retries after the errors in transientStartErrors,
// whose causes may disappear during the start of the process.
func RetryAtStart(ctx context.Context, f func() error) error {
	isTransient := func(err error) bool { return IsErrno(err, transientStartErrors) }
	return Retry(ctx, StartTimeout, StartRetryDelay, isTransient, f)
}

// Sleep waits until d has passed or ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
