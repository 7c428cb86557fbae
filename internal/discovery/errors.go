package discovery

import (
	"errors"
)

// MalformedError is an answer that can't be used. What it should have told counts as told.
type MalformedError struct{ error }

func (e *MalformedError) Unwrap() error { return e.error }

// ErrOutdated is an answer of a version older than what is held.
var ErrOutdated = errors.New("older than the list that is held")
