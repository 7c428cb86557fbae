package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// sendOrder sends a request of class order with the given id on a new connection. It returns the status of the response; 0
// means no response.
func sendOrder(t *testing.T, address, id string) int {
	t.Helper()
	response, err := sendRequest(t, address, "order", id, 700*time.Millisecond)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// Guards against a request that runs twice because its id comes again at the other process of a replacement, after its
// response or after its client has left, and against a process that forgets what the one before it has run.
func TestIDIsExecutedByOneProcess(t *testing.T) {
	const ids = 30
	recorder := &requestRecorder{arrivals: map[string]arrivalRecord{}}
	endpoint := serveConnections(t, func(conn net.Conn) {
		readRequests(conn, func(r *http.Request) {
			recorder.record(r)
			if !strings.HasPrefix(r.Header.Get("X-Correlation-Id"), "left-") { // their clients do not wait
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
			}
		})
	})
	config := terminationConfig("127.0.0.1:1", endpoint, 100)
	socket := newPassedSocket(t)
	first := socket.launch(t, config)
	awaitReady(t, socket.address)
	for i := range ids {
		if got := sendOrder(t, socket.address, fmt.Sprintf("answered-%d", i)); got != http.StatusOK {
			t.Fatalf("request %d: got status %d, want 200", i, got)
		}
		conn, err := net.Dial("tcp", socket.address)
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprintf("left-%d", i)
		r := &lateRequest{id: id, method: http.MethodPost, class: "order", timeLeft: 700 * time.Millisecond, conn: conn}
		if err := r.write(); err != nil {
			t.Fatal(err)
		}
		waitFor(t, "the request at the endpoint", func() bool { return recorder.lookup(id).count == 1 })
		conn.Close()
	}
	requireRefused := func(when string) {
		t.Helper()
		for i := range ids {
			for _, kind := range []string{"answered", "left"} {
				id := fmt.Sprintf("%s-%d", kind, i)
				if got := sendOrder(t, socket.address, id); got != http.StatusConflict {
					t.Errorf("%s, %s: got status %d, want 409", id, when, got)
				}
				if n := recorder.lookup(id).count; n != 1 {
					t.Fatalf("%s, %s: got %d executions, want 1", id, when, n)
				}
			}
		}
	}
	second := socket.launch(t, config)
	waitFor(t, "the second process to be ready", second.healthy)
	requireRefused("beside both processes")
	first.terminate()
	requireRefused("at the second process")
	if got := sendOrder(t, socket.address, "new"); got != http.StatusOK {
		t.Errorf("a new id at the second process: got status %d, want 200", got)
	}
	second.terminate()
	third := socket.launch(t, config)
	waitFor(t, "the third process to be ready", third.healthy)
	requireRefused("at a process that starts after the others have ended")
}
