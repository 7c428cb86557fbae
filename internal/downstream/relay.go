package downstream

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// sendBufferBytes bounds how much of a response the socket holds ahead of the client. It has to leave the socket within
// httpmsg.ChunkTimeout, so that a write notices in time that a client no longer reads.
const sendBufferBytes = 128 << 10

// Relay writes the remainder of a response to w, chunk by chunk as it comes from body. c is the connection under w.
// Each chunk has httpmsg.ChunkTimeout to be written. An error means that the client has less than the complete
// response.
func Relay(w http.ResponseWriter, c *Conn, body io.Reader) error {
	c.limitSendBuffer(sendBufferBytes)
	control := http.NewResponseController(w)
	chunk := httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(chunk)
	if err := control.Flush(); err != nil {
		return fmt.Errorf("flush the head: %w", err)
	}
	for {
		n, readErr := body.Read(chunk[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(httpmsg.ChunkTimeout))
			if err := writeAndFlush(w, control, chunk[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF { // itself: a wrapped one may tell of a body that broke off
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read a chunk of the response: %w", readErr)
		}
	}
}

// writeAndFlush writes one chunk and passes it on to the socket.
func writeAndFlush(w io.Writer, control *http.ResponseController, chunk []byte) error {
	if _, err := w.Write(chunk); err != nil {
		return fmt.Errorf("write a chunk: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("flush a chunk: %w", err)
	}
	return nil
}
