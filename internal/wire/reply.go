package wire

import (
	"encoding/binary"
	"math"

	"oakproxy/balancer"
)

// AllPeers is the peer number with which WritePeer sends a message to all peers.
const AllPeers uint32 = math.MaxUint32

// Limits on the variable-length fields of records, in bytes. Longer values are truncated.
const (
	maxPeerMessageSize = 256
	maxTextSize        = math.MaxUint16
)

// Reply builds the reply to one batch: call Reset, then one method for each action, then Bytes. It reuses its buffer. A
// Reply must not be used by several goroutines at the same time.
type Reply struct {
	buf         []byte // the frame
	recordCount uint32 // number of records since Reset
}

// Reset discards the previous reply and starts the reply to the batch with the given number.
func (r *Reply) Reset(batch uint32) {
	var header [replyHeaderSize]byte // Bytes fills in the frame size and the number of records
	binary.BigEndian.PutUint32(header[:], batch)
	r.buf = append(r.buf[:0], header[:]...)
	r.recordCount = 0
}

// Bytes completes the frame and returns it. The frame is valid until the next call of Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[frameSizeOffset:], uint32(len(r.buf)))
	binary.BigEndian.PutUint32(r.buf[recordCountOffset:], r.recordCount)
	return r.buf
}

// As selects the instance that performs the following actions.
func (r *Reply) As(instance uint32) {
	r.recordHeader(As, sizeU32)
	r.u32(instance)
}

// Deliver sends a request to an endpoint as a new attempt. The attempt fails after timeout; a timeout of 0 lets it run
// until the request's deadline.
func (r *Reply) Deliver(id uint64, endpoint uint32, timeout balancer.Micros) {
	r.recordHeader(Deliver, sizeU64+sizeU32+sizeU32)
	r.u64(id)
	r.u32(endpoint)
	r.micros(timeout)
}

// Decline rejects a request and tells the client that a retry is harmless. retryAfter is the delay after which the
// client should retry; 0 means that no delay is suggested.
func (r *Reply) Decline(id uint64, retryAfter balancer.Micros) {
	r.recordHeader(Decline, sizeU64+sizeU32)
	r.u64(id)
	r.micros(retryAfter)
}

// Fail ends a request with a failure. The client cannot tell whether the request had an effect.
func (r *Reply) Fail(id uint64) {
	r.recordHeader(Fail, sizeU64)
	r.u64(id)
}

// Revoke cancels an attempt of a request. The attempts of a request are numbered from 0.
func (r *Reply) Revoke(id uint64, attempt int) {
	r.recordHeader(Revoke, sizeU64+sizeU16)
	r.u64(id)
	r.u16(uint16(attempt))
}

// Arm starts a timer that fires after delay. The resulting timeout_fired event carries token.
func (r *Reply) Arm(delay balancer.Micros, token uint32) {
	r.recordHeader(Arm, sizeU32+sizeU32)
	r.micros(delay)
	r.u32(token)
}

// SoundOut sends a probe to an endpoint to ask for its load report.
func (r *Reply) SoundOut(endpoint uint32) {
	r.recordHeader(SoundOut, sizeU32)
	r.u32(endpoint)
}

// LetGo closes the idle connections to an endpoint.
func (r *Reply) LetGo(endpoint uint32) {
	r.recordHeader(LetGo, sizeU32)
	r.u32(endpoint)
}

// WritePeer sends a message to a peer, or to all peers if peer is AllPeers. A message over 256 bytes is truncated.
func (r *Reply) WritePeer(peer uint32, message []byte) {
	message = message[:min(len(message), maxPeerMessageSize)]
	r.recordHeader(WritePeer, sizeU32+sizeU16+len(message))
	r.u32(peer)
	r.u16(uint16(len(message)))
	r.buf = append(r.buf, message...)
}

// Trace adds a line to the simulation's report. A line over 65535 bytes is truncated.
func (r *Reply) Trace(line string) { r.text(Trace, line) }

// Exception reports that the balancer panicked or that its settings are invalid. The simulator then ends the
// simulation. A line over 65535 bytes is truncated.
func (r *Reply) Exception(line string) { r.text(Exception, line) }

// Track subscribes to changes of the endpoint list, or ends the subscription if subscribe is false.
func (r *Reply) Track(subscribe bool) {
	var flag byte
	if subscribe {
		flag = 1
	}
	r.recordHeader(Track, sizeU8)
	r.buf = append(r.buf, flag)
}

// ListAll asks discovery for the complete endpoint list.
func (r *Reply) ListAll() { r.recordHeader(ListAll, 0) }

// recordHeader appends the header of a record. The caller must append size bytes of fields.
func (r *Reply) recordHeader(code ActionCode, size int) {
	r.recordCount++
	r.buf = append(r.buf, byte(code))
	r.u32(uint32(size))
}

// text appends a record whose only field is a text, which is preceded by its size in 2 bytes.
func (r *Reply) text(code ActionCode, line string) {
	line = line[:min(len(line), maxTextSize)]
	r.recordHeader(code, sizeU16+len(line))
	r.u16(uint16(len(line)))
	r.buf = append(r.buf, line...)
}

func (r *Reply) u16(v uint16) { r.buf = binary.BigEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }

// micros appends a duration in 4 bytes. A negative duration becomes 0. A duration that does not fit in 4 bytes becomes
// the longest one that does.
func (r *Reply) micros(v balancer.Micros) { r.u32(uint32(min(max(v, 0), math.MaxUint32))) }
