package httpmsg

import "bytes"

// HeadScanner scans the bytes of a message for information that net/http hides. If a head has both Content-Length and
// Transfer-Encoding, net/http drops Content-Length without an error. A program that uses Content-Length instead
// disagrees with net/http about where the body ends. One of the two may then read a part of the body as another
// message.
//
// The zero value is ready for the first byte of a message. A HeadScanner is not safe for concurrent use.
type HeadScanner struct {
	// ContentLengthCount is the number of Content-Length lines in the head.
	ContentLengthCount int
	// HasTransferEncoding is true if the head has a Transfer-Encoding line.
	HasTransferEncoding bool
	// ConnectionClose is true if the head has a line Connection: close.
	ConnectionClose bool
	// Size is the number of bytes scanned, including those after the head.
	Size int64
	// HeadSize is the size of the head in bytes. It includes the empty line that ends the head and any empty lines
	// before the head. It is 0 until the end of the head has been scanned.
	HeadSize int64
	// LineCount is the number of complete lines in the head.
	LineCount int64
	// HasTrailer is true if the head has a Trailer line, which announces a list of names.
	HasTrailer bool
	// CommaCount is the number of commas in the head.
	CommaCount int64

	line    []byte // the first bytes of the current line, at most maxLinePrefix
	started bool   // whether a line that is not empty was scanned
}

// What scanLine looks for in a line, in lower case.
var (
	contentLengthName    = []byte("content-length:")
	transferEncodingName = []byte("transfer-encoding:")
	connectionName       = []byte("connection:")
	trailerName          = []byte("trailer:")
	closeOption          = []byte("close")
)

// maxLinePrefix is the number of bytes at the beginning of a line that are examined.
const maxLinePrefix = 64

// Scan scans the next bytes of the message. The bytes may end anywhere, such as within a line or after the head.
func (h *HeadScanner) Scan(p []byte) {
	start := h.Size
	h.Size += int64(len(p))
	for remaining := p; h.HeadSize == 0 && len(remaining) > 0; {
		line, after, ended := bytes.Cut(remaining, []byte("\n"))
		h.CommaCount += int64(bytes.Count(line, []byte(",")))
		if free := maxLinePrefix - len(h.line); free > 0 {
			h.line = append(h.line, line[:min(free, len(line))]...)
		}
		if remaining = after; !ended {
			return
		}
		h.LineCount++
		lower := bytes.ToLower(bytes.TrimSuffix(h.line, []byte("\r")))
		h.scanLine(lower)
		// An empty line ends the head, but only after a line that is not empty: net/http skips empty lines before a
		// request.
		if len(lower) > 0 {
			h.started = true
		} else if h.started {
			h.HeadSize = start + int64(len(p)-len(remaining))
		}
		h.line = h.line[:0]
	}
}

// Memory in bytes that net/http uses for a head: each line, and each name of a list of trailers, may become an entry of
// a map.
const (
	memoryPerHeadByte  = 2
	memoryPerHeadEntry = 128
)

// Memory returns an upper estimate of the memory, in bytes, that net/http uses for the part of the head that was
// scanned.
func (h *HeadScanner) Memory() int64 {
	size, entries := h.Size, h.LineCount
	if h.HeadSize > 0 {
		size = h.HeadSize
	}
	if h.HasTrailer {
		entries += h.CommaCount
	}
	return size*memoryPerHeadByte + entries*memoryPerHeadEntry
}

// scanLine records what a line of the head says about how the end of the body is determined. The line must be in lower
// case.
func (h *HeadScanner) scanLine(lower []byte) {
	if bytes.HasPrefix(lower, contentLengthName) {
		h.ContentLengthCount++
	}
	h.HasTrailer = h.HasTrailer || bytes.HasPrefix(lower, trailerName)
	h.HasTransferEncoding = h.HasTransferEncoding || bytes.HasPrefix(lower, transferEncodingName)
	if value, ok := bytes.CutPrefix(lower, connectionName); ok {
		h.ConnectionClose = h.ConnectionClose || bytes.Contains(value, closeOption)
	}
}
