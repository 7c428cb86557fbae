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
var ErrClosed = errors.New("control: the worker has ended")

// Client makes requests of one worker.
type Client struct {
	mu      sync.Mutex
	encoder *json.Encoder
	lastID  uint64
	waiting map[uint64]chan response
	closed  bool
}

// NewClient returns a Client that reads responses until the worker's output ends.
func NewClient(workerOutput io.Reader, workerInput io.Writer) *Client {
	c := &Client{encoder: json.NewEncoder(workerInput), waiting: map[uint64]chan response{}}
	go c.read(workerOutput)
	return c
}

// Call makes a request and decodes the response into result, which may be nil.
func (c *Client) Call(ctx context.Context, kind Kind, body, result any) error {
	id, answered, err := c.send(kind, body)
	if err != nil {
		return err
	}
	defer c.forget(id)
	select {
	case done, open := <-answered:
		switch {
		case !open:
			return fmt.Errorf("%s: %w", kind, ErrClosed)
		case done.Error != "":
			return &RemoteError{kind, done.Error}
		case result == nil:
			return nil
		}
		return json.Unmarshal(done.Body, result)
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// send writes a request.
func (c *Client) send(kind Kind, body any) (uint64, <-chan response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, fmt.Errorf("%s: %w", kind, ErrClosed)
	}
	c.lastID++
	answered := make(chan response, 1)
	c.waiting[c.lastID] = answered
	if err := c.encoder.Encode(request{ID: c.lastID, Kind: kind, Body: encoded}); err != nil {
		delete(c.waiting, c.lastID)
		return 0, nil, fmt.Errorf("%s: %w", kind, err)
	}
	return c.lastID, answered, nil
}

func (c *Client) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// read hands responses to those who wait, until the output ends.
func (c *Client) read(output io.Reader) {
	decoder := json.NewDecoder(output)
	for {
		var done response
		if decoder.Decode(&done) != nil {
			break
		}
		c.mu.Lock()
		if answered, waits := c.waiting[done.ID]; waits {
			answered <- done
			delete(c.waiting, done.ID)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, answered := range c.waiting {
		close(answered)
		delete(c.waiting, id)
	}
}
