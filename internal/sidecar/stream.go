package sidecar

import (
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxBufferedBytes    = 64 << 10                // bytes of a body that is held whole; of a larger one, the first
	holdFor             = 20 * time.Millisecond   // an answer of unknown length is held at most, once it has begun
	restStall           = 5 * time.Second         // without a byte of an answer that is passed on, until it is given up
	maxPieceBytes       = 32 << 10                // bytes passed on at a time
	pieceTime           = 10 * time.Second        // for a client to take one: it may read 64 kB a second,
	maxSmallRequestTime = 2600 * time.Millisecond // for a request that is small, however slowly it comes; of a larger body,
	bodyGrace           = 900 * time.Millisecond  // a client may be so far behind minBodyRate
	minBodyRate         = 32 << 10                // bytes a second: slow ones write twice that
	maxUploadTime       = 10 * time.Minute        // for a body to come, where it is passed on meanwhile
	maxLinger           = 2 * time.Second         // for a client that is turned away unheard to write on
	sendBuffer          = 128 << 10               // and that much must not take longer to leave the socket
)

// budget bounds the memory that bodies may take, over all requests and answers.
type budget struct{ most, used atomic.Int64 }

// newBudget grants bodies their part of the memory.
func newBudget(cfg *Config) *budget {
	b := &budget{}
	b.most.Store(int64(cfg.Limits.MemoryMB) << 20 / bodiesPart)
	return b
}

func (b *budget) take(n int64) bool {
	if b.used.Add(n) > b.most.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.used.Add(-n) }

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

// paced reads a client's body, within a limit on its size and on the time: that for
// any request, or how far it may fall behind the pace of a slow client, of which only
// the time spent waiting for it counts.
type paced struct {
	conn      *clientConn
	body      io.Reader
	small     time.Time
	allowance time.Duration
	left      int64
}

func newPaced(c *clientConn, body io.Reader) *paced {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &paced{c, body, c.begun.Add(maxSmallRequestTime), bodyGrace, maxBodyBytes}
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
		return 0, &badRequest{http.StatusRequestEntityTooLarge, tooLarge}
	}
	return n, err
}

// linger reads on from a client that has its answer and is still writing: closed
// with something unread, the connection would be reset, and the client would find
// that and not its answer.
func linger(p *paced, most time.Duration) {
	piece := pieces.Get().(*[maxPieceBytes]byte)
	defer pieces.Put(piece)
	for end := time.Now().Add(most); time.Now().Before(end); {
		if _, err := p.Read(piece[:]); err != nil {
			return
		}
	}
}

// upload is what a request's body has beyond the part that is held. It is passed on
// while it comes, to one attempt, and is the handler's again once that is over.
type upload struct {
	length  int64         // of the whole body, -1 if unknown
	left    time.Duration // the client's time, from the last byte on
	written func()        // tells that the last byte was passed on
	failed  chan error    // takes the one error of the client's side

	phase    atomic.Int32 // see below
	spent    atomic.Bool  // some of it was read
	finished atomic.Bool  // its end was read

	mu   sync.Mutex // held by whoever reads
	body *paced
	at   time.Time // its last byte was passed on
}

// The phases of an upload. Once the last bytes may be out, the request may run; an
// upload that was stopped before will never get there.
const (
	passing int32 = iota
	closing
	stopped
)

// clientError is an upload's end that is the client's doing.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

var errStopped = errors.New("the request is over")

// Read reads for the attempt.
func (u *upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.phase.Load() == stopped {
		return 0, errStopped
	}
	u.spent.Store(true)
	n, err := u.body.Read(p)
	if err == io.EOF {
		u.finished.Store(true)
	} else if err != nil {
		err = &clientError{err}
		select {
		case u.failed <- err:
		default:
		}
	}
	return n, err
}

// end takes the body back from the attempt: nothing may read it once the handler is
// done. It waits for a read that is on its way, which the client's pace bounds.
func (u *upload) end() {
	u.phase.CompareAndSwap(passing, stopped)
	u.mu.Lock()
	defer u.mu.Unlock()
}

// progress writes an upload to an endpoint, which takes each piece in time or is
// given up.
type progress struct {
	*conn
	upload *upload
	left   int64 // until the last byte; below 0 if unknown
}

func (w *progress) Write(p []byte) (int, error) {
	if w.left -= int64(len(p)); w.left == 0 {
		if err := w.upload.close(); err != nil {
			return 0, err
		}
	}
	w.conn.SetWriteDeadline(time.Now().Add(pieceTime))
	if err := w.conn.ctx.Err(); err != nil {
		return 0, err // the deadline that tells so may have been overwritten
	}
	return w.conn.Conn.Write(p)
}

// close comes before the last bytes are written.
func (u *upload) close() error {
	if !u.phase.CompareAndSwap(passing, closing) {
		return errStopped
	}
	return nil
}

// passOn writes the body to the endpoint: what is held, then what comes.
func (m *message) passOn(c *conn) error {
	piece := pieces.Get().(*[maxPieceBytes]byte)
	defer pieces.Put(piece)
	to := &progress{conn: c, upload: m.upload, left: m.upload.length}
	copied := func(to io.Writer) error {
		if _, err := to.Write(m.body); err != nil {
			return err
		}
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, m.upload, piece[:])
		return err
	}
	if m.upload.length >= 0 {
		err := copied(to)
		if err == nil && to.left > 0 {
			err = &clientError{io.ErrUnexpectedEOF}
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(to)
	if err := copied(chunks); err != nil {
		return err
	}
	if err := m.upload.close(); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(to, "\r\n")
	return err
}
