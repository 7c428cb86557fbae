package balancer

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
)

// checker is the host of a balancer and checks that every action follows the rules.
type checker struct {
	settings   Settings
	now        Micros
	endpoints  map[uint32]Endpoint        // entries of the latest endpoint list by ID
	requests   map[uint64]*checkedRequest // all requests by ID, including ended ones
	violations []string
	timers     []pendingTimer
	probes     []uint32 // IDs of the probed endpoints, one for each probe without a result
}

// checkedRequest is the state of a request as its client and the endpoints know it.
type checkedRequest struct {
	request      Request
	finalAnswers int  // number of final answers that the balancer gave
	ended        bool // the balancer was notified that the request ended
	attempts     []checkedAttempt
}

// checkedAttempt is an attempt that the balancer sent.
type checkedAttempt struct {
	endpoint        Endpoint
	sentAt          Micros
	inFlight        bool
	mayHaveExecuted bool
}

// pendingTimer is a timer that has not fired.
type pendingTimer struct {
	at    Micros // instant at which the timer fires
	token uint32
}

// recordViolation records that the balancer broke a rule, with the current time.
func (c *checker) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("at %d: ", c.now)+fmt.Sprintf(format, args...))
}

// firstPossiblyExecuted returns the first attempt that may have executed, or nil.
func (r *checkedRequest) firstPossiblyExecuted() *checkedAttempt {
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
		c.recordViolation("request %d is unknown, but an attempt was sent", id)
		return
	}
	e, known := c.endpoints[endpoint]
	class := c.settings.Classes[r.request.Class]
	if r.finalAnswers > 0 || r.ended {
		c.recordViolation("request %d has ended, but an attempt was sent", id)
	}
	if !known || e.State != Ready {
		c.recordViolation("attempt sent to endpoint %d in state %d, want a listed endpoint in state Ready",
			endpoint, e.State)
	}
	if len(r.attempts) >= c.settings.Limits.MaxAttempts {
		c.recordViolation("attempt with index %d of request %d exceeds MaxAttempts", len(r.attempts), id)
	}
	for _, a := range r.attempts {
		if a.inFlight && !c.settings.Limits.HedgedRequests {
			c.recordViolation("request %d was hedged, though hedging is not permitted", id)
		}
	}
	if first := r.firstPossiblyExecuted(); first != nil && class.Idempotency != Idempotent {
		scope := class.DeduplicationScope
		deduplicated := scope == ScopeAll || scope == ScopeZone && first.endpoint.Zone == e.Zone ||
			scope == ScopeCell && first.endpoint.Cell == e.Cell
		late := c.now > first.sentAt+class.DeduplicationWindow
		if class.Idempotency == NonIdempotent || !deduplicated || late {
			c.recordViolation("retry of request %d of class %s may have a second effect", id, class.Name)
		}
	}
	r.attempts = append(r.attempts, checkedAttempt{endpoint: e, sentAt: c.now, inFlight: true, mayHaveExecuted: true})
}

// recordFinalAnswer records a final answer. It returns the request, or nil if the request is not open.
func (c *checker) recordFinalAnswer(id uint64) *checkedRequest {
	r := c.requests[id]
	if r == nil || r.finalAnswers > 0 || r.ended {
		c.recordViolation("final answer for request %d, which is not open", id)
		return nil
	}
	r.finalAnswers++
	return r
}

func (c *checker) Reject(id uint64, _ Micros) {
	if r := c.recordFinalAnswer(id); r != nil && r.firstPossiblyExecuted() != nil {
		class := c.settings.Classes[r.request.Class]
		scoped := class.Idempotency == IdempotentWithKey && class.DeduplicationScope != ScopeAll
		if class.Idempotency == NonIdempotent || scoped {
			c.recordViolation("request %d of class %s was rejected, but may have executed", id, class.Name)
		}
	}
}

func (c *checker) Fail(id uint64) { c.recordFinalAnswer(id) }

func (c *checker) Cancel(id uint64, attempt int) {
	if r := c.requests[id]; r == nil || attempt >= len(r.attempts) {
		c.recordViolation("attempt %d of request %d was cancelled, but never sent", attempt, id)
	}
}

