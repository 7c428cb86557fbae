package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// buildProgram builds the program as the deploy file does, and returns its path. A test binary has more pages than the
// program, so that its memory says little.
func buildProgram(t *testing.T) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "sidecar")
	build := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, ".")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the program: %v: %s", err, output)
	}
	return path
}

// residentMemoryKB returns the memory in KB of a process, with the pages of the program file.
func residentMemoryKB(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			if err != nil {
				t.Fatal(err)
			}
			return kb
		}
	}
	t.Fatal("the status of the process has no VmRSS")
	return 0
}

// soundClients are clients that keep their connections open and send one request after another on each.
type soundClients struct {
	address  string
	stopping chan struct{}
	clients  sync.WaitGroup

	served, rejected atomic.Int64
	mu               sync.Mutex    // guards the fields below
	failures         []string      // requests without a final answer in time, and ends of connections
	slowest          time.Duration // longest time until a response was complete
}

const (
	soundTimeLeft  = time.Second            // time that sound clients wait; the endpoints share a processor with the crowd
	soundGrace     = 500 * time.Millisecond // how much later a final answer may come
	soundBodyBytes = 212                    // size of the bodies of sound clients, as in the example of the protocol
)

// startSoundClients opens the connections of the clients, which use them until stop is called.
func startSoundClients(t *testing.T, address string, count int) *soundClients {
	t.Helper()
	s := &soundClients{address: address, stopping: make(chan struct{})}
	for i := range count {
		s.clients.Add(1)
		go s.client(i)
	}
	return s
}

func (s *soundClients) client(number int) {
	defer s.clients.Done()
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-s.stopping:
			if conn != nil {
				conn.Close()
			}
			return
		case <-time.After(20 * time.Millisecond):
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", s.address); err != nil {
				s.fail("dial: %v", err)
				return
			}
			reader = bufio.NewReader(conn)
		}
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(conn, soundRequest(fmt.Sprintf("sound-%d-%d-%d", number, i, lastRequestID.Add(1)), i%2 == 1))
		sent := time.Now()
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		took := time.Since(sent)
		s.mu.Lock()
		s.slowest = max(s.slowest, took)
		s.mu.Unlock()
		switch {
		case err != nil:
			s.fail("request %d of client %d: no response after %v: %v", i, number, took, err)
		case took > soundTimeLeft+soundGrace:
			s.fail("request %d of client %d: answered after %v", i, number, took)
		case response.Close:
			s.fail("request %d of client %d: the response closes the connection", i, number)
		case response.StatusCode == http.StatusServiceUnavailable:
			s.rejected.Add(1)
		case response.StatusCode != http.StatusOK:
			s.fail("request %d of client %d: status %d after %v", i, number, response.StatusCode, took)
		default:
			s.served.Add(1)
		}
		if err != nil || response.Close {
			conn.Close()
			conn = nil
		}
	}
}

// soundRequest returns a request of class order with a small body or, without a body, of class read.
func soundRequest(id string, hasBody bool) string {
	line, class, body := "GET /read", "read", ""
	if hasBody {
		line, class, body = "POST /order", "order", strings.Repeat("x", soundBodyBytes)
	}
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\nX-Time-Left-Ms: %d\r\n"+
		"Content-Length: %d\r\n\r\n%s", line, class, id, soundTimeLeft.Milliseconds(), len(body), body)
}

func (s *soundClients) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// maxRejectedShare is the largest share of the requests of sound clients that may be rejected, for the load of the others.
const maxRejectedShare = 0.1

// stop ends the clients. It fails the test for each request that got no final answer in time, for each connection that the
// sidecar closed, and if too many requests were rejected.
func (s *soundClients) stop(t *testing.T) {
	t.Helper()
	close(s.stopping)
	s.clients.Wait()
	for i, failure := range s.failures {
		if i < 10 {
			t.Error(failure)
		}
	}
	served, rejected := s.served.Load(), s.rejected.Load()
	if float64(rejected) > maxRejectedShare*float64(served+rejected) {
		t.Errorf("got %d of %d requests of sound clients rejected", rejected, served+rejected)
	}
	t.Logf("sound clients: %d requests served, %d rejected, %d failed, slowest %v",
		served, rejected, len(s.failures), s.slowest)
}

// highestMemoryKB returns the most memory in KB that a process has until done is closed.
func highestMemoryKB(t *testing.T, pid int, done <-chan struct{}) (highest int) {
	t.Helper()
	for {
		highest = max(highest, residentMemoryKB(t, pid))
		select {
		case <-done:
			return highest
		case <-time.After(5 * time.Millisecond):
		}
	}
}
