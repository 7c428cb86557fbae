package httpmsg

import "bytes"

// HeadScanner scans the bytes of a message for what net/http hides. Where a head has both Content-Length and
// Transfer-Encoding, net/http drops the former without an error, and what one reader takes for the body another may
// take for a request.
//
// The zero value is ready for the first byte of a message. It is not safe for concurrent use.
type HeadScanner struct {
	// ContentLengths is the number of Content-Length lines in the head.
	ContentLengths int
	// TransferEncoding reports whether the head has a Transfer-Encoding line.
	TransferEncoding bool
	// ConnectionClose reports whether the head has a line Connection: close.
	ConnectionClose bool
	// Size is the number of bytes scanned, those after the head included.
	Size int64
	// HeadSize is the size of the head in bytes, with its empty line and any ahead of it; 0 until its end was scanned.
	HeadSize int64

	line    []byte // the first bytes of the current line
	started bool   // a line that is not empty was scanned
}

var (
	contentLengthName    = []byte("content-length:")
	transferEncodingName = []byte("transfer-encoding:")
	connectionName       = []byte("connection:")
	closeOption          = []byte("close")
)

// maxLinePrefix is the number of bytes of a line that are looked at.
const maxLinePrefix = 64

// Scan scans the next bytes of the message. They may end anywhere, also within a line or after the head.
func (h *HeadScanner) Scan(p []byte) {
	start := h.Size
	h.Size += int64(len(p))
	for remaining := p; h.HeadSize == 0 && len(remaining) > 0; {
		line, after, ended := bytes.Cut(remaining, []byte("\n"))
		if free := maxLinePrefix - len(h.line); free > 0 {
			h.line = append(h.line, line[:min(free, len(line))]...)
		}
		if remaining = after; !ended {
			return
		}
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		h.scanLine(lower)
		// net/http skips empty lines ahead of a request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.HeadSize = start + int64(len(p)-len(remaining))
		}
		h.line = h.line[:0]
	}
}

// scanLine records what a line in lower case says of the message's length.
func (h *HeadScanner) scanLine(lower []byte) {
	if bytes.HasPrefix(lower, contentLengthName) {
		h.ContentLengths++
	}
	h.TransferEncoding = h.TransferEncoding || bytes.HasPrefix(lower, transferEncodingName)
	if value, ok := bytes.CutPrefix(lower, connectionName); ok {
		h.ConnectionClose = h.ConnectionClose || bytes.Contains(value, closeOption)
	}
}
