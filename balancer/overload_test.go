package balancer

import (
	"math"
	"slices"
	"testing"
)

// service simulates a fleet of balancers before endpoints of finite capacity, on one clock. A request that is given up
// closes its connection and ends its work; what was done of it by then is lost. Clients return when they are rejected
// or give up an attempt, within their timeout.
type service struct {
	simClock
	hosts          []*clientHost
	endpoints      []*server
	rng            splitMix64
	clientAttempts uint64
	offered        []int // requests of users, by the second of their arrival
	inTime         []int // those of them served within the latency objective
}

// clientHost is the host of one balancer.
type clientHost struct {
	s    *service
	b    *Balancer
	open map[uint64]*clientAttempt
	idle map[uint32]int // connections, by endpoint
}

// user is one request as its client sees it: up to three attempts.
type user struct {
	at       Micros
	attempts int
}

// clientAttempt is one attempt of a client, as one balancer gets it.
type clientAttempt struct {
	user     *user
	id       uint64
	deadline Micros
	attempts []*job
}

// job is one attempt at work at a server.
type job struct {
	remaining float64 // work
	server    *server
	startedAt Micros // when it got a slot
	done      func(now Micros)
	ended     bool
}

// server shares its cores among its jobs. While overloaded it takes longer for the same work.
type server struct {
	s               *service
	cores           float64
	speed           float64
	jobs            []*job
	advanced        Micros
	timerGeneration int       // of its timer
	meanLoad        float64   // requests a core, of late
	reported        []float32 // queue, and latency of late in milliseconds
	serviceTime     ewma      // from the start in a slot to the end
	overloadedAt    Micros    // since when it has had too many jobs; 0 if it has not
	idleAt          Micros    // since when it has had few jobs; 0 if it has not
	overloaded      bool
}

const (
	simLatencyObjective = 200 * 1000 // of a client's request, over all its attempts
	simClientTimeout    = 500 * 1000 // of the client, over all its attempts
	simAttemptTimeout   = 275 * 1000 // of the client, for one attempt
	simMaxAttempts      = 3
	meanWork            = 27_000.0 // of a request
	handshakeWork       = 1100     // of a new connection
	reportPeriod        = second
	slotsPerCore        = 4 // requests worked at side by side; the others wait
)

// A server is overloaded, and its work takes overloadSlowdown times as long, from when it has had over overloadFrom
// requests a core for overloadAfter until it has had under idleBelow for idleAfter, as means over loadTimeConstant.
const (
	overloadFrom     = 4.0
	overloadAfter    = 2 * second
	overloadSlowdown = 2.7
	idleBelow        = 0.4
	idleAfter        = 3 * second
	loadTimeConstant = 500_000.0
)

func newService(t *testing.T, balancers, endpoints int) *service {
	t.Helper()
	s := &service{rng: 11, offered: make([]int, 64), inTime: make([]int, 64)}
	var list []Endpoint
	for i := range endpoints {
		kind := [...]server{{cores: 1, speed: 1.6}, {cores: 2, speed: 1}, {cores: 2, speed: 0.6}}[i%3]
		kind.s = s
		s.endpoints = append(s.endpoints, &kind)
		list = append(list, Endpoint{ID: uint32(i + 1), Name: uint64(i + 1), Weight: float32(kind.cores * kind.speed)})
		s.after(Micros(s.rng.uniform()*float64(reportPeriod)), kind.report)
	}
	settings := testSettings()
	settings.Balancers = balancers
	settings.Classes = []Class{{Name: "read", Idempotency: Idempotent, LatencyObjective: simLatencyObjective, ClientTimeout: simClientTimeout, PriorityWeight: 1}}
	settings.ReportFields = []ReportField{FieldQueue, FieldLatency}
	settings.Limits.HedgedRequests = false
	settings.Prices.Probe = 0.03
	for i := range balancers {
		m := &clientHost{s: s, open: map[uint64]*clientAttempt{}, idle: map[uint32]int{}}
		var err error
		if m.b, err = New(settings, uint64(i)+1, m); err != nil {
			t.Fatal(err)
		}
		s.hosts = append(s.hosts, m)
		m.b.Start(0)
		m.b.HandleEndpoints(0, ListFull, list)
	}
	return s
}

// traffic has requests arrive at a rate that may change with time; some balancers get several times the mean.
func (s *service) traffic(rate func(now Micros) float64, until Micros) {
	var next func(now Micros)
	next = func(now Micros) {
		at := s.rng.uniform()
		m := s.hosts[int(at*at*at*float64(len(s.hosts)))]
		s.offered[now/second]++
		m.arrive(now, &user{at: now})
		if now < until {
			s.after(Micros(-math.Log(1-s.rng.uniform())/rate(now)*float64(second)), next)
		}
	}
	s.after(1, next)
}

