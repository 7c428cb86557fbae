package downstream

import (
	"io"
	"time"

	"oakproxy/internal/httpmsg"
	"oakproxy/internal/system"
)

const (
	maxSmallRequestTime = 2600 * time.Millisecond // for a request that is small, however slowly it comes; of a larger body,
	bodyGrace           = 900 * time.Millisecond  // a client may be so far behind minBodyRate
	minBodyRate         = 32 << 10                // bytes a second: slow ones write twice that
	MaxLinger           = 2 * time.Second         // for a client that is turned away unheard to write on
)

// paced reads a client's body, within a limit on its size and on the time: that for
// any request, or how far it may fall behind the pace of a slow client, of which only
// the time spent waiting for it counts.
type paced struct {
	conn      *Conn
	body      io.Reader
	small     time.Time
	allowance time.Duration
	left      int64
}

func NewBody(c *Conn, body io.Reader) *paced {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &paced{c, body, c.begun.Add(maxSmallRequestTime), bodyGrace, httpmsg.MaxBodyBytes}
}

func (p *paced) Read(b []byte) (int, error) {
	began := time.Now()
	until := began.Add(p.allowance)
	if p.small.After(until) {
		until = p.small
	}
	p.conn.SetReadDeadline(until)
	n, err := p.body.Read(b)
	earned := time.Duration(n) * time.Second / minBodyRate
	p.allowance = min(bodyGrace, p.allowance-time.Since(began)+earned)
	if p.left -= int64(n); p.left < 0 {
		return 0, ErrBodyTooLarge
	}
	return n, err
}

// Discard reads on from a client that has its answer and is still writing: closed
// with something unread, the connection would be reset, and the client would find
// that and not its answer.
func (p *paced) Discard(most time.Duration) {
	piece := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(piece)
	for end := time.Now().Add(most); time.Now().Before(end); {
		if _, err := p.Read(piece[:]); err != nil {
			return
		}
	}
}

// LastDataAge returns how long ago the latest bytes came to this machine.
func (p *paced) LastDataAge() time.Duration { return system.LastDataAge(p.conn.Conn) }

// ClientLeft reports whether the client has ended its side of the connection.
func (p *paced) ClientLeft() bool { return p.conn.ClientLeft() }
