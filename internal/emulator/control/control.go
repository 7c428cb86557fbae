// Package control carries typed requests between the emulator and its worker
// processes, as JSON lines on a worker's standard input and output.
package control

import (
	"context"
	"encoding/json"
	"fmt"
)

// Kind names what a request asks for.
type Kind string

// request is a line from the emulator to a worker.
type request struct {
	ID   uint64          `json:"id"`
	Kind Kind            `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// response is a line from a worker to the emulator.
type response struct {
	ID    uint64          `json:"id"`
	Error string          `json:"error,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// RemoteError is a failure that a worker reports.
type RemoteError struct {
	Kind    Kind
	Message string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

// Handler carries out the requests of one kind.
type Handler func(ctx context.Context, body json.RawMessage) (any, error)

// Handlers are what a worker can do.
type Handlers map[Kind]Handler

// Handle makes a Handler of a function with typed arguments and results.
func Handle[Request, Response any](do func(context.Context, Request) (Response, error)) Handler {
	return func(ctx context.Context, body json.RawMessage) (any, error) {
		var asked Request
		if err := json.Unmarshal(body, &asked); err != nil {
			return nil, err
		}
		return do(ctx, asked)
	}
}

// Empty is the body of a request or response that says nothing more.
type Empty struct{}
