package endpoint

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/emulator/emulatortest"
	"oakproxy/internal/emulator/httpconn"
)

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
			t.Errorf("%s %s: got %+v, want %+v", check.method, check.path, got, check)
		}
	}
	emulatortest.Await(t, "the third response", func() bool { return e.Counts().Served == 3 })
	got := e.Counts()
	if got.Requests != 4 || got.MissingIDs != 1 || got.Duplicates != 1 || got.HealthChecks != 2 ||
		got.BytesIn == 0 || got.BytesOut == 0 ||
		got.Connections != (httpconn.SetCounts{Accepted: 1, Open: 1, MaxOpen: 1}) {
		t.Errorf("got counts %+v, want 4 requests, 1 missing ID, 1 duplicate, 2 health checks, bytes in both directions "+
			"and 1 connection, which is open", got)
	}
}

func TestFullQueueRejectsRequests(t *testing.T) {
	e := start(t, Config{ServiceTime: time.Hour, QueueLimit: 1})
	c := newClient(t, e)
	running := c.sendAsync("id1")
	awaitInFlight(t, e, "inflight=1")
	queued := c.sendAsync("id2")
	awaitInFlight(t, e, "inflight=2")
	c.expect(503, "/search", "id3")
	e.connections.ResetAll()
	for _, result := range []<-chan requestResult{running, queued} {
		if got := <-result; got.err == nil {
			t.Errorf("request on a connection that was reset: got response %+v, want an error", got)
		}
	}
	awaitInFlight(t, e, "inflight=0")
	emulatortest.Await(t, "the abandoned requests", func() bool { return e.Counts().Abandoned == 2 })
	if got := e.Counts(); got.Rejected != 1 || got.Served != 0 {
		t.Errorf("got counts %+v, want 1 request rejected and 0 served", got)
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
		t.Errorf("read from an idle connection: got %v, want EOF", err)
	}
	emulatortest.Await(t, "the connection to be closed", func() bool { return e.Counts().Connections.Open == 0 })
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
		_, _ = io.WriteString(socket, sent) // fails if the endpoint closes the connection before it has read everything
		if got, _ := io.ReadAll(socket); len(got) > 0 {
			t.Errorf("%s: got response %q, want none", name, got)
		}
	}
}

func TestServiceTimeFallsDuringWarmUp(t *testing.T) {
	config := Config{ServiceTime: 10 * time.Millisecond, WarmUp: time.Second, ColdCapacity: 0.2}.withDefaults()
	for elapsed, want := range map[time.Duration]time.Duration{
		0:                      50 * time.Millisecond,
		375 * time.Millisecond: 20 * time.Millisecond,
		time.Second:            10 * time.Millisecond,
		time.Hour:              10 * time.Millisecond,
	} {
		if got := config.serviceTimeAt(elapsed); got.Round(time.Microsecond) != want {
			t.Errorf("%v after the start: got service time %v, want %v", elapsed, got, want)
		}
	}
}
