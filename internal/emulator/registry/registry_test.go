package registry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// world is a Server that listens, and a client with connections of its own.
type world struct {
	*Server
	t       testing.TB
	address string
	client  http.Client
}

func newWorld(t testing.TB, options Options) *world {
	t.Helper()
	w := &world{Server: New(options), t: t}
	w.client.Transport = &http.Transport{}
	address, err := w.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w.address = address.String()
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	})
	return w
}

// reply is what came of a call.
type reply struct {
	status int
	list   message
	err    error
}

func (w *world) call(query string) reply {
	response, err := w.client.Get("http://" + w.address + listPath + query)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	got := reply{status: response.StatusCode}
	if got.status == http.StatusOK {
		got.err = json.NewDecoder(response.Body).Decode(&got.list)
	}
	return got
}

// hold makes a call in the background and returns once it is held.
func (w *world) hold(query string) <-chan reply {
	result := make(chan reply, 1)
	go func() { result <- w.call(query) }()
	w.await("a held watch", func() bool { return w.held() == 1 })
	return result
}

func (w *world) held() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.watches)
}

func (w *world) await(what string, reached func() bool) {
	w.t.Helper()
	for end := time.Now().Add(10 * time.Second); !reached(); runtime.Gosched() {
		if time.Now().After(end) {
			w.t.Fatalf("no %s", what)
		}
	}
}

func (w *world) expect(got reply, seq uint64, whole bool, hosts ...string) {
	w.t.Helper()
	names := []string{}
	for _, instance := range got.list.Hosts {
		names = append(names, instance.Host+"="+instance.Health)
	}
	if got.err != nil || got.status != http.StatusOK || got.list.Seq != seq || got.list.Whole != whole ||
		strings.Join(names, " ") != strings.Join(hosts, " ") {
		w.t.Errorf("got %+v, want version %d, whole %v, hosts %v", got, seq, whole, hosts)
	}
}

func (w *world) refuse(query string) {
	w.t.Helper()
	if got := w.call(query); got.status != http.StatusServiceUnavailable {
		w.t.Errorf("%s: got %+v", query, got)
	}
}

func instance(name, health string) Instance {
	return Instance{Host: name, Dial: "127.0.0.1:1", Site: "a", Class: "m", Health: health, Share: 1}
}

func TestListsByVersion(t *testing.T) {
	w := newWorld(t, Options{History: 2})
	w.Set([]Instance{instance("x", Ready), instance("y", Ready)})
	w.Update(instance("x", Terminating))
	w.Update(instance("x", Gone), instance("z", Ready))
	w.expect(w.call(""), 3, true, "y=Ready", "z=Ready")
	w.expect(w.call("?after=2"), 3, false, "x=Gone", "z=Ready")
	w.expect(w.call("?after=1"), 3, false, "x=Gone", "z=Ready")
	w.expect(w.call("?after=0"), 3, true, "y=Ready", "z=Ready") // older than the history
	w.expect(w.call("?after=9"), 3, true, "y=Ready", "z=Ready") // of another numbering
	w.expect(w.call("?after=3&wait_ms=1"), 3, false)
	if got := w.Counts(); got.WholeCalls != 1 || got.WatchCalls != 5 || got.WholeAnswers != 3 || got.Changed != 2 ||
		got.Empty != 1 || got.BytesOut == 0 || got.BytesIn == 0 || got.HandlingCPU <= 0 || got.Connections.Accepted != 1 {
		t.Errorf("counts %+v", got)
	}
}

func TestJSONFormOfAnInstance(t *testing.T) {
	const want = `{"host":"s","dial":"127.0.0.1:1","site":"a","class":"m","block":3,"health":"Ready","share":1,"born_ms":5}`
	given := instance("s", Ready)
	given.Block, given.BornMS = 3, 5
	if got, err := json.Marshal(given); err != nil || string(got) != want {
		t.Errorf("got %s (%v), want %s", got, err, want)
	}
}

func TestAWatchIsHeldUntilThereIsNews(t *testing.T) {
	w := newWorld(t, Options{})
	w.Set(nil)
	result := w.hold("?after=1&wait_ms=60000")
	w.Update(instance("x", Ready))
	w.expect(<-result, 2, false, "x=Ready")
	result = w.hold("?after=2&wait_ms=60000")
	w.Set([]Instance{instance("y", Ready)})
	w.expect(<-result, 3, true, "y=Ready")
}

