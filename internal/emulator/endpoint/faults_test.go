package endpoint

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/emulator/emulatortest"
)

func TestDrainingEndpointRejectsRequests(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	e.Drain()
	c.expect(503, "/search", "id1")
	c.expect(503, "/health/live", "")
	mustSucceed(t, e.Recover)
	c.expect(200, "/search", "id1")
}

func TestRestartBeginsANewIncarnation(t *testing.T) {
	e := start(t, Config{ServiceTime: time.Hour})
	c := newClient(t, e)
	result := c.sendAsync("id1")
	awaitInFlight(t, e, "inflight=1")
	if e.StartedMS() != 0 {
		t.Errorf("endpoint that started warm: got start time %d, want 0", e.StartedMS())
	}
	mustSucceed(t, e.Restart)
	if got := <-result; !errors.Is(got.err, syscall.ECONNRESET) {
		t.Errorf("request in flight during the restart: got %+v, want %v", got, syscall.ECONNRESET)
	}
	c.expect(200, "/health/live", "")
	restarted := e.StartedMS()
	e.Crash()
	if got := c.send("GET", "/health/live", ""); !errors.Is(got.err, syscall.ECONNREFUSED) {
		t.Errorf("health check after the crash: got %+v, want %v", got, syscall.ECONNREFUSED)
	}
	mustSucceed(t, e.Recover)
	c.expect(200, "/health/live", "")
	if recovered := e.StartedMS(); restarted == 0 || recovered < restarted || e.Address() != c.address {
		t.Errorf("got start times %d after the restart and %d after the recovery, want both set and in this order; "+
			"got address %s, want %s", restarted, recovered, e.Address(), c.address)
	}
}

func TestDisconnectedEndpointIsSilentUntilRecovery(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	c.expect(200, "/search", "id1")
	emulatortest.Await(t, "the first response", func() bool { return e.Counts().Served == 1 })
	mustSucceed(t, e.Disconnect)
	before := e.Counts()
	silent := c.sendAsync("id2") // uses the connection that is already open
	emulatortest.Await(t, "the request's first byte", func() bool { return e.Counts().BytesIn > before.BytesIn })
	_, err := net.DialTimeout("tcp", c.address, 50*time.Millisecond)
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("dial: got %v, want a timeout", err)
	}
	if after := e.Counts(); after.BytesOut != before.BytesOut {
		t.Errorf("the disconnected endpoint sent %d bytes, want 0", after.BytesOut-before.BytesOut)
	}
	mustSucceed(t, e.Recover)
	if got := <-silent; !errors.Is(got.err, syscall.ECONNRESET) {
		t.Errorf("request to the disconnected endpoint: got %+v, want %v", got, syscall.ECONNRESET)
	}
	c.expect(200, "/search", "id3")
	if e.StartedMS() != 0 {
		t.Errorf("start time after the recovery: got %d, want 0 as before", e.StartedMS())
	}
}

func TestHungEndpointRespondsOnceItResumes(t *testing.T) {
	e := start(t, Config{})
	c := newClient(t, e)
	e.SetHung(true)
	result := c.sendAsync("id1")
	connected, err := net.Dial("tcp", c.address)
	if err != nil {
		t.Fatal(err)
	}
	defer connected.Close()
	if got := e.Counts(); got.Requests != 0 || got.BytesOut != 0 {
		t.Errorf("counts of the hung endpoint: got %+v, want 0 requests and 0 bytes sent", got)
	}
	e.SetHung(false)
	if got := <-result; got.status != 200 {
		t.Errorf("request sent to the hung endpoint: got %+v after it resumed, want status 200", got)
	}
}
