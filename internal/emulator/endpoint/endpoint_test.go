package endpoint

import (
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

func start(t *testing.T, config Config) *Endpoint {
	t.Helper()
	config.Name, config.Address = "s-1", "127.0.0.1:0"
	e, err := Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { succeed(t, e.Close) })
	return e
}

func succeed(t *testing.T, do func() error) {
	t.Helper()
	if err := do(); err != nil {
		t.Fatal(err)
	}
}

// reply is the outcome of a request.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// client sends requests to an endpoint on persistent connections.
type client struct {
	http.Client
	t       *testing.T
	address string
}

func newClient(t *testing.T, e *Endpoint) *client {
	c := &client{t: t, address: e.Address()}
	c.Transport = &http.Transport{}
	t.Cleanup(c.CloseIdleConnections)
	return c
}

func (c *client) send(method, path, id string) reply {
	request, err := http.NewRequest(method, "http://"+c.address+path, strings.NewReader("body"))
	if err != nil {
		return reply{err: err}
	}
	if method == http.MethodGet {
		request.Body = http.NoBody
	}
	if id != "" {
		request.Header.Set(correlationIDHeader, id)
	}
	response, err := c.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(body), err}
}

// expect sends a request and checks its status. A 503 has to say that the request was not processed.
func (c *client) expect(status int, path, id string) {
	c.t.Helper()
	got := c.send(http.MethodGet, path, id)
	rejected := got.header.Get(unprocessedHeader) == "1"
	if got.status != status || rejected != (status == http.StatusServiceUnavailable && id != "") {
		c.t.Errorf("%s: got %+v, want %d", path, got, status)
	}
}

// begin sends a request in the background.
func (c *client) begin(id string) <-chan reply {
	result := make(chan reply, 1)
	go func() { result <- c.send(http.MethodPost, "/checkout", id) }()
	return result
}

func await(t *testing.T, what string, reached func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !reached(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("no %s", what)
		}
	}
}

func awaitInFlight(t *testing.T, e *Endpoint, want string) {
	t.Helper()
	await(t, want, func() bool { return e.loadReport() == want })
}

func TestRequestsAndHealthChecksAreServed(t *testing.T) {
	e := start(t, Config{ReportLoad: true})
	c := newClient(t, e)
	for _, check := range []struct {
		method, path, id string
		status           int
		body             string
	}{
		{"POST", "/checkout", "id1", 200, "s-1 id1\n"},
		{"GET", "/search?q=1", "id2", 200, "s-1 id2\n"},
		{"GET", "/search", "id1", 200, "s-1 id1\n"},
		{"GET", "/search", "", 404, ""},
		{"GET", "/health/live", "", 200, ""},
		{"GET", "/stats", "", 200, "inflight=0"},
	} {
		got := c.send(check.method, check.path, check.id)
		if got.err != nil || got.status != check.status || got.body != check.body ||
			got.header.Get(loadHeader) != "inflight=0" {
			t.Errorf("%+v: got %+v", check, got)
		}
	}
	await(t, "third answer", func() bool { return e.Counts().Served == 3 })
	got := e.Counts()
	if got.Requests != 4 || got.MissingIDs != 1 || got.Duplicates != 1 || got.HealthChecks != 2 ||
		got.BytesIn == 0 || got.BytesOut == 0 ||
		got.Connections != (httpconn.SetCounts{Accepted: 1, Open: 1, MaxOpen: 1}) {
		t.Errorf("counts %+v", got)
	}
}

func TestFullQueueRejectsRequests(t *testing.T) {
	e := start(t, Config{ServiceTime: time.Hour, QueueLimit: 1})
	c := newClient(t, e)
	running := c.begin("id1")
	awaitInFlight(t, e, "inflight=1")
	queued := c.begin("id2")
	awaitInFlight(t, e, "inflight=2")
	c.expect(503, "/search", "id3")
	e.connections.ResetAll()
	for _, result := range []<-chan reply{running, queued} {
		if got := <-result; got.err == nil {
			t.Errorf("got %+v", got)
		}
	}
	awaitInFlight(t, e, "inflight=0")
	await(t, "abandoned requests", func() bool { return e.Counts().Abandoned == 2 })
	if got := e.Counts(); got.Rejected != 1 || got.Served != 0 {
		t.Errorf("counts %+v", got)
	}
}

func TestQueueIsFIFOAndSkipsExpiredTasks(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	conn := httpconn.New(near, &httpconn.Traffic{})
	q := &queue{cores: 1, limit: 9, serviceTime: func(time.Time) time.Duration { return time.Hour }}
	first := &task{conn: conn}
	late := &task{conn: conn, deadline: time.Now()}
	second, third := &task{conn: conn}, &task{conn: conn}
	for _, next := range []*task{first, late, second, third} {
		if !q.admit(next) {
			t.Fatal("rejected")
		}
	}
	if got := q.finish(first); got != running {
		t.Errorf("the first was %v", got)
	}
	if late.state != expired || second.state != running || third.state != queued {
		t.Errorf("late %v, second %v, third %v", late.state, second.state, third.state)
	}
	for _, next := range []*task{third, late, second} {
		q.finish(next)
	}
	if got := q.inFlight(); got != 0 {
		t.Errorf("%d in flight", got)
	}
}