func TestAWatchEndsWithItsClient(t *testing.T) {
	w := newWorld(t, Options{})
	w.client.Timeout = 50 * time.Millisecond
	if got := w.call("?after=0&wait_ms=60000"); got.err == nil {
		t.Errorf("answered: %+v", got)
	}
	w.await("end of the watch", func() bool { return w.held() == 0 && w.Counts().Connections.Open == 0 })
}

func TestCallsThatWaitTooLongAreRefused(t *testing.T) {
	w := newWorld(t, Options{CallsPerSecond: 0.001, MaxQueueDelay: time.Millisecond})
	w.expect(w.call(""), 0, true)
	w.refuse("")
	if got := w.Counts(); got.Unavailable != 1 || got.WholeAnswers != 1 {
		t.Errorf("counts %+v", got)
	}
}

func TestCallsTakeTheirTurns(t *testing.T) {
	w := newWorld(t, Options{CallsPerSecond: 100})
	start := time.Now()
	for range 3 {
		w.expect(w.call(""), 0, true)
	}
	if took := time.Since(start); took < 20*time.Millisecond {
		t.Errorf("three calls took %v at 10 ms each", took)
	}
}

func TestDown(t *testing.T) {
	w := newWorld(t, Options{})
	for _, fail := range []func(){w.ResetConnections, func() { w.SetDown(true) }} {
		result := w.hold("?after=0&wait_ms=60000")
		fail()
		if got := <-result; !errors.Is(got.err, syscall.ECONNRESET) {
			t.Errorf("watch ended with %+v", got)
		}
		w.await("end of the watch", func() bool { return w.held() == 0 })
	}
	w.refuse("?after=0&wait_ms=60000")
	w.SetDown(false)
	w.expect(w.call(""), 0, true)
	if got := w.Counts(); got.Reset != 2 || got.Unavailable != 1 {
		t.Errorf("counts %+v", got)
	}
}

func TestSilence(t *testing.T) {
	w := newWorld(t, Options{})
	w.SetSilent(true)
	result := w.hold("?after=0&wait_ms=0")
	w.Update(instance("x", Ready))
	w.expect(w.call(""), 1, true, "x=Ready")
	if got := w.Counts(); w.held() != 1 || got.Changed+got.Empty != 0 {
		t.Errorf("the watch was answered: %+v", got)
	}
	w.SetSilent(false)
	w.expect(<-result, 1, false, "x=Ready")
}

func TestMove(t *testing.T) {
	w := newWorld(t, Options{})
	w.moveGrace = 0
	result := w.hold("?after=0&wait_ms=60000")
	to, err := w.Move("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if got := <-result; got.err == nil {
		t.Errorf("the old address answered %+v", got)
	}
	if got := w.call(""); !errors.Is(got.err, syscall.ECONNREFUSED) {
		t.Errorf("the old address gave %+v", got)
	}
	w.address = to.String()
	w.expect(w.call(""), 0, true)
}

func TestCallsThatAreNotByTheProtocol(t *testing.T) {
	w := newWorld(t, Options{})
	for query, want := range map[string]int{"?after=x": 400, "?after=1&wait_ms=-1": 400, "/more": 404} {
		if got := w.call(query); got.status != want {
			t.Errorf("%s: got %+v, want %d", query, got, want)
		}
	}
}

func benchmarkCall(b *testing.B, query string) {
	w := newWorld(b, Options{})
	instances := make([]Instance, 860)
	for i := range instances {
		instances[i] = instance(fmt.Sprintf("s-%08x", i), Ready)
	}
	w.Set(instances)
	for b.Loop() {
		if got := w.call(query); got.err != nil {
			b.Fatal(got.err)
		}
	}
	b.ReportMetric(float64(w.Counts().HandlingCPU.Nanoseconds())/float64(b.N), "cpu-ns/call")
}

func BenchmarkWholeList(b *testing.B)  { benchmarkCall(b, "") }
func BenchmarkEmptyWatch(b *testing.B) { benchmarkCall(b, "?after=1") }
