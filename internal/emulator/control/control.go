// Package control transports typed requests and responses between the emulator and its worker processes. A request is a
// line of JSON on the standard input of the worker, a response one on its standard output.
//
// Calls may be concurrent: responses arrive in any order and are matched to requests by ID. The package starts no
// processes and sets no time limits; callers limit the time of a call by its context.
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

// RemoteError is a failure that a worker has reported in a response.
type RemoteError struct {
	Kind    Kind
	Message string
}

// Error returns the kind of the request and the message of the worker.
func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Message) }

// Handler handles the requests of one kind. It returns the value to encode as the body of the response.
type Handler func(ctx context.Context, body json.RawMessage) (any, error)

// Handlers holds the handlers of a worker by the kind of request.
type Handlers map[Kind]Handler

// Handle returns a Handler that decodes the body of a request, calls the typed function handle and returns its result.
func Handle[Request, Response any](handle func(context.Context, Request) (Response, error)) Handler {
	return func(ctx context.Context, body json.RawMessage) (any, error) {
		var request Request
		if err := json.Unmarshal(body, &request); err != nil {
			return nil, fmt.Errorf("decode request: %w", err)
		}
		return handle(ctx, request)
	}
}

// Empty is the body of a request or response that carries no data.
type Empty struct{}
