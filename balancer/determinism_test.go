package balancer

import (
	"fmt"
	"testing"
)

// The same settings, seed and events must result in the same actions: otherwise a run could not be reproduced.
func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := startBalancer(t, testSettings(), readyEndpoints(5))
		for i := range uint64(200) {
			now := Micros(i) * 7000
			b.HandleRequest(now, testRequest(i, uint8(i%5), now))
			if i%3 == 0 {
				b.HandleTimer(now, probeTimerToken)
				b.HandleProbe(now, uint32(i%5+1), OK, 500, []float32{float32(i % 4)})
			}
			last := r.sends[len(r.sends)-1]
			b.HandleOutcome(now, Outcome{ID: last.id, Endpoint: last.endpoint, Status: Status(i % 7), Latency: 3000})
		}
		return r
	}
	if a, b := fmt.Sprint(run()), fmt.Sprint(run()); a != b {
		t.Error("two runs with the same settings, seed and events gave different actions")
	}
}

// Once the balancer has records to reuse, a request must allocate no memory: garbage collection would delay requests.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(5))
	id := uint64(0)
	serveRequest := func() {
		id++
		r.sends, r.timers, r.delays = r.sends[:0], r.timers[:0], r.delays[:0]
		b.HandleRequest(1000, testRequest(id, 0, 1000))
		b.HandleOutcome(2000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, Answered: true})
	}
	for range 100 {
		serveRequest()
	}
	if n := testing.AllocsPerRun(200, serveRequest); n > 0.1 {
		t.Errorf("%v allocations per request, want 0.1 at most", n)
	}
}
