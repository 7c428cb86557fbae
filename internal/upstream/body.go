package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
)

// Limits on the framing of a chunked body, in bytes. Both must be less than the size of a connection's read buffer.
const (
	maxChunkLineBytes   = 4 << 10 // a line with the size of a chunk, extensions included
	maxTrailerLineBytes = 4 << 10 // a line of the trailers
	maxTrailerBytes     = 8 << 10 // all trailers

	// usualChunkOverhead is what the size of a chunk and its line ends may take. What extensions take beyond that and twice
	// the data is limited to maxChunkOverhead for the whole body, as by net/http.
	usualChunkOverhead = 16
	maxChunkOverhead   = 16 << 10
)

// errMalformedChunk is the error of a chunked body that does not have the form that HTTP/1.1 requires.
var errMalformedChunk = errors.New("malformed chunked body")

// newBodyReader returns a reader of the body of a response whose head was read from reader.
//
// The reader has two properties that the bodies of net/http lack. It returns what has arrived: it waits only if no byte
// of the body has arrived, even within a chunk. And an error of the connection that passes, such as the deadline of a
// read, does not end the body: a later read continues where the earlier one stopped.
func newBodyReader(response *http.Response, reader *bufio.Reader) io.Reader {
	switch {
	case len(response.TransferEncoding) > 0: // net/http accepts chunked only
		return &chunkedBody{reader: reader}
	case response.ContentLength >= 0:
		return &fixedBody{reader: reader, remaining: response.ContentLength}
	}
	return reader // the end of the connection is the end of the body
}

// fixedBody is a body whose length is known.
type fixedBody struct {
	reader    *bufio.Reader
	remaining int64 // bytes that were not read yet
}

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection ends before the body.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunked coding.
type chunkedBody struct {
	reader    *bufio.Reader
	state     chunkState
	remaining uint64 // bytes of the current chunk that were not read yet
	overhead  int64  // bytes of the coding beyond what is usual for the data so far
	trailers  []byte // the lines of the trailers that were read
}

// chunkState is the part of a chunked body that is read next.
type chunkState uint8

const (
	chunkSize    chunkState = iota // the line with the size of a chunk
	chunkData                      // the data of a chunk
	chunkDataEnd                   // the line end after the data
	chunkTrailer                   // the trailers, which an empty line ends
	chunkedEnd                     // nothing: the body was read completely
)

// Read implements io.Reader. It returns io.ErrUnexpectedEOF if the connection ends before the body, and errMalformedChunk
// if the coding is not valid.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	for len(p) > 0 && err == nil {
		if b.state == chunkedEnd {
			err = io.EOF
		} else if n > 0 && !b.canContinue() {
			return n, nil
		} else if b.state == chunkData {
			var read int
			read, err = b.readData(p)
			n, p = n+read, p[read:]
		} else {
			err = b.readLine()
		}
	}
	if n > 0 {
		return n, nil // the next call returns the error again
	}
	return 0, err
}

// canContinue reports whether the next step needs no byte that has not arrived.
func (b *chunkedBody) canContinue() bool {
	buffered, _ := b.reader.Peek(b.reader.Buffered())
	if b.state == chunkData {
		return len(buffered) > 0
	}
	return bytes.IndexByte(buffered, '\n') >= 0
}

// readData reads data of the current chunk.
func (b *chunkedBody) readData(p []byte) (int, error) {
	n, err := b.reader.Read(p[:min(uint64(len(p)), b.remaining)])
	if b.remaining -= uint64(n); b.remaining == 0 {
		b.state = chunkDataEnd
	}
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// readLine reads a line of the coding and changes the state accordingly. It consumes nothing unless the complete line has
// arrived.
func (b *chunkedBody) readLine() error {
	limit := maxChunkLineBytes
	if b.state == chunkTrailer {
		limit = maxTrailerLineBytes
	}
	line, err := peekLine(b.reader, limit)
	if err != nil {
		return err
	}
	if err := b.parseLine(bytes.TrimSuffix(line, []byte("\r\n"))); err != nil {
		return err
	}
	_, err = b.reader.Discard(len(line))
	return err
}

// parseLine changes the state according to a line of the coding, which is given without its end.
func (b *chunkedBody) parseLine(line []byte) error {
	switch b.state {
	case chunkSize:
		size, err := parseChunkSize(line)
		if err != nil {
			return err
		}
		b.remaining, b.state = size, chunkData
		if size == 0 {
			b.state = chunkTrailer
		}
		b.overhead = max(0, b.overhead+int64(len(line)+len("\r\n"))-usualChunkOverhead-2*int64(size))
		if b.overhead > maxChunkOverhead {
			return fmt.Errorf("%w: the extensions are too long", errMalformedChunk)
		}
	case chunkDataEnd:
		if len(line) > 0 {
			return errMalformedChunk
		}
		b.state = chunkSize
	case chunkTrailer:
		b.trailers = append(append(b.trailers, line...), "\r\n"...)
		if len(b.trailers) > maxTrailerBytes {
			return fmt.Errorf("%w: the trailers are too long", errMalformedChunk)
		}
		if len(line) > 0 {
			return nil
		}
		if err := checkTrailers(b.trailers); err != nil {
			return err
		}
		b.state = chunkedEnd
	}
	return nil
}

// checkTrailers returns an error unless the trailers, which are not forwarded, are well-formed. An empty line ends them.
func checkTrailers(trailers []byte) error {
	if _, err := textproto.NewReader(bufio.NewReader(bytes.NewReader(trailers))).ReadMIMEHeader(); err != nil {
		return fmt.Errorf("%w: trailers: %w", errMalformedChunk, err)
	}
	return nil
}

// peekLine waits until a complete line has arrived and returns it with its end, without consuming it. The line must end
// with CRLF and have at most limit bytes.
func peekLine(reader *bufio.Reader, limit int) ([]byte, error) {
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		if end := bytes.IndexByte(buffered, '\n'); end >= 0 {
			if end == 0 || bytes.IndexByte(buffered, '\r') != end-1 {
				return nil, fmt.Errorf("%w: a line does not end with CRLF", errMalformedChunk)
			}
			return buffered[:end+1], nil
		}
		if len(buffered) >= limit {
			return nil, fmt.Errorf("%w: a line is too long", errMalformedChunk)
		}
		if _, err := reader.Peek(len(buffered) + 1); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// maxChunkSizeDigits is the maximum number of digits of the size of a chunk.
const maxChunkSizeDigits = 16

// parseChunkSize parses the line that begins a chunk: the size in hexadecimal digits, and extensions, which are ignored.
func parseChunkSize(line []byte) (uint64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(string(digits), 16, 63) // with a base, it accepts digits only
	if err != nil || len(digits) > maxChunkSizeDigits {
		return 0, errMalformedChunk
	}
	return size, nil
}
