package balancer

import (
	"math"
	"slices"
	"testing"
)

// service simulates a fleet of balancers and endpoints of finite capacity on one clock. When a client abandons an
// attempt, its connection is closed and its work at the endpoint ends; the work done by then is lost. A client that is
// rejected, or whose attempt times out, sends its request again as long as its timeout has not passed.
type service struct {
	simClock
	hosts          []*clientHost
	endpoints      []*server // the endpoint with ID i is endpoints[i-1]
	rng            splitMix64
	clientAttempts uint64 // number of client attempts so far; also the ID of the latest one
	offered        []int  // number of client requests by the second of their arrival
	inTime         []int  // number of offered requests that were served within the latency objective
}

// clientHost is the host of one balancer, with the attempts that clients sent to that balancer.
type clientHost struct {
	service         *service
	balancer        *Balancer
	open            map[uint64]*clientAttempt // attempts without a final answer, by ID
	idleConnections map[uint32]int            // number of idle connections, by endpoint ID
}

// clientRequest is one request of a client, which makes up to simMaxAttempts attempts.
type clientRequest struct {
	arrivedAt Micros
	attempts  int
}

// clientAttempt is one attempt of a client. The balancer that receives it handles it as a request of its own.
type clientAttempt struct {
	request  *clientRequest
	id       uint64
	deadline Micros
	jobs     []*job // work at servers, one job for each attempt that the balancer sent
}

// job is one attempt of a balancer at a server, queued or being served.
type job struct {
	remainingWork float64 // time in microseconds that the rest takes on a core of speed 1
	server        *server
	startedAt     Micros           // instant at which the job got a slot; 0 while it is queued
	onDone        func(now Micros) // called when the work is done
	ended         bool             // done or abandoned
}

// server is an endpoint that shares its cores among its jobs. While it is overloaded, the same work takes longer.
type server struct {
	service         *service
	cores           float64
	speed           float64   // microseconds of work that one core does per microsecond
	jobs            []*job    // in the order of arrival
	advancedTo      Micros    // instant up to which the work of the jobs is computed
	timerGeneration int       // generation of the latest timer; earlier timers have no effect
	meanLoad        float64   // requests per core, averaged with loadTimeConstant
	lastReport      []float32 // number of queued requests, and serviceTime in milliseconds
	serviceTime     ewma      // average time in microseconds from when a job gets a slot to its end
	overloadedAt    Micros    // instant from which meanLoad has exceeded overloadFrom; 0 if it does not
	idleAt          Micros    // instant from which meanLoad has been below idleBelow; 0 if it is not
	overloaded      bool
}

// Figures of the simulated clients, requests and servers. Times and work are in microseconds.
const (
	simLatencyObjective = 200 * 1000 // latency objective of a client's request, over all its attempts
	simClientTimeout    = 500 * 1000 // timeout of a client's request, over all its attempts
	simAttemptTimeout   = 275 * 1000 // timeout of one attempt of a client
	simMaxAttempts      = 3          // attempts of a client per request
	meanWork            = 27_000.0   // mean work of a request
	handshakeWork       = 1100       // work of setting up a connection
	reportPeriod        = second     // interval at which a server updates its load report
	slotsPerCore        = 4          // requests that a core serves concurrently; the others queue
)

// A server becomes overloaded once its mean load has exceeded overloadFrom for overloadAfter. Its work then takes
// overloadSlowdown times as long, until its mean load has been below idleBelow for idleAfter.
const (
	overloadFrom     = 4.0        // mean load in requests per core
	overloadAfter    = 2 * second // time above overloadFrom until the server is overloaded
	overloadSlowdown = 2.7        // divides the speed of an overloaded server
	idleBelow        = 0.4        // mean load in requests per core
	idleAfter        = 3 * second // time below idleBelow until the server is no longer overloaded
	loadTimeConstant = 500_000.0  // time constant of the mean load's exponential decay, in microseconds
)

