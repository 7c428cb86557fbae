package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// answerPause is the pause between two parts of a pausingAnswer. It is as long as that of the endpoints in the report.
const answerPause = 450 * time.Millisecond

// pausingAnswer is a response that a sound endpoint writes in parts, with answerPause between them.
type pausingAnswer struct {
	parts      []string
	body       string
	untilClose bool // the end of the connection is the end of the body
}

// newPausingAnswer returns a response whose body has size bytes and is written in parts parts. framing is length, chunks
// or close. If lateBody is set, the first part is the head alone.
func newPausingAnswer(framing string, size, parts int, lateBody bool) pausingAnswer {
	body := strings.Repeat("0123456789abcdef", size/16)
	answer := pausingAnswer{body: body, untilClose: framing == "close"}
	head, tail := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", ""
	switch framing {
	case "length":
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	case "chunks": // a single chunk, so that the pauses are within it
		head = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
		tail = "\r\n0\r\n\r\n"
	}
	partSize := (len(body) + parts - 1) / parts
	for rest := body; len(rest) > 0; rest = rest[min(partSize, len(rest)):] {
		answer.parts = append(answer.parts, rest[:min(partSize, len(rest))])
	}
	answer.parts[len(answer.parts)-1] += tail
	if lateBody {
		answer.parts = append([]string{head}, answer.parts...)
	} else {
		answer.parts[0] = head + answer.parts[0]
	}
	return answer
}

// newPausingEndpoint starts an endpoint that gives each request the same answer.
func newPausingEndpoint(t *testing.T, answer pausingAnswer) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		readRequests(conn, func(*http.Request) {
			for i, part := range answer.parts {
				if i > 0 {
					time.Sleep(answerPause)
				}
				io.WriteString(conn, part)
			}
			if answer.untilClose {
				conn.Close()
			}
		})
	})
}

// effectsConfig returns a configuration with a class of each effect, for endpoints at one address.
func effectsConfig(listen, endpoint string) string {
	text := terminationConfig(listen, endpoint, 6)
	from := strings.Index(text, `"classes":`)
	return text[:from] + `"classes":[
{"name":"read","repeat":"pure","target":150000,"give-up":300000},
{"name":"post","repeat":"token","group":"cell","window":2500000,"target":150000,"give-up":500000},
{"name":"order","repeat":"side_effect","target":150000,"give-up":750000}]}}`
}

// sendRequest sends a request without a body on a new connection and returns the response, whose body is unread.
func sendRequest(t *testing.T, address, class, id string, timeLeft time.Duration) (*http.Response, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	r := &lateRequest{id: id, method: http.MethodPost, class: class, timeLeft: timeLeft, conn: conn,
		key: "k-" + id}
	if class == "read" {
		r.method = http.MethodGet
	}
	if err := r.write(); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// Guards against a sidecar that cuts off a sound answer because the endpoint pauses within it, in the fault injection of
// incident 42: long answers in lumps, and answers whose body follows the head late.
func TestPausingAnswersAreServedWhole(t *testing.T) {
	const size = 144 << 10
	for name, c := range map[string]struct {
		class    string
		timeLeft time.Duration
		lateBody bool
	}{
		"safe, in lumps":         {"read", 300 * time.Millisecond, false},
		"keyed, in lumps":        {"post", 500 * time.Millisecond, false},
		"unsafe, in lumps":       {"order", 664 * time.Millisecond, false},
		"keyed, body after head": {"post", 500 * time.Millisecond, true},
		"unsafe, body late":      {"order", 750 * time.Millisecond, true},
	} {
		for _, framing := range []string{"length", "chunks", "close"} {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				parts := 4
				if c.lateBody {
					parts = 1
				}
				answer := newPausingAnswer(framing, size, parts, c.lateBody)
				listen := launchOnOwnSocket(t, effectsConfig("127.0.0.1:1", newPausingEndpoint(t, answer)))
				sent := time.Now()
				response, err := sendRequest(t, listen, c.class, "1", c.timeLeft)
				if err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got %v, error %v, want status 200", response, err)
				}
				if took := time.Since(sent); took > c.timeLeft+50*time.Millisecond {
					t.Errorf("got the first bytes after %v, want them within the %v of the client", took, c.timeLeft)
				}
				body, err := io.ReadAll(response.Body)
				if err != nil || string(body) != answer.body {
					t.Errorf("got %d bytes, error %v, want all %d", len(body), err, len(answer.body))
				}
			})
		}
	}
}
