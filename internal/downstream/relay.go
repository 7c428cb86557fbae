package downstream

import (
	"io"
	"net/http"
	"time"

	"oakproxy/internal/httpmsg"
)

// sendBufferBytes is as much of an answer as the socket takes ahead of the client: it must not take longer than pieceTime to leave.
const sendBufferBytes = 128 << 10

// Relay writes an answer's rest as it comes. An error says that the client has less
// than the whole.
func Relay(w http.ResponseWriter, c *Conn, from io.Reader) error {
	c.limitSendBuffer(sendBufferBytes)
	control, piece := http.NewResponseController(w), httpmsg.ChunkBuffers.Get().(*[httpmsg.ChunkBytes]byte)
	defer httpmsg.ChunkBuffers.Put(piece)
	if err := control.Flush(); err != nil {
		return err
	}
	for {
		n, err := from.Read(piece[:])
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(httpmsg.ChunkTimeout))
			if _, err := w.Write(piece[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}
