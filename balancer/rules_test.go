package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// checker hosts a balancer and asserts the rules on every action.
type checker struct {
	settings        Settings
	now             Micros
	states          map[uint32]Endpoint
	warming         map[uint32]Micros          // endpoint: told start
	warmingRequests map[uint32]float64         // requests sent while cold
	requests        map[uint64]*checkedRequest // open and ended
	faults          []string
	timers          []pendingTimer
	probes          []uint32
}

type checkedRequest struct {
	request  Request
	answered int
	closed   bool // it was told that the request is over
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
			c.fault("second copy of %d", id)
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
			c.fault("refusal of %d (%s), which may have run", id, class.Name)
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
		c.fault("subscription where changes come unasked")
	}
}

func (c *checker) Log(string) {}

// playRandomEvents runs legal random events from a seed and returns the faults found.
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
	if s.Balancers > 2 { // a sliver of a large fleet
		pause, list = 400_000, ready(20+rnd.Intn(60))
	}
	starts := rnd.Intn(3) // of all at once, cold
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

// The checker itself must see each rule broken.
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
		"two final answers":      func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":     func(c *checker) { c.Fail(0); c.Send(0, 1, 0) },
		"send to the drained":    func(c *checker) { c.states[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0) },
		"unsafe sent twice":      func(c *checker) { c.Send(4, 1, 0); c.Send(4, 2, 0) },
		"unsafe refused":         func(c *checker) { c.Send(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone": func(c *checker) { c.Send(2, 1, 0); c.Send(2, 3, 0) },
		"keyed outside its cell": func(c *checker) { c.Send(3, 1, 0); c.Send(3, 3, 0) },
		"keyed after its window": func(c *checker) { c.Send(1, 1, 0); c.now = second; c.Send(1, 2, 0) },
		"too many attempts":      func(c *checker) { c.Send(0, 1, 0); c.Send(0, 2, 0); c.Send(0, 3, 0); c.Send(0, 4, 0) },
	} {
		c := fresh()
		if do(c); len(c.faults) == 0 {
			t.Errorf("%s: not seen", name)
		}
	}
}

// Each kind of effect against each outcome of its first attempt.
func TestAttemptsAfterEachOutcome(t *testing.T) {
	never := map[Status]bool{Rejected: true, ConnectFailed: true, NotSent: true}
	for class := range uint8(5) {
		for status := EndpointError; status <= NotSent; status++ {
			s := testSettings()
			b, r := start(t, s, ready(4)) // endpoints 1, 2 share a zone and a cell; so do 3, 4
			b.HandleRequest(1000, testRequest(1, class, 1000))
			a := b.ledger.requests[1].attempts[0]
			b.HandleOutcome(2000, Outcome{ID: 1, Endpoint: a.endpoint.ID, Status: status, Latency: 1000})
			sends := len(r.sends)
			switch kind := s.Classes[class]; {
			case kind.Idempotency == NonIdempotent && !never[status]:
				if sends != 1 || len(r.failed) != 1 {
					t.Errorf("unsafe, status %d: %d sends, %d failed", status, sends, len(r.failed))
				}
			case sends != 2:
				t.Errorf("class %d status %d: %d sends, 2 wanted", class, status, sends)
			case kind.Idempotency == IdempotentWithKey && kind.DeduplicationScope != ScopeAll && !never[status]:
				if (r.sends[0].endpoint-1)/2 != (r.sends[1].endpoint-1)/2 {
					t.Errorf("class %d status %d left its group", class, status)
				}
			}
		}
	}
}

func TestDeduplicationWindowStartsAtFirstExecutedAttempt(t *testing.T) {
	s := testSettings()
	s.Limits.HedgedRequests = false
	b, r := start(t, s, ready(2))
	b.HandleRequest(1000, testRequest(1, 3, 1000))
	first := r.sends[0].endpoint
	b.HandleOutcome(1000+s.Classes[3].DeduplicationWindow, Outcome{ID: 1, Endpoint: first, Status: Reset})
	if len(r.sends) != 1 || len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Errorf("after the window: sends %v, failed %v, refused %v", r.sends, r.failed, r.rejected)
	}
}

func TestNoEndpointMeansRejection(t *testing.T) {
	b, r := start(t, testSettings(), nil)
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	b.HandleRequest(1000, Request{ID: 2, Deadline: 500})
	if len(r.rejected) != 2 || b.ledger.open != 0 || len(b.ledger.requests) != 0 {
		t.Errorf("refused %v, open %d", r.rejected, b.ledger.open)
	}
}

