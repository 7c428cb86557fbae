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

// MaxUploadTime limits how long a client may take to send a request body that is forwarded as it arrives.
const MaxUploadTime = 10 * time.Minute

// clientBody reads the part of a request's body that has not been buffered, as it arrives from the client.
type clientBody interface {
	io.Reader
	// EarliestLastByte returns the earliest time at which the client can have written the last byte of the body, and
	// whether that byte is known to have arrived. The time is later while the client keeps the sidecar waiting, but not
	// because an endpoint does.
	EarliestLastByte() (earliest time.Time, arrived bool)
	// ClientClosed reports whether the client has ended its side of the connection.
	ClientClosed() bool
	// Discard reads and discards the data that the client still sends. It begins no read after maxDuration has passed.
	Discard(maxDuration time.Duration)
}

// Upload is the part of a request's body that follows the buffered beginning. It is forwarded as it arrives, by one
// attempt only. That attempt owns the upload from its start until Finish returns, and the client's handler owns it
// before and after.
type Upload struct {
	// Length is the length of the complete body in bytes; -1 if the length is unknown.
	Length int64
	// TimeLeft is the client's remaining time, counted from when it has written the body's last byte.
	TimeLeft time.Duration
	// OnWritten is called once, when the last byte of the body has been forwarded.
	OnWritten func()
	// ClientFailure receives the first error of the client's side. Its capacity must be one error.
	ClientFailure chan error

	// ReachedEOF is set once the end of the body has been read.
	ReachedEOF atomic.Bool

	phase    atomic.Int32 // an uploadPhase
	consumed atomic.Bool  // whether a read of the body was begun

	mu sync.Mutex // held during a read of Body
	// Body reads from the client. Between the start of the attempt and Finish, only the attempt reads from it.
	Body clientBody
	// WrittenAt is when the last byte of the body was forwarded. It is zero until then.
	WrittenAt  time.Time
	lastByteAt time.Time // the result of Body.EarliestLastByte after the latest read
}

// uploadPhase is the state of an upload. It changes at most once, from uploadStreaming to one of the other two. Once
// the last bytes may have been sent, the request may run. A request whose upload was stopped before that never runs.
type uploadPhase int32

const (
	uploadStreaming uploadPhase = iota // all bytes except the last ones may have been sent
	uploadFinishing                    // the last bytes may have been sent
	uploadStopped                      // the last bytes are never sent
)

// enterFinalPhase moves a streaming upload to its final phase. It reports false, and changes nothing, if the upload was
// already in a final phase.
func (u *Upload) enterFinalPhase(final uploadPhase) bool {
	return u.phase.CompareAndSwap(int32(uploadStreaming), int32(final))
}

// BodyConsumed reports whether another attempt can no longer send the complete body, because part of the upload was
// read, or because the upload was finished or stopped.
func (u *Upload) BodyConsumed() bool {
	return u.consumed.Load() || uploadPhase(u.phase.Load()) != uploadStreaming
}

// Read reads from the client's body on behalf of the attempt. It fails once the upload is stopped. If reading from the
// client fails, Read returns a clientError, and sends it to ClientFailure if it is the first one.
func (u *Upload) Read(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if uploadPhase(u.phase.Load()) == uploadStopped {
		return 0, errUploadStopped
	}
	u.consumed.Store(true)
	n, err := u.Body.Read(p)
	u.lastByteAt, _ = u.Body.EarliestLastByte()
	if errors.Is(err, io.EOF) {
		u.ReachedEOF.Store(true)
	} else if err != nil {
		err = &clientError{err}
		select {
		case u.ClientFailure <- err:
		default:
		}
	}
	return n, err
}

// Stop prevents the last bytes from being written, so that the request never runs. It reports whether the upload was
// still streaming; if not, it has already been stopped or its last bytes may have been sent.
func (u *Upload) Stop() bool { return u.enterFinalPhase(uploadStopped) }

// Deadline returns the instant until which the client waits for the response. It is valid once the last byte of the
// body has been written.
func (u *Upload) Deadline() time.Time { return u.lastByteAt.Add(u.TimeLeft) }

// ForwardingDeadline returns the time by which the body must be forwarded, because the client may have written its last
// byte, and awaits the response. All that may delay an upload is limited by it, however much progress there is in
// between. It is later if the client was awaited since. The client's time counts as maxWriteDelay if it is shorter,
// because a delay of that length is harmless.
func (u *Upload) ForwardingDeadline() time.Time {
	lastByteAt, arrived := u.Body.EarliestLastByte()
	longest := max(u.TimeLeft, maxWriteDelay)
	if arrived { // later than this, the last bytes would not be written
		longest = min(longest, u.maxForwardingDelay())
	}
	return lastByteAt.Add(longest)
}

// pieceDeadline returns the deadline for the write of a piece, which begins now.
func (u *Upload) pieceDeadline(now time.Time) time.Time {
	timeLeft := u.ForwardingDeadline().Sub(now)
	return now.Add(min(httpmsg.ChunkTimeout, max(minWriteTime, timeLeft)))
}

// How much of TimeLeft is kept for forwarding the body.
const (
	maxForwardingShare = 4        // at most 1/maxForwardingShare of TimeLeft
	minForwardingRate  = 10 << 20 // in bytes per second; a body of known length is forwarded at this rate at least
)

