package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"oakproxy/balancer"
)

// Decoder reads the event records of batches. It caches the endpoint lists of manifest records, which remain valid in
// later batches. A Decoder must not be used by several goroutines at the same time.
type Decoder struct {
	frame        []byte
	pos          int          // index in frame of the next record
	record       recordReader // the current record
	lists        endpointLists
	reportBuffer []float32 // load report decoded last; its memory is reused
}

// Reset starts decoding a frame from ReadFrame and returns the batch number and the current time in the frame's header.
// Decoded events may refer to the bytes of the frame, so the caller must not overwrite the frame while it uses the
// events.
func (d *Decoder) Reset(frame []byte) (batch uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderSize {
		return 0, 0, batchHeaderError(len(frame), "frame is shorter than a batch header")
	}
	if size := int(binary.BigEndian.Uint32(frame[frameSizeOffset:])); size != len(frame) {
		return 0, 0, batchHeaderError(frameSizeOffset,
			fmt.Sprintf("frame size is %d in the header, but the frame has %d bytes", size, len(frame)))
	}
	d.frame, d.pos = frame, batchHeaderSize
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[clockOffset:])), nil
}

// Next decodes the next record into e. It returns io.EOF after the last record, and a *FrameError if the record is
// malformed; the rest of the frame cannot be decoded then. For a record with an unknown code, Next sets only e.Code and
// e.Offset.
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

// nextRecord advances to the next record, reads its header and returns its code.
func (d *Decoder) nextRecord() (EventCode, error) {
	d.record = recordReader{name: "record", offset: d.pos}
	remaining := len(d.frame) - d.pos
	if remaining < recordHeaderSize {
		d.record.fail(fmt.Sprintf("a record header needs %d bytes, but the frame has %d left", recordHeaderSize, remaining))
		return 0, d.record.err
	}
	code := EventCode(d.frame[d.pos])
	d.record.name = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.pos+recordSizeOffset:]))
	if size > remaining-recordHeaderSize {
		d.record.pos = recordSizeOffset
		d.record.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d bytes left",
			size, remaining-recordHeaderSize))
		return 0, d.record.err
	}
	end := d.pos + recordHeaderSize + size
	d.record.data, d.record.pos = d.frame[d.pos:end], recordHeaderSize
	d.pos = end
	return code, nil
}

// decodeFields reads the fields of the current record into e. It calls the methods directly, because calls through a
// table of functions would make the callers' events escape to the heap.
func (d *Decoder) decodeFields(e *Event) {
	switch r := &d.record; e.Code {
	case Begin:
		r.begin(e)
	case Manifest:
		d.lists.readManifest(r)
	case Membership:
		d.lists.readMembership(r, e)
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
