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
	// readBufferBytes is the size of the read buffer of each connection.
	readBufferBytes = 8 << 10

	// maxResponseHeadBytes is the maximum size of a response's head, as of a request's. For a head beyond readBufferBytes,
	// the connection gets a larger buffer.
	maxResponseHeadBytes = 32 << 10

	// maxInterimResponses is the maximum number of interim (1xx) responses before the final one.
	maxInterimResponses = 1024

	// maxBufferingTime is how long a response of unknown length is buffered before it is streamed.
	maxBufferingTime = 20 * time.Millisecond
)

// Errors of responses that are malformed or exceed a limit. The status of the attempt is then balancer.Reset.
var (
	errBodyTooLarge = fmt.Errorf("the response body is too large; the limit of a forwarded body is %d bytes",
		httpmsg.MaxBodyBytes)
	errAmbiguousFraming = errors.New("the response does not define the end of its body in exactly one way")
	errNoHeadMemory     = errors.New("there is no memory for the head of the response")
	errTooManyInterim   = fmt.Errorf("no final response after %d interim responses", maxInterimResponses)
)

// readResponse reads one response. The body of a 200 response is buffered if it is small and the memory budget allows
// it. Otherwise the result has a stream for the remainder. stalled may be nil; see stallMonitor.
func (u *Client) readResponse(c *conn, method string, stalled StallFunc) (_ *exchangeResult, err error) {
	monitor := &stallMonitor{conn: c, stalled: stalled}
	response, head, err := readHead(monitor, method, &u.Memory.Heads)
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
		err = discardBody(monitor, result.bodyReader)
	} else if !hasUnambiguousFraming(response, head) {
		err = errAmbiguousFraming
	} else {
		c.readLimit.N = math.MaxInt64
		err = u.readBody(monitor, result)
	}
	if err != nil {
		return nil, err
	}
	// Endpoints may send a duplicate of the response, or other excess bytes. A connection on which bytes follow the
	// response is not used again.
	result.reusable = !response.Close && c.enlargedFrom == nil && response.StatusCode != http.StatusSwitchingProtocols &&
		(result.stream != nil || c.reader.Buffered() == 0)
	return result, nil
}

// readHead reads the head of the next final response. It skips the interim responses before the final one. It reserves
// the memory of the head, which the caller must release unless readHead returns an error.
func readHead(monitor *stallMonitor, method string, memory *httpmsg.MemoryBudget) (
	response *http.Response, head httpmsg.HeadScanner, err error) {
	c := monitor.conn
	for range maxInterimResponses + 1 {
		c.readLimit.N = maxResponseHeadBytes + httpmsg.MaxBufferedBytes
		c.limitReads(readLimits{}) // until the response begins, only the deadline of the attempt limits the wait
		if _, err = c.reader.Peek(1); err != nil {
			return nil, head, err
		}
		if head, err = peekHead(monitor, memory); err != nil {
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
	}
	return nil, head, errTooManyInterim
}

// peekHead waits for the complete head of the next response and scans it. The bytes of the head remain in the
// connection's reader.
func peekHead(monitor *stallMonitor, memory *httpmsg.MemoryBudget) (httpmsg.HeadScanner, error) {
	c := monitor.conn
	var head httpmsg.HeadScanner
	for head.HeadSize == 0 {
		if int(head.Size) == readBufferBytes && !c.enlargeReader(memory) {
			return head, errNoHeadMemory
		}
		if err := monitor.await(int(head.Size) + 1); err != nil {
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
func discardBody(monitor *stallMonitor, body io.Reader) error {
	limited := &io.LimitedReader{R: &awaitingReader{monitor, body}, N: httpmsg.MaxBufferedBytes + 1}
	_, err := io.Copy(io.Discard, limited)
	if err == nil && limited.N <= 0 {
		err = errBodyTooLarge
	}
	return err
}

// awaitingReader reads a body. It goes on after a silence of the endpoint for as long as its monitor waits.
type awaitingReader struct {
	monitor *stallMonitor
	body    io.Reader
}

// Read implements io.Reader. Its error is errRelayNow if the rest of the body must be relayed.
func (r *awaitingReader) Read(p []byte) (int, error) {
	for {
		r.monitor.conn.limitReads(r.monitor.limits())
		n, err := r.body.Read(p)
		if n > 0 || !r.monitor.hasStalled(err) {
			return n, err
		}
		if err := r.monitor.decide(); err != nil {
			return 0, err
		}
	}
}

// readBody buffers a response's body if it is small and the memory budget allows it. Otherwise it leaves the whole body
// to a stream. If a body of unknown length turns out to be large or slow, it leaves the remainder to a stream.
func (u *Client) readBody(monitor *stallMonitor, result *exchangeResult) error {
	length := result.response.ContentLength
	size := length
	if size < 0 {
		size = httpmsg.MaxBufferedBytes
	}
	if size > httpmsg.MaxBufferedBytes || !u.Memory.Bodies.Reserve(size) {
		// Wait for the body's first byte: if the endpoint fails before that byte, the request may still be retried.
		if err := monitor.await(1); err != nil {
			return err
		}
		result.stream = newBodyStream(u.pool, monitor.conn, result)
		return nil
	}
	releaseHead := result.release
	result.release = func() {
		releaseHead()
		u.Memory.Bodies.Release(size)
	}
	complete, err := bufferBody(monitor, result, make([]byte, 0, size))
	if err == nil && !complete {
		result.stream = newBodyStream(u.pool, monitor.conn, result)
	}
	return err
}

// bufferBody reads a body into the capacity of buffer and sets result.body. It reports whether the body is complete; if
// not, the rest must be relayed. That happens only if the length is unknown: such a body is buffered for
// maxBufferingTime from its first byte.
func bufferBody(monitor *stallMonitor, result *exchangeResult, buffer []byte) (complete bool, err error) {
	length := result.response.ContentLength
	var from io.Reader = &awaitingReader{monitor, result.bodyReader}
	var bufferUntil time.Time
	for {
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		result.body = buffer
		switch {
		case err == io.EOF, err == nil && int64(len(buffer)) == length:
			return true, nil
		case errors.Is(err, errRelayNow):
			return false, nil
		case err != nil:
			return false, err
		case length >= 0:
			continue
		case len(buffer) == cap(buffer), monitor.kept:
			return false, nil
		case bufferUntil.IsZero():
			bufferUntil = time.Now().Add(maxBufferingTime)
			monitor.relayFrom = bufferUntil
		case !time.Now().Before(bufferUntil):
			return false, nil
		}
	}
}
