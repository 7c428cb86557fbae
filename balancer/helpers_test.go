package balancer

import (
	"testing"
)

// testSettings returns valid default settings, which tests modify as needed.
func testSettings() Settings {
	return Settings{
		Balancers: 2, Zones: 1, MachineKinds: 1, Tick: 5000,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			keyedClass("keyed-all", ScopeAll), keyedClass("keyed-zone", ScopeZone), keyedClass("keyed-cell", ScopeCell),
			{Name: "write", Idempotency: NonIdempotent, LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
		},
		ReportFields: []ReportField{FieldInFlight},
		Limits: Limits{CancelAttempts: true, Probes: true, HedgedRequests: true, RetryAfter: true,
			MaxAttempts: 3, MaxOpenRequests: 1000, MaxRetryAfter: second, DialTimeout: 100_000},
		Contract: Contract{DrainGrace: 500_000, SlowStartInitialFraction: 0.2, SlowStartDuration: 10 * second,
			OverloadFactor: 2.5, OverloadWindow: second, PollInterval: 10 * second},
		Goal: Goal{Overall: 1},
	}
}

// keyedClass returns a class of requests with an idempotency key and this deduplication scope.
func keyedClass(name string, scope DeduplicationScope) Class {
	return Class{
		Name: name, Idempotency: IdempotentWithKey, DeduplicationScope: scope, DeduplicationWindow: 500_000,
		LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1,
	}
}

// readClass returns a list that contains a single class of idempotent requests.
func readClass(latencyObjective, clientTimeout Micros) []Class {
	return []Class{{
		Name: "read", Idempotency: Idempotent,
		LatencyObjective: latencyObjective, ClientTimeout: clientTimeout, PriorityWeight: 1,
	}}
}

// sentAttempt is an attempt that a balancer started by Actions.Send.
type sentAttempt struct {
	id       uint64
	endpoint uint32
}

// recorder records the actions of a balancer.
type recorder struct {
	sends        []sentAttempt
	latestStarts []Micros // argument latest of each call of Send, in the order of sends
	rejected     []uint64
	failed       []uint64
	cancels      []uint64 // IDs of requests, one for each cancelled attempt
	probes       []uint32 // IDs of the probed endpoints
	timers       []uint32 // tokens of the timers
	delays       []Micros // delay of each timer, in the order of timers
	watches      int      // number of calls of Watch
	logs         []string
}

func (r *recorder) Send(id uint64, e uint32, latest Micros) {
	r.sends, r.latestStarts = append(r.sends, sentAttempt{id, e}), append(r.latestStarts, latest)
}
func (r *recorder) Reject(id uint64, _ Micros) { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id uint64)             { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)    { r.cancels = append(r.cancels, id) }
func (r *recorder) StartTimer(delay Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}
func (r *recorder) Probe(e uint32)  { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)      { r.watches++ }
func (r *recorder) Log(line string) { r.logs = append(r.logs, line) }

// readyEndpoints returns n endpoints in state Ready with IDs from 1. Endpoints 1 and 2 share a zone and a cell, as do 3
// and 4, and so on.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Weight: 1}
	}
	return list
}

// startBalancer returns a started balancer with this endpoint list, and the recorder of its actions.
func startBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.HandleEndpoints(0, ListCached, list)
	return b, r
}

// testRequest returns a request with a deadline one second after now.
func testRequest(id uint64, class uint8, now Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

// newRecord returns a ledger record of a request without adding it to the balancer's ledger.
func newRecord(b *Balancer, in Request) *request {
	class, tenant := b.demand.resolveClass(&in)
	return &request{Request: in, class: class, idempotency: class.Idempotency,
		deduplicationScope: class.DeduplicationScope, tenant: tenant}
}
