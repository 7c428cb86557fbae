package upstream

import (
	"io"
	"time"

	"oakproxy/internal/httpmsg"
)

// maxStreamSilence limits how long a relayed response may be silent, or until its client's deadline if that is later. It
// is longer than a partition of the network, after which the endpoint goes on.
const maxStreamSilence = 7 * time.Second

// BodyStream is the remainder of a response body that is forwarded as it arrives. The stream owns the connection until
// the stream is closed. The reader of the stream must close it exactly once.
type BodyStream struct {
	pool      *pool
	conn      *conn
	body      io.Reader
	remaining int64 // bytes that may still be read before the body exceeds httpmsg.MaxBodyBytes
	reusable  bool  // whether the connection may carry another request once the body was read completely
	complete  bool  // whether the end of the body was read
}

// newBodyStream returns a stream of the part of a body that follows the buffered beginning, result.body.
func newBodyStream(p *pool, c *conn, result *exchangeResult) *BodyStream {
	remaining := httpmsg.MaxBodyBytes - int64(len(result.body))
	return &BodyStream{pool: p, conn: c, body: result.bodyReader, remaining: remaining}
}

// Read reads what has arrived of the body, or waits for it. It fails if the body exceeds httpmsg.MaxBodyBytes, or if the
// endpoint is silent for longer than maxStreamSilence and the client's deadline.
func (s *BodyStream) Read(p []byte) (int, error) {
	n, err := s.body.Read(p)
	if s.remaining -= int64(n); s.remaining < 0 {
		return 0, errBodyTooLarge
	}
	s.complete = s.complete || err == io.EOF
	return n, err
}

// Close returns the connection to the pool. The connection is closed instead if part of the body was not read, if bytes
// follow the body, or if the connection is not reusable for another reason.
func (s *BodyStream) Close() {
	s.conn.limitReads(readLimits{})
	s.pool.release(s.conn, s.complete && s.reusable && s.conn.reader.Buffered() == 0)
}
