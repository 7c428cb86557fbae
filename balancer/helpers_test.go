package balancer

import (
	"testing"
)

// testSettings returns plain settings that tests change as they need.
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

// keyedClass returns a class of requests with an idempotency key.
func keyedClass(name string, scope DeduplicationScope) Class {
	return Class{
		Name: name, Idempotency: IdempotentWithKey, DeduplicationScope: scope, DeduplicationWindow: 500_000,
		LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1,
	}
}

// readClass returns a single class of idempotent requests.
func readClass(latencyObjective, clientTimeout Micros) []Class {
	return []Class{{
		Name: "read", Idempotency: Idempotent,
		LatencyObjective: latencyObjective, ClientTimeout: clientTimeout, PriorityWeight: 1,
	}}
}

// sent is an attempt that a balancer sent.
type sent struct {
	id       uint64
	endpoint uint32
}

// recorder records the actions of a balancer.
type recorder struct {
	sends    []sent
	latest   []Micros // of the sends
	rejected []uint64
	failed   []uint64
	cancels  []uint64
	probes   []uint32
	timers   []uint32
	delays   []Micros
	watches  int
	logs     []string
}

func (r *recorder) Send(id uint64, e uint32, latest Micros) {
	r.sends, r.latest = append(r.sends, sent{id, e}), append(r.latest, latest)
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

// ready returns n ready endpoints with IDs from 1; pairs share a cell and a zone.
func ready(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Weight: 1}
	}
	return list
}

// start returns a started balancer with this endpoint list, and the recorder of its actions.
func start(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
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

// testRequest returns a request whose deadline is a second from now.
func testRequest(id uint64, class uint8, now Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

// recordOf returns the record of a request that the balancer has not received.
func recordOf(b *Balancer, in Request) *request {
	class, tenant := b.demand.resolveClass(&in)
	return &request{Request: in, class: class, idempotency: class.Idempotency, tenant: tenant}
}
