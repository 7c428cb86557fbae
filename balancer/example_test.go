package balancer_test

import (
	"fmt"

	"oakproxy/balancer"
)

// host implements balancer.Actions. It prints the actions that a sidecar would perform.
type host struct{}

func (h *host) Send(id uint64, endpoint uint32, _ balancer.Micros) {
	fmt.Printf("send request %d to endpoint %d\n", id, endpoint)
}
func (h *host) Reject(id uint64, after balancer.Micros) { fmt.Printf("reject request %d\n", id) }
func (h *host) Fail(id uint64)                          { fmt.Printf("fail request %d\n", id) }
func (h *host) Cancel(id uint64, attempt int)           {}
func (h *host) StartTimer(balancer.Micros, uint32)      {}
func (h *host) Probe(endpoint uint32)                   {}
func (h *host) Watch(on bool)                           {}
func (h *host) Log(line string)                         { fmt.Println(line) }

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{
			Name: "read", Idempotency: balancer.Idempotent,
			LatencyObjective: 200_000, ClientTimeout: 800_000, PriorityWeight: 1,
		}},
		ReportFields: []balancer.ReportField{balancer.FieldInFlight},
		Limits:       balancer.Limits{Probes: true, MaxAttempts: 2, MaxOpenRequests: 1000},
		Contract:     balancer.Contract{SlowStartInitialFraction: 0.2, SlowStartDuration: 10_000_000, OverloadFactor: 2.5},
		Goal:         balancer.Goal{Overall: 1},
	}
	h := &host{}
	b, err := balancer.New(settings, 1, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(0)
	b.HandleEndpoints(0, balancer.ListCached, []balancer.Endpoint{{ID: 7}, {ID: 8}})
	b.HandleProbe(1_000, 7, balancer.OK, 500, []float32{2}) // endpoint 7 has two requests in flight
	b.HandleProbe(1_000, 8, balancer.OK, 500, []float32{0}) // endpoint 8 has no requests in flight

	b.HandleRequest(2_000, balancer.Request{ID: 1, Deadline: 802_000})
	b.HandleOutcome(3_000, balancer.Outcome{ID: 1, Endpoint: 8, Status: balancer.EndpointError, Latency: 1_000})
	b.HandleOutcome(40_000, balancer.Outcome{
		ID: 1, Attempt: 1, Endpoint: 7, Status: balancer.OK, Latency: 37_000, Answered: true,
	})

	b.HandleEndpoints(50_000, balancer.ListDelta, []balancer.Endpoint{
		{ID: 7, State: balancer.Removed}, {ID: 8, State: balancer.Draining},
	})
	b.HandleRequest(60_000, balancer.Request{ID: 2, Deadline: 860_000})
	// Output:
	// send request 1 to endpoint 8
	// endpoint 8 ejected, 50% of its recent attempts failed
	// send request 1 to endpoint 7
	// reject request 2
}
