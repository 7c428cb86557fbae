package sidecartest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/system"
)

// Patience is how long a test waits for what must come.
const Patience = 20 * time.Second

const SettingsText = `{"areas":["a","b"],"skus":["m1"],"stages":["s"],"tenants":[],"discovery":"subscribe",
 "classes":[
 {"name":"read","repeat":"pure","target":600000,"give-up":3000000,"credit":1},
 {"name":"pay","repeat":"token","group":"all","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"close","repeat":"token","group":"cell","window":5000000,"target":600000,"give-up":3000000,"credit":1},
 {"name":"order","repeat":"side_effect","target":600000,"give-up":3000000,"credit":1}],
 "contract":{"answer-slack":20000,"ask-within":1000000,"cold-from":0.3,"drain-grace":1000000,"fall-multiple":2.5,"overload-for":1000000,"ramp-time":0},
 "limits":{"cancel":true,"dial-timeout":2000000,"keepalive":5000000,"max-retry-after":1500000,"most-held":1000,"most-tries":3,"multiplex":1,"probes":false,"retry-after":true,"second-copies":true},
 "reporting":{"how":"probe","fields":["failed_ps","pending"]},"peers-total":1,"position":0,"zone":0}`

// Endpoint is a TCP server whose answers a test writes byte by byte.
type Endpoint struct {
	Address string

	mu       sync.Mutex
	conns    int
	requests []*http.Request // read by next
}

func NewEndpoint(t *testing.T, serve func(e *Endpoint, conn net.Conn, in *bufio.Reader)) *Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	e := &Endpoint{Address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns++
			e.mu.Unlock()
			go func() {
				defer conn.Close()
				serve(e, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return e
}

// Next reads a whole request, or returns nil when the connection has ended.
func (e *Endpoint) Next(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil
	}
	r.Body = io.NopCloser(strings.NewReader(string(body)))
	e.mu.Lock()
	e.requests = append(e.requests, r)
	e.mu.Unlock()
	return r
}

// Seen counts the requests read and the connections accepted.
func (e *Endpoint) Seen() (requests, conns int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.requests), e.conns
}

// Request returns one of the requests read.
func (e *Endpoint) Request(i int) *http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests[i]
}

// Always answers every request with the same bytes.
func Always(answer string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			io.WriteString(conn, answer)
		}
	}
}

const (
	Served     = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	Failing    = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	TurnedAway = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
)

// PayWaits serves every request, those of class pay only once answer yields.
func PayWaits(answer <-chan struct{}) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for r := e.Next(in); r != nil; r = e.Next(in) {
			if strings.HasPrefix(r.RequestURI, "/pay") {
				<-answer
			}
			io.WriteString(conn, Served)
		}
	}
}

// Silent takes requests and never answers.
func Silent(e *Endpoint, conn net.Conn, in *bufio.Reader) {
	for e.Next(in) != nil {
	}
}

// FirstThen answers the first request in one way and all others in another, over
// all connections.
func FirstThen(first, rest string) func(*Endpoint, net.Conn, *bufio.Reader) {
	return func(e *Endpoint, conn net.Conn, in *bufio.Reader) {
		for e.Next(in) != nil {
			if n, _ := e.Seen(); n == 1 {
				io.WriteString(conn, first)
			} else {
				io.WriteString(conn, rest)
			}
		}
	}
}

func Await(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for: %s", what)
		}
	}
}

// ClosedAddress is one that refuses connections. Its port stays bound until the test ends: a port given back
// may become another test's listener, which would then get requests that are not its own.
func ClosedAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// FaultyListener fails accepts with these errors, one after another, and then accepts.
type FaultyListener struct {
	net.Listener
	mu     sync.Mutex
	Errors []error
}

func (l *FaultyListener) Fail(errors []error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Errors = errors
}

// next returns the error to fail with, or nil.
func (l *FaultyListener) next() (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.Errors) > 0 {
		err, l.Errors = l.Errors[0], l.Errors[1:]
	}
	return err
}

func (l *FaultyListener) Accept() (net.Conn, error) {
	if err := l.next(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// held stops dials to an address until they are let go.
type held struct {
	Begun, Unblock chan struct{}
	once           sync.Once
}

// BlockDials has the dials to this address wait.
func BlockDials(dialer *net.Dialer, held_ string) *held {
	h := &held{Begun: make(chan struct{}), Unblock: make(chan struct{})}
	dialer.Control = func(_, address string, _ syscall.RawConn) error {
		if address == held_ {
			h.once.Do(func() { close(h.Begun) })
			<-h.Unblock
		}
		return nil
	}
	return h
}

// FaultyDisk fails the operations that a test names, until it is mended.
type FaultyDisk struct {
	mu   sync.Mutex
	with map[string]error // by operation
}

func (d *FaultyDisk) Fail(operation string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.with = map[string]error{operation: err}
}

func (d *FaultyDisk) Mend() { d.Fail("", nil) }

func (d *FaultyDisk) fault(operation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.with[operation]
}

// FileOps are the operations of this disk. A write that fails has written a half.
func (d *FaultyDisk) FileOps() system.FileOps {
	native := system.FileOps{}.OrSystem()
	return system.FileOps{
		Read: func(file *os.File, most int64) ([]byte, error) {
			if err := d.fault("read"); err != nil {
				return nil, &os.PathError{Op: "read", Path: file.Name(), Err: err}
			}
			return native.Read(file, most)
		},
		Write: func(file *os.File, text []byte) error {
			if err := d.fault("write"); err != nil {
				native.Write(file, text[:len(text)/2])
				return &os.PathError{Op: "write", Path: file.Name(), Err: err}
			}
			return native.Write(file, text)
		},
		Sync: func(file *os.File) error {
			if err := d.fault("sync"); err != nil {
				return &os.PathError{Op: "sync", Path: file.Name(), Err: err}
			}
			return native.Sync(file)
		},
		Rename: func(from, to string) error {
			if err := d.fault("rename"); err != nil {
				return &os.LinkError{Op: "rename", Old: from, New: to, Err: err}
			}
			return native.Rename(from, to)
		},
	}
}

// SteppedClock is a time source whose wall clock a test steps.
type SteppedClock struct {
	mu   sync.Mutex
	step time.Duration
}

func (s *SteppedClock) Step(step time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

func (s *SteppedClock) Clock() system.Clock {
	return system.Clock{Wall: func() time.Time {
		s.mu.Lock()
		defer s.mu.Unlock()
		return time.Now().Add(s.step)
	}}
}

const PayHead = "POST /pay HTTP/1.1\r\nHost: api\r\nX-Service-Class: pay\r\nX-Time-Left-Ms: 3000\r\nIdempotency-Key: k\r\n"

const ReadHead = "GET /read HTTP/1.1\r\nHost: api\r\nX-Service-Class: read\r\nX-Time-Left-Ms: 3000\r\n"
