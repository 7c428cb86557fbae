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

// arrivalRecord describes the complete requests with one id that the endpoints received.
type arrivalRecord struct {
	count    int           // number of complete requests
	timeLeft time.Duration // value of X-Time-Left-Ms in the latest request
	at       time.Time     // arrival of the latest request
}

// requestRecorder records the requests that the endpoints of a test received, by their X-Correlation-Id.
type requestRecorder struct {
	mu       sync.Mutex
	arrivals map[string]arrivalRecord
}

func (recorder *requestRecorder) record(r *http.Request) {
	ms, _ := strconv.Atoi(r.Header.Get("X-Time-Left-Ms"))
	id := r.Header.Get("X-Correlation-Id")
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	a := recorder.arrivals[id]
	recorder.arrivals[id] = arrivalRecord{a.count + 1, time.Duration(ms) * time.Millisecond, time.Now()}
}

func (recorder *requestRecorder) lookup(id string) arrivalRecord {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	return recorder.arrivals[id]
}

// serveConnections listens at a free address until the test ends, and calls serve for each connection in its own
// goroutine.
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

// newEndpoint starts an endpoint that never responds to about one in thirty requests, and responds to the others within
// 40 ms. The response body is the id of the request.
func newEndpoint(t *testing.T, recorder *requestRecorder) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) { serveEndpoint(conn, recorder) })
}

func serveEndpoint(conn net.Conn, recorder *requestRecorder) {
	readRequests(conn, func(r *http.Request) {
		recorder.record(r)
		id, hash := r.Header.Get("X-Correlation-Id"), fnv.New32a()
		io.WriteString(hash, id)
		if hash.Sum32()%30 == 0 {
			return
		}
		time.Sleep(time.Duration(hash.Sum32()%40) * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	})
}

// readRequests calls handle for each complete request on a connection. When the connection ends or a read fails, it
// closes the connection and returns.
func readRequests(conn net.Conn, handle func(*http.Request)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		handle(r)
	}
}

// newFaultProxy starts a proxy in front of an endpoint, whose address is the argument to. The proxy injects a fault
// into most of its connections: a delay, a truncated response, small chunks, no response, or a reset.
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

// traffic runs the clients of a test, and records the results of their requests.
type traffic struct {
	address  string           // address of the sidecar
	recorder *requestRecorder // records the requests that reach endpoints
	stopping chan struct{}    // closed to stop the clients
	clients  sync.WaitGroup

	answered, served atomic.Int64         // answered: requests with any response; served: those with status 200
	mu               sync.Mutex           // guards the fields below
	violations       []string             // messages that the method check reports
	unanswered       []string             // ids of requests whose connection ended without a response
	abandoned        map[string]time.Time // times at which clients abandoned their requests, by the request's id
}

// trafficTimeLeft is the remaining time that each request states in X-Time-Left-Ms.
const trafficTimeLeft = 700 * time.Millisecond

// maxLateArrival limits the time from the moment when a client abandons a request to the request's arrival at an
// endpoint. It is the sum of 0.1 s until the sidecar starts an attempt, 0.1 s of delay in a fault proxy, and 0.3 s for
// a busy machine.
const maxLateArrival = 500 * time.Millisecond

// startTraffic starts the given number of clients. Each keeps one connection open and sends one request after another.
func startTraffic(address string, recorder *requestRecorder, clients int) *traffic {
	tr := &traffic{address: address, recorder: recorder, stopping: make(chan struct{}), abandoned: map[string]time.Time{}}
	for i := range clients {
		tr.clients.Add(1)
		go tr.client(i)
	}
	return tr
}

// stop stops the clients, and waits until each has finished its current request.
func (tr *traffic) stop() {
	close(tr.stopping)
	tr.clients.Wait()
}

// stopped reports whether stop was called.
func (tr *traffic) stopped() bool {
	select {
	case <-tr.stopping:
		return true
	default:
		return false
	}
}

// addViolation records a violation for check to report.
func (tr *traffic) addViolation(format string, args ...any) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.violations = append(tr.violations, fmt.Sprintf(format, args...))
}

