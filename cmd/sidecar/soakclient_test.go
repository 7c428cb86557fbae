package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"time"
)

// soakClass is a class of requests in a soak.
type soakClass struct {
	name, method string
	safe, keyed  bool
	timeLeft     time.Duration
}

var soakClasses = []soakClass{
	{"read", http.MethodGet, true, false, 500 * time.Millisecond},
	{"post", http.MethodPost, false, true, 800 * time.Millisecond},
	{"order", http.MethodPost, false, false, 1200 * time.Millisecond},
}

// finalGrace is how much later than the client's time a final answer may come: half a second, and 50 ms by which every limit
// is longer on sockets.
const finalGrace = 550 * time.Millisecond

// lateStartGrace is how long after a client has left an attempt may still begin: 0.1 s, and the time that a request is on its
// way in a busy machine.
const lateStartGrace = 300 * time.Millisecond

// soakRequest is one request of a client with its result.
type soakRequest struct {
	id       string
	class    *soakClass
	body     int  // bytes of the body
	chunked  bool // whether the body is sent in chunks
	pieces   int  // number of pieces in which the body is sent
	lastByte time.Time
	leftAt   time.Time // when the client has left; zero if it waits
}

// soakReply is what a client got for a request.
type soakReply struct {
	code      int
	body      string
	err       error         // why the answer is not complete; nil if it is
	firstByte time.Duration // from the last byte of the request to the first one of the answer
	complete  time.Duration // from the last byte of the request to the end
	close     bool          // whether the connection ends
}

// soakClient sends one request after another, on one connection as long as it stays open.
type soakClient struct {
	soak   *soak
	random *rand.Rand
	number int
	conn   net.Conn
	reader *bufio.Reader
}

func (c *soakClient) run() {
	defer c.soak.clients.Done()
	for i := 0; !c.soak.stopped(); i++ {
		c.request(i)
		time.Sleep(time.Duration(c.random.Intn(30)) * time.Millisecond)
	}
	c.disconnect()
}

func (c *soakClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect opens a connection unless one is open.
func (c *soakClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.soak.socket.address, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// request sends a request and checks its result. If the connection ends while the request crosses its end, the client sends
// the request once more on a new connection, as the protocol says.
func (c *soakClient) request(number int) {
	r := &soakRequest{id: fmt.Sprintf("s%d-%d-%d", c.soak.seed, c.number, number), class: &soakClasses[c.random.Intn(3)], pieces: 1}
	if !r.class.safe && c.random.Intn(3) == 0 {
		r.body, r.chunked, r.pieces = 1+c.random.Intn(200), c.random.Intn(3) == 0, 1+c.random.Intn(3)
		if c.random.Intn(4) == 0 {
			r.body = 70_000 + c.random.Intn(500_000)
		}
	}
	leaves := c.random.Intn(20) == 0
	reused := c.conn != nil
	reply := c.exchange(r, leaves)
	if reply.code == 0 && reused && !leaves && len(c.soak.record.of(r.id)) == 0 {
		c.disconnect()
		reply = c.exchange(r, leaves)
	}
	if leaves {
		c.disconnect()
		c.soak.checkLater(r)
		return
	}
	c.soak.count(reply.code)
	if reply.err != nil || reply.close {
		c.disconnect()
	}
	c.soak.check(r, &reply)
	if c.random.Intn(20) == 0 {
		c.repeat(r)
	}
}

// repeat sends a request again with the same id, which must not run again if a repetition is harmful.
func (c *soakClient) repeat(r *soakRequest) {
	before := len(c.soak.record.of(r.id))
	if r.class.safe || before == 0 {
		return
	}
	again := *r
	reply := c.exchange(&again, false)
	if reply.err != nil || reply.close {
		c.disconnect()
	}
	attempts := c.soak.record.of(r.id)
	if len(attempts) > before && c.soak.mayHaveRun(attempts[:before]) {
		c.soak.violation("%s: the id came again and was sent to an endpoint again, status %d", r.id, reply.code)
	}
}

// exchange sends a request and reads the answer. If leaves is set, the client closes the connection in place of reading.
func (c *soakClient) exchange(r *soakRequest, leaves bool) (reply soakReply) {
	if reply.err = c.connect(); reply.err != nil {
		return reply
	}
	c.conn.SetDeadline(time.Now().Add(20 * time.Second))
	if reply.err = c.write(r); reply.err != nil {
		return reply
	}
	r.lastByte = time.Now()
	if leaves {
		time.Sleep(time.Duration(c.random.Intn(100)) * time.Millisecond)
		c.conn.Close()
		r.leftAt = time.Now()
		return reply
	}
	if _, reply.err = c.reader.Peek(1); reply.err != nil {
		return reply
	}
	reply.firstByte = time.Since(r.lastByte)
	response, err := http.ReadResponse(c.reader, nil)
	if reply.err = err; err != nil {
		return reply
	}
	reply.code, reply.close = response.StatusCode, response.Close
	text, err := io.ReadAll(response.Body)
	reply.body, reply.err, reply.complete = string(text), err, time.Since(r.lastByte)
	return reply
}

// write writes a request, whose body may come in pieces.
func (c *soakClient) write(r *soakRequest) error {
	var head strings.Builder
	fmt.Fprintf(&head, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n",
		r.class.method, r.class.name, r.class.name, r.id, r.class.timeLeft.Milliseconds())
	if r.class.keyed {
		fmt.Fprintf(&head, "Idempotency-Key: k-%s\r\n", r.id)
	}
	body := strings.Repeat("b", r.body)
	switch {
	case r.chunked:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	case !r.class.safe:
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(body))
	default:
		head.WriteString("\r\n")
	}
	text := head.String() + body
	size := (len(text) + r.pieces - 1) / r.pieces
	for len(text) > size {
		if _, err := io.WriteString(c.conn, text[:size]); err != nil {
			return err
		}
		text = text[size:]
		time.Sleep(10 * time.Millisecond)
	}
	_, err := io.WriteString(c.conn, text)
	return err
}

// isTimeout reports whether err means that nothing came for 20 s.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
