package upstream

import (
	"io"
	"time"
)

const (
	holdFor   = 20 * time.Millisecond // an answer of unknown length is held at most, once it has begun
	restStall = 5 * time.Second       // without a byte of an answer that is passed on, until it is given up
)

// BodyStream is what is still to come of an answer that is passed on while it comes.
// Whoever reads it closes it.
type BodyStream struct {
	up    *Client
	conn  *conn
	body  io.Reader
	left  int64 // of what an answer may have
	keep  bool  // the connection may be used again after a whole answer
	whole bool
}

func (r *BodyStream) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errLarge
	}
	r.whole = r.whole || err == io.EOF
	return n, err
}

// Close gives the connection back, or closes it with what was not read.
func (r *BodyStream) Close() {
	r.conn.stall = 0
	r.conn.SetReadDeadline(time.Time{})
	r.up.release(r.conn, r.whole && r.keep && r.conn.reader.Buffered() == 0)
}
