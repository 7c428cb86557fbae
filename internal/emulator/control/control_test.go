package control

import (
	"context"
	"errors"
	"io"
	"testing"
)

const (
	kindDouble Kind = "double"
	kindFail   Kind = "fail"
	kindWait   Kind = "wait"
)

// startWorker serves requests in the test's process until closeInput is called.
func startWorker(t *testing.T) (client *Client, closeInput func()) {
	t.Helper()
	requests, toWorker := io.Pipe()
	responses, fromWorker := io.Pipe()
	handlers := Handlers{
		kindDouble: Handle(func(_ context.Context, n int) (int, error) { return 2 * n, nil }),
		kindFail:   Handle(func(context.Context, Empty) (Empty, error) { return Empty{}, errors.New("a failure") }),
		kindWait: Handle(func(ctx context.Context, _ Empty) (Empty, error) {
			<-ctx.Done()
			return Empty{}, ctx.Err()
		}),
	}
	go func() {
		if err := Serve(context.Background(), requests, fromWorker, handlers); err != nil {
			t.Error(err)
		}
		fromWorker.Close()
	}()
	t.Cleanup(func() { toWorker.Close() })
	return NewClient(responses, toWorker), func() { toWorker.Close() }
}

func TestCallCompletesWhileAnotherIsPending(t *testing.T) {
	client, closeInput := startWorker(t)
	waited := make(chan error, 1)
	go func() { waited <- client.Call(t.Context(), kindWait, Empty{}, nil) }()
	var doubled int
	if err := client.Call(t.Context(), kindDouble, 21, &doubled); err != nil || doubled != 42 {
		t.Errorf("got result %d and error %v, want 42 and no error", doubled, err)
	}
	var remote *RemoteError
	if err := client.Call(t.Context(), kindFail, Empty{}, nil); !errors.As(err, &remote) || remote.Message != "a failure" {
		t.Errorf("got error %v, want a RemoteError with the message %q", err, "a failure")
	}
	if err := client.Call(t.Context(), "other", Empty{}, nil); !errors.As(err, &remote) {
		t.Errorf("unknown kind: got error %v, want a RemoteError", err)
	}
	closeInput()
	if err := <-waited; err == nil {
		t.Error("pending call after the end of the worker: got no error, want one")
	}
}

func TestCallFailsAfterWorkerExit(t *testing.T) {
	client, closeInput := startWorker(t)
	closeInput()
	for { // repeats the call until the client has noticed the end of the worker
		err := client.Call(t.Context(), kindDouble, 1, nil)
		if errors.Is(err, ErrClosed) || errors.Is(err, io.ErrClosedPipe) {
			return
		}
	}
}
