package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// checker hosts a balancer and asserts the rules on every action.
type checker struct {
	settings        Settings
	now             Micros
	states          map[uint32]Endpoint
	warming         map[uint32]Micros          // endpoint: start time
	warmingRequests map[uint32]float64         // requests sent while warming up
	requests        map[uint64]*checkedRequest // open and ended
	faults          []string
	timers          []pendingTimer
	probes          []uint32
}

type checkedRequest struct {
	request  Request
	answered int
	closed   bool // the balancer was notified of its end
	attempts []checkedAttempt
}

type checkedAttempt struct {
	endpoint        Endpoint
	sentAt          Micros
	inFlight        bool
	mayHaveExecuted bool
}

type pendingTimer struct {
	at    Micros
	token uint32
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

func (r *checkedRequest) firstExecuted() *checkedAttempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveExecuted {
			return &r.attempts[i]
		}
	}
	return nil
}

func (c *checker) Send(id uint64, endpoint uint32, _ Micros) {
	r := c.requests[id]
	if r == nil {
		c.fault("send for unknown request %d", id)
		return
	}
	e, known := c.states[endpoint]
	class := c.settings.Classes[r.request.Class]
	if r.answered > 0 || r.closed {
		c.fault("send after the end of %d", id)
	}
	if !known || e.State != Ready {
		c.fault("send to endpoint %d in state %d", endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.fault("attempt %d of %d", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.inFlight && !c.settings.Limits.HedgedRequests {
			c.fault("hedged attempt of %d", id)
		}
	}
	if b := r.firstExecuted(); b != nil && class.Idempotency != Idempotent {
		same := class.DeduplicationScope == ScopeAll || class.DeduplicationScope == ScopeZone && b.endpoint.Zone == e.Zone ||
			class.DeduplicationScope == ScopeCell && b.endpoint.Cell == e.Cell
		if class.Idempotency == NonIdempotent || !same || c.now > b.sentAt+class.DeduplicationWindow {
			c.fault("repeat of %d (%s) may have a second effect", id, class.Name)
		}
	}
	if _, cold := c.warming[endpoint]; cold {
		c.warmingRequests[endpoint]++
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, sentAt: c.now, inFlight: true, mayHaveExecuted: true})
}

func (c *checker) final(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.answered > 0 || r.closed {
		c.fault("final answer for %d, which is not open", id)
		return nil
	}
	r.answered++
	return r
}

func (c *checker) Reject(id uint64, _ Micros) {
	if r := c.final(id); r != nil && r.firstExecuted() != nil {
		class := c.settings.Classes[r.request.Class]
		if class.Idempotency == NonIdempotent || class.Idempotency == IdempotentWithKey && class.DeduplicationScope != ScopeAll {
			c.fault("rejection of %d (%s), which may have executed", id, class.Name)
		}
	}
}

func (c *checker) Fail(id uint64) { c.final(id) }

func (c *checker) Cancel(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.fault("cancel of attempt %d of %d, never made", attempt, id)
	}
}

