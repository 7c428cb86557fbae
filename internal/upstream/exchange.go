package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// One exchange on a connection: the request written, the answer read and found whole.

const (
	maxAnswerHeadBytes = 8 << 10                // bytes of an answer's head: each connection has a buffer of this size
	answerRest         = 100 * time.Millisecond // without a byte of an answer that has begun: four round trips between sites
	maxInterimAnswers  = 10                     // interim answers ahead of one that counts
)

// Read reads with a limit on the time without a byte, where there is one.
func (c *conn) Read(p []byte) (int, error) {
	if c.stall > 0 {
		c.SetReadDeadline(time.Now().Add(c.stall))
		if err := c.ctx.Err(); err != nil {
			return 0, err // the deadline that tells so may have been overwritten
		}
	}
	return c.Conn.Read(p)
}

// received is an answer, whole or begun.
type received struct {
	response *http.Response
	body     []byte
	rest     *BodyStream
	held     func()
	written  time.Time // when the request's last byte was
}

// exchange writes one request on a connection and reads the answer, or its
// beginning. It gives the connection back unless there is a rest.
func (u *Client) exchange(ctx context.Context, c *conn, m *Request, g *Gate) (got *received, err error) {
	keep := false
	c.ctx, c.limit.N = ctx, maxAnswerHeadBytes+httpmsg.MaxBufferedBytes
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes a read or write
	defer func() {
		c.stall = 0
		kept := stop()
		if err == nil && got.rest != nil {
			if kept {
				got.rest.keep, c.ctx, c.stall = keep, context.Background(), restStall
				return
			}
			if got.held != nil {
				got.held()
			}
			err = ctx.Err()
		}
		if kept && keep {
			c.SetReadDeadline(time.Time{})
		}
		u.release(c, kept && keep)
	}()

	data, err := m.encode(ctx)
	if err != nil {
		return nil, &unsentError{err}
	}
	// What has come by now was not asked for, and must not be taken for the answer.
	if c.used && !c.alive() {
		return nil, errStale
	}
	if err := u.pass(ctx, g, c.target); err != nil {
		return nil, &unsentError{err}
	}
	if err := c.writeRequest(data); err != nil {
		return nil, &unsentError{err}
	}
	written := time.Now()
	if m.Upload != nil {
		if err := u.send(c, m); err != nil {
			return nil, err
		}
		// From here on the request's time runs.
		m.Upload.WrittenAt = time.Now()
		m.Upload.OnWritten()
		timed, cancel := context.WithDeadline(ctx, m.Upload.Deadline())
		defer cancel()
		c.ctx = timed
		wake := context.AfterFunc(timed, func() { c.SetDeadline(time.Unix(1, 0)) })
		defer func() {
			if wake() {
				return
			}
			if keep = false; err != nil && over(timed) {
				err = errOver
			}
		}()
	}
	if got, err = u.receive(c, m.Method); err != nil {
		return nil, err
	}
	got.written = written
	// Anything beyond the answer makes the connection useless: endpoints may send
	// a second copy, or noise.
	keep = !got.response.Close && got.response.StatusCode != http.StatusSwitchingProtocols &&
		(got.rest != nil || c.reader.Buffered() == 0)
	return got, nil
}

// maxWriteAtOnce is the most that a connection's buffers surely take: a write of no more does not wait for the endpoint.
const maxWriteAtOnce = 4 << 10

// writeRequest writes a whole request, or fails before its last byte. The endpoint is told what the client had left
// when the write began: where it takes the rest too late for that, the request must not run.
func (c *conn) writeRequest(data []byte) error {
	last := len(data) - 1
	if len(data) <= maxWriteAtOnce {
		last = 0
	}
	begun := time.Now()
	if _, err := c.Write(data[:last]); err != nil {
		return err
	}
	if time.Since(begun) > maxWriteLag {
		return errLate
	}
	if n, err := c.Write(data[last:]); n < len(data)-last {
		return err
	}
	return nil
}

