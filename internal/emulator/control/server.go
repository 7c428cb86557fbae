package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// server handles the requests of one input.
type server struct {
	handlers Handlers

	mu      sync.Mutex // locked while a response is written
	encoder *json.Encoder
}

// Serve handles requests, each in a goroutine of its own, until the input ends or ctx is done; then it
// cancels the context of those in flight and waits for them.
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

// respond handles a request and writes the response.
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
	// The output fails only when the emulator has ended. The input ends then as well, and Serve returns.
	_ = s.encoder.Encode(reply)
}

func (s *server) handle(ctx context.Context, received request) (any, error) {
	handler, known := s.handlers[received.Kind]
	if !known {
		return nil, errors.New("unknown request")
	}
	return handler(ctx, received.Body)
}