// client sends requests until stop is called, alternating between the classes read and order. It abandons every 17th
// request, and pauses after some of the others.
func (tr *traffic) client(clientNumber int) {
	defer tr.clients.Done()
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; !tr.stopped(); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", tr.address, 5*time.Second); err != nil {
				conn = nil
				time.Sleep(5 * time.Millisecond)
				continue
			}
			reader = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("t%d-%d-%d", lastRequestID.Add(1), clientNumber, i)
		if i%17 == 16 {
			tr.abandon(conn, id)
			conn = nil
			continue
		}
		if !tr.roundTrip(conn, reader, id, i) {
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

// writeRequest writes a request of class order if nonIdempotent is true, and a request of class read otherwise.
func (tr *traffic) writeRequest(conn net.Conn, id string, nonIdempotent bool) error {
	method, class := http.MethodGet, "read"
	if nonIdempotent {
		method, class = http.MethodPost, "order"
	}
	_, err := fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, class, class, id, trafficTimeLeft.Milliseconds())
	return err
}

// abandon writes a request of class order and closes the connection without waiting for the response.
func (tr *traffic) abandon(conn net.Conn, id string) {
	tr.writeRequest(conn, id, true)
	conn.Close()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.abandoned[id] = time.Now()
}

// roundTrip sends request number i of a client and checks its response. It reports whether the connection may be used
// again.
func (tr *traffic) roundTrip(conn net.Conn, reader *bufio.Reader, id string, i int) bool {
	nonIdempotent := i%2 == 1
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	var response *http.Response
	err := tr.writeRequest(conn, id, nonIdempotent)
	if err == nil {
		response, err = http.ReadResponse(reader, nil)
	}
	if err != nil {
		tr.recordUnanswered(id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		tr.addViolation("%s: got a truncated response with status %d (%v), want a complete one",
			id, response.StatusCode, err)
	case response.StatusCode == http.StatusOK && string(body) != id:
		tr.addViolation("%s: got body %q, want the id of the request", id, body)
	case nonIdempotent && tr.recorder.lookup(id).count > 1:
		tr.addViolation("%s: got %d runs of a non-idempotent request, want at most 1", id, tr.recorder.lookup(id).count)
	case response.StatusCode == http.StatusServiceUnavailable && nonIdempotent && tr.recorder.lookup(id).count > 0:
		tr.addViolation("%s: got status 503 for a non-idempotent request that had run, want another status", id)
	}
	tr.answered.Add(1)
	if response.StatusCode == http.StatusOK {
		tr.served.Add(1)
	}
	return err == nil && !response.Close
}

// recordUnanswered records a request whose connection ended without a response. Such an end is allowed if the sidecar
// closed the idle connection while the request was on its way, but it is a violation if the client's read timed out.
// In addition, (*traffic).check fails the test if the sidecar had forwarded the request.
func (tr *traffic) recordUnanswered(id string, err error) {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		tr.addViolation("%s: got no response in 20 s, want one", id)
	}
	tr.mu.Lock()
	tr.unanswered = append(tr.unanswered, id)
	tr.mu.Unlock()
}

// check fails the test if there were violations, if a forwarded request got no response, if an abandoned request
// arrived at an endpoint too late, or if no request was served. maxUnanswered limits the requests whose connection
// ended without a response.
func (tr *traffic) check(t *testing.T, maxUnanswered int) {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, violation := range tr.violations {
		t.Error(violation)
	}
	for _, id := range tr.unanswered {
		if n := tr.recorder.lookup(id).count; n > 0 {
			t.Errorf("%s: forwarded %d times, got no response, want one", id, n)
		}
	}
	for id, at := range tr.abandoned {
		if a := tr.recorder.lookup(id); a.count > 0 && a.at.After(at.Add(maxLateArrival)) {
			t.Errorf("%s: arrived at an endpoint %v after its client abandoned it, want at most %v",
				id, a.at.Sub(at), maxLateArrival)
		}
	}
	if len(tr.unanswered) > maxUnanswered {
		t.Errorf("got %d requests whose connection ended without a response, want at most %d: %v",
			len(tr.unanswered), maxUnanswered, tr.unanswered)
	}
	if tr.served.Load() == 0 {
		t.Error("got 0 served requests, want at least 1")
	}
	t.Logf("%d requests answered, %d of them served, %d unanswered",
		tr.answered.Load(), tr.served.Load(), len(tr.unanswered))
}
