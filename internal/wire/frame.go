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

	batchHeaderSize  = sizeU32 + sizeU32 + sizeU64 // batch number, frame size, current time
	replyHeaderSize  = sizeU32 + sizeU32 + sizeU32 // batch number, frame size, number of records
	recordHeaderSize = sizeU8 + sizeU32            // code, size of the fields
)

// Offsets of header fields in bytes from the start of the header.
const (
	frameSizeOffset   = 4 // in a batch header and in a reply header
	clockOffset       = 8 // in a batch header
	recordCountOffset = 8 // in a reply header
	recordSizeOffset  = 1 // in a record header
)

// Sizes that determine how much memory is used to read a frame, in bytes.
const (
	maxFrameSize      = 1 << 30 // size of the largest frame that is accepted
	initialBufferSize = 1 << 16 // size of the first buffer
	// readChunkSize is the largest number of bytes read at once. The buffer grows only as bytes arrive, so a header with
	// a false frame size does not by itself cause a large allocation.
	readChunkSize = 1 << 20
)

// FrameError is the error for malformed input. It says which record is malformed, where and why.
type FrameError struct {
	Record string // the protocol's name for the record, or the name of the malformed part of the frame
	Offset int    // position of the error in bytes from the start of the frame
	Reason string // what is wrong
}

// Error returns a message with the record, the byte offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

func batchHeaderError(offset int, reason string) error {
	return &FrameError{Record: "batch header", Offset: offset, Reason: reason}
}

// ReadFrame reads the frame of one batch and returns it. The result uses the memory of buf, or a larger buffer if buf
// is too small. ReadFrame returns io.EOF only if the input ends before the first byte of a frame. It returns a
// *FrameError for a truncated frame and for a frame whose size is out of range.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderSize {
		buf = make([]byte, initialBufferSize)
	}
	buf = buf[:batchHeaderSize]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, batchHeaderError(n, "input ends inside the header")
	}
	size := int(binary.BigEndian.Uint32(buf[frameSizeOffset:]))
	if size < batchHeaderSize || size > maxFrameSize {
		return nil, batchHeaderError(frameSizeOffset, fmt.Sprintf("frame size of %d bytes is out of range", size))
	}
	return readBody(r, buf, size)
}

// readBody reads the rest of a frame of size bytes whose header is in buf, and returns the whole frame. The buffer
// grows as bytes arrive.
func readBody(r io.Reader, buf []byte, size int) ([]byte, error) {
	for len(buf) < size {
		filled := len(buf)
		newLen := filled + min(size-filled, readChunkSize)
		if cap(buf) < newLen {
			grown := make([]byte, filled, max(newLen, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:newLen]
		if n, err := io.ReadFull(r, buf[filled:]); err != nil {
			return nil, &FrameError{Record: "batch", Offset: filled + n,
				Reason: fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
	}
	return buf, nil
}
