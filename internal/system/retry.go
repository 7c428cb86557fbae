package system

import (
	"context"
	"time"
)

// Delays and timeouts of retries after transient errors.
const (
	// AcceptRetryDelay is the pause after an accept that failed. It keeps a shortage from turning into a busy loop, and is
	// short against the time that a client waits.
	AcceptRetryDelay = 5 * time.Millisecond

	// StartRetryDelay is the pause between two attempts at what a start needs.
	StartRetryDelay = 20 * time.Millisecond

	// StartTimeout is how long a start retries. It satisfies StartTimeout < 10 s, within which a sidecar has to be ready.
	StartTimeout = 5 * time.Second

	// DialRetryDelay is the pause between two dials that fail for a shortage of this machine.
	DialRetryDelay = 5 * time.Millisecond

	// DialRetryTimeout is how long such dials are repeated. The endpoint is not at fault, so another would do no better;
	// but the request's time runs, and others wait for the same resource.
	DialRetryTimeout = 50 * time.Millisecond
)

// Retry calls f until it succeeds, returns an error that is not transient, or has failed for timeout, or ctx ends. It
// pauses for delay between calls, and returns f's last error. f is called at least once.
func Retry(ctx context.Context, timeout, delay time.Duration, isTransient func(error) bool, f func() error) error {
	for deadline := time.Now().Add(timeout); ; Sleep(ctx, delay) {
		err := f()
		if err == nil || !isTransient(err) || !time.Now().Before(deadline) || ctx.Err() != nil {
			return err
		}
	}
}

// RetryAtStart calls f as Retry does, for up to StartTimeout, while it fails for a cause that may pass during a
// start: a shortage, a file system with errors, or an address that is still in use.
func RetryAtStart(ctx context.Context, f func() error) error {
	isTransient := func(err error) bool { return IsErrno(err, transientAtStart) }
	return Retry(ctx, StartTimeout, StartRetryDelay, isTransient, f)
}

// Sleep waits for d, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
