package upstream

import (
	"context"
	"errors"
	"io"
	"slices"
	"syscall"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/system"
)

// errStaleConnection reports that an idle connection was unusable before anything of the request was sent on it.
var errStaleConnection = errors.New("the idle connection is stale")

// Reasons why the sidecar itself does not send a request. None of them is the endpoint's fault.
var (
	errEndpointClosed  = errors.New("the endpoint is draining, removed or restarted")
	errConnectionLimit = errors.New("the limit on open connections is reached")
	errUploadStopped   = errors.New("the upload was stopped before its last bytes were written")
	errClientGone      = errors.New("the client has disconnected, or its request has ended")
	errTooLate         = errors.New("it is too late to send the request")
	errNoClientRequest = errors.New("no client has sent this request: it has no " + idHeader)
)

// Reasons why an exchange fails after the request's first byte was written.
var (
	errEarlyResponse   = errors.New("the endpoint responded before the request was completely written")
	errResponseTimeout = errors.New("no response arrived within the client's remaining time after the upload")
)

// localErrors are the errors that say nothing about the endpoint.
var localErrors = []error{errEndpointClosed, errConnectionLimit, errUploadStopped, errClientGone, errTooLate,
	errNoClientRequest}

// unsentError wraps the reason why the last byte of a request was never written, which proves that the request never
// ran.
type unsentError struct{ error }

func (e *unsentError) Unwrap() error { return e.error }

// clientError wraps a failure on the client's side while the body of its request is forwarded.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

// failureStatus returns the status of an attempt whose exchange failed with err.
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
	return balancer.Reset // the response is broken, truncated or malformed, and the connection is closed
}

// unsentStatus returns the status of an attempt whose request was not completely written because of err. The status is
// ConnectFailed, which is the endpoint's fault, unless this machine lacked a resource, the sidecar no longer wanted to
// send the request, or the client failed to send the body.
func unsentStatus(ctx context.Context, err error) balancer.Status {
	var clientErr *clientError
	local := slices.ContainsFunc(localErrors, func(reason error) bool { return errors.Is(err, reason) })
	if local || system.IsShortage(err) || ctx.Err() != nil || deadlinePassed(ctx) || errors.As(err, &clientErr) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// deadlinePassed reports whether an attempt's deadline has passed according to the clock. ctx.Err is not enough: the
// balancer has its own timer for the same instant, which may already have cancelled the attempt. If a cancellation were
// reported instead of a timeout, the balancer would not learn that the endpoint did not respond.
func deadlinePassed(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && !time.Now().Before(deadline)
}

// FailureReason says in one word why an attempt has failed without a valid response, for statistics.
type FailureReason string

// The reasons why an attempt has failed without a valid response.
const (
	FailedLocally    FailureReason = "local"     // the sidecar did not send it, or no longer wanted it
	FailedDial       FailureReason = "dial"      // no connection was established, or the request was not written
	FailedByStall    FailureReason = "stalled"   // it was given up because the endpoint fell silent within its response
	FailedByDeadline FailureReason = "deadline"  // the client's time was over
	FailedByEnd      FailureReason = "ended"     // the endpoint ended the connection within its response or before it
	FailedByReset    FailureReason = "reset"     // the connection was reset
	FailedByContents FailureReason = "malformed" // the response is not valid or exceeds a limit
)

// reasonOf returns why an attempt has failed with the error err.
func reasonOf(ctx context.Context, status balancer.Status, err error) FailureReason {
	switch {
	case status == balancer.NotSent || status == balancer.Cancelled:
		return FailedLocally
	case status == balancer.ConnectFailed:
		return FailedDial
	case errors.Is(err, errStalled):
		return FailedByStall
	case status == balancer.Timeout || deadlinePassed(ctx):
		return FailedByDeadline
	case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF):
		return FailedByEnd
	case errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE):
		return FailedByReset
	}
	return FailedByContents
}
