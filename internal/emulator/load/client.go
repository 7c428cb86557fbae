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
	readBufferSize   = 1 << 10  // size of the read buffer of a connection, in bytes
	maxResponseBytes = 64 << 10 // maximum size of a response body
	bodySize         = 212      // size of the body of a request that has one, in bytes
)

// Errors of requests that got no complete response.
var (
	errStaleConnection = errors.New("load: idle connection was closed by the target")
	errTooLarge        = errors.New("load: response body exceeds 64 KiB")
)

// connection is a connection to a target that carries one request at a time. It adds the bytes that it reads and writes
// to the byte counters of its client.
type connection struct {
	net.Conn
	client *client
	reader *bufio.Reader
	reused bool // true once the connection has carried a request
}

// Read implements io.Reader and counts the bytes read.
func (c *connection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.client.bytesIn.Add(uint64(n))
	return n, err
}

// Write implements io.Writer and counts the bytes written.
func (c *connection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.client.bytesOut.Add(uint64(n))
	return n, err
}

// response is a complete response.
type response struct {
	status   int
	body     []byte
	reusable bool // whether the connection can carry another request
}

// connectionSource says which connections may carry a request.
type connectionSource int

const (
	pooled connectionSource = iota // an idle connection, or a new one if there is no idle one
	fresh                          // a new connection in any case
)

// client sends requests over a pool of connections to each target. It opens a connection when all connections to the
// target are busy. It is safe for concurrent use.
type client struct {
	dialer net.Dialer

	opened, resent, bytesIn, bytesOut atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*connection // idle connections by target, the most recently used last
}

func newClient() *client { return &client{idle: map[string][]*connection{}} }

// do sends a request and reads its response. It gives up at the deadline. If it used an idle connection and the
// connection failed before the first byte of the response, do returns errStaleConnection, because the target may have
// closed the connection while it was idle. With the source fresh, do never returns errStaleConnection.
func (c *client) do(ctx context.Context, r *request, deadline time.Time, source connectionSource) (*response, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	conn, err := c.connect(ctx, r.target, source)
	if err != nil {
		return nil, err
	}
	cancelClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := exchange(conn, r, deadline)
	stillOpen := cancelClose()
	switch {
	case err != nil || !resp.reusable || !stillOpen:
		_ = conn.Close()
	default:
		c.putIdle(r.target, conn)
	}
	return resp, err
}

// connect returns an idle connection to the target if source is pooled and there is one. Otherwise it opens a
// connection.
func (c *client) connect(ctx context.Context, target string, source connectionSource) (*connection, error) {
	if source == pooled {
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

// takeIdle removes the most recently used idle connection to the target from the pool and returns it. It returns nil
// if there is none.
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

// putIdle puts a reusable connection back into the pool.
func (c *client) putIdle(target string, conn *connection) {
	conn.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle[target] = append(c.idle[target], conn)
}

// close closes all idle connections.
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

// exchange sends a request on a connection and reads the response. After an error the caller must close the
// connection.
func exchange(conn *connection, r *request, deadline time.Time) (*response, error) {
	message := appendRequest(nil, r, time.Until(deadline))
	if _, err := conn.Write(message); err != nil {
		return nil, conn.classifyError(err)
	}
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, conn.classifyError(err)
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
	if err := received.Body.Close(); err != nil {
		return nil, err
	}
	return &response{status: received.StatusCode, body: body, reusable: !received.Close}, nil
}

// classifyError classifies the error of a connection that failed before the first byte of a response. It returns
// errStaleConnection for a reused connection that this process had not closed, and err otherwise.
func (c *connection) classifyError(err error) error {
	closedHere := errors.Is(err, net.ErrClosed)
	if c.reused && !closedHere {
		return errStaleConnection
	}
	return err
}

// appendRequest appends the encoded request to buffer. remaining is the time until the deadline of the request.
func appendRequest(buffer []byte, r *request, remaining time.Duration) []byte {
	buffer = append(buffer, r.class.Method+" /"+r.class.Name+" HTTP/1.1\r\n"...)
	buffer = appendField(buffer, "Host", "api.internal")
	buffer = appendField(buffer, "X-Correlation-Id", r.id)
	buffer = appendField(buffer, "X-Service-Class", r.class.Name)
	buffer = appendField(buffer, "X-Account", r.tenant)
	buffer = appendField(buffer, "X-Session-Key", r.sessionKey)
	milliseconds := max(1, remaining.Milliseconds())
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

// appendField appends an encoded header field to buffer.
func appendField(buffer []byte, name, value string) []byte {
	buffer = append(buffer, name...)
	buffer = append(buffer, ": "...)
	buffer = append(buffer, value...)
	return append(buffer, "\r\n"...)
}
