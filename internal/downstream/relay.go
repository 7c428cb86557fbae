package downstream

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// sendBufferBytes limits how many bytes of a response the socket holds that the client has not received. A client that
// still reads must be able to receive them within httpmsg.ChunkTimeout, so that a write timeout means that the client
// no longer reads.
const sendBufferBytes = 128 << 10

// Relay calls writeBeginning, which writes the head of a response to w and may write the beginning of its body. Relay
// then copies the rest of the body to w, chunk by chunk as it arrives. c is the connection to which w writes. The write
// of each chunk may take up to httpmsg.ChunkTimeout. An error means that the client did not get the complete response;
// the connection must then be closed, which resets it.
func Relay(w http.ResponseWriter, c *Conn, writeBeginning func(), rest io.Reader) error {
	c.beginRelay()
	c.limitSendBuffer(sendBufferBytes)
	writeBeginning()
	control := http.NewResponseController(w)
	chunk, release := c.listener.Memory.Chunk()
	defer release()
	if err := control.Flush(); err != nil {
		return fmt.Errorf("flush the response head: %w", err)
	}
	for {
		n, readErr := rest.Read(chunk)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(httpmsg.ChunkTimeout))
			if err := writeAndFlush(w, control, chunk[:n]); err != nil {
				return err
			}
		}
		if readErr == io.EOF { // not errors.Is: an error that wraps io.EOF may mean that the body was cut off
			c.endRelay()
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("read a chunk of the response: %w", readErr)
		}
	}
}

// writeAndFlush writes one chunk to w and flushes it to the socket with control.
func writeAndFlush(w io.Writer, control *http.ResponseController, chunk []byte) error {
	if _, err := w.Write(chunk); err != nil {
		return fmt.Errorf("write a chunk of the response: %w", err)
	}
	if err := control.Flush(); err != nil {
		return fmt.Errorf("flush a chunk of the response: %w", err)
	}
	return nil
}
