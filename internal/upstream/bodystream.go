package upstream

import (
	"io"
	"time"

	"oakproxy/internal/httpmsg"
)

// streamStallTimeout bounds the time without a byte of a response that is streamed.
const streamStallTimeout = 5 * time.Second

// BodyStream is the remainder of a response body, which is forwarded while it comes. It owns the connection until it is
// closed. Whoever reads it closes it, once.
type BodyStream struct {
	pool      *pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes until the limit on a body
	reusable  bool  // the connection may carry another request once the body is complete
	complete  bool  // the end of the body was read
}

// newBodyStream returns the stream of what follows the buffered beginning of a body.
func newBodyStream(p *pool, c *conn, result *exchangeResult) *BodyStream {
	remaining := httpmsg.MaxBodyBytes - int64(len(result.body))
	return &BodyStream{pool: p, conn: c, body: result.response.Body, remaining: remaining}
}

// Read reads from the body. It fails where the body exceeds httpmsg.MaxBodyBytes or the endpoint stalls.
func (s *BodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if s.remaining -= int64(n); s.remaining < 0 {
		return 0, errBodyTooLarge
	}
	s.complete = s.complete || err == io.EOF
	return n, err
}

// Close releases the connection, or closes it if part of the body was not read.
func (s *BodyStream) Close() {
	s.conn.stallTimeout = 0
	s.conn.SetReadDeadline(time.Time{})
	s.pool.release(s.conn, s.complete && s.reusable && s.conn.reader.Buffered() == 0)
}
