package discovery

import "errors"

// ErrOutdated is the error of an answer whose version is older than that of the list in use.
var ErrOutdated = errors.New("older than the list that is held")

// MalformedError is the error of an answer that arrived but cannot be used. By the protocol the sidecar counts as
// notified of the changes in it.
type MalformedError struct {
	Err error // what is wrong with the answer
}

// Error returns what is wrong with the answer.
func (e *MalformedError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *MalformedError) Unwrap() error { return e.Err }