// send passes a request's body on while it comes. Until its last byte is written
// the request never ran; an endpoint that answers before that, or ends the
// connection, has done with it.
func (u *Client) send(c *conn, m *Request) error {
	sent := make(chan error, 1)
	go func() {
		err := m.passOn(c)
		c.SetReadDeadline(time.Unix(1, 0)) // wakes the look below
		sent <- err
	}()
	_, early := c.reader.Peek(1)
	if m.Upload.Phase.CompareAndSwap(UploadStreaming, stopped) {
		select {
		case err := <-sent:
			return &unsentError{err}
		default:
		}
		if early == nil {
			early = errEarly
		}
		return &unsentError{early}
	}
	if err := <-sent; err != nil {
		return &unsentError{err}
	}
	c.SetDeadline(time.Time{})
	return c.ctx.Err() // that it is over may just have been overwritten
}

// receive reads one answer. A 200 must prove that it is whole: by one stated length
// or complete chunks, or by an end of the connection that it has announced; not by
// two of them, of which http.ReadResponse hides one. Of a large one, or one that
// there is no room for, the rest is left to be read.
func (u *Client) receive(c *conn, method string) (*received, error) {
	for range maxInterimAnswers {
		c.stall = 0
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		// An answer that has begun and stalls would hold its request until the
		// client's time is up.
		c.stall = answerRest
		head, err := c.head()
		if err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols {
			c.SetReadDeadline(time.Time{})
			continue
		}
		if response.ContentLength > httpmsg.MaxBodyBytes {
			return nil, errLarge
		}
		if response.StatusCode != http.StatusOK {
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, httpmsg.MaxBufferedBytes+1))
			if err == nil && n > httpmsg.MaxBufferedBytes {
				err = errLarge
			}
			return &received{response: response}, err
		}
		closes := response.ProtoMinor == 0 || head.ConnectionClose
		if head.ContentLengths > 1 || head.ContentLengths == 1 && head.TransferEncoding || head.ContentLengths == 0 && !head.TransferEncoding && !closes {
			return nil, errors.New("the answer's length is not stated in one way")
		}
		c.limit.N = math.MaxInt64
		return u.hold(c, response)
	}
	return nil, errors.New("interim answers without end")
}

// hold reads an answer's body whole where that is small, and else its beginning.
func (u *Client) hold(c *conn, response *http.Response) (*received, error) {
	got := &received{response: response}
	begin := func() {
		got.rest = &BodyStream{up: u, conn: c, body: response.Body, left: httpmsg.MaxBodyBytes - int64(len(got.body))}
	}
	size := response.ContentLength
	if size < 0 {
		size = httpmsg.MaxBufferedBytes
	}
	if size > httpmsg.MaxBufferedBytes || !u.Bodies.Reserve(size) {
		// Its first byte is worth waiting for: an endpoint that fails here may still be replaced.
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		begin()
		return got, nil
	}
	got.held = func() { u.Bodies.Release(size) }
	began := time.Now()
	got.body = make([]byte, 0, size)
	for {
		n, err := response.Body.Read(got.body[len(got.body):size])
		got.body = got.body[:len(got.body)+n]
		switch {
		case err == io.EOF, err == nil && int64(len(got.body)) == response.ContentLength:
			return got, nil
		case err != nil:
			got.held()
			return nil, err
		case response.ContentLength < 0 && (int64(len(got.body)) == size || time.Since(began) >= holdFor):
			begin()
			return got, nil
		}
	}
}

var errLarge = fmt.Errorf("the answer's body is over %d bytes", httpmsg.MaxBodyBytes)

// head waits for the whole head of the next answer and looks at its bytes, which
// are left to be read.
func (c *conn) head() (httpmsg.HeadScanner, error) {
	var h httpmsg.HeadScanner
	for h.HeadSize == 0 {
		if _, err := c.reader.Peek(int(h.Size) + 1); err != nil {
			return h, err
		}
		all, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return h, err
		}
		h.Scan(all[h.Size:])
	}
	return h, nil
}
