package downstream

import (
	"fmt"
	"net/http"

	"oakproxy/internal/httpmsg"
)

// RequestError is the error for a request that is rejected because of its contents. Match it with errors.As.
type RequestError struct {
	StatusCode int    // the status code of the rejection
	reason     string // the text of the rejection's body
}

// Error returns what is wrong with the request. The client gets this text in the body of the rejection.
func (e *RequestError) Error() string { return e.reason }

// NewRequestError returns a *RequestError with the given status code and a reason formatted as by fmt.Sprintf.
func NewRequestError(statusCode int, format string, args ...any) error {
	return &RequestError{StatusCode: statusCode, reason: fmt.Sprintf(format, args...)}
}

// NewBadRequest returns a *RequestError with status 400 and a reason formatted as by fmt.Sprintf.
func NewBadRequest(format string, args ...any) error {
	return NewRequestError(http.StatusBadRequest, format, args...)
}

// ErrBodyTooLarge is the *RequestError for a request whose body exceeds httpmsg.MaxBodyBytes.
var ErrBodyTooLarge = NewRequestError(
	http.StatusRequestEntityTooLarge, "the body is over %d bytes", httpmsg.MaxBodyBytes)
