package downstream

import (
	"fmt"
	"net/http"

	"oakproxy/internal/httpmsg"
)

// RequestError is a request that breaks the protocol, with the status code of its rejection.
type RequestError struct {
	StatusCode int
	reason     string
}

// Error says what is wrong with the request.
func (e *RequestError) Error() string { return e.reason }

// NewRequestError returns a *RequestError with this status code.
func NewRequestError(statusCode int, format string, args ...any) error {
	return &RequestError{statusCode, fmt.Sprintf(format, args...)}
}

// NewBadRequest returns a *RequestError that is rejected with 400.
func NewBadRequest(format string, args ...any) error {
	return NewRequestError(http.StatusBadRequest, format, args...)
}

// ErrBodyTooLarge is the error of a request whose body is over httpmsg.MaxBodyBytes.
var ErrBodyTooLarge = NewRequestError(http.StatusRequestEntityTooLarge, "the body is over %d bytes", httpmsg.MaxBodyBytes)