func (c *checker) StartTimer(delay Micros, token uint32) {
	if delay <= 0 {
		c.recordViolation("timer delay %d, want more than 0", delay)
	}
	c.timers = append(c.timers, pendingTimer{c.now + delay, token})
}

func (c *checker) Probe(e uint32) {
	if _, known := c.endpoints[e]; !known {
		c.recordViolation("unknown endpoint %d was probed", e)
	}
	c.probes = append(c.probes, e)
}

func (c *checker) Watch(bool) {
	if !c.settings.SubscribeToDiscovery {
		c.recordViolation("the balancer subscribed, though discovery sends changes without a subscription")
	}
}

func (c *checker) Log(string) {}

// randomPlay sends valid random events to a balancer and checks its actions. The order of the random draws must not
// change, since it determines the events that belong to each seed.
type randomPlay struct {
	*checker
	balancer         *Balancer
	random           *rand.Rand
	maxInterval      int        // upper bound of the time between two events, in microseconds
	listed           []Endpoint // endpoints that discovery lists
	massRestartsLeft int        // how many more times all endpoints restart at once
	requestIDs       []uint64   // IDs of all requests sent to the balancer, including ended ones
	nextID           uint64
	givenUp          int // number of attempts that were given up because their responses stalled
	maxWaiting       int // largest number of requests that waited for probes at the same time
}

// outcomeStatuses are the statuses from which random outcomes and probe results are drawn. OK is the most frequent one.
var outcomeStatuses = [...]Status{
	OK, OK, OK, EndpointError, Rejected, Timeout, ConnectFailed, Reset, Cancelled, NotSent,
}

// playRandomEvents plays valid random events from a seed. It returns the violations of rules that it found, and how many
// attempts were given up because their responses stalled.
func playRandomEvents(t *testing.T, s Settings, seed int64) (violations []string, givenUp int) {
	t.Helper()
	p := newRandomPlay(t, s, seed)
	for range 3000 {
		p.now += Micros(p.random.Intn(p.maxInterval))
		p.maxWaiting = max(p.maxWaiting, len(p.balancer.waiting.requests))
		p.fireTimers(0)
		p.playEvent()
	}
	// Every request that is still open must be answered by its deadline.
	for range 900 {
		p.now += 5000
		p.fireTimers(firstRequestToken)
	}
	for id, r := range p.requests {
		if r.finalAnswers == 0 && !r.ended {
			p.recordViolation("request %d got no final answer by its deadline", id)
		}
	}
	requestsMayWait := s.Balancers > 2 && s.Limits.Probes && s.Prices.Probe < maxRequestProbeCost
	if requestsMayWait && p.maxWaiting == 0 {
		p.recordViolation("no request waited for probes, so the run does not cover requests that wait")
	}
	return p.violations, p.givenUp
}

// newRandomPlay returns a randomPlay whose balancer is started and has its first endpoint list.
func newRandomPlay(t *testing.T, s Settings, seed int64) *randomPlay {
	t.Helper()
	p := &randomPlay{
		checker: &checker{
			settings: s, now: 1_000_000,
			endpoints: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{},
		},
		random: rand.New(rand.NewSource(seed)),
		nextID: 1,
	}
	var err error
	if p.balancer, err = New(s, uint64(seed), p.checker); err != nil {
		t.Fatal(err)
	}
	p.balancer.Start(p.now)
	p.maxInterval, p.listed = 20_000, readyEndpoints(1+p.random.Intn(6))
	if s.Balancers > 2 { // one balancer of a large fleet gets few requests and knows many endpoints
		p.maxInterval, p.listed = 400_000, readyEndpoints(20+p.random.Intn(60))
	}
	p.massRestartsLeft = p.random.Intn(3)
	p.updateList(ListCached, slices.Clone(p.listed))
	return p
}

// fireTimers fires every timer that is due and whose token is firstToken or larger.
func (p *randomPlay) fireTimers(firstToken uint32) {
	for i := 0; i < len(p.timers); {
		timer := p.timers[i]
		if timer.at > p.now || timer.token < firstToken {
			i++
			continue
		}
		p.timers = slices.Delete(p.timers, i, i+1)
		p.balancer.HandleTimer(p.now, timer.token)
	}
}

