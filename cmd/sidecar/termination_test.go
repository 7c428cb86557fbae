package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// hangingEndpoint accepts requests, records their ids and never responds.
type hangingEndpoint struct {
	address string

	mu  sync.Mutex
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

func (e *hangingEndpoint) received(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids[id]
}

// terminationConfig returns a configuration with a number of endpoints at one address and two classes, whose longest
// deadline is 0.7 s. With one endpoint per request, no request is rejected because others time out.
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

// lateRequest is a request that is sent on an idle connection some time after SIGTERM.
type lateRequest struct {
	id, method, class string
	after, timeLeft   time.Duration
	conn              net.Conn
	in                *bufio.Reader
}

func (r *lateRequest) write() error {
	_, err := fmt.Fprintf(r.conn, "%s /%s HTTP/1.1\r\nHost: api\r\nX-Service-Class: %s\r\nX-Correlation-Id: %s\r\n"+
		"X-Time-Left-Ms: %d\r\nContent-Length: 0\r\n\r\n", r.method, r.class, r.class, r.id, r.timeLeft.Milliseconds())
	return err
}

// answered reads the response and reports whether it is complete.
func (r *lateRequest) answered() bool {
	response, err := http.ReadResponse(r.in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil
}

// A request that the process forwards after SIGTERM gets a complete response before the process exits, whenever it
// arrives on its open connection and however long its endpoint stays silent.
func TestShutdownAnswersForwardedRequests(t *testing.T) {
	const (
		step = 50 * time.Millisecond
		last = 1400 * time.Millisecond // SIGKILL follows 0.7 s after the longest deadline
	)
	endpoint, listen := newHangingEndpoint(t), freeAddress(t)
	p := launch(t, command(t, terminationConfig(listen, endpoint.address, 100)))
	awaitReady(t, listen)
	var requests []*lateRequest
	for after := time.Duration(0); after <= last; after += step {
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
			r.id, r.after = fmt.Sprintf("late-%s-%d", r.class, after.Milliseconds()), after
			r.conn, r.in = conn, bufio.NewReader(conn)
			requests = append(requests, r)
		}
	}
	if err := p.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var pending sync.WaitGroup
	for _, r := range requests {
		pending.Add(1)
		time.AfterFunc(r.after, func() {
			defer pending.Done()
			if r.write() == nil && !r.answered() && endpoint.received(r.id) {
				t.Errorf("%s, %v after SIGTERM: forwarded, got no complete response", r.id, r.after)
			}
		})
	}
	pending.Wait()
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
	if n := p.log.count("request aborted by shutdown"); n > 0 {
		t.Errorf("got %d requests aborted by shutdown, want none", n)
	}
}

// A process that gets SIGTERM during startup exits, without error if it already handles the signal.
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
				// A program that does not handle the signal yet is killed by it.
				status := p.ProcessState.Sys().(syscall.WaitStatus)
				if err != nil && status.Signal() != syscall.SIGTERM {
					t.Errorf("the program ended with %v, want no error or SIGTERM", err)
				}
			case <-time.After(20 * time.Second):
				t.Fatal("the process did not exit in 20 s")
			}
		})
	}
}
