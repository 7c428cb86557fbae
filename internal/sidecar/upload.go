package sidecar

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"
)

// maxUploadTime is for a body to come, where it is passed on meanwhile.
const maxUploadTime = 10 * time.Minute

// clientBody is the part of a request's body that its client has yet to send.
type clientBody interface {
	io.Reader
	// LastDataAge returns how long ago the latest bytes came to this machine.
	LastDataAge() time.Duration
	// ClientLeft reports whether the client has ended its side of the connection.
	ClientLeft() bool
	// Discard discards what the client still sends, for so long at most.
	Discard(most time.Duration)
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
	body clientBody
	at   time.Time // its last byte was passed on
	came time.Time // the bytes read last came to this machine
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
	u.came = time.Now().Add(-u.body.LastDataAge())
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

// halt keeps the last bytes from being written, so that the request never runs, and reports whether that came in time.
func (u *upload) halt() bool { return u.phase.CompareAndSwap(passing, stopped) }

// due is when the client's time is up, once the last byte is written.
func (u *upload) due() time.Time { return u.came.Add(u.left) }

// end takes the body back from the attempt: nothing may read it once the handler is
// done. It waits for a read that is on its way, which the client's pace bounds.
func (u *upload) end() {
	u.halt()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// close comes before the last bytes are written. The endpoint was told the client's time as if it counted from then:
// where the last bytes have waited for long, or the client for nothing, the request must not run.
func (u *upload) close() error {
	if time.Since(u.came) > maxWriteLag || u.body.ClientLeft() {
		u.halt()
	}
	if !u.phase.CompareAndSwap(passing, closing) {
		return errStopped
	}
	return nil
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
