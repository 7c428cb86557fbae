package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"oakproxy/balancer"
)

// Decoder reads the records of batches. It caches the numbered endpoint lists, which outlive a batch. A Decoder is for
// one goroutine.
type Decoder struct {
	frame        []byte
	pos          int // in frame, of the next record
	record       recordReader
	lists        endpointLists
	reportBuffer []float32 // backs the load report of the event decoded last
}

// Reset starts on a frame from ReadFrame and returns its batch number and clock. Events refer to the frame's bytes.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, headerError(len(frame), "shorter than a header")
	}
	if size := int(binary.BigEndian.Uint32(frame[frameSizeOffset:])); size != len(frame) {
		return 0, 0, headerError(frameSizeOffset, fmt.Sprintf("size %d but %d bytes", size, len(frame)))
	}
	d.frame, d.pos = frame, batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[clockOffset:])), nil
}

// Next decodes one record into e. It returns io.EOF after the last one, and a *FrameError for a malformed one: the
// frame is then of no more use. A record of an unknown code is returned with its code and offset alone.
func (d *Decoder) Next(e *Event) error {
	if d.pos == len(d.frame) {
		return io.EOF
	}
	code, err := d.nextRecord()
	if err != nil {
		return err
	}
	e.Code, e.Offset = code, d.record.offset
	d.decodeFields(e)
	return d.record.finish()
}

// nextRecord moves on to the next record and reads its header.
func (d *Decoder) nextRecord() (EventCode, error) {
	d.record = recordReader{name: "record", offset: d.pos}
	remaining := len(d.frame) - d.pos
	if remaining < recordHeaderSize {
		d.record.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderSize, remaining))
		return 0, d.record.err
	}
	code := EventCode(d.frame[d.pos])
	d.record.name = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.pos+recordSizeOffset:]))
	if size > remaining-recordHeaderSize {
		d.record.pos = recordSizeOffset
		d.record.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left",
			size, remaining-recordHeaderSize))
		return 0, d.record.err
	}
	end := d.pos + recordHeaderSize + size
	d.record.data, d.record.pos = d.frame[d.pos:end], recordHeaderSize
	d.pos = end
	return code, nil
}

// decodeFields reads the fields of the current record. It calls the methods directly: were they called through a table
// of functions, the callers' events would escape to the heap.
func (d *Decoder) decodeFields(e *Event) {
	switch r := &d.record; e.Code {
	case Begin:
		r.begin(e)
	case Manifest:
		d.lists.manifest(r)
	case Membership:
		d.lists.membership(r, e)
	case Request:
		r.request(&e.Request)
	case Headers:
		r.headers(&e.Outcome)
	case Answer:
		r.answer(&e.Outcome, d.reportBuffer)
		d.reportBuffer = e.Outcome.LoadReport
	case CancelledByClient:
		e.Outcome.ID = r.u64()
	case TimeoutFired:
		e.TimerToken = r.u32()
	case HealthResult:
		r.healthResult(e, d.reportBuffer)
		d.reportBuffer = e.LoadReport
	case Whisper:
		r.whisper(e)
	case Stop:
	case Instance:
		e.Instance = r.u32()
	default:
		r.pos = len(r.data)
	}
}