// arrive is one more attempt of a client's request.
func (m *clientHost) arrive(now Micros, u *user) {
	if u.attempts == simMaxAttempts || now >= u.at+simClientTimeout {
		return
	}
	u.attempts++
	m.s.clientAttempts++
	t := &clientAttempt{user: u, id: m.s.clientAttempts, deadline: min(now+simAttemptTimeout, u.at+simClientTimeout)}
	m.open[t.id] = t
	m.s.after(t.deadline-now, func(now Micros) { m.timeOut(now, t) })
	m.b.HandleRequest(now, Request{ID: t.id, Deadline: t.deadline})
}

// retryLater has the client return after a delay.
func (m *clientHost) retryLater(t *clientAttempt) {
	if m.open[t.id] == nil {
		return
	}
	delete(m.open, t.id)
	pause := Micros((25 + 175*m.s.rng.uniform()) * 1000)
	m.s.after(pause, func(now Micros) { m.arrive(now, t.user) })
}

func (m *clientHost) timeOut(now Micros, t *clientAttempt) {
	for i, j := range t.attempts {
		if !j.ended {
			j.server.remove(now, j)
			m.b.HandleOutcome(now, Outcome{ID: t.id, Attempt: i, Status: Timeout, Latency: simAttemptTimeout})
		}
	}
	m.retryLater(t)
}

func (m *clientHost) Send(id uint64, endpoint uint32, _ Micros) {
	t, begun, at := m.open[id], m.s.now, m.s.endpoints[endpoint-1]
	work := (0.4 + 1.2*m.s.rng.uniform()) * meanWork
	if m.idle[endpoint] > 0 {
		m.idle[endpoint]--
	} else {
		work += handshakeWork
	}
	j, n := &job{remaining: work, server: at}, len(t.attempts)
	j.done = func(now Micros) {
		m.idle[endpoint]++
		if m.open[id] != nil {
			delete(m.open, id)
			if now-t.user.at <= simLatencyObjective {
				m.s.inTime[t.user.at/second]++
			}
		}
		m.b.HandleOutcome(now, Outcome{ID: id, Attempt: n, Status: OK, Latency: now - begun, Answered: true})
	}
	t.attempts = append(t.attempts, j)
	at.accept(begun, j)
}

func (m *clientHost) Reject(id uint64, _ Micros) {
	if t := m.open[id]; t != nil {
		m.retryLater(t)
	}
}

func (m *clientHost) Fail(id uint64) { m.Reject(id, 0) }

func (m *clientHost) Cancel(uint64, int) {}

func (m *clientHost) Probe(endpoint uint32) {
	m.s.after(2000, func(now Micros) {
		m.b.HandleProbe(now, endpoint, OK, 2000, m.s.endpoints[endpoint-1].reported)
	})
}

func (m *clientHost) StartTimer(delay Micros, token uint32) {
	m.s.after(delay, func(now Micros) { m.b.HandleTimer(now, token) })
}

func (m *clientHost) Watch(bool) {}
func (m *clientHost) Log(string) {}

func (v *server) report(now Micros) {
	v.reported = []float32{float32(max(0, float64(len(v.jobs))-v.cores)), float32(v.serviceTime.value / 1000)}
	v.s.after(reportPeriod, v.report)
}

// serving returns the jobs at work; the others wait for a slot.
func (v *server) serving() []*job {
	return v.jobs[:min(len(v.jobs), slotsPerCore*int(v.cores))]
}

// rate is the work done a microsecond for each job at work.
func (v *server) rate() float64 {
	p := v.speed * min(1, v.cores/float64(max(1, len(v.serving()))))
	if v.overloaded {
		p /= overloadSlowdown
	}
	return p
}

// advance works until now, and finds out whether the server is overloaded.
func (v *server) advance(now Micros) {
	done := v.rate() * float64(now-v.advanced)
	for _, j := range v.serving() {
		j.remaining -= done
	}
	v.meanLoad += (float64(len(v.jobs))/v.cores - v.meanLoad) * (1 - math.Exp(-float64(now-v.advanced)/loadTimeConstant))
	v.advanced = now
	trackSince(&v.overloadedAt, v.meanLoad > overloadFrom, now)
	trackSince(&v.idleAt, v.meanLoad < idleBelow, now)
	if v.overloadedAt > 0 && now-v.overloadedAt > overloadAfter {
		v.overloaded = true
	}
	if v.idleAt > 0 && now-v.idleAt > idleAfter {
		v.overloaded = false
	}
}

