package upstream

import (
	"io"
	"time"
)

const (
	maxBufferingTime   = 20 * time.Millisecond // an answer of unknown length is held at most, once it has begun
	streamStallTimeout = 5 * time.Second       // without a byte of an answer that is passed on, until it is given up
)

// BodyStream is what is still to come of an answer that is passed on while it comes.
// Whoever reads it closes it.
type BodyStream struct {
	client    *Client
	conn      *conn
	body      io.Reader
	remaining int64 // of what an answer may have
	reusable  bool  // the connection may be used again after a whole answer
	complete  bool
}

func (r *BodyStream) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.remaining -= int64(n); r.remaining < 0 {
		return 0, errBodyTooLarge
	}
	r.complete = r.complete || err == io.EOF
	return n, err
}

// Close gives the connection back, or closes it with what was not read.
func (r *BodyStream) Close() {
	r.conn.stallTimeout = 0
	r.conn.SetReadDeadline(time.Time{})
	r.client.release(r.conn, r.complete && r.reusable && r.conn.reader.Buffered() == 0)
}
