package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// ErrClosed is returned for a call to a worker whose output has ended.
var ErrClosed = errors.New("control: output of the worker has ended")

// Client sends requests to one worker. NewClient creates one. It is safe for concurrent use.
type Client struct {
	mu      sync.Mutex
	encoder *json.Encoder
	lastID  uint64                   // ID of the latest request
	pending map[uint64]chan response // channels of the calls that wait for a response, by request ID
	closed  bool                     // true once the output of the worker has ended
}

// NewClient returns a Client and starts a goroutine that reads responses until the output of the worker ends.
func NewClient(workerOutput io.Reader, workerInput io.Writer) *Client {
	c := &Client{encoder: json.NewEncoder(workerInput), pending: map[uint64]chan response{}}
	go c.readResponses(workerOutput)
	return c
}

// Call sends a request, waits for the response and decodes it into result, unless result is nil. The error is a
// *RemoteError if the worker reports a failure, it wraps ErrClosed if the output of the worker has ended, and it is
// the cause of ctx if ctx is done first.
func (c *Client) Call(ctx context.Context, kind Kind, body, result any) error {
	id, responses, err := c.send(kind, body)
	if err != nil {
		return err
	}
	defer c.removePending(id)
	select {
	case reply, open := <-responses:
		switch {
		case !open:
			return fmt.Errorf("%s: %w", kind, ErrClosed)
		case reply.Error != "":
			return &RemoteError{Kind: kind, Message: reply.Error}
		case result == nil:
			return nil
		}
		if err := json.Unmarshal(reply.Body, result); err != nil {
			return fmt.Errorf("%s: decode response: %w", kind, err)
		}
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// send writes a request. It returns the ID of the request and the channel that will receive the response or be closed.
func (c *Client) send(kind Kind, body any) (uint64, <-chan response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, fmt.Errorf("%s: encode request: %w", kind, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, fmt.Errorf("%s: %w", kind, ErrClosed)
	}
	c.lastID++
	responses := make(chan response, 1)
	c.pending[c.lastID] = responses
	if err := c.encoder.Encode(request{ID: c.lastID, Kind: kind, Body: encoded}); err != nil {
		delete(c.pending, c.lastID)
		return 0, nil, fmt.Errorf("%s: write request: %w", kind, err)
	}
	return c.lastID, responses, nil
}

func (c *Client) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// readResponses delivers responses to the pending calls until the output of the worker ends or holds invalid JSON. Then
// it makes the remaining calls fail.
func (c *Client) readResponses(output io.Reader) {
	decoder := json.NewDecoder(output)
	for {
		var reply response
		if decoder.Decode(&reply) != nil {
			break
		}
		c.mu.Lock()
		if responses, known := c.pending[reply.ID]; known {
			responses <- reply
			delete(c.pending, reply.ID)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, responses := range c.pending {
		close(responses)
		delete(c.pending, id)
	}
}
