package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Sizes of fields and headers in bytes.
const (
	sizeU8  = 1
	sizeU16 = 2
	sizeU32 = 4
	sizeU64 = 8

	batchHeaderSize  = sizeU32 + sizeU32 + sizeU64 // batch number, frame size, clock
	replyHeaderSize  = sizeU32 + sizeU32 + sizeU32 // batch number, frame size, number of records
	recordHeaderSize = sizeU8 + sizeU32            // code, size of the fields
)

// Offsets of header fields.
const (
	frameSizeOffset  = 4 // in a batch header and in a reply header
	clockOffset      = 8 // in a batch header
	countOffset      = 8 // in a reply header
	recordSizeOffset = 1 // in a record header
)

// Bounds on the memory that a frame may claim, in bytes.
const (
	maxFrameSize      = 1 << 30
	initialBufferSize = 1 << 16
	readStep          = 1 << 20 // read at once, so that a size alone claims no memory
)

// FrameError says which record is malformed and at which byte of its frame.
type FrameError struct {
	Record string // the protocol's name of the record, or the part of the frame
	Offset int    // in bytes from the start of the frame
	Reason string
}

// Error names the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

func headerError(offset int, reason string) error {
	return &FrameError{Record: "batch header", Offset: offset, Reason: reason}
}

// ReadFrame reads the frame of one batch and returns it, in buf or, if buf is too small, in a larger buffer.
// ReadFrame returns io.EOF only at a clean end of input, and a *FrameError for a frame that is cut off or whose size is
// out of range.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderSize {
		buf = make([]byte, initialBufferSize)
	}
	buf = buf[:batchHeaderSize]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, headerError(n, "input ends inside it")
	}
	size := int(binary.BigEndian.Uint32(buf[frameSizeOffset:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, headerError(frameSizeOffset, fmt.Sprintf("frame size %d is out of range", size))
	}
	return readBody(r, buf, size)
}

// readBody reads what follows the header in buf until the frame has size bytes. The buffer grows as bytes arrive.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	for len(buf) < size {
		read := len(buf)
		end := read + min(size-read, readStep)
		if cap(buf) < end {
			grown := make([]byte, read, max(end, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:end]
		if n, err := io.ReadFull(r, buf[read:]); err != nil {
			return nil, &FrameError{Record: "batch", Offset: read + n,
				Reason: fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
	}
	return buf, nil
}
