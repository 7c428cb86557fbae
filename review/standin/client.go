package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is a request that a client sends.
type request struct {
	id       string
	class    string
	path     string
	timeLeft time.Duration
	body     int    // length of the body
	method   string // POST if empty
	tenant   string // fjordlading if empty
	key      string // idempotency key; empty for none
}

// newID returns a correlation id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the request's head in the form of the protocol page.
func (r *request) head() string {
	method, tenant := r.method, r.tenant
	if method == "" {
		method = "POST"
	}
	if tenant == "" {
		tenant = "fjordlading"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Account: %s\r\nX-Time-Left-Ms: %d\r\n", method, r.path, r.id, r.class, tenant, r.timeLeft.Milliseconds())
	if r.key != "" {
		head += "Idempotency-Key: " + r.key + "\r\n"
	}
	if method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", r.body)
	}
	return head + "\r\n"
}

// answer is what a client got.
type answer struct {
	status int   // 0 if there was no complete head
	bytes  int64 // bytes of the body
	err    error // why the answer is not whole; nil if it is
	sent   time.Time
	first  time.Time // when the head had come
	ended  time.Time
}

// whole reports whether the answer came to its end.
func (a *answer) whole() bool { return a.status != 0 && a.err == nil }

// text describes the answer for the record.
func (a *answer) text() string {
	return fmt.Sprintf("status %d, body %d bytes, whole %v (%v), head %d ms, end %d ms after the last byte sent",
		a.status, a.bytes, a.whole(), a.err, a.first.Sub(a.sent).Milliseconds(), a.ended.Sub(a.sent).Milliseconds())
}

// do sends a request on a new connection and reads its answer until patience after the request's last byte.
func do(address string, r *request, patience time.Duration) (a answer) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	defer c.Close()
	if _, err := io.WriteString(c, r.head()); err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	if err := writeBody(c, r.body); err != nil {
		return answer{err: err, sent: time.Now(), ended: time.Now()}
	}
	return readAnswer(c, time.Now(), patience)
}

// writeBody writes a body of n bytes.
func writeBody(c net.Conn, n int) error {
	piece := make([]byte, 32<<10)
	for i := range piece {
		piece[i] = 'b'
	}
	for n > 0 {
		size := min(n, len(piece))
		if _, err := c.Write(piece[:size]); err != nil {
			return err
		}
		n -= size
	}
	return nil
}

// readAnswer reads an answer until patience after sent, the time of the request's last byte.
func readAnswer(c net.Conn, sent time.Time, patience time.Duration) (a answer) {
	a.sent = sent
	defer func() { a.ended = time.Now() }()
	c.SetReadDeadline(sent.Add(patience))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.first = response.StatusCode, time.Now()
	a.bytes, a.err = io.Copy(io.Discard, response.Body)
	return a
}
