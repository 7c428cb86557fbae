package downstream

import (
	"io"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

const (
	// SmallRequestTimeout is the time, from the start of a request, within which its body may arrive at any rate.
	// minBodyRate applies only to bodies that take longer.
	SmallRequestTimeout = 2600 * time.Millisecond
	// maxBodyLag limits the lag of a body that takes longer than SmallRequestTimeout: how much later the body arrives
	// than at minBodyRate.
	maxBodyLag = 900 * time.Millisecond
	// minBodyRate is the lowest rate of a large body, in bytes per second. Slow clients write at twice this rate, so
	// this limit does not affect them.
	minBodyRate = 32 << 10
	// MaxLinger is how long a client may go on writing a request that was rejected before it was read completely.
	MaxLinger = 2 * time.Second
)

// Body reads the body of a client's request and limits its size and duration. The body may arrive at any rate until
// SmallRequestTimeout after the start of the request. After that it may fall at most maxBodyLag behind minBodyRate.
// Only the time that Read spends waiting for the client counts as lag. A Body must not be used by several goroutines at
// once.
type Body struct {
	conn           *Conn
	body           io.Reader
	request        *http.Request // request whose body this is
	smallDeadline  time.Time     // no minimum rate before this time: SmallRequestTimeout after the start of the request
	remainingLag   time.Duration // how much the lag behind minBodyRate may still grow: maxBodyLag less the current lag
	remainingBytes int64         // how many bytes may still be read: httpmsg.MaxBodyBytes less the bytes read so far
}

// NewBody returns a Body that reads the body of a request, which is being read from c.
func NewBody(c *Conn, request *http.Request) *Body {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Body{
		conn:           c,
		body:           request.Body,
		request:        request,
		smallDeadline:  c.requestStart.Add(SmallRequestTimeout),
		remainingLag:   maxBodyLag,
		remainingBytes: httpmsg.MaxBodyBytes,
	}
}

// Read reads the part of the body that has arrived, and waits if no bytes have arrived. The error is ErrBodyTooLarge if
// the body exceeds httpmsg.MaxBodyBytes, and matches os.ErrDeadlineExceeded if the body arrives too slowly.
func (b *Body) Read(p []byte) (int, error) {
	start := time.Now()
	deadline := start.Add(b.remainingLag)
	if b.smallDeadline.After(deadline) {
		deadline = b.smallDeadline
	}
	b.conn.limitNextRead(deadline)
	n, err := b.body.Read(p)
	timeAtMinRate := time.Duration(n) * time.Second / minBodyRate
	b.remainingLag = min(maxBodyLag, b.remainingLag-time.Since(start)+timeAtMinRate)
	if b.remainingBytes -= int64(n); b.remainingBytes < 0 {
		return 0, ErrBodyTooLarge
	}
	if err != nil {
		b.request.Trailer = nil // net/http has read the trailers with the end of the body; they are not forwarded
	}
	return n, err
}

// Discard reads and drops the remainder of a body that the client is still writing after its response was sent. It
// ends at the end of the body or when a read fails. It begins no read after maxDuration has passed, but does not
// interrupt a read that is waiting. Discard is needed because the kernel resets a connection that is closed with unread
// bytes, and the client could then get the reset instead of its response.
func (b *Body) Discard(maxDuration time.Duration) {
	chunk, release := b.conn.listener.Memory.Chunk()
	defer release()
	for end := time.Now().Add(maxDuration); time.Now().Before(end); {
		if _, err := b.Read(chunk); err != nil {
			return
		}
	}
}

// EarliestLastByte returns the earliest time at which the client can have written the last byte of the body, and whether
// that byte is known to have arrived. Conn.TrackLastByte must have been called.
func (b *Body) EarliestLastByte() (earliest time.Time, arrived bool) {
	return b.conn.earliestLastByte()
}

// ClientClosed reports whether the client has closed its side of the connection, or the connection is broken.
func (b *Body) ClientClosed() bool { return b.conn.ClientClosed() }