// playEvent plays one random event.
func (p *randomPlay) playEvent() {
	switch n := p.random.Intn(20); {
	case n < 8:
		p.sendRequest()
	case n < 15 && len(p.requestIDs) > 0:
		p.endAttempt(p.requestIDs[p.random.Intn(len(p.requestIDs))])
	case n < 16 && len(p.requestIDs) > 0:
		p.abandonRequest(p.requestIDs[p.random.Intn(len(p.requestIDs))])
	case n < 18:
		p.answerProbes()
	default:
		p.changeList()
	}
}

// sendRequest sends a request with a random class and deadline. Some deadlines have already passed.
func (p *randomPlay) sendRequest() {
	in := Request{
		ID: p.nextID, Class: uint8(p.random.Intn(len(p.settings.Classes))),
		Deadline: p.now + Micros(p.random.Intn(1_000_000)) - 50_000,
	}
	if p.random.Intn(4) == 0 { // enough time for an attempt that stalls and is given up
		in.Deadline += 3 * minStallPatience
	}
	p.nextID++
	p.requests[in.ID] = &checkedRequest{request: in}
	p.requestIDs = append(p.requestIDs, in.ID)
	p.balancer.HandleRequest(p.now, in)
}

// endAttempt ends the request's first attempt in flight, with a random status. It does nothing if no attempt is in
// flight.
func (p *randomPlay) endAttempt(id uint64) {
	r := p.requests[id]
	i := slices.IndexFunc(r.attempts, func(a checkedAttempt) bool { return a.inFlight })
	if i < 0 {
		return
	}
	a := &r.attempts[i]
	a.inFlight = false
	status := outcomeStatuses[p.random.Intn(len(outcomeStatuses))]
	if p.balancer.HandleStalledResponse(p.now, id, i) == StallGiveUp {
		p.givenUp++
		status = Reset
	}
	if status == Rejected || status == ConnectFailed || status == NotSent {
		a.mayHaveExecuted = false
	}
	if status == OK && r.finalAnswers == 0 && !r.ended {
		r.ended = true
	}
	p.balancer.HandleOutcome(p.now, Outcome{
		ID: id, Attempt: i, Endpoint: a.endpoint.ID, Status: status,
		Latency: p.now - a.sentAt, Answered: r.finalAnswers > 0 || r.ended,
	})
}

// abandonRequest lets the client of a request disconnect.
func (p *randomPlay) abandonRequest(id uint64) {
	r := p.requests[id]
	if r.finalAnswers == 0 {
		r.ended = true
	}
	p.balancer.HandleClientGone(p.now, id)
}

// answerProbes ends all probes with random statuses and load reports, which may be incomplete.
func (p *randomPlay) answerProbes() {
	for _, e := range p.probes {
		load := []float32{float32(p.random.Intn(8)), p.random.Float32() * 2}[:p.random.Intn(3)]
		status := outcomeStatuses[p.random.Intn(len(outcomeStatuses))]
		p.balancer.HandleProbe(p.now, e, status, 500+Micros(p.random.Intn(200_000)), load)
	}
	p.probes = p.probes[:0]
}

// changeList changes a random endpoint, and sometimes restarts all endpoints. After a restart of all endpoints it sends
// the full list. Otherwise it sends a part of the list as if it were complete, the changed entry twice, or a failed
// call to discovery.
func (p *randomPlay) changeList() {
	e := &p.listed[p.random.Intn(len(p.listed))]
	e.State = EndpointState(p.random.Intn(3))
	if p.random.Intn(4) == 0 {
		e.State, e.StartTime = Ready, p.now-Micros(p.random.Intn(1_000_000))
	}
	if e.State == Ready && p.random.Intn(4) == 0 {
		e.Zone = uint8(p.random.Intn(3))
	}
	if p.massRestartsLeft > 0 && p.random.Intn(50) == 0 {
		p.massRestartsLeft--
		for i := range p.listed {
			p.listed[i].State, p.listed[i].StartTime = Ready, p.now-Micros(p.random.Intn(1000))
		}
		p.updateList(ListFull, slices.Clone(p.listed))
		return
	}
	switch p.random.Intn(6) {
	case 0:
		p.updateList(ListFull, slices.Clone(p.listed[:p.random.Intn(len(p.listed)+1)]))
	case 1:
		p.updateList(ListFailed, nil)
	default:
		p.updateList(ListDelta, []Endpoint{*e, *e})
	}
}