// trackSince keeps the instant since which a condition has held.
func trackSince(at *Micros, holds bool, now Micros) {
	if !holds {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

func (v *server) accept(now Micros, j *job) {
	v.advance(now)
	v.jobs = append(v.jobs, j)
	v.scheduleNext()
}

func (v *server) remove(now Micros, j *job) {
	v.advance(now)
	j.ended = true
	v.jobs = slices.DeleteFunc(v.jobs, func(o *job) bool { return o == j })
	v.scheduleNext()
}

// scheduleNext sets the timer of the first job that will be done.
func (v *server) scheduleNext() {
	v.timerGeneration++
	if len(v.jobs) == 0 {
		return
	}
	for _, j := range v.serving() {
		if j.startedAt == 0 {
			j.startedAt = v.advanced
		}
	}
	first := slices.MinFunc(v.serving(), func(a, b *job) int { return int(math.Copysign(1, a.remaining-b.remaining)) })
	turn := v.timerGeneration
	v.s.after(Micros(math.Ceil(max(0, first.remaining)/v.rate())), func(now Micros) {
		if turn == v.timerGeneration {
			v.remove(now, first)
			v.serviceTime.add(float64(now-first.startedAt), 0.2)
			first.done(now)
		}
	})
}

// A burst of some seconds beyond the endpoints' capacity leaves them overloaded and the clients retrying. Within a few
// seconds after it all is served in time again: the demand is within the capacity then.
func TestFleetRecoversFromABurst(t *testing.T) {
	const (
		burstFrom = 6 * second
		burstTo   = 10 * second
		recovery  = 5 * second
		day       = 22 * second
	)
	for name, times := range map[string]float64{"burst": 2.2, "large burst": 3} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, 285, 168)
			usual := 0.5 * s.capacity()
			s.after(3*second, func(now Micros) { s.slowDownSome(now) })
			s.traffic(func(now Micros) float64 {
				if now >= burstFrom && now < burstTo {
					return times * usual
				}
				return usual
			}, day)
			s.run(day + simClientTimeout)
			before, burst := s.inTimeShare(second, burstFrom), s.inTimeShare(burstFrom, burstTo)
			after := s.inTimeShare(burstTo+recovery, day)
			t.Logf("in time: %.2f before the burst, %.2f in it, %.2f later than %d s after it; by the second %v of %v",
				before, burst, after, recovery/second, s.inTime[:day/second], s.offered[:day/second])
			if before < 0.9 || burst > 0.8 {
				t.Errorf("%.2f in time before the burst and %.2f in it: it shows nothing", before, burst)
			}
			if after < 0.9*before {
				t.Errorf("%.2f in time from %d s after the burst on, %.2f before it", after, recovery/second, before)
			}
		})
	}
}

// capacity is what all endpoints can serve, in requests a second.
func (s *service) capacity() float64 {
	var sum float64
	for _, v := range s.endpoints {
		sum += v.cores * v.speed * float64(second) / meanWork
	}
	return sum
}

// slowDownSome halves the speed of a quarter of the endpoints.
func (s *service) slowDownSome(now Micros) {
	for i, v := range s.endpoints {
		if i%4 == 0 {
			v.advance(now)
			v.speed /= 2
			v.scheduleNext()
		}
	}
}

// inTimeShare is the share served in time of the requests that arrived between two instants.
func (s *service) inTimeShare(from, to Micros) float64 {
	var offered, inTime int
	for at := from / second; at < to/second; at++ {
		offered += s.offered[at]
		inTime += s.inTime[at]
	}
	return float64(inTime) / float64(max(1, offered))
}

// If a balancer sends few requests to each of many endpoints, no breaker of one gets past its protected requests. The
// throttle over all endpoints rejects most requests while nearly none is served in time, lets at least one a second
// through, and rejects none soon after all are served in time again.
func TestErrorThrottleCoversAllEndpoints(t *testing.T) {
	for _, late := range []struct {
		name   string
		status Status
	}{{"timed out", Timeout}, {"answered beyond the latency objective", OK}} {
		t.Run(late.name, func(t *testing.T) {
			s := testSettings()
			b, r := start(t, s, ready(200))
			id, now := uint64(0), Micros(0)
			var due []event
			// play has a request come every 50 ms.
			play := func(n int, status Status, took Micros) (sent int) {
				for range n {
					now += 50_000
					for ; len(due) > 0 && due[0].at <= now; due = due[1:] {
						due[0].do(due[0].at)
					}
					id++
					o, before := Outcome{ID: id, Status: status, Latency: took, Answered: true}, len(r.sends)
					b.HandleRequest(now, Request{ID: id, Deadline: now + second})
					if len(r.sends) > before {
						sent++
						due = append(due, event{now + took, func(at Micros) { b.HandleOutcome(at, o) }})
					}
				}
				return sent
			}
			if sent := play(200, OK, 20_000); sent != 200 {
				t.Errorf("%d of 200 sent while all are answered in time", sent)
			}
			play(60, late.status, s.Classes[0].LatencyObjective+1000)
			sent := play(200, late.status, s.Classes[0].LatencyObjective+1000)
			t.Logf("%d of 200 sent while none is answered in time", sent)
			if sent < 9 || sent > 100 {
				t.Errorf("%d of 200 sent while none is answered in time", sent)
			}
			if b.stats.BreakerRejected > 0 {
				t.Errorf("%d rejected by breakers of single endpoints: it shows nothing", b.stats.BreakerRejected)
			}
			play(100, OK, 20_000)
			if sent = play(100, OK, 20_000); sent != 100 {
				t.Errorf("%d of 100 sent 5 s after all are answered in time again", sent)
			}
		})
	}
}