func TestDrainingEndpointRejectsRequests(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	e.Drain()
	c.expect(503, "/search", "id1")
	c.expect(503, "/health/live", "")
	succeed(t, e.Recover)
	c.expect(200, "/search", "id1")
}

func TestRestartBeginsANewIncarnation(t *testing.T) {
	e := start(t, Config{ServiceTime: time.Hour})
	c := newClient(t, e)
	result := c.begin("id1")
	awaitInFlight(t, e, "inflight=1")
	if e.StartedMS() != 0 {
		t.Errorf("started at %d", e.StartedMS())
	}
	succeed(t, e.Restart)
	if got := <-result; !errors.Is(got.err, syscall.ECONNRESET) {
		t.Errorf("got %+v", got)
	}
	c.expect(200, "/health/live", "")
	restarted := e.StartedMS()
	e.Crash()
	if got := c.send("GET", "/health/live", ""); !errors.Is(got.err, syscall.ECONNREFUSED) {
		t.Errorf("got %+v", got)
	}
	succeed(t, e.Recover)
	c.expect(200, "/health/live", "")
	if recovered := e.StartedMS(); restarted == 0 || recovered < restarted || e.Address() != c.address {
		t.Errorf("started at %d and %d, at %s", restarted, recovered, e.Address())
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	e := start(t, Config{IdleTimeout: time.Millisecond})
	socket, err := net.Dial("tcp", e.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	if _, err := socket.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("reading gave %v, want EOF", err)
	}
	await(t, "closed connection", func() bool { return e.Counts().Connections.Open == 0 })
}

func TestInvalidRequestsCloseTheConnection(t *testing.T) {
	e := start(t, Config{ServiceTime: time.Hour, Cores: 9})
	for name, sent := range map[string]string{
		"malformed": "GET\r\n\r\n",
		"too large": "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537),
		"pipelined": strings.Repeat("GET /x HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: id1\r\n\r\n", 2),
	} {
		socket, err := net.Dial("tcp", e.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		_, _ = io.WriteString(socket, sent) // it may be cut off
		if got, _ := io.ReadAll(socket); len(got) > 0 {
			t.Errorf("%s: answered %q", name, got)
		}
	}
}

func TestDisconnectedEndpointIsSilentUntilRecovery(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	c.expect(200, "/search", "id1")
	await(t, "first answer", func() bool { return e.Counts().Served == 1 })
	succeed(t, e.Disconnect)
	before := e.Counts()
	silent := c.begin("id2") // on the connection it has
	await(t, "byte of a request", func() bool { return e.Counts().BytesIn > before.BytesIn })
	_, err := net.DialTimeout("tcp", c.address, 50*time.Millisecond)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("dialling gave %v", err)
	}
	if after := e.Counts(); after.BytesOut != before.BytesOut {
		t.Errorf("%d bytes sent while it was disconnected", after.BytesOut-before.BytesOut)
	}
	succeed(t, e.Recover)
	if got := <-silent; !errors.Is(got.err, syscall.ECONNRESET) {
		t.Errorf("got %+v", got)
	}
	c.expect(200, "/search", "id3")
	if e.StartedMS() != 0 {
		t.Error("the start time has changed")
	}
}

func TestHungEndpointRespondsOnceItResumes(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	e.Hang(true)
	result := c.begin("id1")
	connected, err := net.Dial("tcp", c.address)
	if err != nil {
		t.Fatal(err)
	}
	defer connected.Close()
	if got := e.Counts(); got.Requests != 0 || got.BytesOut != 0 {
		t.Errorf("counts while it hangs %+v", got)
	}
	e.Hang(false)
	if got := <-result; got.status != 200 {
		t.Errorf("got %+v", got)
	}
}

func TestServiceTimeFallsDuringWarmUp(t *testing.T) {
	config := Config{ServiceTime: 10 * time.Millisecond, WarmUp: time.Second, ColdCapacity: 0.2}.withDefaults()
	for since, want := range map[time.Duration]time.Duration{
		0:                      50 * time.Millisecond,
		375 * time.Millisecond: 20 * time.Millisecond,
		time.Second:            10 * time.Millisecond,
		time.Hour:              10 * time.Millisecond,
	} {
		if got := config.serviceTimeAt(since); got.Round(time.Microsecond) != want {
			t.Errorf("%v after the start: %v, want %v", since, got, want)
		}
	}
}
