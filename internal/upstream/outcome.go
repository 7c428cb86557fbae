package upstream

import (
	"context"
	"errors"
	"slices"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/system"
)

// errStaleConnection says that an idle connection was unusable before anything of the request was sent on it.
var errStaleConnection = errors.New("the idle connection is stale")

// Reasons for which the sidecar itself does not send a request. None is the endpoint's fault.
var (
	errEndpointClosed  = errors.New("the endpoint is draining or removed")
	errConnectionLimit = errors.New("the limit on open connections is reached")
	errUploadStopped   = errors.New("the upload was stopped")
	errClientGone      = errors.New("the client has left, or its request has ended")
	errTooLate         = errors.New("the request may no longer be sent")
)

// Reasons for which an exchange fails once the request's first byte was written.
var (
	errEarlyResponse   = errors.New("a response came before the request was written")
	errResponseTimeout = errors.New("no response came in the time left after the upload")
)

// localReasons are the errors that say nothing of the endpoint.
var localReasons = []error{errEndpointClosed, errConnectionLimit, errUploadStopped, errClientGone, errTooLate}

// unsentError says that the last byte of a request was never written, which proves that the request never ran.
type unsentError struct{ error }

func (e *unsentError) Unwrap() error { return e.error }

// clientError is a failure of the client's side while its body is forwarded.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

// failureStatus returns the outcome of an exchange that ended with an error.
func failureStatus(ctx context.Context, err error) balancer.Status {
	var notSent *unsentError
	switch {
	case errors.As(err, &notSent):
		return unsentStatus(ctx, notSent.error)
	case errors.Is(err, errResponseTimeout) || deadlinePassed(ctx):
		return balancer.Timeout
	case ctx.Err() != nil:
		return balancer.Cancelled
	}
	return balancer.Reset // a broken, truncated or malformed response: the connection is closed
}

// unsentStatus returns the outcome of a request that was not written. It is the endpoint's fault unless this machine
// lacked a resource, the sidecar no longer wanted to send the request, or the client failed to write it.
func unsentStatus(ctx context.Context, err error) balancer.Status {
	var client *clientError
	local := slices.ContainsFunc(localReasons, func(reason error) bool { return errors.Is(err, reason) })
	if local || system.IsShortage(err) || ctx.Err() != nil || deadlinePassed(ctx) || errors.As(err, &client) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// deadlinePassed reports whether an attempt's deadline has passed, by the clock. The balancer's own timer for that
// instant may have cancelled the attempt already. To report a cancellation in place of a timeout would hide the
// endpoint's silence from the balancer.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}
