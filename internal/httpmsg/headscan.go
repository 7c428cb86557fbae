package httpmsg

import "bytes"

// HeadScanner looks at the bytes of a message for what net/http hides: where a head
// has both Content-Length and Transfer-Encoding, the former is dropped without a
// word, and what one reader takes for the body another takes for a request.
type HeadScanner struct {
	line             []byte // start of the current line
	started          bool   // a line with something on it has come
	ContentLengths   int    // Content-Length was there so often
	TransferEncoding bool   // Transfer-Encoding was there
	ConnectionClose  bool   // Connection: close was there
	Size             int64  // of all that came
	HeadSize         int64  // size at the end of the head; 0 before
}

var (
	contentLengthName    = []byte("content-length:")
	transferEncodingName = []byte("transfer-encoding:")
	connectionName       = []byte("connection:")
)

// maxLinePrefix is as much of a line as is looked at.
const maxLinePrefix = 64

func (h *HeadScanner) Scan(p []byte) {
	start := h.Size
	h.Size += int64(len(p))
	for rest := p; h.HeadSize == 0 && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		if room := maxLinePrefix - len(h.line); room > 0 {
			h.line = append(h.line, line[:min(room, len(line))]...)
		}
		if rest = after; !ended {
			return
		}
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		if bytes.HasPrefix(lower, contentLengthName) {
			h.ContentLengths++
		}
		h.TransferEncoding = h.TransferEncoding || bytes.HasPrefix(lower, transferEncodingName)
		if value, ok := bytes.CutPrefix(lower, connectionName); ok {
			h.ConnectionClose = h.ConnectionClose || bytes.Contains(value, []byte("close"))
		}
		// net/http skips empty lines ahead of a request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.HeadSize = start + int64(len(p)-len(rest))
		}
		h.line = h.line[:0]
	}
}
