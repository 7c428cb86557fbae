package upstream

import (
	"context"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// exchangeResult is a response that is complete or, if stream is not nil, has begun.
type exchangeResult struct {
	response  *http.Response
	body      []byte      // the complete body, or its buffered beginning
	stream    *BodyStream // the remainder of the body; nil if body is complete
	release   func()      // returns the memory reserved for body; nil if there is none
	writtenAt time.Time   // when the request's last byte was written, or the last one ahead of an upload
	reusable  bool        // the connection may carry another request after the response
}

// exchange writes one request on a connection and reads the response, or its beginning. It owns the connection, and
// releases it unless the result has a stream, which owns it from then on.
func (u *Client) exchange(ctx context.Context, c *conn, request *Request, gate *Gate) (
	result *exchangeResult, err error) {
	c.ctx, c.limit.N = ctx, maxResponseHeadBytes+httpmsg.MaxBufferedBytes
	stop := context.AfterFunc(ctx, c.interrupt)
	defer func() { err = u.finishExchange(ctx, c, result, err, stop) }()

	if err := u.sendRequest(ctx, c, request, gate); err != nil {
		return nil, err
	}
	writtenAt := time.Now()
	if request.Upload != nil {
		result, err = u.exchangeUpload(ctx, c, request)
	} else {
		result, err = u.readResponse(c, request.Method)
	}
	if err != nil {
		return nil, err
	}
	result.writtenAt = writtenAt
	return result, nil
}

// sendRequest passes the gate and writes a request, up to its upload if it has one. Each error but errStaleConnection
// is an unsentError.
func (u *Client) sendRequest(ctx context.Context, c *conn, request *Request, gate *Gate) error {
	data, err := request.encode(ctx)
	if err != nil {
		return &unsentError{err}
	}
	// What has come by now is no response to this request, and must not be taken for one.
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

// exchangeUpload sends the upload of a request and reads the response. From the upload's last byte on, the exchange is
// bounded by the client's remaining time.
func (u *Client) exchangeUpload(ctx context.Context, c *conn, request *Request) (result *exchangeResult, err error) {
	if err := u.sendUpload(ctx, c, request); err != nil {
		return nil, err
	}
	upload := request.Upload
	upload.WrittenAt = time.Now()
	upload.OnWritten()
	timed, cancel := context.WithDeadline(ctx, upload.Deadline())
	defer cancel()
	c.ctx = timed
	stop := context.AfterFunc(timed, c.interrupt)
	defer func() {
		if stop() {
			return
		}
		if result != nil {
			result.reusable = false
		}
		if err != nil && deadlinePassed(timed) {
			err = errResponseTimeout
		}
	}()
	return u.readResponse(c, request.Method)
}

// finishExchange ends an exchange and returns its error. It hands the connection to the result's stream, or releases
// it. stop is that of the context's interrupt: once the interrupt has begun, its deadline may be set at any later
// time, and the connection must not be used again.
func (u *Client) finishExchange(ctx context.Context, c *conn, result *exchangeResult, err error,
	stop func() bool) error {
	c.stallTimeout = 0
	stopped := stop()
	reusable := stopped && err == nil && result.reusable
	if err == nil && result.stream != nil {
		if stopped {
			result.stream.reusable = reusable
			c.ctx, c.stallTimeout = context.Background(), streamStallTimeout
			return nil
		}
		if result.release != nil {
			result.release()
		}
		err = ctx.Err()
	}
	if reusable {
		c.SetReadDeadline(time.Time{})
	}
	u.release(c, reusable)
	return err
}
