package balancer

import (
	"math"
	"testing"
)

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// An endpoint that fails most requests must be relieved. But the breaker must drop nothing while all requests are
// accepted, or while too few have been sent to judge by.
func TestErrorDropProbability(t *testing.T) {
	for _, c := range []struct {
		name              string
		accepts, failures int
		drops             int // requests dropped by the breaker
		failingBuckets    int // number of buckets that the failures are spread over
		want              float64
	}{
		{"empty", 0, 0, 0, 1, 0},
		{"within protected requests", 0, 5, 0, 1, 0},
		{"one beyond protected requests", 0, 6, 0, 1, 1.0 / 7},
		// The drop probability is (requests - protectedRequests - K x accepted) / (requests + 1), with
		// protectedRequests = 5. The accept factor K has its maximum, 1.5, if the newest bucket has an accepted
		// request. That is so in the next cases, where all requests are in one bucket.
		{"two thirds fail", 10, 20, 0, 1, (30.0 - 5 - 15) / 31},
		{"dropped requests count", 10, 0, 20, 1, (30.0 - 5 - 15) / 31},
		{"all accepted", 40, 0, 0, 1, 0},
		// After the accepted requests come 20 of the 40 buckets with only failures: K = 1.5 - 0.4*20/40 = 1.3.
		{"K falls", 10, 20, 0, 20, (30.0 - 5 - 13) / 31},
	} {
		var k circuitBreaker
		now := 100 * second
		for range c.accepts {
			k.count(now, requestAccepted)
		}
		for i := range c.failures {
			if c.failingBuckets > 1 && i%(c.failures/c.failingBuckets) == 0 {
				now += breakerWindow / breakerBuckets
			}
			k.count(now, requestFailed)
		}
		for range c.drops {
			k.count(now, requestDropped)
		}
		if got := k.errorDropProbability(now); !almostEqual(got, c.want) {
			t.Errorf("%s: drop probability %v, want %v", c.name, got, c.want)
		}
	}
}

// Failures that are older than the window must have no effect: otherwise the breaker would still drop requests after
// the endpoint has recovered.
func TestBreakerWindowDropsOldBuckets(t *testing.T) {
	var k circuitBreaker
	for range 100 {
		k.count(100*second, requestFailed)
	}
	if k.errorDropProbability(109*second) == 0 {
		t.Error("drop probability 0 nine seconds after 100 failures, want more: the window is ten seconds")
	}
	if got := k.errorDropProbability(110*second + 1); got != 0 || k.requests != 0 {
		t.Errorf("drop probability %v and %d requests after the window, want 0 and 0", got, k.requests)
	}
	for range 100 {
		k.count(200*second, requestFailed)
	}
	k.errorDropProbability(500 * second)
	if k.requests != 0 {
		t.Errorf("%d requests in the window after 300 s without any, want 0", k.requests)
	}
}

// The base latency must fall fast and rise slowly. If it followed the latencies of an overload, the overloaded
// endpoint would look normal.
func TestBreakerLatencyAverages(t *testing.T) {
	var k circuitBreaker
	k.addLatency(100)
	if k.baseLatency != 100 || k.currentLatency != 100 {
		t.Fatalf("first sample of 100: base latency %v, current latency %v, want 100 and 100",
			k.baseLatency, k.currentLatency)
	}
	k.addLatency(60) // the base latency falls to (60+3*100)/4, and so does the current latency
	if !almostEqual(k.baseLatency, 90) || !almostEqual(k.currentLatency, 90) {
		t.Fatalf("sample of 60 after 100: base latency %v, current latency %v, want 90 and 90",
			k.baseLatency, k.currentLatency)
	}
	k.addLatency(190) // base latency (190+99*90)/100, current latency (190+3*90)/4
	if !almostEqual(k.baseLatency, 91) || !almostEqual(k.currentLatency, 115) {
		t.Fatalf("sample of 190 after 90: base latency %v, current latency %v, want 91 and 115",
			k.baseLatency, k.currentLatency)
	}
}

