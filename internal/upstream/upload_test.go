package upstream

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"oakproxy/internal/httpmsg"
)

// hungConn is a connection to an endpoint that accepts no bytes: each write fails as if its deadline had passed.
type hungConn struct {
	net.Conn
	deadline time.Time // the write deadline that was set last
}

func (c *hungConn) SetWriteDeadline(deadline time.Time) error {
	c.deadline = deadline
	return nil
}

func (c *hungConn) Write([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// arrivedBody is a client's body of which the latest bytes arrived some time ago.
type arrivedBody struct {
	clientBody
	age time.Duration
}

func (b arrivedBody) Read(p []byte) (int, error) { return len(p), nil }
func (b arrivedBody) LastDataAge() time.Duration { return b.age }

// Guards against a long request that gets its response seconds too late because its endpoint accepts no bytes: the
// client may have sent its last byte, and its response is lost if it comes later than half a second after its time.
func TestSlowEndpointDoesNotHoldUpAnUpload(t *testing.T) {
	const allowedDelay = 500 * time.Millisecond
	for _, timeLeft := range []time.Duration{time.Millisecond, 450 * time.Millisecond, 3 * time.Second, time.Minute} {
		for _, age := range []time.Duration{0, 200 * time.Millisecond, time.Minute} {
			for name, length := range map[string]int64{"by length": 64 << 20, "in chunks": -1} {
				hung := &hungConn{}
				upload := &Upload{Length: length, TimeLeft: timeLeft, Body: arrivedBody{age: age}}
				request := &Request{Body: make([]byte, httpmsg.MaxBufferedBytes), Upload: upload}
				earliest := time.Now()
				err := request.writeUpload(&conn{Conn: hung, ctx: context.Background()}, make([]byte, httpmsg.ChunkBytes))
				latest := time.Now()
				if !errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatalf("writeUpload returned %v, want %v", err, os.ErrDeadlineExceeded)
				}
				// Of bytes that arrived too long ago, a write that does not block may still be sent.
				limit := latest.Add(max(timeLeft-age, 0) + allowedDelay)
				if hung.deadline.After(limit) || hung.deadline.After(latest.Add(httpmsg.ChunkTimeout)) {
					t.Errorf("%s, %v left, bytes %v old: the endpoint has %v to accept them, want at most %v and %v",
						name, timeLeft, age, hung.deadline.Sub(latest), limit.Sub(latest), httpmsg.ChunkTimeout)
				}
				if !hung.deadline.After(earliest) {
					t.Errorf("%s, %v left, bytes %v old: the deadline passes before the write", name, timeLeft, age)
				}
			}
		}
	}
}
