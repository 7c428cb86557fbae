package sidecar

import (
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// door is a listener of clients, and the two sides of what is accepted.
type door struct {
	t *testing.T
	*clients
}

func newDoor(t *testing.T, most int) *door {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{t, &clients{Listener: listener, most: most}}
	t.Cleanup(func() { d.Close() })
	return d
}

// pair opens a connection that is accepted.
func (d *door) pair() (client *net.TCPConn, c *clientConn) {
	d.t.Helper()
	conn, err := net.Dial("tcp", d.Addr().String())
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	got, err := d.Accept()
	if err != nil {
		d.t.Fatal(err)
	}
	return conn.(*net.TCPConn), got.(*clientConn)
}

// comes waits until something written by the client can be read.
func comes(t *testing.T, c *clientConn) {
	t.Helper()
	await(t, "the client's bytes", func() bool { return readable(c.Conn) })
}

// What a client sends in the instant of a close is not read as a request and takes no
// answer along: the client reads all of it and an end, and no reset.
func TestCloseOverUnreadBytes(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for what, sent := range map[string]string{
		"half a line":        "GET /re",
		"a whole request":    readHead + "X-Correlation-Id: 2\r\n\r\n",
		"more than a buffer": strings.Repeat("x", 100<<10),
	} {
		t.Run(what, func(t *testing.T) {
			d := newDoor(t, 2)
			client, c := d.pair()
			c.begin()
			io.WriteString(client, sent)
			comes(t, c)
			io.WriteString(c, answer)
			reads := &readCounter{TCPConn: c.Conn.(*net.TCPConn)}
			c.Conn = reads
			c.Close()
			if got, err := io.ReadAll(client); err != nil || string(got) != answer {
				t.Errorf("the client read %q, %v", got, err)
			}
			if _, err := c.Read(make([]byte, 1)); err == nil {
				t.Error("something was read after the close")
			}
			client.Close()
			await(t, "the end of the connection", func() bool { return d.count() == 0 })
			if n := reads.bytes.Load(); n > 0 {
				t.Errorf("%d bytes that crossed the close were read", n)
			}
		})
	}
}

// readCounter counts the bytes that are read of a connection.
type readCounter struct {
	*net.TCPConn
	bytes atomic.Int64
}

func (c *readCounter) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// A connection that is half-closed makes room ahead of all others.
func TestHalfClosedMakesRoom(t *testing.T) {
	d := newDoor(t, 2)
	_, idle := d.pair()
	_, old := d.pair()
	old.Close()
	d.pair()
	if idle.gone || !old.gone {
		t.Errorf("the idle one gone: %v, the half-closed one: %v", idle.gone, old.gone)
	}
}

// What holds a request, or a part of one that nobody has looked at yet, does not make room
// for a new connection; where nothing does, the new one is told so.
func TestRequestsDoNotMakeRoom(t *testing.T) {
	d := newDoor(t, 3)
	client, first := d.pair()
	io.WriteString(client, readHead+"\r\n")
	comes(t, first)
	_, idle := d.pair()
	client, read := d.pair()
	io.WriteString(client, readHead+"\r\n")
	comes(t, read)
	if _, err := read.Read(make([]byte, 1<<10)); err != nil { // whole, and its handler is on the way
		t.Fatal(err)
	}
	_, another := d.pair()
	if first.gone || !idle.gone || read.gone {
		t.Fatalf("gone: the unread %v, the idle %v, the read %v", first.gone, idle.gone, read.gone)
	}
	if !read.begin() {
		t.Error("a request that was read whole is not taken")
	}
	another.begin()
	ended := make(chan string)
	go func() {
		conn, err := net.Dial("tcp", d.Addr().String())
		if err != nil {
			ended <- err.Error()
			return
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(patience))
		got, _ := io.ReadAll(conn)
		ended <- string(got)
	}()
	go d.Accept()
	if got := <-ended; got != rejection {
		t.Errorf("one more read %q", got)
	}
	if n := d.count(); n > d.most+maxRejected {
		t.Errorf("%d connections, limit %d", n, d.most)
	}
}

// A connection that is to end for its silence is spared by what comes in that instant, and
// so is the request that is taken from it.
func TestBytesInTheInstantOfAnExpiry(t *testing.T) {
	d := newDoor(t, 2)
	client, c := d.pair()
	io.WriteString(client, readHead+"\r\n")
	comes(t, c)
	c.mu.Lock()
	c.expired = true // as by a sweep between the system's read and the look at what it read
	c.mu.Unlock()
	if n, err := c.Read(make([]byte, 1<<10)); n == 0 || err != nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	c.begin()
	c.alone(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expired {
		t.Error("net/http's look for the client's end would find the connection expired")
	}
}

// A client that sends something behind its request and leaves has gone, however much that
// was, though net/http reads one byte of it and no end.
func TestClientThatLeavesBehindMoreBytes(t *testing.T) {
	for what, c := range map[string]struct{ with, later string }{
		"one byte with the request":        {"x", ""},
		"a request with the request":       {readHead + "X-Correlation-Id: 99\r\n\r\n", ""},
		"a lot with the request":           {strings.Repeat("x", 50<<10), ""},
		"half a line after it":             {"", "GET /re"},
		"something with it and more after": {"x", strings.Repeat("y", 5000)},
	} {
		t.Run(what, func(t *testing.T) {
			e := newEndpoint(t, always(served))
			w := start(t, nil, ready("s-1", e.address))
			dial := hold(w.loop.up, e.address)
			conn := w.dial()
			var text strings.Builder
			w.request("pay", "x", time.Minute).Write(&text)
			io.WriteString(conn, text.String()+c.with)
			<-dial.begun
			io.WriteString(conn, c.later)
			conn.Close()
			w.until("the client's going", func() bool {
				w.spy.mu.Lock()
				defer w.spy.mu.Unlock()
				return slices.Contains(w.spy.events, "gone")
			})
			close(dial.go_)
			w.until("the outcome", func() bool { return len(w.spy.statuses()) == 1 })
			if n, _ := e.seen(); n != 0 {
				t.Errorf("the endpoint got %d requests", n)
			}
		})
	}
}

// A client that sends something behind its request and stays has its answer, and the end of
// the connection; what it sent is no request.
func TestBytesBehindARequestCostNoAnswer(t *testing.T) {
	e := newEndpoint(t, always(served))
	w := start(t, nil, ready("s-1", e.address))
	for what, behind := range map[string]string{
		"a byte": "x", "a request": readHead + "X-Correlation-Id: 99\r\n\r\n", "a lot": strings.Repeat("x", 200<<10),
	} {
		got := w.raw(readHead + "X-Correlation-Id: " + strings.ReplaceAll(what, " ", "") + "\r\n\r\n" + behind)
		if strings.Count(got, "HTTP/1.1") != 1 || !strings.HasPrefix(got, "HTTP/1.1 200") || !strings.HasSuffix(got, "done") {
			t.Errorf("%s: got %q", what, got)
		}
	}
	if n, _ := e.seen(); n != 3 {
		t.Errorf("the endpoint got %d requests, want 3", n)
	}
	if got := w.send(w.request("read", "", time.Minute)); got.code != http.StatusOK {
		t.Errorf("another client: %+v", got)
	}
}

// Where net/http has read the last that it looks at before the request is taken, the
// client's end is found behind that all the same.
func TestTakeLooksBehindWhatWasRead(t *testing.T) {
	client, c := newDoor(t, 1).pair()
	io.WriteString(client, readHead+"\r\nx")
	comes(t, c)
	if _, err := c.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	c.begin()
	left := c.take(c.alone(0))
	client.Close()
	select {
	case <-left:
	case <-time.After(patience):
		t.Error("that the client has left is not noticed")
	}
	if !c.give() {
		t.Error("the connection would serve on")
	}
}
