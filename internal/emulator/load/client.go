package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readBufferSize   = 1 << 10
	maxResponseBytes = 64 << 10
	bodySize         = 212 // of a POST
)

// Errors that end a request without a whole answer.
var (
	errStaleConnection = errors.New("load: the idle connection had been closed")
	errTooLarge        = errors.New("load: answer too large")
)

// connection is one to a target, which carries one request at a time.
type connection struct {
	net.Conn
	client *client
	reader *bufio.Reader
	reused bool // has carried a request before
}

// Read reads from the target and counts the bytes.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.client.bytesIn.Add(uint64(n))
	return n, err
}

// Write sends to the target and counts the bytes.
func (c *connection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.client.bytesOut.Add(uint64(n))
	return n, err
}

// response is a whole answer.
type response struct {
	status   int
	body     []byte
	reusable bool // the connection may be used again
}

// client keeps connections to targets, and opens one when all are busy.
type client struct {
	dialer net.Dialer

	opened, resent, bytesIn, bytesOut atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*connection // by target, the latest used last
}

func newClient() *client { return &client{idle: map[string][]*connection{}} }

// do sends a request and reads its answer, until the deadline. A request that meets
// an idle connection as that is closed ends with errStale: it was not answered at all.
func (c *client) do(ctx context.Context, r *request, deadline time.Time, fresh bool) (*response, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.connect(ctx, r.target, fresh)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	got, err := exchange(conn, r, deadline)
	alive := stop()
	switch {
	case err != nil || !got.reusable || !alive:
		_ = conn.Close()
	default:
		c.putIdle(r.target, conn)
	}
	return got, err
}

// connect takes an idle connection, or opens one.
func (c *client) connect(ctx context.Context, target string, fresh bool) (*connection, error) {
	if !fresh {
		if conn := c.takeIdle(target); conn != nil {
			return conn, nil
		}
	}
	socket, err := c.dialer.DialContext(ctx, "tcp", target)
	if err != nil {
		return nil, err
	}
	c.opened.Add(1)
	conn := &connection{Conn: socket, client: c}
	conn.reader = bufio.NewReaderSize(conn, readBufferSize)
	return conn, nil
}

func (c *client) takeIdle(target string) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.idle[target]
	if len(idle) == 0 {
		return nil
	}
	last := len(idle) - 1
	conn := idle[last]
	idle[last] = nil
	c.idle[target] = idle[:last]
	return conn
}

func (c *client) putIdle(target string, conn *connection) {
	conn.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[target] = append(c.idle[target], conn)
}

// close closes the idle connections.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		for _, conn := range idle {
			_ = conn.Close()
		}
	}
	clear(c.idle)
}

// exchange sends a request on a connection and reads the answer.
func exchange(conn *connection, r *request, deadline time.Time) (*response, error) {
	message := appendRequest(nil, r, time.Until(deadline))
	if _, err := conn.Write(message); err != nil {
		return nil, conn.classify(err)
	}
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, conn.classify(err)
	}
	received, err := http.ReadResponse(conn.reader, &http.Request{Method: r.class.Method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(received.Body, maxResponseBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(body) > maxResponseBytes:
		return nil, errTooLarge
	}
	return &response{status: received.StatusCode, body: body, reusable: !received.Close}, nil
}

// classify tells an idle connection that the other side had closed from other faults.
func (c *connection) classify(err error) error {
	closedHere := errors.Is(err, net.ErrClosed)
	if c.reused && !closedHere {
		return errStaleConnection
	}
	return err
}

// appendRequest encodes a request.
func appendRequest(buffer []byte, r *request, left time.Duration) []byte {
	buffer = append(buffer, r.class.Method+" /"+r.class.Name+" HTTP/1.1\r\n"...)
	buffer = appendField(buffer, "Host", "api.internal")
	buffer = appendField(buffer, "X-Correlation-Id", r.id)
	buffer = appendField(buffer, "X-Service-Class", r.class.Name)
	buffer = appendField(buffer, "X-Account", r.tenant)
	buffer = appendField(buffer, "X-Session-Key", r.sessionKey)
	milliseconds := max(1, left.Milliseconds())
	buffer = appendField(buffer, "X-Time-Left-Ms", strconv.FormatInt(milliseconds, 10))
	if r.idempotencyKey != "" {
		buffer = appendField(buffer, "Idempotency-Key", r.idempotencyKey)
	}
	var body []byte
	if r.class.Method != http.MethodGet {
		body = bytes.Repeat([]byte{'x'}, bodySize)
		buffer = appendField(buffer, "Content-Length", strconv.Itoa(bodySize))
	}
	buffer = append(buffer, "\r\n"...)
	return append(buffer, body...)
}

func appendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}