func TestUnansweredAttemptEndsAtTheDeadline(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.HandleRequest(1000, testRequest(1, 4, 1000))
	token := b.ledger.requests[1].timerToken
	b.HandleTimer(1000+second, token)
	if len(r.failed) != 1 || len(r.cancels) != 1 {
		t.Fatalf("failed %v, cancelled %v", r.failed, r.cancels)
	}
	b.HandleOutcome(2*second, Outcome{ID: 1, Endpoint: 1, Status: OK, Latency: second, Answered: true})
	if b.membership.endpoints[0].breaker.accepts != 1 || b.membership.endpoints[0].inFlight != 0 || len(b.ledger.requests) != 0 {
		t.Error("a late outcome must still feed the statistics")
	}
	b.HandleRequest(3*second, testRequest(2, 0, 3*second))
	b.HandleTimer(3*second, token) // of the ended request, whose slot is in use again
	if len(r.failed) != 1 || len(r.rejected) != 0 {
		t.Error("an old timer ended another request")
	}
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.HandleEndpoints(1000, ListDelta, []Endpoint{{ID: 1, State: Draining}})
	b.HandleEndpoints(1000, ListFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("sent to %d", s.endpoint)
		}
	}
}

// warmingSends counts sends to a cold endpoint over the overload window just
// after its start, beside nine warm ones under a steady load.
func warmingSends(t *testing.T, rate int, colds int) (cold []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := ready(10)
	b, r := start(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.HandleProbe(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.HandleOutcome(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Answered: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range colds {
		b.HandleEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			cold = append(cold, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return cold, warm
}

func TestWarmingEndpointGetsItsSlowStartShare(t *testing.T) {
	for _, c := range []struct{ rate, colds int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		cold, warm := warmingSends(t, c.rate, c.colds)
		for _, n := range cold {
			// Warmth goes from 0.2 to 0.28 in this second; one request may round up.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d: a cold endpoint got %d, a warm one %.1f", c.rate, n, warm)
			}
		}
	}
}

func TestSingleEndpointRestarts(t *testing.T) {
	b, r := start(t, testSettings(), ready(1)[:1])
	b.HandleEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.ledger.requests[i] != nil {
			b.HandleOutcome(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Answered: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 sent to the only, cold, endpoint", n)
	}
}

// What a subscription that broke has missed may count as told: the first try after that leaves time for its answer
// within the grace, whatever that is, and those after it make room. Where there was none, nothing hurries.
func TestBrokenSubscriptionIsRenewedWithinDrainGrace(t *testing.T) {
	for _, grace := range []Micros{0, second / 5, second / 2, 2 * second, 30 * second} {
		s := testSettings()
		s.SubscribeToDiscovery, s.Contract.DrainGrace = true, grace
		for seed := range uint64(20) {
			r := &recorder{}
			b, err := New(s, seed, r)
			if err != nil {
				t.Fatal(err)
			}
			fails := func() Micros {
				r.timers, r.delays = nil, nil
				b.HandleEndpoints(0, ListFailed, nil)
				i := slices.Index(r.timers, uint32(pollTimerToken))
				if i < 0 {
					t.Fatal("no timer for discovery")
				}
				return r.delays[i]
			}
			b.Start(0)
			b.HandleEndpoints(0, ListCached, ready(2))
			if delay := fails(); delay < s.Contract.PollInterval/40 {
				t.Errorf("grace %d: after a failed first call asked again after %d", grace, delay)
			}
			b.HandleEndpoints(0, ListDelta, nil)
			for n := range 8 {
				delay := fails()
				if most := max(grace/2, minPollDelay*3/2+1); n == 0 && delay > most {
					t.Errorf("grace %d: asked again after %d, want %d at most", grace, delay, most)
				}
				if least := min(s.Contract.PollInterval/8, minPollDelay/2<<n); delay < least {
					t.Errorf("grace %d: try %d after %d, want %d at least", grace, n, delay, least)
				}
			}
		}
	}
}

func TestFailedSubscriptionIsRetried(t *testing.T) {
	s := testSettings()
	s.SubscribeToDiscovery = true
	b, r := start(t, s, ready(2))
	now := Micros(0)
	fire := func() {
		for i, token := range r.timers {
			if token == pollTimerToken {
				now += r.delays[i]
				r.timers, r.delays = nil, nil
				b.HandleTimer(now, pollTimerToken)
				return
			}
		}
		t.Fatal("no timer for discovery")
	}
	fire()
	for n := 1; n < 8; n++ {
		if r.watches != n {
			t.Fatalf("%d calls, %d wanted", r.watches, n)
		}
		before := now
		if n%2 == 0 {
			b.HandleEndpoints(now, ListFailed, nil)
		} // else the answer is lost
		fire()
		if now-before > s.Contract.PollInterval {
			t.Fatalf("asked only after %d", now-before)
		}
	}
	if len(b.membership.endpoints) != 2 {
		t.Error("a failed call changed the list")
	}
	b.HandleEndpoints(now, ListDelta, nil)
	n := r.watches
	b.HandleTimer(now+100*second, pollTimerToken)
	if r.watches != n {
		t.Error("asked again while subscribed")
	}
}

func TestStreamedAnswerIsNotInterrupted(t *testing.T) {
	b, r := start(t, testSettings(), ready(2))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	b.HandleHeaders(2000, 1, 0, 1000)
	b.HandleTimer(2*second, b.ledger.requests[1].timerToken)
	if len(r.sends) != 1 || len(r.rejected)+len(r.failed) != 0 {
		t.Error("a stream that began was given an end or a copy")
	}
	b.HandleOutcome(3*second, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 3 * second, Answered: true})
	if len(b.ledger.requests) != 0 {
		t.Error("record kept")
	}
}

func TestSameEventsGiveSameActions(t *testing.T) {
	run := func() *recorder {
		b, r := start(t, testSettings(), ready(5))
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
		t.Error("two runs differ")
	}
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	b, r := start(t, testSettings(), ready(5))
	id := uint64(0)
	once := func() {
		id++
		r.sends, r.timers, r.delays = r.sends[:0], r.timers[:0], r.delays[:0]
		b.HandleRequest(1000, testRequest(id, 0, 1000))
		b.HandleOutcome(2000, Outcome{ID: id, Endpoint: r.sends[0].endpoint, Status: OK, Latency: 1000, Answered: true})
	}
	for range 100 {
		once()
	}
	if n := testing.AllocsPerRun(200, once); n > 0.1 {
		t.Errorf("%v allocations a request", n)
	}
}

// A second copy doubles the work of an endpoint that is slow because it has too much.
func TestOverdueAttemptsAreNotHedged(t *testing.T) {
	b, r := start(t, testSettings(), ready(3))
	b.HandleRequest(1000, testRequest(1, 0, 1000))
	for i, token := range r.timers {
		b.HandleTimer(1000+r.delays[i]-1, token)
	}
	b.HandleTimer(900_000, r.timers[len(r.timers)-1])
	if len(r.sends) != 1 {
		t.Errorf("%d sends while the first is out", len(r.sends))
	}
}

// Where endpoints swallow requests and answer the rest in time, one that a later
// one overtook is lost. It gets a copy elsewhere as far as its class permits;
// whichever is answered first ends the request and calls the other off.
func TestLostAttemptsAreHedged(t *testing.T) {
	for class, copies := range []int{1, 1, 1, 1, 0} {
		b, r := start(t, testSettings(), ready(4))
		b.retries.lostAttemptShare.value = minLostShare
		b.HandleRequest(1000, testRequest(1, uint8(class), 1000))
		first := r.sends[0]
		b.membership.byID[first.endpoint].lastAnsweredSentAt = 2000
		b.HandleTimer(500_000, r.timers[len(r.timers)-1])
		if n := len(r.sends) - 1; n != copies {
			t.Errorf("class %d: %d copies, want %d", class, n, copies)
			continue
		}
		if copies == 0 {
			continue
		}
		second := r.sends[1]
		if second.endpoint == first.endpoint || class == 3 && b.membership.byID[second.endpoint].Cell != b.membership.byID[first.endpoint].Cell {
			t.Errorf("class %d: the copy went to %d after %d", class, second.endpoint, first.endpoint)
		}
		// The copy fails: the first may still be answered, so no final answer yet.
		b.HandleOutcome(510_000, Outcome{ID: 1, Attempt: 1, Endpoint: second.endpoint, Status: EndpointError, Latency: 1000})
		if len(r.rejected)+len(r.failed) != 0 {
			t.Errorf("class %d: given up while an attempt is out", class)
		}
		calls := len(r.cancels)
		b.HandleOutcome(520_000, Outcome{ID: 1, Attempt: 0, Endpoint: first.endpoint, Status: OK, Latency: 519_000, Answered: true})
		for i := 2; i < len(r.sends); i++ {
			calls++ // a third attempt, too, is called off
		}
		if len(r.cancels) != calls || b.ledger.open != 0 {
			t.Errorf("class %d: %d attempts called off, want %d; %d requests open", class, len(r.cancels), calls, b.ledger.open)
		}
	}
}

// The time-out of a request that a later one overtook teaches no pace: the
// endpoint was well, and the whole fleet would be thought slow.
func TestOvertakenAttemptsDoNotAffectTrend(t *testing.T) {
	for name, overtaken := range map[string]bool{"overtaken": true, "not overtaken": false} {
		b, r := start(t, testSettings(), ready(1))
		for id := range uint64(5) {
			b.HandleRequest(1000, testRequest(id, 0, 1000))
		}
		if overtaken {
			b.membership.byID[1].lastAnsweredSentAt = 2000
		}
		for _, s := range r.sends {
			b.HandleOutcome(990_000, Outcome{ID: s.id, Endpoint: 1, Status: Timeout, Latency: 989_000})
		}
		if taught := b.estimates.trend > 1; taught == overtaken {
			t.Errorf("%s: trend %v", name, b.estimates.trend)
		}
	}
}

// Staff must learn why requests are refused, in one line a second and not in thousands.
func TestRejectionsAreLoggedOnceASecond(t *testing.T) {
	b, r := start(t, testSettings(), ready(1))
	b.HandleProbe(1000, 1, OK, 500, []float32{50})
	for id := range uint64(200) {
		now := second + 5000*Micros(id)
		b.HandleProbe(now, 1, OK, 500, []float32{50})
		b.HandleRequest(now, testRequest(id, 0, now))
	}
	if len(r.rejected) < 150 {
		t.Fatalf("only %d refused", len(r.rejected))
	}
	if len(r.logs) != 1 || !strings.Contains(r.logs[0], "endpoint, 1, would take") {
		t.Errorf("log: %q", r.logs)
	}
}

// Whatever is odd about a request, it is taken once and answered once.
func TestUnusualRequestsAreAnsweredOnce(t *testing.T) {
	for name, c := range map[string]struct {
		list  []Endpoint
		in    Request
		twice bool
	}{
		"class out of range":  {list: ready(2), in: Request{ID: 1, Class: 99, Deadline: second}},
		"tenant out of range": {list: ready(2), in: Request{ID: 1, Tenant: 999, Deadline: second}},
		"deadline past":       {list: ready(2), in: Request{ID: 1, Deadline: 10}},
		"empty list":          {in: Request{ID: 1, Deadline: second}},
		"all draining":        {list: []Endpoint{{ID: 1, State: Draining}}, in: Request{ID: 1, Deadline: second}},
		"repeated id":         {list: ready(2), in: Request{ID: 1, Deadline: second}, twice: true},
		"hint without sense":  {list: ready(2), in: Request{ID: 1, Deadline: second, WorkHint: -5, HasWorkHint: true}},
	} {
		b, r := start(t, testSettings(), c.list)
		b.HandleRequest(1000, c.in)
		if c.twice {
			b.HandleRequest(1000, c.in)
		}
		for i, token := range r.timers {
			if token >= firstRequestToken {
				b.HandleTimer(max(1000+r.delays[i], c.in.Deadline), token)
			}
		}
		if n := len(r.rejected) + len(r.failed); n != 1 || len(r.sends) > 1 {
			t.Errorf("%s: %d final answers, %d sends", name, n, len(r.sends))
		}
	}
}

// A repeat of a keyed request carries the latest instant at which it may begin, with room for its way; a first
// attempt and a repeat of a safe request carry none, nor does one after an attempt that never ran.
func TestRetryWithKeyCarriesLatestStart(t *testing.T) {
	const way = 20_000
	for name, c := range map[string]struct {
		class  uint8
		status Status
		want   Micros
	}{
		"keyed, reset":       {1, Reset, 10_000 + 500_000 - way},
		"keyed, error":       {1, EndpointError, 10_000 + 500_000 - way},
		"keyed, turned away": {1, Rejected, 0},
		"safe, reset":        {0, Reset, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b, r := start(t, testSettings(), ready(4))
			for _, e := range b.membership.endpoints {
				b.estimates.zoneLatencies[e.Zone].add(way)
			}
			b.HandleRequest(10_000, testRequest(1, c.class, 10_000))
			b.HandleTimer(20_000, r.timers[len(r.timers)-1]) // should it wait for probes
			if len(r.sends) != 1 || r.latest[0] != 0 {
				t.Fatalf("first attempts %v, latest %v", r.sends, r.latest)
			}
			at := b.ledger.requests[1].attempts[0].sentAt
			b.HandleOutcome(200_000, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: c.status})
			want := c.want
			if want > 0 {
				want += at - 10_000
			}
			if len(r.sends) != 2 || r.latest[1] != want {
				t.Errorf("sends %v, latest %v, want %d", r.sends, r.latest, want)
			}
		})
	}
	b, r := start(t, testSettings(), ready(4))
	b.estimates.zoneLatencies[0].add(way)
	b.estimates.zoneLatencies[1].add(way)
	b.HandleRequest(0, testRequest(1, 1, 0))
	b.HandleTimer(10_000, r.timers[len(r.timers)-1])
	at := b.ledger.requests[1].attempts[0].sentAt
	b.HandleOutcome(at+500_000-way, Outcome{ID: 1, Endpoint: r.sends[0].endpoint, Status: Reset})
	if len(r.sends) != 1 || len(r.rejected) != 1 {
		t.Errorf("sends %v, refused %v: a repeat that could not arrive in time", r.sends, r.rejected)
	}
}
