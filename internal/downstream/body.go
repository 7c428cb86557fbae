package downstream

import (
	"io"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

const (
	smallRequestTimeout = 2600 * time.Millisecond // for a request that is small, however slowly it comes; of a larger body,
	maxBodyLag          = 900 * time.Millisecond  // a client may be so far behind minBodyRate
	minBodyRate         = 32 << 10                // bytes a second: slow ones write twice that
	MaxLinger           = 2 * time.Second         // for a client that is turned away unheard to write on
)

// Body reads a client's body, within a limit on its size and on the time: that for
// any request, or how far it may fall behind the pace of a slow client, of which only
// the time spent waiting for it counts.
type Body struct {
	conn           *Conn
	body           io.Reader
	smallDeadline  time.Time
	allowance      time.Duration
	remainingBytes int64
}

func NewBody(c *Conn, body io.Reader) *Body {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &Body{c, body, c.requestStart.Add(smallRequestTimeout), maxBodyLag, httpmsg.MaxBodyBytes}
}

func (p *Body) Read(b []byte) (int, error) {
	began := time.Now()
	until := began.Add(p.allowance)
	if p.smallDeadline.After(until) {
		until = p.smallDeadline
	}
	p.conn.SetReadDeadline(until)
	n, err := p.body.Read(b)
	earned := time.Duration(n) * time.Second / minBodyRate
	p.allowance = min(maxBodyLag, p.allowance-time.Since(began)+earned)
	if p.remainingBytes -= int64(n); p.remainingBytes < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// Discard reads on from a client that has its answer and is still writing: closed
// with something unread, the connection would be reset, and the client would find
// that and not its answer.
func (p *Body) Discard(most time.Duration) {
	piece := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(piece)
	for end := time.Now().Add(most); time.Now().Before(end); {
		if _, err := p.Read(piece[:]); err != nil {
			return
		}
	}
}

// LastDataAge returns how long ago the latest bytes came to this machine.
func (p *Body) LastDataAge() time.Duration { return system.LastDataAge(p.conn.Conn) }

// ClientLeft reports whether the client has ended its side of the connection.
func (p *Body) ClientLeft() bool { return p.conn.ClientLeft() }
