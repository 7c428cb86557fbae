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

// arrival is a whole request at an endpoint.
type arrival struct {
	times int           // that it came
	told  time.Duration // that the client waits for the answer
	at    time.Time
}

// ledger is what the endpoints of a test got and answered, by X-Correlation-Id.
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
	l.arrivals[id] = arrival{a.times + 1, time.Duration(ms) * time.Millisecond, time.Now()}
}

func (l *ledger) of(id string) arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrivals[id]
}

// serveEach serves each connection to an address of its own until the test ends.
func serveEach(t *testing.T, serve func(net.Conn)) (address string) {
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

// newBackend starts an endpoint that takes up to 40 ms and never answers one request of thirty.
func newBackend(t *testing.T, l *ledger) (address string) {
	t.Helper()
	return serveEach(t, func(conn net.Conn) { serveBackend(conn, l) })
}

func serveBackend(conn net.Conn, l *ledger) {
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

// readRequests passes on each whole request of a connection until that ends, and closes it.
func readRequests(conn net.Conn, take func(*http.Request)) {
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
		take(r)
	}
}

// brokenNetwork is a proxy before an endpoint: some of its connections are late, silent, reset or cut.
func brokenNetwork(t *testing.T, to string) (address string) {
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

// traffic is what the clients of a test send, and what came of it.
type traffic struct {
	address string
	ledger  *ledger
	end     chan struct{}
	clients sync.WaitGroup

	answered, served atomic.Int64
	mu               sync.Mutex
	faults           []string
	ended            []string             // ids of requests on connections that ended with no answer
	left             map[string]time.Time // when clients left their requests, by id
}

const trafficTimeLeft = 700 * time.Millisecond

// maxLate is how long after its client has left a request may come to an endpoint here: 0.1 s until the attempt begins,
// as long on the slowest connection, and what a busy machine takes.
const maxLate = 500 * time.Millisecond

// begin starts so many clients, each of which keeps a connection and sends one request after another.
func begin(address string, l *ledger, clients int) *traffic {
	f := &traffic{address: address, ledger: l, end: make(chan struct{}), left: map[string]time.Time{}}
	for i := range clients {
		f.clients.Add(1)
		go f.client(i)
	}
	return f
}

// stop ends the clients, each after the request that it has out.
func (f *traffic) stop() {
	close(f.end)
	f.clients.Wait()
}

func (f *traffic) over() bool {
	select {
	case <-f.end:
		return true
	default:
		return false
	}
}

func (f *traffic) fault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, fmt.Sprintf(format, args...))
}

// client sends requests of both classes in turn. Now and then it leaves with a request out, or rests.
func (f *traffic) client(number int) {
	defer f.clients.Done()
	var conn net.Conn
	var in *bufio.Reader
	for i := 0; !f.over(); i++ {
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", f.address, 5*time.Second); err != nil {
				conn = nil
				time.Sleep(5 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("t%d-%d-%d", lastID.Add(1), number, i)
		if i%17 == 16 {
			f.leave(conn, id)
			conn = nil
			continue
		}
		if !f.ask(conn, in, id, i) {
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

func (f *traffic) write(conn net.Conn, id string, unsafe bool) error {
	method, class := http.MethodGet, "read"
	if unsafe {
		method, class = http.MethodPost, "order"
	}
	_, err := fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n", method, class, class, id, trafficTimeLeft.Milliseconds())
	return err
}

// leave writes a request and goes.
func (f *traffic) leave(conn net.Conn, id string) {
	f.write(conn, id, true)
	conn.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left[id] = time.Now()
}

// ask sends one request and reports whether its connection may be used again.
func (f *traffic) ask(conn net.Conn, in *bufio.Reader, id string, i int) bool {
	unsafe := i%2 == 1
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	var response *http.Response
	err := f.write(conn, id, unsafe)
	if err == nil {
		response, err = http.ReadResponse(in, nil)
	}
	if err != nil {
		f.noAnswer(id, err)
		return false
	}
	body, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		f.fault("%s: an answer %d that broke off: %v", id, response.StatusCode, err)
	case response.StatusCode == http.StatusOK && string(body) != id:
		f.fault("%s: another request's answer, %q", id, body)
	case unsafe && f.ledger.of(id).times > 1:
		f.fault("%s: unsafe, and run %d times", id, f.ledger.of(id).times)
	case response.StatusCode == http.StatusServiceUnavailable && unsafe && f.ledger.of(id).times > 0:
		f.fault("%s: unsafe, run, and refused as if it never had", id)
	}
	f.answered.Add(1)
	if response.StatusCode == http.StatusOK {
		f.served.Add(1)
	}
	return err == nil && !response.Close
}

// noAnswer records a connection that ended without one. A request may cross the end of a resting connection; one that
// the sidecar passed on may not.
func (f *traffic) noAnswer(id string, err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		f.fault("%s: no answer in 20 s", id)
	}
	f.mu.Lock()
	f.ended = append(f.ended, id)
	f.mu.Unlock()
}

// check reports what went wrong. maxEnded is how many requests may have crossed the end of a connection.
func (f *traffic) check(t *testing.T, maxEnded int) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.faults {
		t.Error(fault)
	}
	for _, id := range f.ended {
		if n := f.ledger.of(id).times; n > 0 {
			t.Errorf("%s: passed on %d times, and no answer", id, n)
		}
	}
	for id, at := range f.left {
		if a := f.ledger.of(id); a.times > 0 && a.at.After(at.Add(maxLate)) {
			t.Errorf("%s: passed on %v after its client had left", id, a.at.Sub(at))
		}
	}
	if len(f.ended) > maxEnded {
		t.Errorf("%d connections ended under requests, %d may: %v", len(f.ended), maxEnded, f.ended)
	}
	if f.served.Load() == 0 {
		t.Error("nothing was served")
	}
	t.Logf("%d answered, %d of them served, %d on connections that ended", f.answered.Load(), f.served.Load(), len(f.ended))
}