// The share of dropped requests must grow with the latency, up to a limit. Nothing may be dropped at an endpoint
// without samples or with a normal latency.
func TestLatencyDropProbability(t *testing.T) {
	for _, c := range []struct {
		name                   string
		base, current, timeout float64
		want                   float64
	}{
		{"no sample", 0, 0, 1000, 0},
		{"below three times the base latency", 100, 299, 1000, 0},
		// The range is from 3 x base latency = 300 to 0.95 x timeout = 950: (625-300)/(950-300)*0.3 = 0.15.
		{"half of the range", 100, 625, 1000, 0.15},
		{"at the ceiling", 100, 950, 1000, 0.3},
		{"capped", 100, 5000, 1000, 0.3},
		{"ceiling under the threshold", 400, 5000, 1000, 0},
	} {
		k := circuitBreaker{baseLatency: c.base, currentLatency: c.current}
		if got := k.latencyDropProbability(c.timeout); !almostEqual(got, c.want) {
			t.Errorf("%s: drop probability %v, want %v", c.name, got, c.want)
		}
	}
}

// The breaker of a failing endpoint must drop most requests. If it dropped all of them, a recovery would never be
// noticed.
func TestBreakerLetsTrialsThrough(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(1))
	e := b.membership.endpoints[0]
	now := 20 * second
	for range 1000 {
		e.breaker.count(now, requestFailed)
	}
	r := newRecord(b, Request{})
	if !b.breakers.allow(now, r, e) {
		t.Fatal("the first request is dropped, want it let through as a trial")
	}
	passed := 0
	for range 200 {
		if b.breakers.allow(now+1000, r, e) {
			passed++
		}
	}
	if passed > 20 {
		t.Errorf("%d of 200 requests let through to an endpoint that fails all, want at most 20", passed)
	}
	if !b.breakers.allow(now+forcedTrialInterval+1001, r, e) {
		t.Error("the request after the trial interval is dropped, want it let through")
	}
}

// If all endpoints fail at once, ejection must not direct all requests to the few that are not ejected yet.
func TestLoadStaysSpreadWhenAllFail(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(8))
	sends := map[uint32]int{}
	for id := range uint64(400) {
		now := 1000 + 100*Micros(id)
		b.HandleRequest(now, Request{ID: id, Class: 4, Deadline: now + second})
		if n := len(r.sends); n > 0 && r.sends[n-1].id == id {
			sends[r.sends[n-1].endpoint]++
			b.HandleOutcome(now, Outcome{ID: id, Endpoint: r.sends[n-1].endpoint, Status: EndpointError, Latency: 50})
		}
	}
	if !b.membership.endpoints[0].isEjected(41_000) {
		t.Fatal("endpoint 1 fails all requests, but is not ejected")
	}
	for e, n := range sends {
		if n > 3*len(r.sends)/8 {
			t.Errorf("endpoint %d got %d of %d sends, want at most three eighths", e, n, len(r.sends))
		}
	}
	if b.membership.endpoints[0].isEjected(60 * second) {
		t.Error("endpoint 1 is still ejected at 60 s, want the ejection to end")
	}
}

// An endpoint that fails fast seems idle and would therefore attract most requests. It must be avoided, but also be
// tried again, so that a recovery is noticed.
func TestFailingEndpointIsAvoidedAndTriedAgain(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(3))
	now := second
	sends := map[uint32]int{}
	id := uint64(0)
	serveRequest := func() {
		now += 20_000
		for e := range uint32(3) {
			b.HandleProbe(now, e+1, OK, 500, []float32{0})
		}
		id++
		next := len(r.sends)
		b.HandleRequest(now, testRequest(id, 0, now))
		for attempt := 0; next < len(r.sends); attempt++ {
			target := r.sends[next].endpoint
			next++
			sends[target]++
			status := OK
			if target == 1 {
				status = EndpointError
			}
			b.HandleOutcome(now, Outcome{ID: id, Attempt: attempt, Endpoint: target, Status: status,
				Latency: 30_000 + Micros(id*7919%60_000), Answered: status == OK})
		}
	}
	for range 3000 {
		serveRequest()
	}
	if sends[1] > 300 {
		t.Errorf("an endpoint that fails fast got %d sends of 3000 requests, want at most 300", sends[1])
	}
	if sends[1] < 2 {
		t.Errorf("a failing endpoint got %d sends, want at least 2, as it must be tried again", sends[1])
	}
}
