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
	// maxResponseHeadBytes is the maximum size of a response's head. Each connection has a read buffer of this size.
	maxResponseHeadBytes = 8 << 10

	// responseStallTimeout limits how long a read of a response that has begun waits for a byte. It equals four round
	// trips between sites.
	responseStallTimeout = 100 * time.Millisecond

	// maxResponsesPerRequest is the maximum number of responses to one request: interim (1xx) responses and the final one.
	maxResponsesPerRequest = 10

	// maxBufferingTime is how long a response of unknown length is buffered before it is streamed.
	maxBufferingTime = 20 * time.Millisecond
)

// Errors of responses that are malformed or exceed a limit. The status of the attempt is then balancer.Reset.
var (
	errBodyTooLarge = fmt.Errorf("the response body is too large; the limit of a forwarded body is %d bytes",
		httpmsg.MaxBodyBytes)
	errAmbiguousFraming = errors.New("the response does not define the end of its body in exactly one way")
	errNoHeadMemory     = errors.New("there is no memory for the head of the response")
	errTooManyInterim   = fmt.Errorf("no final response among the first %d responses", maxResponsesPerRequest)
)

// readResponse reads one response. The body of a 200 response is buffered if it is small and the memory budget allows
// it. Otherwise the result has a stream for the remainder.
func (u *Client) readResponse(c *conn, method string) (_ *exchangeResult, err error) {
	response, head, err := c.readHead(method, &u.Memory.Heads)
	if err != nil {
		return nil, err
	}
	result := &exchangeResult{response: response, bodyReader: newBodyReader(response, c.reader),
		release: func() { u.Memory.Heads.Release(httpmsg.HeadReservation(&head)) }}
	defer func() {
		if err != nil {
			result.release()
		}
	}()
	if response.ContentLength > httpmsg.MaxBodyBytes {
		return nil, errBodyTooLarge
	}
	if response.StatusCode != http.StatusOK {
		err = discardBody(result.bodyReader)
	} else if !hasUnambiguousFraming(response, head) {
		err = errAmbiguousFraming
	} else {
		c.readLimit.N = math.MaxInt64
		err = u.readBody(c, result)
	}
	if err != nil {
		return nil, err
	}
	// Endpoints may send a duplicate of the response, or other excess bytes. A connection on which bytes follow the
	// response is not used again.
	result.reusable = !response.Close && response.StatusCode != http.StatusSwitchingProtocols &&
		(result.stream != nil || c.reader.Buffered() == 0)
	return result, nil
}

// readHead reads the head of the next final response. It skips the interim responses before the final one. It reserves
// the memory of the head, which the caller must release unless readHead returns an error.
func (c *conn) readHead(method string, memory *httpmsg.MemoryBudget) (
	response *http.Response, head httpmsg.HeadScanner, err error) {
	for range maxResponsesPerRequest {
		c.stallTimeout = 0
		if _, err = c.reader.Peek(1); err != nil {
			return nil, head, err
		}
		// Without a timeout, a response that stalls after its first byte would delay
		// its request until the client's time is up.
		c.stallTimeout = responseStallTimeout
		if head, err = c.peekHead(); err != nil {
			return nil, head, err
		}
		reserved := httpmsg.HeadReservation(&head)
		if !memory.Reserve(reserved) {
			return nil, head, errNoHeadMemory
		}
		if response, err = http.ReadResponse(c.reader, &http.Request{Method: method}); err != nil {
			memory.Release(reserved)
			return nil, head, err
		}
		response.Trailer = nil // trailers are not forwarded
		if response.StatusCode >= http.StatusOK || response.StatusCode == http.StatusSwitchingProtocols {
			return response, head, nil
		}
		memory.Release(reserved)
		c.SetReadDeadline(time.Time{})
	}
	return nil, head, errTooManyInterim
}

// peekHead waits for the complete head of the next response and scans it. The bytes of the head remain in c.reader.
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

// hasUnambiguousFraming reports whether a response defines the end of its body in exactly one way: by one
// Content-Length, by Transfer-Encoding, or by closing the connection. The use of HTTP/1.0 or a line "Connection: close"
// announces that the connection will be closed. The scanned head is needed because http.ReadResponse hides one of the
// definitions if there are two.
func hasUnambiguousFraming(response *http.Response, head httpmsg.HeadScanner) bool {
	switch {
	case head.ContentLengthCount > 1:
		return false
	case head.ContentLengthCount == 1:
		return !head.HasTransferEncoding
	}
	return head.HasTransferEncoding || response.ProtoMinor == 0 || head.ConnectionClose
}

// discardBody reads and discards the body of a response that is not forwarded. It fails if the body is larger than
// httpmsg.MaxBufferedBytes.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, httpmsg.MaxBufferedBytes+1))
	if err == nil && n > httpmsg.MaxBufferedBytes {
		err = errBodyTooLarge
	}
	return err
}

// readBody buffers a response's body if it is small and the memory budget allows it. Otherwise it leaves the whole body
// to a stream. If a body of unknown length turns out to be large or slow, it leaves the remainder to a stream.
func (u *Client) readBody(c *conn, result *exchangeResult) error {
	length := result.response.ContentLength
	size := length
	if size < 0 {
		size = httpmsg.MaxBufferedBytes
	}
	if size > httpmsg.MaxBufferedBytes || !u.Memory.Bodies.Reserve(size) {
		// Wait for the body's first byte: if the endpoint fails before that byte, the request may still be retried.
		if _, err := c.reader.Peek(1); err != nil {
			return err
		}
		result.stream = newBodyStream(u.pool, c, result)
		return nil
	}
	releaseHead := result.release
	result.release = func() {
		releaseHead()
		u.Memory.Bodies.Release(size)
	}
	start := time.Now()
	body := make([]byte, 0, size)
	for {
		n, err := result.bodyReader.Read(body[len(body):size])
		body = body[:len(body)+n]
		result.body = body
		switch {
		case err == io.EOF, err == nil && int64(len(body)) == length:
			return nil
		case err != nil:
			return err
		case length < 0 && (int64(len(body)) == size || time.Since(start) >= maxBufferingTime):
			result.stream = newBodyStream(u.pool, c, result)
			return nil
		}
	}
}