func (c *checker) StartTimer(delay Micros, token uint32) {
	if delay <= 0 {
		c.fault("timer delay %d", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *checker) Probe(e uint32) {
	if _, known := c.states[e]; !known {
		c.fault("probe of unknown endpoint %d", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) Watch(bool) {
	if !c.settings.SubscribeToDiscovery {
		c.fault("subscription where changes come without one")
	}
}

func (c *checker) Log(string) {}

// playRandomEvents plays legal random events from a seed and returns the faults found.
func playRandomEvents(t *testing.T, s Settings, seed int64) []string {
	t.Helper()
	rnd := rand.New(rand.NewSource(seed))
	c := &checker{settings: s, now: 1_000_000, states: map[uint32]Endpoint{}, warming: map[uint32]Micros{},
		warmingRequests: map[uint32]float64{}, requests: map[uint64]*checkedRequest{}}
	b, err := New(s, uint64(seed), c)
	if err != nil {
		t.Fatal(err)
	}
	members := func(kind ListUpdate, entries []Endpoint) {
		if kind != ListDelta && kind != ListFailed {
			clear(c.states)
		}
		for _, e := range entries {
			c.states[e.ID] = e
		}
		b.HandleEndpoints(c.now, kind, entries)
	}
	b.Start(c.now)
	pause := 20_000 // at most, between events
	list := ready(1 + rnd.Intn(6))
	if s.Balancers > 2 { // one balancer of a large fleet
		pause, list = 400_000, ready(20+rnd.Intn(60))
	}
	starts := rnd.Intn(3) // restarts of all endpoints at once
	held := 0
	members(ListCached, slices.Clone(list))
	var open []uint64
	next := uint64(1)
	statuses := []Status{OK, OK, OK, EndpointError, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent}
	for range 3000 {
		c.now += Micros(rnd.Intn(pause))
		held = max(held, len(b.waiting.requests))
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.at <= c.now {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.HandleTimer(c.now, p.token)
				continue
			}
			i++
		}
		switch n := rnd.Intn(20); {
		case n < 8:
			in := Request{ID: next, Class: uint8(rnd.Intn(len(s.Classes))),
				Deadline: c.now + Micros(rnd.Intn(1_000_000)) - 50_000}
			next++
			c.requests[in.ID] = &checkedRequest{request: in}
			open = append(open, in.ID)
			b.HandleRequest(c.now, in)
		case n < 15 && len(open) > 0:
			at := rnd.Intn(len(open))
			r := c.requests[open[at]]
			for i := range r.attempts {
				a := &r.attempts[i]
				if !a.inFlight {
					continue
				}
				a.inFlight = false
				status := statuses[rnd.Intn(len(statuses))]
				if status == Rejected || status == ConnectFailed || status == NotSent {
					a.mayHaveExecuted = false
				}
				if status == OK && r.answered == 0 && !r.closed {
					r.closed = true
				}
				settled := r.answered > 0 || r.closed
				b.HandleOutcome(c.now, Outcome{ID: r.request.ID, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
					Latency: c.now - a.sentAt, Answered: settled})
				break
			}
		case n < 16 && len(open) > 0:
			r := c.requests[open[rnd.Intn(len(open))]]
			if r.answered == 0 {
				r.closed = true
			}
			b.HandleClientGone(c.now, r.request.ID)
		case n < 18:
			for _, e := range c.probes {
				load := []float32{float32(rnd.Intn(8)), rnd.Float32() * 2}[:rnd.Intn(3)]
				b.HandleProbe(c.now, e, statuses[rnd.Intn(len(statuses))], 500+Micros(rnd.Intn(200_000)), load)
			}
			c.probes = c.probes[:0]
		default:
			e := &list[rnd.Intn(len(list))]
			e.State = EndpointState(rnd.Intn(3))
			if rnd.Intn(4) == 0 {
				e.State, e.StartTime = Ready, c.now-Micros(rnd.Intn(1_000_000))
			}
			if e.State == Ready && rnd.Intn(4) == 0 {
				e.Zone = uint8(rnd.Intn(3))
			}
			if starts > 0 && rnd.Intn(50) == 0 {
				starts--
				for i := range list {
					list[i].State, list[i].StartTime = Ready, c.now-Micros(rnd.Intn(1000))
				}
				members(ListFull, slices.Clone(list))
				continue
			}
			switch rnd.Intn(6) {
			case 0:
				members(ListFull, slices.Clone(list[:rnd.Intn(len(list)+1)]))
			case 1:
				members(ListFailed, nil)
			default:
				members(ListDelta, []Endpoint{*e, *e})
			}
		}
	}
	// All that is still open must be answered by its deadline.
	for range 400 {
		c.now += 5000
		for i := 0; i < len(c.timers); {
			if p := c.timers[i]; p.at <= c.now && p.token >= firstRequestToken {
				c.timers = slices.Delete(c.timers, i, i+1)
				b.HandleTimer(c.now, p.token)
				continue
			}
			i++
		}
	}
	for id, r := range c.requests {
		if r.answered == 0 && !r.closed {
			c.fault("request %d never got a final answer", id)
		}
	}
	if s.Balancers > 2 && s.Limits.Probes && s.Prices.Probe < maxRequestProbeSpend && held == 0 {
		c.fault("no request ever waited for probes: the run says nothing of those that do")
	}
	return c.faults
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range int64(100) {
		s := testSettings()
		s.SubscribeToDiscovery = seed%2 == 0
		s.Limits.HedgedRequests = seed%3 != 0
		s.Limits.Probes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		if seed >= 40 {
			s.Balancers = []int{300, 1500}[seed%2]
			s.ReportFields = [][]ReportField{{FieldInFlight}, {FieldQueue, FieldServedRate}, {FieldServedRate, FieldUtilization}, {FieldUnknown}}[seed%4]
			s.Prices = Prices{Probe: []float64{0, 0.002, 0.01, 0.5}[seed/3%4], CrossZone: 0.03}
			s.Tenants = []Tenant{{Name: "one", QuotaRate: 50}, {Name: "two"}}[:seed%3]
			s.Limits.CancelAttempts, s.Limits.RetryAfter = seed%3 != 0, seed%4 != 0
		}
		for i, bad := range playRandomEvents(t, s, seed) {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, bad)
			}
		}
	}
}

// The checker itself must detect each broken rule.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	fresh := func() *checker {
		c := &checker{settings: testSettings(), states: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{}}
		for _, e := range ready(4) {
			c.states[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{request: testRequest(uint64(class), class, 0)}
		}
		return c
	}
	for name, do := range map[string]func(*checker){
		"two final answers":         func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":        func(c *checker) { c.Fail(0); c.Send(0, 1, 0) },
		"send to the drained":       func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0) },
		"non-idempotent sent twice": func(c *checker) { c.Send(4, 1, 0); c.Send(4, 2, 0) },
		"non-idempotent rejected":   func(c *checker) { c.Send(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone":    func(c *checker) { c.Send(2, 1, 0); c.Send(2, 3, 0) },
		"keyed outside its cell":    func(c *checker) { c.Send(3, 1, 0); c.Send(3, 3, 0) },
		"keyed after its window":    func(c *checker) { c.Send(1, 1, 0); c.now = second; c.Send(1, 2, 0) },
		"too many attempts":         func(c *checker) { c.Send(0, 1, 0); c.Send(0, 2, 0); c.Send(0, 3, 0); c.Send(0, 4, 0) },
	} {
		c := fresh()
		if do(c); len(c.faults) == 0 {
			t.Errorf("%s: not seen", name)
		}
	}
}
