package downstream

import (
	"time"

	"oakproxy/internal/system"
)

// Upper limits on the bytes that sockets hold: those that a client has written, but that have not arrived, and those that
// have arrived, but were not read. Both are the defaults of Linux.
const (
	maxClientSendBuffer = 4 << 20
	maxReceiveBuffer    = 6 << 20
)

// lastByteEstimate is the earliest time at which the client can have written the last byte of its request, according to
// what has arrived. A client's time for the response begins with that byte. The byte may wait unread, in the sockets of
// the sidecar and of the client, for as long as the sidecar does not read: so the time when a byte is read, or arrives as
// reads make room for it, says little about the time when it was written.
type lastByteEstimate struct {
	earliest time.Time
	// allArrived is true once all bytes of a body of known length have arrived. The estimate then stays as it is.
	allArrived bool
	// awaitsClient is true while a read waits for the client, which has not written the last byte then.
	awaitsClient bool

	// If the length of the body is unknown, the client had written at most markBytes bytes at markTime.
	markTime  time.Time
	markBytes int64
}

// observe updates the estimate at a time before the end of the body was read. arrived is the number of bytes of the body
// that have arrived, and unread how many of them were not read yet. length is the length of the body, -1 if unknown.
func (e *lastByteEstimate) observe(now time.Time, arrived, unread, length int64) {
	written := arrived + maxClientSendBuffer // the most that the client can have written
	e.allArrived = length >= 0 && arrived >= length
	switch {
	case e.allArrived:
	case unread == 0, length > written:
		e.earliest = now
	case length >= 0: // the last byte may wait in the client's socket
	case e.markTime.IsZero():
		e.markTime, e.markBytes = now, written
	case arrived > e.markBytes: // so the body is longer than what was written at markTime
		e.earliest = e.markTime
		e.markTime, e.markBytes = now, written
	}
}

// TrackLastByte begins to estimate when the client writes the last byte of the request that is being read. arrivedAt is
// when its latest bytes arrived, and length the length of its body, -1 if unknown. FinishRequestRead ends it.
func (c *Conn) TrackLastByte(arrivedAt time.Time, length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracksLastByte, c.bodyLength = true, length
	c.lastByte = lastByteEstimate{earliest: arrivedAt}
}

// earliestLastByte returns the earliest time at which the client can have written the last byte of its request, and
// whether that byte is known to have arrived. It may be called at any time between TrackLastByte and FinishRequestRead.
func (c *Conn) earliestLastByte() (earliest time.Time, arrived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lastByte.awaitsClient:
		c.lastByte.earliest = time.Now()
	case c.bodyLength >= 0: // if the length is unknown, the last byte may have been read
		c.observeLastByte()
	}
	return c.lastByte.earliest, c.lastByte.allArrived
}

// observeLastByte updates the estimate by what has arrived. It reports whether everything that has arrived was read. The
// caller holds c.mu.
func (c *Conn) observeLastByte() (allRead bool) {
	unread, known := system.UnreadBytes(c.Conn)
	if !known && system.Readable(c.Conn) {
		unread = maxReceiveBuffer
	}
	read := c.head.Size - c.head.HeadSize
	c.lastByte.observe(time.Now(), read+unread, unread, c.bodyLength)
	return unread == 0 && !c.lastByte.allArrived
}

// endBodyRead is called after a read, which has returned n bytes. If the read had to wait for the client, none of them was
// written before it began. The caller holds c.mu.
func (c *Conn) endBodyRead(n int) {
	if !c.lastByte.awaitsClient {
		return
	}
	c.lastByte.awaitsClient = false
	if n > 0 {
		c.lastByte.earliest = time.Now().Add(-system.LastDataAge(c.Conn))
	}
}
