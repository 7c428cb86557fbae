package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"oakproxy/balancer"
)

// recordReader reads the fields of one record in order. After the first error all reads return zero values, so that a
// record is decoded without a check after each field.
type recordReader struct {
	name   string // for errors
	offset int    // of the record in its frame
	data   []byte // the record, its header included
	pos    int    // in data, of the next byte to read
	err    error  // the first one
}

// remaining returns the number of bytes that are not read yet.
func (r *recordReader) remaining() int { return len(r.data) - r.pos }

// fail records a malformed record at the next byte to read, unless an error came before.
func (r *recordReader) fail(reason string) { r.failBack(0, reason) }

// failBack is fail for a field of size bytes that has just been read.
func (r *recordReader) failBack(size int, reason string) {
	if r.err == nil {
		r.err = &FrameError{Record: r.name, Offset: r.offset + r.pos - size, Reason: reason}
	}
}

// finish returns the first error of the record; bytes that no field accounts for are one.
func (r *recordReader) finish() error {
	if r.err == nil && r.remaining() > 0 {
		r.fail(fmt.Sprintf("%d bytes too many", r.remaining()))
	}
	return r.err
}

// bytes returns the next n bytes, which stay part of the frame, or nil after an error.
func (r *recordReader) bytes(n int) []byte {
	if r.err != nil {
		return nil
	}
	if n < 0 || r.remaining() < n {
		r.fail(fmt.Sprintf("needs %d more bytes, has %d", n, r.remaining()))
		return nil
	}
	field := r.data[r.pos : r.pos+n]
	r.pos += n
	return field
}

func (r *recordReader) u8() uint8 {
	if field := r.bytes(sizeU8); field != nil {
		return field[0]
	}
	return 0
}

func (r *recordReader) u16() uint16 {
	if field := r.bytes(sizeU16); field != nil {
		return binary.BigEndian.Uint16(field)
	}
	return 0
}

func (r *recordReader) u32() uint32 {
	if field := r.bytes(sizeU32); field != nil {
		return binary.BigEndian.Uint32(field)
	}
	return 0
}

func (r *recordReader) u64() uint64 {
	if field := r.bytes(sizeU64); field != nil {
		return binary.BigEndian.Uint64(field)
	}
	return 0
}

func (r *recordReader) f32() float32 { return math.Float32frombits(r.u32()) }

// micros reads a duration of 4 bytes.
func (r *recordReader) micros() balancer.Micros { return balancer.Micros(r.u32()) }

// status reads how an attempt or a probe ended; an unknown status is no success.
func (r *recordReader) status() balancer.Status {
	code := r.u16()
	status, known := statuses.find(code)
	if !known {
		r.failBack(sizeU16, fmt.Sprintf("unknown status %d", code))
		return balancer.EndpointError
	}
	return status
}

// loadReport reads a count of one byte and as many floating-point numbers. They overwrite buffer, or a larger one if it
// is too small.
func (r *recordReader) loadReport(buffer []float32) []float32 {
	values := r.bytes(sizeU32 * int(r.u8()))
	report := buffer[:0]
	for ; len(values) >= sizeU32; values = values[sizeU32:] {
		report = append(report, math.Float32frombits(binary.BigEndian.Uint32(values)))
	}
	return report
}
