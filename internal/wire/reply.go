package wire

import (
	"encoding/binary"
	"math"

	"oakproxy/balancer"
)

// AllPeers addresses WritePeer to every peer.
const AllPeers uint32 = math.MaxUint32

// Bounds on the variable parts of records, in bytes. What is longer is cut off.
const (
	maxPeerMessageSize = 256
	maxTextSize        = math.MaxUint16
)

// Reply builds the reply to one batch: Reset, then a method per action, then Bytes. It reuses its buffer. A Reply is
// for one goroutine.
type Reply struct {
	buf   []byte
	count uint32 // of records
}

// Reset starts the reply to a batch.
func (r *Reply) Reset(batch uint32) {
	var header [replyHeaderSize]byte // Bytes sets the size and the count
	binary.BigEndian.PutUint32(header[:], batch)
	r.buf = append(r.buf[:0], header[:]...)
	r.count = 0
}

// Bytes completes the frame and returns it. It is valid until the next call of Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf[frameSizeOffset:], uint32(len(r.buf)))
	binary.BigEndian.PutUint32(r.buf[countOffset:], r.count)
	return r.buf
}

// As says which instance takes the following actions.
func (r *Reply) As(instance uint32) {
	r.record(As, sizeU32)
	r.u32(instance)
}

// Deliver starts an attempt of a request. A timeout of 0 leaves it the time until the request's deadline.
func (r *Reply) Deliver(id uint64, endpoint uint32, timeout balancer.Micros) {
	r.record(Deliver, sizeU64+sizeU32+sizeU32)
	r.u64(id)
	r.u32(endpoint)
	r.micros(timeout)
}

// Decline rejects a request: a retry is harmless. A retryAfter of 0 gives no advice on when to retry.
func (r *Reply) Decline(id uint64, retryAfter balancer.Micros) {
	r.record(Decline, sizeU64+sizeU32)
	r.u64(id)
	r.micros(retryAfter)
}

// Fail ends a request with a failure, which promises nothing about its effect.
func (r *Reply) Fail(id uint64) {
	r.record(Fail, sizeU64)
	r.u64(id)
}

// Revoke cancels an attempt; the attempts of a request count from 0.
func (r *Reply) Revoke(id uint64, attempt int) {
	r.record(Revoke, sizeU64+sizeU16)
	r.u64(id)
	r.u16(uint16(attempt))
}

// Arm starts a timer that fires after delay and returns the token.
func (r *Reply) Arm(delay balancer.Micros, token uint32) {
	r.record(Arm, sizeU32+sizeU32)
	r.micros(delay)
	r.u32(token)
}

// SoundOut probes an endpoint for its load.
func (r *Reply) SoundOut(endpoint uint32) {
	r.record(SoundOut, sizeU32)
	r.u32(endpoint)
}

// LetGo closes the idle connections to an endpoint.
func (r *Reply) LetGo(endpoint uint32) {
	r.record(LetGo, sizeU32)
	r.u32(endpoint)
}

// WritePeer sends a message to a peer, or to AllPeers. Bytes beyond 256 are cut off.
func (r *Reply) WritePeer(peer uint32, message []byte) {
	message = message[:min(len(message), maxPeerMessageSize)]
	r.record(WritePeer, sizeU32+sizeU16+len(message))
	r.u32(peer)
	r.u16(uint16(len(message)))
	r.buf = append(r.buf, message...)
}

// Trace adds a line to the simulation's report. Bytes beyond 65535 are cut off.
func (r *Reply) Trace(line string) { r.text(Trace, line) }

// Exception reports that the decision code has failed, which ends the simulation. Bytes beyond 65535 are cut off.
func (r *Reply) Exception(line string) { r.text(Exception, line) }

// Track subscribes to changes of the endpoint list, or ends that.
func (r *Reply) Track(subscribe bool) {
	var flag byte
	if subscribe {
		flag = 1
	}
	r.record(Track, sizeU8)
	r.buf = append(r.buf, flag)
}

// ListAll polls discovery for the complete endpoint list.
func (r *Reply) ListAll() { r.record(ListAll, 0) }

// record writes a record's header; size bytes of fields must follow.
func (r *Reply) record(code ActionCode, size int) {
	r.count++
	r.buf = append(r.buf, byte(code))
	r.u32(uint32(size))
}

// text writes a record with one text, preceded by its length.
func (r *Reply) text(code ActionCode, line string) {
	line = line[:min(len(line), maxTextSize)]
	r.record(code, sizeU16+len(line))
	r.u16(uint16(len(line)))
	r.buf = append(r.buf, line...)
}

func (r *Reply) u16(v uint16) { r.buf = binary.BigEndian.AppendUint16(r.buf, v) }
func (r *Reply) u32(v uint32) { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64) { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }

// micros writes a duration in 4 bytes. One that is out of range becomes the nearest that is not.
func (r *Reply) micros(v balancer.Micros) { r.u32(uint32(min(max(v, 0), math.MaxUint32))) }
