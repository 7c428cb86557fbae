package upstream

import (
	"context"
	"errors"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"oakproxy/internal/httpmsg"
)

// MaxUploadTime bounds the time for a request body to come while it is forwarded.
const MaxUploadTime = 10 * time.Minute

// clientBody is the part of a request's body that its client has yet to send.
type clientBody interface {
	io.Reader
	// LastDataAge returns how long ago the latest bytes came to this machine.
	LastDataAge() time.Duration
	// ClientClosed reports whether the client has ended its side of the connection.
	ClientClosed() bool
	// Discard discards what the client still sends, for at most maxDuration.
	Discard(maxDuration time.Duration)
}

// Upload is the part of a request's body beyond the one that is buffered. It is forwarded while it comes, to one
// attempt. The handler owns it again once Finish has returned.
type Upload struct {
	// Length is the length of the complete body in bytes, -1 if unknown.
	Length int64
	// TimeLeft is the client's remaining time, counted from the last byte on.
	TimeLeft time.Duration
	// OnWritten is called once, when the last byte was forwarded.
	OnWritten func()
	// Failed receives the first failure of the client's side. It has room for one error.
	Failed chan error

	// ReachedEOF is set once the end of the body was read.
	ReachedEOF atomic.Bool

	phase    atomic.Int32 // an uploadPhase
	consumed atomic.Bool  // part of the body was read

	mu sync.Mutex // held during a read
	// Body is the client's side. Between the start of the attempt and Finish only the attempt reads it.
	Body clientBody
	// WrittenAt is when the last byte was forwarded; zero before.
	WrittenAt  time.Time
	lastDataAt time.Time // when the bytes read last came to this machine
}

// uploadPhase says how far an upload has come. It leaves uploadStreaming once, for good: once the last bytes may be
// out, the request may run, and an upload that was stopped before that never runs.
type uploadPhase int32

const (
	uploadStreaming uploadPhase = iota // all but the last bytes may be out
	uploadFinishing                    // the last bytes may be out
	uploadStopped                      // the last bytes are never written
)

// leaveStreaming moves the upload to its final phase, and reports whether it was the first to do so.
func (u *Upload) leaveStreaming(final uploadPhase) bool {
	return u.phase.CompareAndSwap(int32(uploadStreaming), int32(final))
}

// BodyConsumed reports whether the body can no longer be sent again completely: part of it was read, or the upload was
// finished or stopped.
func (u *Upload) BodyConsumed() bool {
	return u.consumed.Load() || uploadPhase(u.phase.Load()) != uploadStreaming
}

// Read reads for the attempt.
func (u *Upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if uploadPhase(u.phase.Load()) == uploadStopped {
		return 0, errUploadStopped
	}
	u.consumed.Store(true)
	n, err := u.Body.Read(p)
	u.lastDataAt = time.Now().Add(-u.Body.LastDataAge())
	if errors.Is(err, io.EOF) {
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

// Stop prevents the last bytes from being written, so that the request never runs, and reports whether that came in
// time.
func (u *Upload) Stop() bool { return u.leaveStreaming(uploadStopped) }

// Deadline returns when the client's time is up, once the last byte is written.
func (u *Upload) Deadline() time.Time { return u.lastDataAt.Add(u.TimeLeft) }

// Finish ends the attempt's use of the body: nothing may read it once the handler is done. It waits for a read that
// is under way, which the limit on the client's pace bounds.
func (u *Upload) Finish() {
	u.Stop()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// beginLastWrite is the gate ahead of the last bytes. X-Time-Left-Ms was sent as if it counted from then: where the
// last bytes have waited for too long, or the client has left, the request must not run.
func (u *Upload) beginLastWrite() error {
	if time.Since(u.lastDataAt) > maxWriteLag || u.Body.ClientClosed() {
		u.Stop()
	}
	if !u.leaveStreaming(uploadFinishing) {
		return errUploadStopped
	}
	return nil
}

// sendUpload forwards a request's body while it comes. Until its last byte is written the request never ran. An
// endpoint that responds before that, or ends the connection, wants no more of it.
func (u *Client) sendUpload(ctx context.Context, c *conn, request *Request) error {
	sent := make(chan error, 1)
	go func() {
		err := request.writeUpload(c)
		c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek below
		sent <- err
	}()
	_, early := c.reader.Peek(1)
	if request.Upload.Stop() {
		select {
		case err := <-sent:
			return &unsentError{err}
		default:
		}
		if early == nil {
			early = errEarlyResponse
		}
		return &unsentError{early}
	}
	if err := <-sent; err != nil {
		return &unsentError{err}
	}
	c.SetDeadline(time.Time{})
	return ctx.Err() // the deadline that interrupt has set may have been overwritten
}

// uploadWriter writes an upload to an endpoint, which must take each piece within httpmsg.ChunkTimeout.
type uploadWriter struct {
	*conn
	upload    *Upload
	remaining int64 // bytes until the end of the body; below 0 if unknown
}

// Write writes one piece. It passes the gate of the last bytes ahead of the last piece of a body of known length.
func (w *uploadWriter) Write(p []byte) (int, error) {
	if w.remaining -= int64(len(p)); w.remaining == 0 {
		if err := w.upload.beginLastWrite(); err != nil {
			return 0, err
		}
	}
	w.conn.SetWriteDeadline(time.Now().Add(httpmsg.ChunkTimeout))
	if err := w.conn.ctx.Err(); err != nil {
		return 0, err // the deadline that interrupt has set may have been overwritten
	}
	return w.conn.Conn.Write(p)
}

// writeUpload writes the body to the endpoint: first what is buffered, then what comes.
func (m *Request) writeUpload(c *conn) error {
	chunk := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(chunk)
	to := &uploadWriter{conn: c, upload: m.Upload, remaining: m.Upload.Length}
	if m.Upload.Length >= 0 {
		err := m.copyBody(to, chunk[:])
		if err == nil && to.remaining > 0 {
			err = &clientError{io.ErrUnexpectedEOF}
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(to)
	if err := m.copyBody(chunks, chunk[:]); err != nil {
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

// copyBody copies the buffered part of the body and the upload through a buffer.
func (m *Request) copyBody(to io.Writer, buffer []byte) error {
	if _, err := to.Write(m.Body); err != nil {
		return err
	}
	// io.CopyBuffer would bypass the buffer for a writer that is an io.ReaderFrom.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, m.Upload, buffer)
	return err
}
