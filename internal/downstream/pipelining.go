package downstream

import (
	"errors"
	"os"
)

// maxPipelinedBytes limits how many bytes are read after a request to notice that the client disconnects. It exceeds what
// sockets hold of a client that has closed its connection.
const maxPipelinedBytes = maxClientSendBuffer + maxReceiveBuffer + 1<<20

// NotifyDisconnect marks that a complete request was read and awaits its response. nothingFollows must be the result of
// FinishRequestRead, which is true if no bytes after the request were read. The returned channel is closed if the
// client sends bytes after the request and disconnects before the response begins. net/http does not notice such a
// disconnect: while a handler runs, it reads only one byte, and so does not reach the end of the connection. The bytes
// themselves are not served, because clients must send one request at a time.
func (c *Conn) NotifyDisconnect(nothingFollows bool) (disconnected <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse, c.disconnected = true, make(chan struct{})
	if !nothingFollows || c.head.Size > 0 {
		c.startDisconnectWatch()
	}
	return c.disconnected
}

// BeginResponse marks that the response begins. The result is true if bytes after the request were read; the connection
// must then be closed after the response.
func (c *Conn) BeginResponse() (pipelined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingResponse = false
	return c.pipelined
}

// startDisconnectWatch marks that bytes after the request were read, and starts a goroutine that discards up to
// maxPipelinedBytes more until the client disconnects. If more follow, it can't be known whether the client disconnects
// behind them, so it counts as disconnected for new attempts. The goroutine ends at the latest when the connection is
// closed after the response. startDisconnectWatch does nothing if the goroutine was already started. The caller holds c.mu.
func (c *Conn) startDisconnectWatch() {
	if c.pipelined {
		return
	}
	c.pipelined = true
	go func() {
		err := c.discard(maxPipelinedBytes)
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case err == nil:
			c.endUnseen = true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.peerClosed = true
			close(c.disconnected)
		}
	}()
}

// discard reads and drops bytes until at least limit bytes were read, or a read fails, whose error it returns.
func (c *Conn) discard(limit int) error {
	chunk, release := c.listener.Memory.Chunk()
	defer release()
	for limit > 0 {
		n, err := c.Conn.Read(chunk)
		if err != nil {
			return err
		}
		limit -= n
	}
	return nil
}
