package upstream

import (
	"context"
	"errors"
	"io"
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

// arrivedBody is a client's body whose last byte may have been written some time ago.
type arrivedBody struct {
	clientBody
	age time.Duration
}

func (b arrivedBody) Read(p []byte) (int, error) { return len(p), nil }
func (b arrivedBody) EarliestLastByte() (earliest time.Time, arrived bool) {
	return time.Now().Add(-b.age), false
}

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

// steadyConn is a connection to an endpoint that accepts each piece in time.
type steadyConn struct {
	net.Conn
	latest time.Time // the latest write deadline that was set
	pieces int       // number of writes
}

func (c *steadyConn) SetWriteDeadline(deadline time.Time) error {
	if deadline.After(c.latest) {
		c.latest = deadline
	}
	return nil
}

func (c *steadyConn) Write(p []byte) (int, error) {
	c.pieces++
	return len(p), nil
}

// writtenBody is a client's body of which all bytes were written at one time.
type writtenBody struct {
	io.Reader
	at      time.Time
	arrived bool
}

func (b writtenBody) EarliestLastByte() (earliest time.Time, arrived bool) { return b.at, b.arrived }
func (writtenBody) ClientClosed() bool                                     { return false }
func (writtenBody) Discard(time.Duration)                                  {}

// Guards against a long request that gets its response seconds too late because its endpoint accepts the body slowly,
// but each piece in time: the pieces share one deadline, however many were accepted. A response is lost if it comes
// later than half a second after the client's time.
func TestPiecesOfAnUploadShareOneDeadline(t *testing.T) {
	const allowedDelay = 500 * time.Millisecond
	const size = 8 << 20
	const age = 2 * time.Second // of the last byte, when the endpoint accepts a piece
	for name, length := range map[string]int64{"by length": httpmsg.MaxBufferedBytes + size, "in chunks": -1} {
		for _, arrived := range []bool{false, true} {
			for _, timeLeft := range []time.Duration{time.Millisecond, 450 * time.Millisecond, 3 * time.Second} {
				steady, writtenAt := &steadyConn{}, time.Now().Add(-age)
				upload := &Upload{Length: length, TimeLeft: timeLeft,
					Body: writtenBody{io.LimitReader(zeros{}, size), writtenAt, arrived}}
				request := &Request{Body: make([]byte, httpmsg.MaxBufferedBytes), Upload: upload}
				err := request.writeUpload(&conn{Conn: steady, ctx: context.Background()}, make([]byte, httpmsg.ChunkBytes))
				if err != nil && !errors.Is(err, errUploadStopped) || steady.pieces < size/httpmsg.ChunkBytes {
					t.Fatalf("%s: writeUpload returned %v after %d pieces", name, err, steady.pieces)
				}
				limit := writtenAt.Add(timeLeft + allowedDelay)
				if end := time.Now().Add(minWriteTime); end.After(limit) { // a write that does not block may still be sent
					limit = end
				}
				if steady.latest.After(limit) {
					t.Errorf("%s, %v left: a piece may be accepted %v after the last byte was written, want at most %v", name,
						timeLeft, steady.latest.Sub(writtenAt), limit.Sub(writtenAt))
				}
				if upload.Deadline().After(writtenAt.Add(timeLeft)) {
					t.Errorf("%s: the response is due %v after the last byte was written, want %v", name,
						upload.Deadline().Sub(writtenAt), timeLeft)
				}
			}
		}
	}
}

// zeros is an endless reader of zero bytes.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// Guards against an endpoint that is told more time than its client has left: the time that forwarding may take after
// the client's last byte, and the time that is told, are together at most the client's time and 0.15 s.
func TestToldTimeAndForwardingTimeAreWithinTheClientsTime(t *testing.T) {
	const slack = 150 * time.Millisecond
	for _, timeLeft := range []time.Duration{time.Millisecond, 40 * time.Millisecond, time.Second, time.Minute} {
		for _, length := range []int64{-1, httpmsg.MaxBufferedBytes + 1, 8 << 20, httpmsg.MaxBodyBytes} {
			u := &Upload{Length: length, TimeLeft: timeLeft}
			told := u.toldTimeLeft()
			if sum := told + u.maxForwardingDelay(); sum > timeLeft+slack || told < timeLeft/2 {
				t.Errorf("%d bytes, %v left: %v are told, and %v in all, want at least half and at most %v", length, timeLeft,
					told, sum, timeLeft+slack)
			}
		}
	}
}
