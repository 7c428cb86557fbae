package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// longResponse is a response whose endpoint writes the first half, and the second half when the test says so. Each half
// exceeds the size up to which a response is buffered.
type longResponse struct {
	head, firstHalf, secondHalf string
	untilClose                  bool // the end of the endpoint's connection is the end of the body
}

// longResponseHalf is the number of bytes of the body in each half of a longResponse.
const longResponseHalf = 2 * httpmsg.MaxBufferedBytes

// longResponses returns a longResponse for each way in which an endpoint may state the end of the body.
func longResponses() map[string]longResponse {
	half := strings.Repeat("x", longResponseHalf)
	chunks := encodeChunks(half, 1000)
	return map[string]longResponse{
		"by length": {fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(half)), half, half, false},
		"in chunks": {"Transfer-Encoding: chunked\r\n\r\n", chunks, chunks + "0\r\n\r\n", false},
		"until end": {"Connection: close\r\n\r\n", half, half, true},
	}
}

// relayedResponse is a longResponse that a sidecar relays to a client, which has read a part of the first half.
type relayedResponse struct {
	*harness
	body   io.Reader     // rest of the body, at the client
	finish chan struct{} // closed by the test to let the endpoint write the second half
}

// relayBytesRead is the number of bytes of the body that the client of a relayedResponse has read.
const relayBytesRead = 1000

// startRelay starts a sidecar that relays a response. version is the HTTP version of the client, which sends a body of
// the given size. If terminated is set, the request is sent after SIGTERM.
func startRelay(t *testing.T, long longResponse, version string, bodyBytes int, terminated bool) *relayedResponse {
	t.Helper()
	finish := make(chan struct{})
	e := sidecartest.NewEndpoint(t, func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.ReadRequest(in) != nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+long.head+long.firstHalf)
			<-finish
			if io.WriteString(conn, long.secondHalf); long.untilClose {
				return
			}
		}
	})
	h := start(t, nil, ready("s-1", e.Address))
	conn := h.dial()
	h.server.terminating.Store(terminated)
	fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n\r\n%s",
		strings.Replace(sidecartest.PayHead, "HTTP/1.1", "HTTP/"+version, 1), bodyBytes, strings.Repeat("b", bodyBytes))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want 200", response, err)
	}
	if _, err := io.ReadFull(response.Body, make([]byte, relayBytesRead)); err != nil {
		t.Fatal(err)
	}
	return &relayedResponse{h, response.Body, finish}
}

// beginAnswering closes admission, as if SIGTERM had come at the time started, and returns the phase that follows.
func (h *harness) beginAnswering(started time.Time) *answeringPhase {
	h.server.terminating.Store(true)
	h.server.admission.close()
	return newAnsweringPhase(h.server, started, started)
}

// relayCases are the requests and responses that a shutdown may find being relayed.
var relayCases = []struct {
	name, version string
	bodyBytes     int
	terminated    bool
}{
	{"HTTP/1.1", "1.1", 0, false},
	{"HTTP/1.0", "1.0", 0, false},
	{"upload", "1.1", 2 * httpmsg.MaxBufferedBytes, false},
	{"sent after SIGTERM", "1.1", 0, true},
}

// Guards against a shutdown that cuts off a long response half a second after the deadline of its request, although the
// endpoint still sends it: SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM.
func TestShutdownAwaitsLongResponses(t *testing.T) {
	for form, long := range longResponses() {
		for _, c := range relayCases {
			t.Run(form+", "+c.name, func(t *testing.T) {
				t.Parallel()
				relay := startRelay(t, long, c.version, c.bodyBytes, c.terminated)
				const longestDeadline = 3 * time.Second // of the classes in sidecartest.SettingsText
				// SIGTERM comes so late that SIGKILL is due a minute after the request's deadline.
				terminated := time.Now().Add(time.Minute)
				phase := relay.beginAnswering(terminated)
				for _, at := range []time.Duration{0, longestDeadline, longestDeadline + 700*time.Millisecond} {
					if phase.step(terminated.Add(at)) {
						t.Fatalf("the sidecar ends %v after SIGTERM, want it to wait for the response", at)
					}
				}
				close(relay.finish)
				n, err := io.Copy(io.Discard, relay.body)
				if want := int64(2*longResponseHalf - relayBytesRead); n != want || err != nil {
					t.Errorf("got %d more bytes, %v, want %d and no error", n, err, want)
				}
				relay.await("no request in flight", func() bool { return relay.server.inFlight.count() == 0 })
			})
		}
	}
}

// Guards against a process that ends in the middle of a response because SIGKILL is late, against a response that looks
// complete although the end of the process has cut it off, and against an incomplete request that waits for its rejection
// as long as a response is relayed.
func TestShutdownResetsResponsesThatOutlastSIGKILL(t *testing.T) {
	for form, long := range longResponses() {
		for _, c := range relayCases {
			t.Run(form+", "+c.name, func(t *testing.T) {
				t.Parallel()
				relay := startRelay(t, long, c.version, c.bodyBytes, c.terminated)
				defer close(relay.finish)
				partial := relay.dial()
				io.WriteString(partial, sidecartest.ReadHead)
				relay.await("the partial request", func() bool { return relay.partialBytes() > 0 })
				terminated := time.Now().Add(time.Minute)
				phase := relay.beginAnswering(terminated)
				if phase.step(phase.killAt) {
					t.Error("the sidecar ends before SIGKILL, want it to wait for the response")
				}
				requireLastResponse(t, partial, http.StatusServiceUnavailable)
				if phase.step(phase.killAt.Add(time.Hour)) {
					t.Error("the sidecar ends in the middle of the response, want it to wait for SIGKILL")
				}
				relay.server.http.Close()
				if n, err := io.Copy(io.Discard, relay.body); err == nil {
					t.Errorf("got %d more bytes as a complete response, want an error", n)
				}
			})
		}
	}
}
