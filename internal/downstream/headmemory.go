package downstream

import "oakproxy/internal/httpmsg"

// errHeadRefused is the error of a read if there is no memory for the request head that is being read.
var errHeadRefused error = headRefusedError{}

// headRefusedError is a net.Error. net/http closes the connection after a timeout, and writes no response of its own.
type headRefusedError struct{}

func (headRefusedError) Error() string   { return "no memory for the head of the request" }
func (headRefusedError) Timeout() bool   { return true }
func (headRefusedError) Temporary() bool { return false }

// reserveHeadMemory reserves memory for the part of a head that was read, before net/http gets it. If the budget is used
// up, it returns false; nothing more may be read from the connection then. Every byte of a head passes here, so heads
// use no more memory than the budget, beyond the allowance of each connection, whether they are complete or not.
func (c *Conn) reserveHeadMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headRefused {
		return false
	}
	missing := httpmsg.HeadReservation(&c.head) - c.headMemory
	if c.headTaken || missing <= 0 {
		return true
	}
	if !c.listener.Memory.Heads.Reserve(missing) {
		c.headRefused = true
		return false
	}
	c.headMemory += missing
	return true
}

// TakeHeadMemory passes what is reserved for the head of the current request to the caller, who must release it when
// the head is not used any more. The head may be in use for longer than the connection is open.
func (c *Conn) TakeHeadMemory() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken := c.headMemory
	c.headMemory, c.headTaken = 0, true
	return taken
}

// releaseHeadMemory releases what is still reserved for the head that was read last, and prepares for the next one. The
// caller holds c.mu.
func (c *Conn) releaseHeadMemory() {
	if c.headMemory > 0 {
		c.listener.Memory.Heads.Release(c.headMemory)
	}
	c.headMemory, c.headTaken = 0, false
}
