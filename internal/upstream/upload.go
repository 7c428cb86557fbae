package upstream

import (
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/internal/httpmsg"
)

// MaxUploadTime is for a body to come, where it is passed on meanwhile.
const MaxUploadTime = 10 * time.Minute

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

// Upload is what a request's body has beyond the part that is held. It is passed on
// while it comes, to one attempt, and is the handler's again once that is over.
type Upload struct {
	Length    int64         // of the whole body, -1 if unknown
	TimeLeft  time.Duration // the client's time, from the last byte on
	OnWritten func()        // tells that the last byte was passed on
	Failed    chan error    // takes the one error of the client's side

	Phase      atomic.Int32 // see below
	Consumed   atomic.Bool  // some of it was read
	ReachedEOF atomic.Bool  // its end was read

	mu         sync.Mutex // held by whoever reads
	Body       clientBody
	WrittenAt  time.Time // its last byte was passed on
	lastDataAt time.Time // the bytes read last came to this machine
}

// The phases of an upload. Once the last bytes may be out, the request may run; an
// upload that was stopped before will never get there.
const (
	UploadStreaming int32 = iota
	uploadFinishing
	uploadStopped
)

// clientError is an upload's end that is the client's doing.
type clientError struct{ error }

func (e *clientError) Unwrap() error { return e.error }

var errUploadStopped = errors.New("the request is over")

// Read reads for the attempt.
func (u *Upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.Phase.Load() == uploadStopped {
		return 0, errUploadStopped
	}
	u.Consumed.Store(true)
	n, err := u.Body.Read(p)
	u.lastDataAt = time.Now().Add(-u.Body.LastDataAge())
	if err == io.EOF {
		u.ReachedEOF.Store(true)
	} else if err != nil {
		err = &clientError{err}
		select {
		case u.Failed <- err:
		default:
		}
	}
	return n, err
}

// Stop keeps the last bytes from being written, so that the request never runs, and reports whether that came in time.
func (u *Upload) Stop() bool { return u.Phase.CompareAndSwap(UploadStreaming, uploadStopped) }

// Deadline is when the client's time is up, once the last byte is written.
func (u *Upload) Deadline() time.Time { return u.lastDataAt.Add(u.TimeLeft) }

// Finish takes the body back from the attempt: nothing may read it once the handler is
// done. It waits for a read that is on its way, which the client's pace bounds.
func (u *Upload) Finish() {
	u.Stop()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// beginLastWrite comes before the last bytes are written. The endpoint was told the client's time as if it counted from then:
// where the last bytes have waited for long, or the client for nothing, the request must not run.
func (u *Upload) beginLastWrite() error {
	if time.Since(u.lastDataAt) > maxWriteLag || u.Body.ClientLeft() {
		u.Stop()
	}
	if !u.Phase.CompareAndSwap(UploadStreaming, uploadFinishing) {
		return errUploadStopped
	}
	return nil
}

// uploadWriter writes an upload to an endpoint, which takes each piece in time or is
// given up.
type uploadWriter struct {
	*conn
	upload    *Upload
	remaining int64 // until the last byte; below 0 if unknown
}

func (w *uploadWriter) Write(p []byte) (int, error) {
	if w.remaining -= int64(len(p)); w.remaining == 0 {
		if err := w.upload.beginLastWrite(); err != nil {
			return 0, err
		}
	}
	w.conn.SetWriteDeadline(time.Now().Add(httpmsg.ChunkTimeout))
	if err := w.conn.ctx.Err(); err != nil {
		return 0, err // the deadline that tells so may have been overwritten
	}
	return w.conn.Conn.Write(p)
}

// writeUpload writes the body to the endpoint: what is held, then what comes.
func (m *Request) writeUpload(c *conn) error {
	piece := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(piece)
	to := &uploadWriter{conn: c, upload: m.Upload, remaining: m.Upload.Length}
	copied := func(to io.Writer) error {
		if _, err := to.Write(m.Body); err != nil {
			return err
		}
		_, err := io.CopyBuffer(struct{ io.Writer }{to}, m.Upload, piece[:])
		return err
	}
	if m.Upload.Length >= 0 {
		err := copied(to)
		if err == nil && to.remaining > 0 {
			err = &clientError{io.ErrUnexpectedEOF}
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(to)
	if err := copied(chunks); err != nil {
		return err
	}
	if err := m.Upload.beginLastWrite(); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(to, "\r\n")
	return err
}
