package httpmsg

import "testing"

// The result of a HeadScanner depends neither on how the bytes are divided into calls of Scan nor on the bytes that
// follow the head.
func TestHeadScannerFindsFramingAtAnyDivision(t *testing.T) {
	for _, c := range []struct {
		name, head string
		want       HeadScanner
	}{
		{"no framing", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", HeadScanner{}},
		{"one length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", HeadScanner{ContentLengthCount: 1}},
		{"two lengths", "GET / HTTP/1.1\r\ncontent-length: 4\r\nCONTENT-LENGTH: 4\r\n\r\n",
			HeadScanner{ContentLengthCount: 2}},
		{"chunks", "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", HeadScanner{HasTransferEncoding: true}},
		{"both, lines without CR", "GET / HTTP/1.1\nContent-Length: 4\nTransfer-Encoding: chunked\n\n",
			HeadScanner{ContentLengthCount: 1, HasTransferEncoding: true}},
		{"close", "HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\n", HeadScanner{ConnectionClose: true}},
		{"keep-alive", "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n", HeadScanner{}},
		{"names within values", "GET /?content-length: HTTP/1.1\r\nX: Transfer-Encoding: a\r\n\r\n", HeadScanner{}},
		{"empty lines ahead", "\r\n\r\nGET / HTTP/1.1\r\nContent-Length: 4\r\n\r\n", HeadScanner{ContentLengthCount: 1}},
	} {
		message := c.head + "Content-Length: 9\r\n\r\n"
		for cut := range message {
			var h HeadScanner
			h.Scan([]byte(message[:cut]))
			if cut < len(c.head) && h.HeadSize != 0 {
				t.Errorf("%s: HeadSize is %d after %d of the head's %d bytes, want 0", c.name, h.HeadSize, cut, len(c.head))
			}
			h.Scan([]byte(message[cut:]))
			if h.ContentLengthCount != c.want.ContentLengthCount || h.HasTransferEncoding != c.want.HasTransferEncoding ||
				h.ConnectionClose != c.want.ConnectionClose {
				t.Errorf("%s, divided at byte %d: found %+v, want the counts and flags of %+v", c.name, cut, h, c.want)
			}
			if h.HeadSize != int64(len(c.head)) || h.Size != int64(len(message)) {
				t.Errorf("%s, divided at byte %d: HeadSize %d, Size %d; want %d, %d",
					c.name, cut, h.HeadSize, h.Size, len(c.head), len(message))
			}
		}
	}
}
