package discovery

import "errors"

// ErrOutdated is the error for an answer whose version is older than that of the list in use.
var ErrOutdated = errors.New("older than the version in use")

// MalformedError is the error for an answer that arrived with status 200 but cannot be used. The protocol nevertheless
// regards the sidecar as notified of the changes in that answer.
type MalformedError struct {
	Err error // reason why the answer cannot be used
}

// Error returns the message of Err.
func (e *MalformedError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *MalformedError) Unwrap() error { return e.Err }
