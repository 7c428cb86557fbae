package downstream

import (
	"errors"
	"os"
)

// maxPipelinedBytes bounds what is read behind a request to find the client's end there.
const maxPipelinedBytes = 1 << 20

// AwaitResponse marks that a complete request has come; alone says that nothing came behind it. The channel is closed
// when the client ends its side behind pipelined bytes before the response. Clients send one request at a time, so that
// nothing behind a request is served; and net/http, which would notice the end of the client, reads but one byte.
func (c *Conn) AwaitResponse(alone bool) (disconnected <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse, c.disconnected = true, make(chan struct{})
	if !alone || c.head.Size > 0 {
		c.watchDisconnect()
	}
	return c.disconnected
}

// BeginResponse marks that the response begins. The result says that something came behind the request: the connection
// has to be closed after the response.
func (c *Conn) BeginResponse() (pipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
	return c.pipelined
}

// watchDisconnect marks that something came behind the request, and starts to look for the client's end behind that.
// Its goroutine ends when the connection is closed, which it is after the response, or sooner. The caller holds c.mu.
func (c *Conn) watchDisconnect() {
	if c.pipelined {
		return
	}
	c.pipelined = true
	go func() {
		err := c.discard(maxPipelinedBytes)
		c.mu.Lock()
		defer c.mu.Unlock()
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.peerClosed = true
			close(c.disconnected)
		}
	}()
}

// discard reads and drops limit bytes, or as many as come before an error, which it returns.
func (c *Conn) discard(limit int) error {
	var chunk [1 << 10]byte
	for limit > 0 {
		n, err := c.Conn.Read(chunk[:])
		if err != nil {
			return err
		}
		limit -= n
	}
	return nil
}
