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
	maxResponseHeadBytes = 8 << 10                // bytes of an answer's head: each connection has a buffer of this size
	responseStallTimeout = 100 * time.Millisecond // without a byte of an answer that has begun: four round trips between sites
	maxInterimResponses  = 10                     // interim answers ahead of one that counts
)

// Read reads with a limit on the time without a byte, where there is one.
func (c *conn) Read(p []byte) (int, error) {
	if c.stallTimeout > 0 {
		c.SetReadDeadline(time.Now().Add(c.stallTimeout))
		if err := c.ctx.Err(); err != nil {
			return 0, err // the deadline that tells so may have been overwritten
		}
	}
	return c.Conn.Read(p)
}

// exchangeResult is an answer, whole or begun.
type exchangeResult struct {
	response  *http.Response
	body      []byte
	stream    *BodyStream
	release   func()
	writtenAt time.Time // when the request's last byte was
}

// exchange writes one request on a connection and reads the answer, or its
// beginning. It gives the connection back unless there is a rest.
func (u *Client) exchange(ctx context.Context, c *conn, m *Request, g *Gate) (got *exchangeResult, err error) {
	keep := false
	c.ctx, c.limit.N = ctx, maxResponseHeadBytes+httpmsg.MaxBufferedBytes
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) }) // wakes a read or write
	defer func() {
		c.stallTimeout = 0
		kept := stop()
		if err == nil && got.stream != nil {
			if kept {
				got.stream.reusable, c.ctx, c.stallTimeout = keep, context.Background(), streamStallTimeout
				return
			}
			if got.release != nil {
				got.release()
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
		return nil, errStaleConnection
	}
	if err := u.passGate(ctx, g, c.endpoint); err != nil {
		return nil, &unsentError{err}
	}
	if err := c.writeRequest(data); err != nil {
		return nil, &unsentError{err}
	}
	written := time.Now()
	if m.Upload != nil {
		if err := u.sendUpload(c, m); err != nil {
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
			if keep = false; err != nil && deadlinePassed(timed) {
				err = errResponseTimeout
			}
		}()
	}
	if got, err = u.readResponse(c, m.Method); err != nil {
		return nil, err
	}
	got.writtenAt = written
	// Anything beyond the answer makes the connection useless: endpoints may send
	// a second copy, or noise.
	keep = !got.response.Close && got.response.StatusCode != http.StatusSwitchingProtocols &&
		(got.stream != nil || c.reader.Buffered() == 0)
	return got, nil
}

// maxBufferedWrite is the most that a connection's buffers surely take: a write of no more does not wait for the endpoint.
const maxBufferedWrite = 4 << 10

// writeRequest writes a whole request, or fails before its last byte. The endpoint is told what the client had left
// when the write began: where it takes the rest too late for that, the request must not run.
func (c *conn) writeRequest(data []byte) error {
	last := len(data) - 1
	if len(data) <= maxBufferedWrite {
		last = 0
	}
	begun := time.Now()
	if _, err := c.Write(data[:last]); err != nil {
		return err
	}
	if time.Since(begun) > maxWriteLag {
		return errTooLate
	}
	if n, err := c.Write(data[last:]); n < len(data)-last {
		return err
	}
	return nil
}

// sendUpload passes a request's body on while it comes. Until its last byte is written
// the request never ran; an endpoint that answers before that, or ends the
// connection, has done with it.
func (u *Client) sendUpload(c *conn, m *Request) error {
	sent := make(chan error, 1)
	go func() {
		err := m.writeUpload(c)
		c.SetReadDeadline(time.Unix(1, 0)) // wakes the look below
		sent <- err
	}()
	_, early := c.reader.Peek(1)
	if m.Upload.Phase.CompareAndSwap(UploadStreaming, uploadStopped) {
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
	return c.ctx.Err() // that it is over may just have been overwritten
}

// readResponse reads one answer. A 200 must prove that it is whole: by one stated length
// or complete chunks, or by an end of the connection that it has announced; not by
// two of them, of which http.ReadResponse hides one. Of a large one, or one that
// there is no room for, the rest is left to be read.
func (u *Client) readResponse(c *conn, method string) (*exchangeResult, error) {
	for range maxInterimResponses {
		c.stallTimeout = 0
		if _, err := c.reader.Peek(1); err != nil {
			return nil, err
		}
		// An answer that has begun and stalls would hold its request until the
		// client's time is up.
		c.stallTimeout = responseStallTimeout
		head, err := c.peekHead()
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
			return nil, errBodyTooLarge
		}
		if response.StatusCode != http.StatusOK {
			n, err := io.Copy(io.Discard, io.LimitReader(response.Body, httpmsg.MaxBufferedBytes+1))
			if err == nil && n > httpmsg.MaxBufferedBytes {
				err = errBodyTooLarge
			}
			return &exchangeResult{response: response}, err
		}
		closes := response.ProtoMinor == 0 || head.ConnectionClose
		if head.ContentLengths > 1 || head.ContentLengths == 1 && head.TransferEncoding || head.ContentLengths == 0 && !head.TransferEncoding && !closes {
			return nil, errors.New("the answer's length is not stated in one way")
		}
		c.limit.N = math.MaxInt64
		return u.readBody(c, response)
	}
	return nil, errors.New("interim answers without end")
}

// readBody reads an answer's body whole where that is small, and else its beginning.
func (u *Client) readBody(c *conn, response *http.Response) (*exchangeResult, error) {
	got := &exchangeResult{response: response}
	begin := func() {
		got.stream = &BodyStream{client: u, conn: c, body: response.Body, remaining: httpmsg.MaxBodyBytes - int64(len(got.body))}
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
	got.release = func() { u.Bodies.Release(size) }
	began := time.Now()
	got.body = make([]byte, 0, size)
	for {
		n, err := response.Body.Read(got.body[len(got.body):size])
		got.body = got.body[:len(got.body)+n]
		switch {
		case err == io.EOF, err == nil && int64(len(got.body)) == response.ContentLength:
			return got, nil
		case err != nil:
			got.release()
			return nil, err
		case response.ContentLength < 0 && (int64(len(got.body)) == size || time.Since(began) >= maxBufferingTime):
			begin()
			return got, nil
		}
	}
}

var errBodyTooLarge = fmt.Errorf("the answer's body is over %d bytes", httpmsg.MaxBodyBytes)

// peekHead waits for the whole head of the next answer and looks at its bytes, which
// are left to be read.
func (c *conn) peekHead() (httpmsg.HeadScanner, error) {
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
