package sidecar

import (
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferedBytes = 64 << 10              // bytes of a body that is held whole; of a larger one, the first
	holdFor          = 20 * time.Millisecond // an answer of unknown length is held at most, once it has begun
	restStall        = 5 * time.Second       // without a byte of an answer that is passed on, until it is given up
	maxPieceBytes    = 32 << 10              // bytes passed on at a time
	pieceTime        = 10 * time.Second      // for a client to take one: it may read 64 kB a second,
	sendBuffer       = 128 << 10             // and that much must not take longer to leave the socket
)

// rest is what is still to come of an answer that is passed on while it comes.
// Whoever reads it closes it.
type rest struct {
	up    *upstream
	conn  *conn
	body  io.Reader
	left  int64 // of what an answer may have
	keep  bool  // the connection may be used again after a whole answer
	whole bool
}

func (r *rest) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errLarge
	}
	r.whole = r.whole || err == io.EOF
	return n, err
}

// Close gives the connection back, or closes it with what was not read.
func (r *rest) Close() {
	r.conn.stall = 0
	r.conn.SetReadDeadline(time.Time{})
	r.up.release(r.conn, r.whole && r.keep && r.conn.reader.Buffered() == 0)
}

// close ends what an answer holds. It comes once for each, also where nobody takes it.
func (a *answer) close() {
	if a.rest != nil {
		a.rest.Close()
	}
	if a.held != nil {
		a.held()
	}
}

// pass writes an answer's rest as it comes. An error says that the client has less
// than the whole.
func pass(w http.ResponseWriter, c *clientConn, from io.Reader) error {
	c.boundBuffer(sendBuffer)
	control, piece := http.NewResponseController(w), pieces.Get().(*[maxPieceBytes]byte)
	defer pieces.Put(piece)
	if err := control.Flush(); err != nil {
		return err
	}
	for {
		n, err := from.Read(piece[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(pieceTime))
			if _, err := w.Write(piece[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// pieces are the buffers in which bodies are passed on.
var pieces = sync.Pool{New: func() any { return new([maxPieceBytes]byte) }}