// forwardingTime returns the part of TimeLeft within which the body is expected to be forwarded after the client has
// written its last byte.
func (u *Upload) forwardingTime() time.Duration {
	longest := u.TimeLeft / maxForwardingShare
	if u.Length < 0 {
		return longest
	}
	return min(longest, time.Duration(u.Length)*time.Second/minForwardingRate)
}

// maxForwardingDelay returns how long after the client has written its last byte the last bytes may be written.
func (u *Upload) maxForwardingDelay() time.Duration { return u.forwardingTime() + maxWriteDelay }

// toldTimeLeft returns the value of X-Time-Left-Ms for the endpoint, to which it is sent with the head. When the endpoint
// gets the last bytes, the client must not have less time left, but for maxWriteDelay.
func (u *Upload) toldTimeLeft() time.Duration { return u.TimeLeft - u.forwardingTime() }

// Overdue reports whether the upload was stopped and its forwarding deadline has passed.
func (u *Upload) Overdue(now time.Time) bool {
	return uploadPhase(u.phase.Load()) == uploadStopped && now.After(u.ForwardingDeadline())
}

// Finish ends the attempt's use of the body, because nothing may read the body once the client's handler has returned.
// It waits for a read that is in progress; the minimum rate at which the client must send limits that wait.
func (u *Upload) Finish() {
	u.Stop()
	u.mu.Lock()
	defer u.mu.Unlock()
}

// beginLastWrite is the check before the last bytes are written. It returns errUploadStopped if they must not be
// written: X-Time-Left-Ms would tell the endpoint more time than the client has left, or the client has disconnected.
func (u *Upload) beginLastWrite() error {
	if time.Since(u.lastByteAt) > u.maxForwardingDelay() || u.Body.ClientClosed() {
		u.Stop()
	}
	if !u.enterFinalPhase(uploadFinishing) {
		return errUploadStopped
	}
	return nil
}

// sendUpload forwards a request's body as it arrives. Until the last byte is written, the request has not run. If the
// endpoint responds or closes the connection before that, it does not want the remainder of the body, and sendUpload
// stops the upload.
func (u *Client) sendUpload(ctx context.Context, c *conn, request *Request) error {
	writeDone := make(chan error, 1)
	go func() {
		chunk, release := u.Memory.Chunk()
		defer release()
		err := request.writeUpload(c, chunk)
		c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek below
		writeDone <- err
	}()
	_, earlyErr := c.reader.Peek(1)
	if request.Upload.Stop() {
		select {
		case err := <-writeDone:
			return &unsentError{err}
		default:
		}
		if earlyErr == nil {
			earlyErr = errEarlyResponse
		}
		return &unsentError{earlyErr}
	}
	if err := <-writeDone; err != nil {
		return &unsentError{err}
	}
	c.SetDeadline(time.Time{})
	// The deadline that c.interruptOn sets when ctx is cancelled may have been overwritten, so ctx itself is checked.
	return ctx.Err()
}

// minWriteTime is the least time for the write of a piece: enough for a write that does not block.
const minWriteTime = 5 * time.Millisecond

// uploadWriter writes an upload to an endpoint. The endpoint must accept each piece within httpmsg.ChunkTimeout, and all
// of them by Upload.ForwardingDeadline.
type uploadWriter struct {
	*conn
	upload    *Upload
	remaining int64 // number of bytes until the end of the body; negative if the length is unknown
}

// Write writes one piece of the body. If the length of the body is known, Write calls beginLastWrite before the last
// piece.
func (w *uploadWriter) Write(p []byte) (int, error) {
	if w.remaining -= int64(len(p)); w.remaining == 0 {
		if err := w.upload.beginLastWrite(); err != nil {
			return 0, err
		}
	}
	w.conn.SetWriteDeadline(w.upload.pieceDeadline(time.Now()))
	if err := w.conn.ctx.Err(); err != nil {
		return 0, err // the deadline that interruptOn has set may have been overwritten
	}
	return w.conn.Conn.Write(p)
}

// writeUpload writes the body to the endpoint: first the buffered beginning, then the upload as it arrives, through a
// buffer.
func (r *Request) writeUpload(c *conn, buffer []byte) error {
	to := &uploadWriter{conn: c, upload: r.Upload, remaining: r.Upload.Length}
	if r.Upload.Length >= 0 {
		err := r.copyBody(to, buffer)
		if err == nil && to.remaining > 0 {
			err = &clientError{io.ErrUnexpectedEOF}
		}
		return err
	}
	chunks := httputil.NewChunkedWriter(to)
	if err := r.copyBody(chunks, buffer); err != nil {
		return err
	}
	if err := r.Upload.beginLastWrite(); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(to, "\r\n")
	return err
}

// copyBody writes the buffered beginning of the body to a writer, and then copies the upload through a buffer.
func (r *Request) copyBody(to io.Writer, buffer []byte) error {
	r.Upload.lastByteAt, _ = r.Upload.Body.EarliestLastByte()
	if _, err := to.Write(r.Body); err != nil {
		return err
	}
	// The struct hides any ReadFrom method of the writer, for which io.CopyBuffer would bypass the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, r.Upload, buffer)
	return err
}
