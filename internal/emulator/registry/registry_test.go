package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/emulator/emulatortest"
)

func TestResponsesDependOnTheRequestedVersion(t *testing.T) {
	r := startRegistry(t, Options{History: 2})
	r.Set([]Instance{instance("x", Ready), instance("y", Ready)})
	r.Update(instance("x", Terminating))
	r.Update(instance("x", Removed), instance("z", Ready))
	r.expect(r.call(""), 3, true, "y=Ready", "z=Ready")
	r.expect(r.call("?after=2"), 3, false, "x=Gone", "z=Ready")
	r.expect(r.call("?after=1"), 3, false, "x=Gone", "z=Ready")
	r.expect(r.call("?after=0"), 3, true, "y=Ready", "z=Ready") // older than the changes in the history
	r.expect(r.call("?after=9"), 3, true, "y=Ready", "z=Ready") // newer than the list, so not a version of this list
	r.expect(r.call("?after=3&wait_ms=1"), 3, false)
	if got := r.Counts(); got.ListCalls != 1 || got.WatchCalls != 5 || got.CompleteResponses != 3 ||
		got.DeltaResponses != 2 || got.EmptyResponses != 1 || got.BytesOut == 0 || got.BytesIn == 0 ||
		got.HandlingCPU <= 0 || got.Connections.Accepted != 1 {
		t.Errorf("got counts %+v, want 1 list call and 5 watch calls with 3 complete, 2 delta and 1 empty response, "+
			"bytes in both directions, handling CPU time and 1 connection", got)
	}
}

func TestInstanceEncodesAsTheDiscoveryProtocolSays(t *testing.T) {
	const want = `{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m","block":3,` +
		`"health":"Ready","share":1,"born_ms":5}`
	given := instance("s", Ready)
	given.Cell, given.StartedMS = 3, 5
	if got, err := json.Marshal(given); err != nil || string(got) != want {
		t.Errorf("got encoding %s, error %v, want encoding %s", got, err, want)
	}
}

func TestWatchBlocksUntilTheNextVersion(t *testing.T) {
	r := startRegistry(t, Options{})
	r.Set(nil)
	result := r.startWatch("?after=1&wait_ms=60000")
	r.Update(instance("x", Ready))
	r.expect(<-result, 2, false, "x=Ready")
	result = r.startWatch("?after=2&wait_ms=60000")
	r.Set([]Instance{instance("y", Ready)})
	r.expect(<-result, 3, true, "y=Ready")
}

func TestWatchEndsWhenItsClientDisconnects(t *testing.T) {
	r := startRegistry(t, Options{})
	r.client.Timeout = 50 * time.Millisecond
	if got := r.call("?after=0&wait_ms=60000"); got.err == nil {
		t.Errorf("got response %+v, want a timeout", got)
	}
	emulatortest.Await(t, "the end of the watch and its connection", func() bool {
		return r.pendingWatches() == 0 && r.Counts().Connections.Open == 0
	})
}

func TestCallsOverTheQueueDelayGet503(t *testing.T) {
	r := startRegistry(t, Options{CallsPerSecond: 0.001, MaxQueueDelay: time.Millisecond})
	r.expect(r.call(""), 0, true)
	r.expectUnavailable("")
	if got := r.Counts(); got.Unavailable != 1 || got.CompleteResponses != 1 {
		t.Errorf("got counts %+v, want 1 unavailable and 1 complete response", got)
	}
}

func TestCallsAreRateLimited(t *testing.T) {
	r := startRegistry(t, Options{CallsPerSecond: 100})
	start := time.Now()
	for range 3 {
		r.expect(r.call(""), 0, true)
	}
	if elapsed := time.Since(start); elapsed < 20*time.Millisecond {
		t.Errorf("three calls took %v, want at least 20 ms", elapsed)
	}
}

func TestOutageResetsWatchesAndRejectsCalls(t *testing.T) {
	r := startRegistry(t, Options{})
	for _, fail := range []func(){r.ResetConnections, func() { r.SetDown(true) }} {
		result := r.startWatch("?after=0&wait_ms=60000")
		fail()
		if got := <-result; !errors.Is(got.err, syscall.ECONNRESET) {
			t.Errorf("watch: got %+v, want %v", got, syscall.ECONNRESET)
		}
		emulatortest.Await(t, "the end of the watch", func() bool { return r.pendingWatches() == 0 })
	}
	r.expectUnavailable("?after=0&wait_ms=60000")
	r.SetDown(false)
	r.expect(r.call(""), 0, true)
	if got := r.Counts(); got.Reset != 2 || got.Unavailable != 1 {
		t.Errorf("got counts %+v, want 2 resets and 1 unavailable response", got)
	}
}

func TestSilentServerLeavesOnlyWatchesPending(t *testing.T) {
	r := startRegistry(t, Options{})
	r.SetSilent(true)
	result := r.startWatch("?after=0&wait_ms=0")
	r.Update(instance("x", Ready))
	r.expect(r.call(""), 1, true, "x=Ready")
	if got := r.Counts(); r.pendingWatches() != 1 || got.DeltaResponses+got.EmptyResponses != 0 {
		t.Errorf("silent registry: got %d pending watches and counts %+v, want 1 pending watch without a response",
			r.pendingWatches(), got)
	}
	r.SetSilent(false)
	r.expect(<-result, 1, false, "x=Ready")
}

func TestMoveServesOnlyTheNewAddress(t *testing.T) {
	r := startRegistry(t, Options{})
	r.moveGrace = 0
	result := r.startWatch("?after=0&wait_ms=60000")
	newAddress, err := r.Move("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if got := <-result; got.err == nil {
		t.Errorf("watch at the old address: got response %+v, want an error", got)
	}
	if got := r.call(""); !errors.Is(got.err, syscall.ECONNREFUSED) {
		t.Errorf("call at the old address: got %+v, want %v", got, syscall.ECONNREFUSED)
	}
	r.address = newAddress.String()
	r.expect(r.call(""), 0, true)
}

func TestInvalidCallsAreRejected(t *testing.T) {
	r := startRegistry(t, Options{})
	for query, want := range map[string]int{"?after=x": 400, "?after=1&wait_ms=-1": 400, "/more": 404} {
		if got := r.call(query); got.status != want {
			t.Errorf("%s: got %+v, want status %d", query, got, want)
		}
	}
}

// benchmarkCall calls a registry with 860 instances and reports the processor time that a call takes.
func benchmarkCall(b *testing.B, query string) {
	r := startRegistry(b, Options{})
	instances := make([]Instance, 860)
	for i := range instances {
		instances[i] = instance(fmt.Sprintf("s-%08x", i), Ready)
	}
	r.Set(instances)
	for b.Loop() {
		if got := r.call(query); got.err != nil {
			b.Fatal(got.err)
		}
	}
	b.ReportMetric(float64(r.Counts().HandlingCPU.Nanoseconds())/float64(b.N), "cpu-ns/call")
}

func BenchmarkCompleteList(b *testing.B) { benchmarkCall(b, "") }
func BenchmarkEmptyWatch(b *testing.B)   { benchmarkCall(b, "?after=1") }