// newService returns a service with started balancers. The endpoints alternate between three kinds, which differ in
// the number and the speed of their cores.
func newService(t *testing.T, balancers, endpoints int) *service {
	t.Helper()
	s := &service{rng: 11, offered: make([]int, 64), inTime: make([]int, 64)}
	var list []Endpoint
	for i := range endpoints {
		v := [...]server{{cores: 1, speed: 1.6}, {cores: 2, speed: 1}, {cores: 2, speed: 0.6}}[i%3]
		v.service = s
		s.endpoints = append(s.endpoints, &v)
		list = append(list, Endpoint{ID: uint32(i + 1), Name: uint64(i + 1), Weight: float32(v.cores * v.speed)})
		s.after(Micros(s.rng.uniform()*float64(reportPeriod)), v.report)
	}
	settings := testSettings()
	settings.Balancers = balancers
	settings.Classes = readClass(simLatencyObjective, simClientTimeout)
	settings.ReportFields = []ReportField{FieldQueue, FieldLatency}
	settings.Limits.HedgedRequests = false
	settings.Prices.Probe = 0.03
	for i := range balancers {
		host := &clientHost{service: s, open: map[uint64]*clientAttempt{}, idleConnections: map[uint32]int{}}
		var err error
		if host.balancer, err = New(settings, uint64(i)+1, host); err != nil {
			t.Fatal(err)
		}
		s.hosts = append(s.hosts, host)
		host.balancer.Start(0)
		host.balancer.HandleEndpoints(0, ListFull, list)
	}
	return s
}

// startTraffic starts client requests, up to the instant until. The function rate returns their rate per second at an
// instant. Some balancers get several times the mean rate.
func (s *service) startTraffic(rate func(now Micros) float64, until Micros) {
	var next func(now Micros)
	next = func(now Micros) {
		draw := s.rng.uniform()
		host := s.hosts[int(draw*draw*draw*float64(len(s.hosts)))]
		s.offered[now/second]++
		host.startAttempt(now, &clientRequest{arrivedAt: now})
		if now < until {
			s.after(Micros(-math.Log(1-s.rng.uniform())/rate(now)*float64(second)), next)
		}
	}
	s.after(1, next)
}

// startAttempt has a client send the next attempt of its request, unless its timeout has passed or it has made
// simMaxAttempts attempts.
func (h *clientHost) startAttempt(now Micros, r *clientRequest) {
	if r.attempts == simMaxAttempts || now >= r.arrivedAt+simClientTimeout {
		return
	}
	r.attempts++
	h.service.clientAttempts++
	attempt := &clientAttempt{
		request: r, id: h.service.clientAttempts,
		deadline: min(now+simAttemptTimeout, r.arrivedAt+simClientTimeout),
	}
	h.open[attempt.id] = attempt
	h.service.after(attempt.deadline-now, func(now Micros) { h.timeOut(now, attempt) })
	h.balancer.HandleRequest(now, Request{ID: attempt.id, Deadline: attempt.deadline})
}

// scheduleRetry ends an attempt of a client, if it is open, and has the client retry after a random backoff.
func (h *clientHost) scheduleRetry(attempt *clientAttempt) {
	if h.open[attempt.id] == nil {
		return
	}
	delete(h.open, attempt.id)
	backoff := Micros((25 + 175*h.service.rng.uniform()) * 1000)
	h.service.after(backoff, func(now Micros) { h.startAttempt(now, attempt.request) })
}

// timeOut ends an attempt of a client at its deadline: its jobs end, and the client may retry.
func (h *clientHost) timeOut(now Micros, attempt *clientAttempt) {
	for i, j := range attempt.jobs {
		if !j.ended {
			j.server.remove(now, j)
			h.balancer.HandleOutcome(now, Outcome{ID: attempt.id, Attempt: i, Status: Timeout, Latency: simAttemptTimeout})
		}
	}
	h.scheduleRetry(attempt)
}

func (h *clientHost) Send(id uint64, endpoint uint32, _ Micros) {
	attempt, sentAt, target := h.open[id], h.service.now, h.service.endpoints[endpoint-1]
	work := (0.4 + 1.2*h.service.rng.uniform()) * meanWork
	if h.idleConnections[endpoint] > 0 {
		h.idleConnections[endpoint]--
	} else {
		work += handshakeWork
	}
	j, index := &job{remainingWork: work, server: target}, len(attempt.jobs)
	j.onDone = func(now Micros) {
		h.idleConnections[endpoint]++
		if h.open[id] != nil {
			delete(h.open, id)
			if now-attempt.request.arrivedAt <= simLatencyObjective {
				h.service.inTime[attempt.request.arrivedAt/second]++
			}
		}
		h.balancer.HandleOutcome(now, Outcome{
			ID: id, Attempt: index, Status: OK, Latency: now - sentAt, Answered: true,
		})
	}
	attempt.jobs = append(attempt.jobs, j)
	target.accept(sentAt, j)
}

func (h *clientHost) Reject(id uint64, _ Micros) {
	if attempt := h.open[id]; attempt != nil {
		h.scheduleRetry(attempt)
	}
}

