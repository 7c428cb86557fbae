package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hangingEndpoint is an endpoint that reads requests, records their ids and never responds.
type hangingEndpoint struct {
	address string

	mu  sync.Mutex // guards ids
	ids map[string]bool
}

func newHangingEndpoint(t *testing.T) *hangingEndpoint {
	t.Helper()
	e := &hangingEndpoint{ids: map[string]bool{}}
	e.address = serveConnections(t, e.serve)
	return e
}

func (e *hangingEndpoint) serve(conn net.Conn) {
	readRequests(conn, func(r *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.ids[r.Header.Get("X-Correlation-Id")] = true
	})
}

// received reports whether the endpoint has read a complete request with the given id.
func (e *hangingEndpoint) received(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids[id]
}

// terminationConfig returns a configuration with the given listen address. It has the given number of endpoints, all at
// the same given address, and two classes, whose longest deadline is 0.7 s. If a test asks for at least as
// many endpoints as it sends requests, timeouts of some requests cannot cause the rejection of others.
func terminationConfig(listen, endpoint string, endpoints int) string {
	hosts := make([]string, endpoints)
	for i := range hosts {
		hosts[i] = fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","health":"Ready","share":1}`, i, endpoint)
	}
	text := configJSON(listen)
	from, to := strings.Index(text, `[{"host"`), strings.Index(text, `]},`)
	text = text[:from+1] + strings.Join(hosts, ",") + text[to:]
	return strings.Replace(text, `"classes":[{"name":"read","repeat":"pure","target":600000,"give-up":1000000}]`,
		`"classes":[{"name":"read","repeat":"pure","target":200000,"give-up":210000},`+
			`{"name":"order","repeat":"side_effect","target":300000,"give-up":700000}]`, 1)
}

// lateRequest is a request that is sent on an idle connection after SIGTERM. delay is the time from SIGTERM until it is
// sent, and timeLeft is the remaining time that it states in X-Time-Left-Ms.
type lateRequest struct {
	id, method, class string
	key               string // value of Idempotency-Key; empty for none
	delay, timeLeft   time.Duration
	conn              net.Conn
	reader            *bufio.Reader
}

func (r *lateRequest) write() error {
	key := ""
	if r.key != "" {
		key = "Idempotency-Key: " + r.key + "\r\n"
	}
	_, err := fmt.Fprintf(r.conn, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Time-Left-Ms: %d\r\n%sContent-Length: 0\r\n\r\n", r.method, r.class, r.class, r.id,
		r.timeLeft.Milliseconds(), key)
	return err
}

// readResponse reads the response and reports whether it arrived completely.
func (r *lateRequest) readResponse() bool {
	response, err := http.ReadResponse(r.reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// Guards against a process that exits after SIGTERM before a request that it forwarded has a complete response. This
// could happen if the request arrives late on an open connection, or if its endpoint does not respond before the
// deadline.
func TestShutdownAnswersForwardedRequests(t *testing.T) {
	const (
		step     = 50 * time.Millisecond
		maxDelay = 1400 * time.Millisecond // time from SIGTERM to SIGKILL: 0.7 s plus the longest deadline, 0.7 s
	)
	endpoint, listen := newHangingEndpoint(t), freeAddress(t)
	p := launch(t, command(t, terminationConfig(listen, endpoint.address, 100)))
	awaitReady(t, listen)
	var requests []*lateRequest
	for delay := time.Duration(0); delay <= maxDelay; delay += step {
		for _, r := range []*lateRequest{
			{method: http.MethodGet, class: "read", timeLeft: 210 * time.Millisecond},
			{method: http.MethodPost, class: "order", timeLeft: 700 * time.Millisecond},
		} {
			conn, err := net.Dial("tcp", listen)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { conn.Close() })
			conn.SetDeadline(time.Now().Add(20 * time.Second))
			r.id, r.delay = fmt.Sprintf("late-%s-%d", r.class, delay.Milliseconds()), delay
			r.conn, r.reader = conn, bufio.NewReader(conn)
			requests = append(requests, r)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var pending sync.WaitGroup
	for _, r := range requests {
		pending.Add(1)
		time.AfterFunc(r.delay, func() {
			defer pending.Done()
			if r.write() == nil && !r.readResponse() && endpoint.received(r.id) {
				t.Errorf("%s, sent %v after SIGTERM and forwarded: got no complete response, want one", r.id, r.delay)
			}
		})
	}
	pending.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("got program exit error %v, want exit code 0", err)
	}
	if n := p.log.count("request aborted by shutdown"); n > 0 {
		t.Errorf("got %d requests aborted by shutdown, want none", n)
	}
}

// Guards against a process that ignores SIGTERM during startup, or exits with an error because of it. Until the process
// handles the signal, SIGTERM may kill it.
func TestSIGTERMDuringStartup(t *testing.T) {
	endpoint := newHangingEndpoint(t)
	for delay := time.Duration(0); delay < 60*time.Millisecond; delay += 3 * time.Millisecond {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			p := launch(t, command(t, terminationConfig(freeAddress(t), endpoint.address, 4)))
			time.Sleep(delay)
			p.signal(syscall.SIGTERM)
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			select {
			case err := <-ended:
				// SIGTERM kills a program that does not handle it yet.
				status := p.ProcessState.Sys().(syscall.WaitStatus)
				if err != nil && status.Signal() != syscall.SIGTERM {
					t.Errorf("got program exit error %v, want none, or death by SIGTERM", err)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("got no exit of the process in 20 s after SIGTERM, want one")
			}
		})
	}
}

// Guards against requests that nobody accepts while a sidecar ends: the old process, which is replaced, answers its last
// request and accepts nobody any more when the new process gets SIGTERM, too. The new one must go on accepting.
func TestSIGTERMToBothProcessesLosesNoRequest(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/read" {
			close(arrived)
			<-release
		}
		io.WriteString(w, "done")
	}))
	t.Cleanup(endpoint.Close)
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	config := strings.Replace(withSearchClass(configJSON("127.0.0.1:1")), `"dial":"127.0.0.1:1"`,
		fmt.Sprintf(`"dial":%q`, endpoint.Listener.Addr()), 1)
	socket := newPassedSocket(t)
	first := socket.launch(t, config)
	awaitReady(t, socket.address)
	held := make(chan int, 1)
	go func() { held <- requestStatus(t, socket.address, "read") }()
	<-arrived
	second := socket.launch(t, config)
	waitFor(t, "the second process to be ready", second.healthy)
	first.signal(syscall.SIGTERM)
	waitFor(t, "the first process to accept nothing", func() bool { return first.log.count("admission closed") > 0 })
	second.signal(syscall.SIGTERM)
	waitFor(t, "the second process to shut down", func() bool { return second.log.count("shutdown started") > 0 })
	late := make(chan int, 1)
	go func() { late <- requestStatus(t, socket.address, "search") }()
	waitFor(t, "a response of the process that shuts down last", func() bool { return len(late) > 0 })
	if got := <-late; got != http.StatusOK {
		t.Errorf("a request to the process that shuts down last: got status %d, want 200", got)
	}
	releaseOnce()
	if got := <-held; got != http.StatusOK {
		t.Errorf("the request of the first process: got status %d, want 200", got)
	}
	for _, p := range []*program{first, second} {
		if err := p.Wait(); err != nil {
			t.Errorf("got program exit error %v, want exit code 0", err)
		}
	}
}
