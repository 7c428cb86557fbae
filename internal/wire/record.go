package wire

import (
	"encoding/binary"
	"fmt"
	"math"

	"oakproxy/balancer"
)

// recordReader reads the fields of one record in order. After the first error, all reads return zero values, so callers
// need not check for an error after each field.
type recordReader struct {
	name   string // name of the record for error messages
	offset int    // offset of the record in bytes from the start of its frame
	data   []byte // the record including its header
	pos    int    // index in data of the next byte to read
	err    error  // the first error; nil if there is none
}

// remaining returns the number of bytes that have not been read yet.
func (r *recordReader) remaining() int { return len(r.data) - r.pos }

// fail sets err to a *FrameError at the next byte to read, unless err is already set.
func (r *recordReader) fail(reason string) { r.failAtLastField(0, reason) }

// failAtLastField is like fail, but reports the error at the start of the field that was read last, which has size
// bytes.
func (r *recordReader) failAtLastField(size int, reason string) {
	if r.err == nil {
		r.err = &FrameError{Record: r.name, Offset: r.offset + r.pos - size, Reason: reason}
	}
}

// finish must be called after all fields have been read. It returns the first error of the record; unread bytes at the
// end of the record are an error.
func (r *recordReader) finish() error {
	if r.err == nil && r.remaining() > 0 {
		r.fail(fmt.Sprintf("%d bytes too many after the last field", r.remaining()))
	}
	return r.err
}

// bytes returns the next n bytes without copying them from the frame. If fewer than n bytes remain, it sets err and
// returns nil. It also returns nil if err is already set.
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

// micros reads a duration in microseconds that is encoded in 4 bytes.
func (r *recordReader) micros() balancer.Micros { return balancer.Micros(r.u32()) }

// status reads the result of an attempt or a probe. For an unknown code, it sets err and returns
// balancer.EndpointError, so that the result never looks like success.
func (r *recordReader) status() balancer.Status {
	code := r.u16()
	status, known := statuses.find(code)
	if !known {
		r.failAtLastField(sizeU16, fmt.Sprintf("unknown status %d", code))
		return balancer.EndpointError
	}
	return status
}

// loadReport reads a load report: the number of values in one byte, followed by the values as floating-point numbers.
// It stores the values in buffer, or in a larger slice if buffer is too small.
func (r *recordReader) loadReport(buffer []float32) []float32 {
	values := r.bytes(sizeU32 * int(r.u8()))
	report := buffer[:0]
	for ; len(values) >= sizeU32; values = values[sizeU32:] {
		report = append(report, math.Float32frombits(binary.BigEndian.Uint32(values)))
	}
	return report
}
