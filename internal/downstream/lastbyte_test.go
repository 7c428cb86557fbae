package downstream

import (
	"io"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/sidecartest"
)

// Guards against counting a client's time from the arrival of bytes that could arrive only because the sidecar made room
// for them: the client may have written its last byte long before. The estimate moves only if the client can't have
// written that byte yet.
func TestEstimateOfTheLastByte(t *testing.T) {
	const mib = 1 << 20
	start := time.Now()
	at := func(second int) time.Time { return start.Add(time.Duration(second) * time.Second) }
	type observation struct{ arrived, unread, wantSecond int64 }
	for name, c := range map[string]struct {
		length       int64
		observations []observation // one each second, from second 1 on
	}{
		"the rest may wait in the client's socket": {8 * mib, []observation{{5 * mib, 5 * mib, 0}, {6 * mib, 6 * mib, 0},
			{7 * mib, 6 * mib, 0}, {8 * mib, 6 * mib, 0}, {8 * mib, 0, 0}}},
		"the rest exceeds the client's socket": {32 * mib, []observation{{5 * mib, 5 * mib, 1}, {27 * mib, 1, 2},
			{28 * mib, 1, 2}, {32 * mib, 1, 2}}},
		"the client is slow": {8 * mib, []observation{{5 * mib, 0, 1}, {6 * mib, 1, 1}, {6 * mib, 0, 3}, {8 * mib, 1, 3},
			{8 * mib, 0, 3}}},
		"unknown length, nothing more than the sockets hold": {-1, []observation{{1 * mib, 1, 0}, {4 * mib, 1, 0},
			{5 * mib, 1, 0}}},
		"unknown length, more than the sockets hold": {-1, []observation{{1 * mib, 1, 0}, {5*mib + 1, 1, 1},
			{9 * mib, 1, 1}, {9*mib + 2, 1, 2}, {9*mib + 3, 0, 5}}},
	} {
		estimate := lastByteEstimate{earliest: start}
		for i, o := range c.observations {
			estimate.observe(at(i+1), o.arrived, o.unread, c.length)
			if got := estimate.earliest.Sub(start); got != time.Duration(o.wantSecond)*time.Second {
				t.Errorf("%s: after observation %d the last byte is %v old at most, want second %d", name, i+1, got, o.wantSecond)
			}
		}
	}
}

// Guards against a client's time that begins anew with each piece of its body that is read: once the client has written
// its last byte, reading the body does not change the estimate. A read for which the client is awaited does.
func TestReadingABodyDoesNotMoveItsLastByte(t *testing.T) {
	const size, piece = 512 << 10, 32 << 10
	for name, length := range map[string]int64{"known length": size, "unknown length": -1} {
		client, c := newTestListener(t, 1).connect()
		if err := c.Conn.(interface{ SetReadBuffer(int) error }).SetReadBuffer(piece); err != nil { // most bytes wait in the client's socket
			t.Fatal(err)
		}
		io.WriteString(client, sidecartest.PayHead+"\r\n")
		head := make([]byte, len(sidecartest.PayHead)+2)
		if _, err := io.ReadFull(c, head); err != nil {
			t.Fatal(err)
		}
		c.TrackLastByte(c.AcceptedAt, length)
		io.WriteString(client, strings.Repeat("x", size))
		written := time.Now()
		awaitReadable(t, c)
		buffer := make([]byte, piece)
		for read := 0; read < size-2*piece; {
			n, err := c.Read(buffer)
			if err != nil {
				t.Fatal(err)
			}
			read += n
			awaitReadable(t, c)
		}
		if got, _ := c.earliestLastByte(); got.After(written) {
			t.Errorf("%s: the estimate is %v after the last byte was written", name, got.Sub(written))
		}
	}
	client, c := newTestListener(t, 1).connect()
	c.TrackLastByte(c.AcceptedAt, -1)
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, piece))
		read <- err
	}()
	sidecartest.Await(t, "the read to wait for the client", func() bool {
		before := time.Now()
		got, _ := c.earliestLastByte()
		return !got.Before(before)
	})
	io.WriteString(client, "x")
	if err := <-read; err != nil {
		t.Fatal(err)
	}
}
