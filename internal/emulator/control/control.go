// Package control carries typed requests between the emulator and its worker processes, as JSON lines on a
// worker's standard input and output.
//
// Calls are concurrent: responses may come in any order and are matched by ID. The package starts no
// process and sets no time limits: contexts do.
package control

import (
	"context"
	"encoding/json"
	"fmt"
)

// Kind names the method that a request calls.
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

// Error names the method and the failure.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

// Handler handles the requests of one kind. It returns the body of the response.
type Handler func(ctx context.Context, body json.RawMessage) (any, error)

// Handlers are the methods of a worker.
type Handlers map[Kind]Handler

// Handle makes a Handler of a function with a typed request and response.
func Handle[Request, Response any](handle func(context.Context, Request) (Response, error)) Handler {
	return func(ctx context.Context, body json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, fmt.Errorf("decode request: %w", err)
		}
		return handle(ctx, request)
	}
}

// Empty is the body of a request or response without data.
type Empty struct{}