func (h *clientHost) Fail(id uint64) { h.Reject(id, 0) }

func (h *clientHost) Cancel(uint64, int) {}

func (h *clientHost) Probe(endpoint uint32) {
	h.service.after(2000, func(now Micros) {
		h.balancer.HandleProbe(now, endpoint, OK, 2000, h.service.endpoints[endpoint-1].lastReport)
	})
}

func (h *clientHost) StartTimer(delay Micros, token uint32) {
	h.service.after(delay, func(now Micros) { h.balancer.HandleTimer(now, token) })
}

func (h *clientHost) Watch(bool) {}
func (h *clientHost) Log(string) {}

// report updates the load report that the server gives to probes, and schedules the next update.
func (v *server) report(now Micros) {
	queued := max(0, float64(len(v.jobs))-v.cores)
	v.lastReport = []float32{float32(queued), float32(v.serviceTime.value / 1000)}
	v.service.after(reportPeriod, v.report)
}

// serving returns the jobs that have a slot. The other jobs wait for a slot.
func (v *server) serving() []*job {
	return v.jobs[:min(len(v.jobs), slotsPerCore*int(v.cores))]
}

// rate returns the work that is done per microsecond for each job with a slot.
func (v *server) rate() float64 {
	rate := v.speed * min(1, v.cores/float64(max(1, len(v.serving()))))
	if v.overloaded {
		rate /= overloadSlowdown
	}
	return rate
}

// advance computes the work done up to now, and updates whether the server is overloaded.
func (v *server) advance(now Micros) {
	done := v.rate() * float64(now-v.advancedTo)
	for _, j := range v.serving() {
		j.remainingWork -= done
	}
	weight := 1 - math.Exp(-float64(now-v.advancedTo)/loadTimeConstant)
	v.meanLoad += (float64(len(v.jobs))/v.cores - v.meanLoad) * weight
	v.advancedTo = now
	trackStart(&v.overloadedAt, v.meanLoad > overloadFrom, now)
	trackStart(&v.idleAt, v.meanLoad < idleBelow, now)
	if v.overloadedAt > 0 && now-v.overloadedAt > overloadAfter {
		v.overloaded = true
	}
	if v.idleAt > 0 && now-v.idleAt > idleAfter {
		v.overloaded = false
	}
}

// trackStart sets *at to the instant from which the condition has held without interruption, or to 0 if it does not
// hold.
func trackStart(at *Micros, holds bool, now Micros) {
	if !holds {
		*at = 0
	} else if *at == 0 {
		*at = now
	}
}

// accept adds the job j to the server.
func (v *server) accept(now Micros, j *job) {
	v.advance(now)
	v.jobs = append(v.jobs, j)
	v.scheduleNext()
}

// remove ends the job j, whether it is done or not.
func (v *server) remove(now Micros, j *job) {
	v.advance(now)
	j.ended = true
	v.jobs = slices.DeleteFunc(v.jobs, func(o *job) bool { return o == j })
	v.scheduleNext()
}

// scheduleNext starts the timer for the job that will be done first. Earlier timers no longer have an effect.
func (v *server) scheduleNext() {
	v.timerGeneration++
	if len(v.jobs) == 0 {
		return
	}
	for _, j := range v.serving() {
		if j.startedAt == 0 {
			j.startedAt = v.advancedTo
		}
	}
	first := slices.MinFunc(v.serving(), func(a, b *job) int {
		return int(math.Copysign(1, a.remainingWork-b.remainingWork))
	})
	generation := v.timerGeneration
	v.service.after(Micros(math.Ceil(max(0, first.remainingWork)/v.rate())), func(now Micros) {
		if generation == v.timerGeneration {
			v.remove(now, first)
			v.serviceTime.add(float64(now-first.startedAt), 0.2)
			first.onDone(now)
		}
	})
}

