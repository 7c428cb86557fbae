package upstream

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

const (
	// maxResponseHeadBytes is the maximum size of a response's head: each connection has a buffer of this size.
	maxResponseHeadBytes = 8 << 10

	// responseStallTimeout bounds the time without a byte of a response that has begun: four round trips between
	// sites.
	responseStallTimeout = 100 * time.Millisecond

	// maxInterimResponses bounds the 1xx responses, together with the final one.
	maxInterimResponses = 10

	// maxBufferingTime is how long a response of unknown length is buffered before it is streamed.
	maxBufferingTime = 20 * time.Millisecond
)

// Responses that are malformed or exceed a limit. The outcome is a reset.
var (
	errBodyTooLarge    = fmt.Errorf("the response body is over %d bytes", httpmsg.MaxBodyBytes)
	errFraming         = errors.New("the response does not state its length in exactly one way")
	errInterimOverflow = fmt.Errorf("no final response among the first %d", maxInterimResponses)
)

// readResponse reads one response. The body of a 200 response is buffered if it is small and there is memory for it;
// else the result has a stream for the remainder.
func (u *Client) readResponse(c *conn, method string) (*exchangeResult, error) {
	response, head, err := c.readHead(method)
	if err != nil {
		return nil, err
	}
	if response.ContentLength > httpmsg.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	result := &exchangeResult{response: response}
	if response.StatusCode != http.StatusOK {
		err = discardBody(response)
	} else if !isFramedOnce(response, head) {
		err = errFraming
	} else {
		c.limit.N = math.MaxInt64
		err = u.readBody(c, result)
	}
	if err != nil {
		return nil, err
	}
	// Endpoints may send a duplicate of the response, or noise: what follows a response makes its connection unusable.
	result.reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols &&
		(result.stream != nil || c.reader.Buffered() == 0)
	return result, nil
}

// readHead reads the head of the next final response, after any interim ones.
func (c *conn) readHead(method string) (response *http.Response, head httpmsg.HeadScanner, err error) {
	for range maxInterimResponses {
		c.stallTimeout = 0
		if _, err = c.reader.Peek(1); err != nil {
			return nil, head, err
		}
		// A response that has begun and stalls would hold its request until the
		// client's time is up.
		c.stallTimeout = responseStallTimeout
		if head, err = c.peekHead(); err != nil {
			return nil, head, err
		}
		if response, err = http.ReadResponse(c.reader, &http.Request{Method: method}); err != nil {
			return nil, head, err
		}
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, head, nil
		}
		c.SetReadDeadline(time.Time{})
	}
	return nil, head, errInterimOverflow
}

// peekHead waits for the complete head of the next response and scans it. Its bytes stay to be read.
func (c *conn) peekHead() (httpmsg.HeadScanner, error) {
	var head httpmsg.HeadScanner
	for head.HeadSize == 0 {
		if _, err := c.reader.Peek(int(head.Size) + 1); err != nil {
			return head, err
		}
		buffered, err := c.reader.Peek(c.reader.Buffered())
		if err != nil {
			return head, err
		}
		head.Scan(buffered[head.Size:])
	}
	return head, nil
}

// isFramedOnce reports whether the end of a response's body can be told in exactly one way: by one stated length, by
// complete chunks, or by an end of the connection that it has announced. Of two of them, http.ReadResponse hides one.
func isFramedOnce(response *http.Response, head httpmsg.HeadScanner) bool {
	switch {
	case head.ContentLengths > 1:
		return false
	case head.ContentLengths == 1:
		return !head.TransferEncoding
	}
	return head.TransferEncoding || response.ProtoMinor == 0 || head.ConnectionClose
}

// discardBody reads the body of a response that is not forwarded.
func discardBody(response *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, httpmsg.MaxBufferedBytes+1))
	if err == nil && n > httpmsg.MaxBufferedBytes {
		err = errBodyTooLarge
	}
	return err
}

// readBody buffers a response's body if it is small and there is memory for it. Else, or where a body of unknown
// length turns out to be large or slow, it leaves the remainder to a stream.
func (u *Client) readBody(c *conn, result *exchangeResult) error {
	length := result.response.ContentLength
	size := length
	if size < 0 {
		size = httpmsg.MaxBufferedBytes
	}
	if size > httpmsg.MaxBufferedBytes || !u.BodyMemory.Reserve(size) {
		// Its first byte is awaited: after an endpoint that fails before it, the request may still be retried.
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		result.stream = newBodyStream(u.pool, c, result)
		return nil
	}
	result.release = func() { u.BodyMemory.Release(size) }
	start := time.Now()
	body := make([]byte, 0, size)
	for {
		n, err := result.response.Body.Read(body[len(body):size])
		body = body[:len(body)+n]
		result.body = body
		switch {
		case err == io.EOF, err == nil && int64(len(body)) == length:
			return nil
		case err != nil:
			result.release()
			return err
		case length < 0 && (int64(len(body)) == size || time.Since(start) >= maxBufferingTime):
			result.stream = newBodyStream(u.pool, c, result)
			return nil
		}
	}
}