// updateList sends an endpoint list to the balancer and updates the endpoints that the checker knows.
func (p *randomPlay) updateList(kind ListUpdate, entries []Endpoint) {
	if kind != ListDelta && kind != ListFailed {
		clear(p.endpoints)
	}
	for _, e := range entries {
		p.endpoints[e.ID] = e
	}
	p.balancer.HandleEndpoints(p.now, kind, entries)
}

// The balancer follows the rules under random events. The seeds below 40 play a small fleet, the others a large fleet
// with various settings.
func TestRulesHoldUnderRandomEvents(t *testing.T) {
	totalGivenUp := 0
	for seed := range int64(100) {
		s := testSettings()
		s.SubscribeToDiscovery = seed%2 == 0
		s.Limits.HedgedRequests = seed%3 != 0
		s.Limits.Probes = seed%5 != 0
		s.Limits.MaxAttempts = 1 + int(seed%4)
		if seed >= 40 {
			s.Balancers = []int{300, 1500}[seed%2]
			s.ReportFields = [][]ReportField{
				{FieldInFlight}, {FieldQueue, FieldServedRate}, {FieldServedRate, FieldUtilization}, {FieldUnknown},
			}[seed%4]
			s.Prices = Prices{Probe: []float64{0, 0.002, 0.01, 0.5}[seed/3%4], CrossZone: 0.03}
			s.Tenants = []Tenant{{Name: "one", QuotaRate: 50}, {Name: "two"}}[:seed%3]
			s.Limits.CancelAttempts, s.Limits.RetryAfter = seed%3 != 0, seed%4 != 0
		}
		violations, givenUp := playRandomEvents(t, s, seed)
		totalGivenUp += givenUp
		for i, violation := range violations {
			if i < 5 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
	}
	if totalGivenUp == 0 {
		t.Error("no attempt was given up, so the runs do not cover stalled responses")
	}
}

// The checker must detect each broken rule.
func TestCheckerDetectsBrokenRules(t *testing.T) {
	newChecker := func() *checker {
		c := &checker{
			settings: testSettings(), endpoints: map[uint32]Endpoint{}, requests: map[uint64]*checkedRequest{},
		}
		for _, e := range readyEndpoints(4) {
			c.endpoints[e.ID] = e
		}
		for class := range uint8(5) {
			c.requests[uint64(class)] = &checkedRequest{request: testRequest(uint64(class), class, 0)}
		}
		return c
	}
	for name, breakRule := range map[string]func(*checker){
		"two final answers":         func(c *checker) { c.Reject(0, 0); c.Fail(0) },
		"send after the end":        func(c *checker) { c.Fail(0); c.Send(0, 1, 0) },
		"send to a draining one":    func(c *checker) { c.endpoints[1] = Endpoint{ID: 1, State: Draining}; c.Send(0, 1, 0) },
		"non-idempotent sent twice": func(c *checker) { c.Send(4, 1, 0); c.Send(4, 2, 0) },
		"non-idempotent rejected":   func(c *checker) { c.Send(4, 1, 0); c.Reject(4, 0) },
		"keyed outside its zone":    func(c *checker) { c.Send(2, 1, 0); c.Send(2, 3, 0) },
		"keyed outside its cell":    func(c *checker) { c.Send(3, 1, 0); c.Send(3, 3, 0) },
		"keyed after its window":    func(c *checker) { c.Send(1, 1, 0); c.now = second; c.Send(1, 2, 0) },
		"too many attempts":         func(c *checker) { c.Send(0, 1, 0); c.Send(0, 2, 0); c.Send(0, 3, 0); c.Send(0, 4, 0) },
	} {
		c := newChecker()
		if breakRule(c); len(c.violations) == 0 {
			t.Errorf("%s: got no violation, want at least one", name)
		}
	}
}