// A burst of a few seconds beyond the endpoints' capacity leaves the endpoints overloaded and the clients retrying.
// From five seconds after the burst on, when demand is within the capacity again, nearly as large a share of the
// requests must be served in time as before the burst.
func TestFleetRecoversFromABurst(t *testing.T) {
	const (
		burstFrom = 6 * second
		burstTo   = 10 * second
		recovery  = 5 * second
		end       = 22 * second
	)
	for name, factor := range map[string]float64{"burst": 2.2, "large burst": 3} {
		t.Run(name, func(t *testing.T) {
			s := newService(t, 285, 168)
			baseRate := 0.5 * s.capacity()
			s.after(3*second, func(now Micros) { s.slowDownQuarter(now) })
			s.startTraffic(func(now Micros) float64 {
				if now >= burstFrom && now < burstTo {
					return factor * baseRate
				}
				return baseRate
			}, end)
			s.run(end + simClientTimeout)
			before, burst := s.inTimeShare(second, burstFrom), s.inTimeShare(burstFrom, burstTo)
			after := s.inTimeShare(burstTo+recovery, end)
			t.Logf("in time: %.2f before the burst, %.2f during it, %.2f from %d s after it on; by second %v of %v",
				before, burst, after, recovery/second, s.inTime[:end/second], s.offered[:end/second])
			if before < 0.9 || burst > 0.8 {
				t.Errorf("in time: %.2f before the burst, %.2f during it, want at least 0.90, and at most 0.80 in an overload",
					before, burst)
			}
			if after < 0.9*before {
				t.Errorf("in time: %.2f from %d s after the burst on, want at least 0.9 of the %.2f before it",
					after, recovery/second, before)
			}
		})
	}
}

// capacity returns the number of requests per second that all endpoints together can serve.
func (s *service) capacity() float64 {
	var sum float64
	for _, v := range s.endpoints {
		sum += v.cores * v.speed * float64(second) / meanWork
	}
	return sum
}

// slowDownQuarter halves the speed of every fourth endpoint.
func (s *service) slowDownQuarter(now Micros) {
	for i, v := range s.endpoints {
		if i%4 == 0 {
			v.advance(now)
			v.speed /= 2
			v.scheduleNext()
		}
	}
}

// inTimeShare returns the share of client requests that were served within the latency objective. It considers the
// requests that arrived at the instant from or later, and before the instant to.
func (s *service) inTimeShare(from, to Micros) float64 {
	var offered, inTime int
	for at := from / second; at < to/second; at++ {
		offered += s.offered[at]
		inTime += s.inTime[at]
	}
	return float64(inTime) / float64(max(1, offered))
}

// If a balancer sends few requests to each of many endpoints, no circuit breaker of an endpoint drops a request: each
// has at most protectedRequests requests in its window, too few to judge by. While hardly any request is served in
// time, the error throttle over all endpoints must reject at least half of the requests, and let at least one per
// second through. Soon after all requests are served in time again, it must reject none.
func TestErrorThrottleCoversAllEndpoints(t *testing.T) {
	for _, late := range []struct {
		name   string
		status Status
	}{{"timed out", Timeout}, {"answered beyond the latency objective", OK}} {
		t.Run(late.name, func(t *testing.T) {
			s := testSettings()
			b, r := startBalancer(t, s, readyEndpoints(200))
			id, now := uint64(0), Micros(0)
			var outcomes []event // outcomes of attempts in flight, by time
			// sendRequests passes n requests to the balancer, one every 50 ms. Each attempt ends with the given status
			// after the given latency. sendRequests returns the number of requests that the balancer sent.
			sendRequests := func(n int, status Status, latency Micros) (sent int) {
				for range n {
					now += 50_000
					for ; len(outcomes) > 0 && outcomes[0].at <= now; outcomes = outcomes[1:] {
						outcomes[0].handle(outcomes[0].at)
					}
					id++
					o, before := Outcome{ID: id, Status: status, Latency: latency, Answered: true}, len(r.sends)
					b.HandleRequest(now, Request{ID: id, Deadline: now + second})
					if len(r.sends) > before {
						sent++
						outcomes = append(outcomes, event{now + latency, func(at Micros) { b.HandleOutcome(at, o) }})
					}
				}
				return sent
			}
			if sent := sendRequests(200, OK, 20_000); sent != 200 {
				t.Errorf("%d of 200 sent while all are answered in time, want all", sent)
			}
			sendRequests(60, late.status, s.Classes[0].LatencyObjective+1000)
			sent := sendRequests(200, late.status, s.Classes[0].LatencyObjective+1000)
			t.Logf("%d of 200 sent while none is answered in time", sent)
			if sent < 9 || sent > 100 {
				t.Errorf("%d of 200 sent while none is answered in time, want 9 to 100", sent)
			}
			if b.stats.BreakerRejected > 0 {
				t.Errorf("%d rejected by circuit breakers of single endpoints, want none", b.stats.BreakerRejected)
			}
			sendRequests(100, OK, 20_000)
			if sent = sendRequests(100, OK, 20_000); sent != 100 {
				t.Errorf("%d of 100 sent from 5 s after all are answered in time again, want all", sent)
			}
		})
	}
}
