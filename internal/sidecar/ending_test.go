package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/discovery"
	"oakproxy/internal/downstream"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// At SIGTERM a request may be in hand, half written or still to come on a connection that is
// open, and a new configuration may arrive in the middle: each has its answer, which ends its
// connection, and the sidecar ends once all are out.
func TestShutdownAnswersRequestsUnderWay(t *testing.T) {
	head := sidecartest.PayHead + "Content-Length: 10\r\nX-Correlation-Id: "
	for what, split := range map[string]int{
		"connected":         0,
		"half a line":       7,
		"half a head":       len(head) / 2,
		"a head, no body":   len(head) + len("1\r\n\r\n"),
		"half a body":       len(head) + len("1\r\n\r\n") + 5,
		"all but one byte":  len(head) + len("1\r\n\r\n") + 9,
		"a request in hand": len(head) + len("1\r\n\r\n") + 10,
		"and a new SIGHUP":  len(head) / 2,
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
			w := start(t, nil, ready("s-1", e.Address))
			w.server.drainPeriod = 3 * time.Second // a busy machine may be slow to connect
			dial := sidecartest.BlockDials(&w.loop.upstream.Dialer, e.Address)
			text := head + "1\r\n\r\n0123456789"
			conn := w.dial()
			io.WriteString(conn, text[:split])
			w.await("the connection", func() bool { return w.server.clients.Count() > 0 })
			if split == len(text) {
				<-dial.Begun
			}
			w.stop()
			w.await("the end of service", w.server.draining)
			if what == "and a new SIGHUP" {
				next := *w.loop.cfg
				w.runInLoop(func() { w.loop.reload(&next) })
			}
			io.WriteString(conn, text[split:])
			close(dial.Unblock)
			in := bufio.NewReader(conn)
			response, err := http.ReadResponse(in, nil)
			if err != nil || response.StatusCode != http.StatusOK || !response.Close {
				t.Fatalf("%v, %v; want 200 and Connection: close", response, err)
			}
			if got, err := io.ReadAll(response.Body); err != nil || string(got) != "done" {
				t.Errorf("the answer %q, %v", got, err)
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("then %v, want the end", err)
			}
			conn.Close()
			select {
			case err := <-w.ended:
				if err != nil {
					t.Errorf("the sidecar ended with %v", err)
				}
			case <-time.After(sidecartest.Patience):
				t.Error("the sidecar does not end")
			}
			if n, _ := e.Seen(); n != 1 {
				t.Errorf("the endpoint got %d requests, want 1", n)
			}
		})
	}
}

// Idle clients may take all connections that clients may have while discovery is down: when
// it is back its list is heard, and requests go to what it names.
func TestIdleClientsDoNotStarveDiscovery(t *testing.T) {
	first, second := sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served)), sidecartest.NewEndpoint(t, sidecartest.Always(sidecartest.Served))
	w := start(t, nil, ready("s-1", first.Address))
	w.await("the watch", func() bool { return w.discovery.count() >= 2 })
	w.discovery.change(func() { w.discovery.down = true })
	// Clients that come again at once when they are closed.
	end, ended := make(chan struct{}), make(chan struct{})
	n := w.server.clients.MaxConnections + 2*downstream.MaxRejected
	for range n {
		go func() {
			defer func() { ended <- struct{}{} }()
			for {
				conn, err := net.Dial("tcp", strings.TrimPrefix(w.url, "http://"))
				if err != nil {
					t.Error(err)
					return
				}
				over := make(chan struct{})
				go func() {
					select {
					case <-end:
					case <-over:
					}
					conn.Close()
				}()
				conn.Read(make([]byte, 1)) // until the sidecar closes it
				close(over)
				select {
				case <-end:
					return
				case <-time.After(10 * time.Millisecond): // each is one of many: none may turn into a flood
				}
			}
		}()
	}
	w.await("all connections to be taken", func() bool { return w.server.clients.Count() >= w.server.clients.MaxConnections })
	w.discovery.change(func() {
		w.discovery.down = false
		w.discovery.list = discovery.List{Seq: 1, Whole: true, Hosts: []discovery.Entry{ready("s-2", second.Address)}}
	})
	w.await("a request at the new endpoint", func() bool {
		w.send(w.request("read", "", 3*time.Second))
		requests, _ := second.Seen()
		return requests > 0
	})
	limit := w.loop.cfg.Limits.Sockets
	if own := 2*w.server.clients.MaxConnections + downstream.MaxRejected + maxAdminConnections + 4; own > limit {
		t.Errorf("clients, endpoints and operators may take %d descriptors of %d", own, limit)
	}
	if open := w.server.clients.Count(); open > w.server.clients.MaxConnections+downstream.MaxRejected {
		t.Errorf("%d connections of clients, limit %d", open, w.server.clients.MaxConnections)
	}
	close(end)
	for range n {
		<-ended
	}
}

// An answer without a length that is reset, or whose head promised more, is never whole:
// where nothing of it is out the client hears of a failure, else it finds a broken answer.
func TestTruncatedResponseIsNeverComplete(t *testing.T) {
	for what, begin := range map[string]string{
		"without a length":     "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
		"of HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\npart",
		"half a line":          "HTTP/1.1 200 O",
		"a head alone":         "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
		"a body cut short":     "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"chunks, no last one":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"a large one, no size": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + strings.Repeat("x", httpmsg.MaxBufferedBytes+100),
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, resetAfter(begin))
			w := start(t, nil, ready("s-1", e.Address))
			got := w.send(w.request("order", "x", 3*time.Second))
			if got.err == nil && got.code == http.StatusOK {
				t.Errorf("the client has %d bytes as a whole answer", len(got.body))
			}
			if n, _ := e.Seen(); n != 1 {
				t.Errorf("an unsafe request was sent %d times", n)
			}
		})
	}
}

// resetAfter begins an answer and resets the connection.
func resetAfter(begin string) func(*sidecartest.Endpoint, net.Conn, *bufio.Reader) {
	return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
		e.Next(in)
		io.WriteString(conn, begin)
		conn.(*net.TCPConn).SetLinger(0)
	}
}
