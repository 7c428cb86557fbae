package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
)

// server answers the requests of one input.
type server struct {
	handlers Handlers

	mu      sync.Mutex // held while a response is written
	encoder *json.Encoder
}

// Serve answers requests, each in a goroutine of its own, until the input ends or ctx
// does; then it ends the context of those that run, and waits for them.
func Serve(ctx context.Context, input io.Reader, output io.Writer, handlers Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	s := &server{handlers: handlers, encoder: json.NewEncoder(output)}
	decoder := json.NewDecoder(input)
	for {
		var asked request
		err := decoder.Decode(&asked)
		if errors.Is(err, io.EOF) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("control: read a request: %w", err)
		}
		running.Add(1)
		go func() {
			defer running.Done()
			s.answer(ctx, asked)
		}()
	}
}

// answer carries a request out and writes the response.
func (s *server) answer(ctx context.Context, asked request) {
	done := response{ID: asked.ID}
	body, err := s.handle(ctx, asked)
	if err == nil {
		done.Body, err = json.Marshal(body)
	}
	if err != nil {
		done.Error = err.Error()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// Nobody is left to tell of a failure here: the input ends as well.
	_ = s.encoder.Encode(done)
}

func (s *server) handle(ctx context.Context, asked request) (any, error) {
	handler, known := s.handlers[asked.Kind]
	if !known {
		return nil, errors.New("no such request")
	}
	return handler(ctx, asked.Body)
}
