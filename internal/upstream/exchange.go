package upstream

import (
	"context"
	"io"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// exchangeResult is a response that was read completely or, if stream is not nil, up to a point within its body.
type exchangeResult struct {
	response   *http.Response
	bodyReader io.Reader   // reads the body, in place of response.Body
	body       []byte      // the complete body or, if stream is not nil, its buffered beginning
	stream     *BodyStream // the remainder of the body; nil if body is complete
	release    func()      // releases the memory reserved for the head and body
	writtenAt  time.Time   // when the whole request or, if it has an upload, only its head was written
	reusable   bool        // whether the connection may carry another request after the response
}

// exchange writes one request on a connection and reads the response or, if the response is streamed, its beginning. It
// owns the connection until its end. If the result has a stream, the stream owns the connection from then on; otherwise
// exchange releases the connection.
func (u *Client) exchange(ctx context.Context, c *conn, request *Request, gate *Gate, stalled StallFunc) (
	result *exchangeResult, err error) {
	c.ctx, c.readLimit.N = ctx, maxResponseHeadBytes+httpmsg.MaxBufferedBytes
	stopInterrupt := c.interruptOn(ctx)
	defer func() {
		stopInterrupt()
		u.finishExchange(c, result, err)
	}()

	if err := u.sendRequest(ctx, c, request, gate); err != nil {
		return nil, err
	}
	writtenAt := time.Now()
	if request.Upload != nil {
		result, err = u.exchangeUpload(ctx, c, request, stalled)
	} else {
		result, err = u.readResponse(c, request.Method, stalled)
	}
	if err != nil {
		return nil, err
	}
	result.writtenAt = writtenAt
	return result, nil
}

// sendRequest passes the gate and writes a request. If the request has an upload, sendRequest writes only the part
// before the upload. Every error except errStaleConnection is an unsentError.
func (u *Client) sendRequest(ctx context.Context, c *conn, request *Request, gate *Gate) error {
	data, err := request.encode(ctx)
	if err != nil {
		return &unsentError{err}
	}
	// Bytes that arrived before the request is sent are not the response to this request, and must not be read as one.
	if c.used && !c.alive() {
		return errStaleConnection
	}
	if err := u.passGate(ctx, gate, c.endpoint); err != nil {
		return &unsentError{err}
	}
	if err := c.writeRequest(data); err != nil {
		return &unsentError{err}
	}
	return nil
}

// exchangeUpload sends the upload of a request and reads the response. After the upload's last byte is written, the
// client's remaining time limits the exchange.
func (u *Client) exchangeUpload(ctx context.Context, c *conn, request *Request, stalled StallFunc) (
	result *exchangeResult, err error) {
	if err := u.sendUpload(ctx, c, request); err != nil {
		return nil, err
	}
	upload := request.Upload
	upload.WrittenAt = time.Now()
	upload.OnWritten()
	responseCtx, cancel := context.WithDeadline(ctx, upload.Deadline())
	defer cancel()
	c.ctx = responseCtx
	stopInterrupt := c.interruptOn(responseCtx)
	defer func() {
		stopInterrupt()
		if err != nil && deadlinePassed(responseCtx) {
			err = errResponseTimeout
		}
	}()
	return u.readResponse(c, request.Method, stalled)
}

// finishExchange ends an exchange. It hands the connection to the result's stream or releases it. The end of the
// exchange's context must have no effect on the connection any more: the stream has no deadline but its own limits.
func (u *Client) finishExchange(c *conn, result *exchangeResult, err error) {
	reusable := err == nil && result.reusable
	if err == nil && result.stream != nil {
		deadline, _ := c.ctx.Deadline()
		c.ctx = context.Background()
		c.limitReads(readLimits{maxSilence: maxStreamSilence, notBefore: deadline})
		result.stream.reusable = reusable
		return
	}
	c.limitReads(readLimits{})
	u.release(c, reusable)
}
