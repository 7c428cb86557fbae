package downstream

import (
	"fmt"
	"net/http"

	"oakproxy/internal/httpmsg"
)

// RequestError is the error of a request that is rejected for what it says. Match it by errors.As.
type RequestError struct {
	StatusCode int    // of the rejection
	reason     string // the text of the rejection's body
}

// Error returns what is wrong with the request, in words for its client.
func (e *RequestError) Error() string { return e.reason }

// NewRequestError returns a *RequestError with a status code and a formatted reason.
func NewRequestError(statusCode int, format string, args ...any) error {
	return &RequestError{StatusCode: statusCode, reason: fmt.Sprintf(format, args...)}
}

// NewBadRequest returns a *RequestError with status 400 and a formatted reason.
func NewBadRequest(format string, args ...any) error {
	return NewRequestError(http.StatusBadRequest, format, args...)
}

// ErrBodyTooLarge is the *RequestError of a request whose body exceeds httpmsg.MaxBodyBytes.
var ErrBodyTooLarge = NewRequestError(
	http.StatusRequestEntityTooLarge, "the body is over %d bytes", httpmsg.MaxBodyBytes)
