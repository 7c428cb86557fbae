package main

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/internal/faults"
)

// arrival records the complete requests with one id at the endpoints.
type arrival struct {
	count    int           // of complete requests
	timeLeft time.Duration // as the latest request states it
	at       time.Time
}

// ledger records the requests that the endpoints of a test received, by X-Correlation-Id.
type ledger struct {
	mu       sync.Mutex
	arrivals map[string]arrival
}

func (l *ledger) record(r *http.Request) {
	ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	id := r.Header.Get("X-Correlation-Id")
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.arrivals[id]
	l.arrivals[id] = arrival{a.count + 1, time.Duration(ms) * time.Millisecond, time.Now()}
}

func (l *ledger) of(id string) arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id]
}

// serveConnections listens at a free address until the test ends, and serves each connection on its own goroutine.
func serveConnections(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// newEndpoint starts an endpoint that serves a request in up to 40 ms and never answers one in thirty.
func newEndpoint(t *testing.T, l *ledger) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) { serveEndpoint(conn, l) })
}

func serveEndpoint(conn net.Conn, l *ledger) {
	readRequests(conn, func(r *http.Request) {
		l.record(r)
		id, hash := r.Header.Get("X-Correlation-Id"), fnv.New32a()
		io.WriteString(hash, id)
		if hash.Sum32()%30 == 0 {
			return
		}
		time.Sleep(time.Duration(hash.Sum32()%40) * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	})
}

// readRequests calls handle for each complete request of a connection until the connection ends, and closes it.
func readRequests(conn net.Conn, handle func(*http.Request)) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		handle(r)
	}
}

// newFaultProxy starts a proxy before an endpoint that delays, drops, resets or truncates some connections.
func newFaultProxy(t *testing.T, to string) (address string) {
	t.Helper()
	proxy, err := faults.NewProxy(to, func(connection int) faults.ConnFault {
		switch connection % 8 {
		case 2:
			return faults.ConnFault{Delay: 100 * time.Millisecond}
		case 3:
			return faults.ConnFault{TruncateAfter: 300}
		case 4:
			return faults.ConnFault{ChunkBytes: 3}
		case 5:
			return faults.ConnFault{Blackhole: true}
		case 6:
			return faults.ConnFault{ResetOnAccept: true}
		case 7:
			return faults.ConnFault{TruncateAfter: 90, CleanEnd: true}
		}
		return faults.ConnFault{}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { proxy.Close() })
	return proxy.Address()
}

// traffic runs the clients of a test and records the results of their requests.
type traffic struct {
	address  string
	ledger   *ledger
	stopping chan struct{}
	clients  sync.WaitGroup

	answered, served atomic.Int64
	mu               sync.Mutex
	violations       []string
	unanswered       []string             // ids of requests whose connection ended without a response
	abandoned        map[string]time.Time // when clients abandoned requests, by id
}

const trafficTimeLeft = 700 * time.Millisecond

// maxLateArrival limits how long after its client has abandoned it a request may arrive at an endpoint: 0.1 s until the
// attempt starts, 0.1 s on the slowest connection, and slack for a busy machine.
const maxLateArrival = 500 * time.Millisecond

// startTraffic starts clients that each keep a connection and send one request after another.
func startTraffic(address string, l *ledger, clients int) *traffic {
	f := &traffic{address: address, ledger: l, stopping: make(chan struct{}), abandoned: map[string]time.Time{}}
	for i := range clients {
		f.clients.Add(1)
		go f.client(i)
	}
	return f
}

// stop ends the clients, each after its request in flight.
func (f *traffic) stop() {
	close(f.stopping)
	f.clients.Wait()
}

func (f *traffic) stopped() bool {
	select {
	case <-f.stopping:
		return true
	default:
		return false
	}
}

// violation records a violation, which check reports.
func (f *traffic) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// client alternates between requests of both classes. It regularly abandons a request or pauses.
func (f *traffic) client(number int) {
	defer f.clients.Done()
	var conn net.Conn
	var in *bufio.Reader
	for i := 0; !f.stopped(); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", f.address, 5*time.Second); err != nil {
				conn = nil
				time.Sleep(5 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("t%d-%d-%d", lastRequestID.Add(1), number, i)
		if i%17 == 16 {
			f.abandon(conn, id)
			conn = nil
			continue
		}
		if !f.roundTrip(conn, in, id, i) {
			conn.Close()
			conn = nil
		}
		if i%9 == 8 {
			time.Sleep(30 * time.Millisecond)
		}
	}
	if conn != nil {
		conn.Close()
	}
}

// writeRequest writes a request of class order or, if it is idempotent, of class read.
func (f *traffic) writeRequest(conn net.Conn, id string, nonIdempotent bool) error {
	method, class := http.MethodGet, "read"
	if nonIdempotent {
		method, class = http.MethodPost, "order"
	}
	_, err := fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, class, class, id, trafficTimeLeft.Milliseconds())
	return err
}

// abandon writes a request and closes the connection.
func (f *traffic) abandon(conn net.Conn, id string) {
	f.writeRequest(conn, id, true)
	conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.abandoned[id] = time.Now()
}

// roundTrip sends one request and reports whether its connection may be used again.
func (f *traffic) roundTrip(conn net.Conn, in *bufio.Reader, id string, i int) bool {
	nonIdempotent := i%2 == 1
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	var response *http.Response
	err := f.writeRequest(conn, id, nonIdempotent)
	if err == nil {
		response, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		f.recordUnanswered(id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		f.violation("%s: truncated response %d: %v", id, response.StatusCode, err)
	case response.StatusCode == http.StatusOK && string(body) != id:
		f.violation("%s: got the response to another request, %q", id, body)
	case nonIdempotent && f.ledger.of(id).count > 1:
		f.violation("%s: not idempotent, and run %d times", id, f.ledger.of(id).count)
	case response.StatusCode == http.StatusServiceUnavailable && nonIdempotent && f.ledger.of(id).count > 0:
		f.violation("%s: not idempotent, run, and rejected as if it had not run", id)
	}
	f.answered.Add(1)
	if response.StatusCode == http.StatusOK {
		f.served.Add(1)
	}
	return err == nil && !response.Close
}

// recordUnanswered records a request whose connection ended without a response. A request may cross the end of an idle
// connection; one that the sidecar forwarded may not.
func (f *traffic) recordUnanswered(id string, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		f.violation("%s: no response in 20 s", id)
	}
	f.mu.Lock()
	f.unanswered = append(f.unanswered, id)
	f.mu.Unlock()
}

// check reports violations. maxUnanswered limits the requests that crossed the end of a connection.
func (f *traffic) check(t *testing.T, maxUnanswered int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, violation := range f.violations {
		t.Error(violation)
	}
	for _, id := range f.unanswered {
		if n := f.ledger.of(id).count; n > 0 {
			t.Errorf("%s: forwarded %d times, got no response", id, n)
		}
	}
	for id, at := range f.abandoned {
		if a := f.ledger.of(id); a.count > 0 && a.at.After(at.Add(maxLateArrival)) {
			t.Errorf("%s: forwarded %v after its client had abandoned it, want at most %v",
				id, a.at.Sub(at), maxLateArrival)
		}
	}
	if len(f.unanswered) > maxUnanswered {
		t.Errorf("got %d connections that ended under requests, want at most %d: %v",
			len(f.unanswered), maxUnanswered, f.unanswered)
	}
	if f.served.Load() == 0 {
		t.Error("got no served request, want some")
	}
	t.Logf("%d answered, %d of them served, %d on connections that ended",
		f.answered.Load(), f.served.Load(), len(f.unanswered))
}
