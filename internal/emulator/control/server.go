package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// server handles the requests of one call of Serve.
type server struct {
	handlers Handlers

	mu      sync.Mutex // held while a response is written
	encoder *json.Encoder
}

// Serve handles requests, each in its own goroutine, until the input ends, cannot be decoded, or ctx is done. Then it
// cancels the context of the requests in flight and waits until their handlers have returned. It notices the end of ctx
// only after the next read from the input.
func Serve(ctx context.Context, input io.Reader, output io.Writer, handlers Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	defer cancel()
	s := &server{handlers: handlers, encoder: json.NewEncoder(output)}
	decoder := json.NewDecoder(input)
	for {
		var received request
		err := decoder.Decode(&received)
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("control: read request: %w", err)
		}
		inFlight.Add(1)
		go func() {
			defer inFlight.Done()
			s.respond(ctx, received)
		}()
	}
}

// respond handles one request and writes the response.
func (s *server) respond(ctx context.Context, received request) {
	reply := response{ID: received.ID}
	body, err := s.handle(ctx, received)
	if err == nil {
		reply.Body, err = json.Marshal(body)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Writing fails only if the emulator has ended. In this case the input ends as well, and Serve returns.
	_ = s.encoder.Encode(reply)
}

func (s *server) handle(ctx context.Context, received request) (any, error) {
	handler, known := s.handlers[received.Kind]
	if !known {
		return nil, errors.New("worker has no handler for this kind of request")
	}
	return handler(ctx, received.Body)
}
