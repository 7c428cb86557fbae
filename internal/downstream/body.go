package downstream

import (
	"io"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

const (
	// smallRequestTimeout is the time for a request to come complete, however slowly it comes, if it is small enough.
	smallRequestTimeout = 2600 * time.Millisecond
	// maxBodyLag is how far the client of a larger body may fall behind minBodyRate.
	maxBodyLag = 900 * time.Millisecond
	// minBodyRate is in bytes a second. A slow client writes at twice this rate.
	minBodyRate = 32 << 10
	// MaxLinger is how long a client may go on writing after its request was rejected unread.
	MaxLinger = 2 * time.Second
)

// Body reads the body of a client's request within limits on its size and its time. A body has until
// smallRequestTimeout after its request began. Beyond that it may fall maxBodyLag behind minBodyRate; only the time
// spent waiting for the client counts. Body is for one goroutine at a time.
type Body struct {
	conn           *Conn
	body           io.Reader
	smallDeadline  time.Time     // smallRequestTimeout after the request began
	allowance      time.Duration // how much further the body may fall behind minBodyRate
	remainingBytes int64         // of httpmsg.MaxBodyBytes
}

// NewBody returns a reader of body, the body of the request that is being read of c.
func NewBody(c *Conn, body io.Reader) *Body {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Body{
		conn:           c,
		body:           body,
		smallDeadline:  c.requestStart.Add(smallRequestTimeout),
		allowance:      maxBodyLag,
		remainingBytes: httpmsg.MaxBodyBytes,
	}
}

// Read reads what has come of the body. Its error is ErrBodyTooLarge for a body that exceeds httpmsg.MaxBodyBytes, and
// matches os.ErrDeadlineExceeded for one that comes too slowly.
func (b *Body) Read(p []byte) (int, error) {
	start := time.Now()
	deadline := start.Add(b.allowance)
	if b.smallDeadline.After(deadline) {
		deadline = b.smallDeadline
	}
	b.conn.limitNextRead(deadline)
	n, err := b.body.Read(p)
	earned := time.Duration(n) * time.Second / minBodyRate
	b.allowance = min(maxBodyLag, b.allowance-time.Since(start)+earned)
	if b.remainingBytes -= int64(n); b.remainingBytes < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// Discard reads and drops the body of a client that has its response and is still writing, until the body ends or a
// read fails, or for the given time. A connection that is closed with something unread is reset, and the client would
// find the reset in place of its response.
func (b *Body) Discard(limit time.Duration) {
	chunk := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(chunk)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if _, err := b.Read(chunk[:]); err != nil {
			return
		}
	}
}

// LastDataAge returns how long ago the latest bytes of the client came to this machine, as its kernel says.
func (b *Body) LastDataAge() time.Duration { return system.LastDataAge(b.conn.Conn) }

// ClientClosed reports whether the client has ended its side of the connection, or the connection is broken.
func (b *Body) ClientClosed() bool { return b.conn.ClientClosed() }
