package balancer

import (
	"fmt"
	"math"
	"slices"
)

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	settings Settings
	actions  Actions
	random   splitMix64

	requests       map[uint64]*request // every request with an attempt out or no final answer
	requestSlots   []*request          // by timer slot
	freeRequests   []*request          // records to use again
	openRequests   int                 // requests without final answer
	awaitingProbes []*request          // requests that wait for probes

	endpointByID       map[uint32]*endpoint
	restored           map[uint64]EndpointEstimate // by name, until listed
	endpoints          []*endpoint                 // known endpoints in the order first heard of
	cordoned           map[uint64]bool             // by name: whether operators have left it out
	listReceived       bool                        // discovery has answered since the start
	listReceivedAt     Micros                      // when it last did; 0 before
	removedStartTimes  map[uint64]Micros           // starts of endpoints that are gone, by name
	probePool          []*endpoint                 // endpoints with a fresh answer
	nextWarming        *endpoint                   // the cold one that may be sent to next
	warmingTokens      float64                     // work that all cold ones together may still get,
	warmingTokensAt    Micros                      // as of then
	warmingServedLevel float64                     // least work that one of the cold ones got, for its warmth; 0 where none is cold
	warmingSlowness    ewma                        // of the slowness that the least warmth of a cold endpoint makes, the part that shows
	warmingSamples     int                         // latencies in that
	maxWeight          float64                     // share of any listed endpoint
	probesPerRequest   float64                     // probes that go with a request, while sparse
	probePerRequest    bool                        // probes are asked for single requests
	probeRoundsActive  bool                        // probe rounds run

	subscribed  bool
	nextPollAt  Micros // next call of discovery, unless subscribed by then
	lastPollAt  Micros // the latest one
	pollBackoff Micros

	classes               []*class // in the order of the settings
	tenants               []*tenant
	zoneLatencies         [256]zoneLatency   // to each zone
	fleetServiceTimeRatio ewma               // pace of the whole fleet
	requestRate           decayingRate       // requests taken
	sentWorkRate          decayingRate       // work sent
	recentAttempts        decayingAcceptance // attempts that ended, and those throttled
	rejectedShare         ewma               // share of requests refused at arrival
	trialInterval         int                // requests that seem too late for one that is sent
	retryBudget           float64            // retry budget, in attempts
	hedgeBudget           float64            // budget of second copies
	lostAttemptShare      ewma               // share of attempts that were swallowed

	queuedProbeShare   ewma           // share of probes that waited in line
	lateReportShare    ewma           // share of load reports that must be late
	typicalLoad        cumulativeMean // load of others at an endpoint, over all answers
	typicalWarmingLoad cumulativeMean // the same over those of cold ones: all send them little
	reportsLate        bool
	workHintTrust      float64 // power of a hint that work grows with
	latencyTrend       float64 // latencies over those that pace and load predict, for all endpoints together
	latencyTrendAt     Micros

	lastLogged map[string]Micros // last line by topic
	stats      Stats
}

// class is a class with what is known of it. A changed definition makes another one, which shares the
// statistics with that of the same name before it.
type class struct {
	Class
	*classStats
}

// tenant is a tenant with its rate of requests taken.
type tenant struct {
	Tenant
	*decayingRate
}

// classStats is what a balancer knows of a class.
type classStats struct {
	work              ewma         // mean work of a request
	requestRate       decayingRate // requests taken
	servedInTime      ewma         // share answered in time
	lastTrialAt       Micros       // last request sent although it seemed too late
	tooLateSinceTrial int          // requests that seemed too late since then
}

// request is the ledger's record of a request and its attempts.
type request struct {
	Request
	class            *class      // that it began under, whatever has become of it since
	idempotency      Idempotency // what a second run would do: as the class has it, or Unsafe
	tenant           *tenant     // nil where there is none
	timerToken       uint32      // of its timers
	arrivedAt        Micros
	work             float64
	priority         float64 // of its class and tenant, 0 to 1, when last decided
	logWorkHint      float64 // logarithm of its hint over the mean of its class
	attempts         []attempt
	inFlight         int     // attempts without outcome
	answered         bool    // the final answer is out
	streaming        bool    // an answer has begun: the attempt is the client's
	trial            bool    // it was sent although it seemed too late
	servedInTime     float64 // 1 once answered within its aim
	awaitingProbes   bool    // it waits for probes
	bodyConsumed     bool    // it can't be sent again
	awaitedEndpoints []*endpoint
}

// attempt is one send of a request.
type attempt struct {
	endpoint              *endpoint
	zone                  uint8 // of ep when sent: an endpoint may move
	cell                  uint16
	sentAt                Micros
	predictedLatency      float64 // latency predicted when sent,
	predictedWithoutTrend float64 // and by the endpoint's pace and load alone
	queueingFactor        float64 // seen when sent
	overdueAt             Micros  // when it should have had its outcome long ago
	suspected             bool    // that has passed once
	presumedLost          bool    // it is given up for lost, though its outcome may still come
	warming               bool    // ep was warming up when sent to
	inFlight              bool    // no outcome yet
	mayHaveExecuted       bool    // it may have had its effect, or may yet
	bodyWritten           bool    // its last byte is out
}

// endpoint is what a balancer knows of an endpoint.
type endpoint struct {
	Endpoint
	listed       bool // named by the list being read
	cordoned     bool // left out by hand
	awaitsTrial  bool // put back by hand, and a request is to show that it serves
	warming      bool
	warmingSince Micros  // start of its warm-up
	warmingWork  float64 // work that it got from us while cold

	inFlight           int    // own attempts without outcome
	uploading          int    // and those of which the last byte is not out yet
	lastSentAt         Micros // latest own send
	lastAnsweredSentAt Micros // latest send of those that were answered
	lastResponseAt     Micros // latest answer of any kind, also to a probe
	probeInFlight      bool
	lastProbeAt        Micros
	hasReport          bool
	pooled             bool
	reportedAt         Micros  // latest probe answer with a load figure
	reportedLoad       float64 // load of others when it answered
	meanLoad           ewma    // the same over the latest answers
	inFlightAtReport   int     // own in flight then

	serviceTimeRatio   ewma // time taken per work and crowding
	serviceTimeRatioAt Micros
	failureShare       float64 // share of failures, recent
	failureShareAt     Micros
	rejectedShare      ewma // share of the failures that were turned away unseen
	breaker            circuitBreaker
}

// circuitBreaker holds an endpoint's window of outcomes and its two latency averages.
type circuitBreaker struct {
	buckets                     [breakerBuckets]breakerBucket
	newest                      int64 // number of the newest bucket
	requests                    int   // over the window
	accepts                     int
	baseLatency, currentLatency float64
	lastTrialAt                 Micros // last forced pass
}

type breakerBucket struct{ requests, accepts, failures int }

// ewma is a moving average whose first sample is taken whole.
type ewma struct {
	value       float64
	initialized bool
}

func (a *ewma) add(x, weight float64) {
	if !a.initialized {
		a.value, a.initialized = x, true
		return
	}
	a.value += (x - a.value) * weight
}

// cumulativeMean is a moving average that begins as the plain mean of its samples, until the weight counts for more: where
// samples are few, the first one taken whole would stand for what all are like for many seconds.
type cumulativeMean struct {
	value   float64
	samples int
}

func (m *cumulativeMean) add(x, weight float64) {
	m.samples = min(m.samples+1, 1<<20)
	m.value += (x - m.value) * max(weight, 1/float64(m.samples))
}

func (a *ewma) or(fallback float64) float64 {
	if a.initialized {
		return a.value
	}
	return fallback
}

// zoneLatency is the time of a probe to a zone and back, where it finds nobody: the median of the latest few, since a
// single quick answer, as before any traffic, says little of those to come.
type zoneLatency struct {
	samples   [9]float64
	count     int
	median    float64
	deviation ewma // how far such probes are from v
}

const (
	initialDeviationShare = 0.3 // of the way, until more is known
	deviationWeight       = 0.1
	maxDeviations         = 4.0 // times the usual sway
)

func (w *zoneLatency) add(x float64) {
	w.samples[w.count%len(w.samples)] = x
	w.count++
	sorted := w.samples
	n := min(w.count, len(sorted))
	slices.Sort(sorted[:n])
	w.median = sorted[n/2]
	if !w.deviation.initialized {
		w.deviation = ewma{value: initialDeviationShare * w.median, initialized: true}
	}
	w.deviation.add(math.Abs(x-w.median), deviationWeight)
}

// queueingDelay is what a probe took that the way does not explain; nothing until enough is known of that.
func (w *zoneLatency) queueingDelay(latency float64) float64 {
	if waited := latency - w.median; w.count >= len(w.samples) && waited > maxDeviations*w.deviation.value {
		return waited
	}
	return 0
}

// indicator counts a yes as a whole.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}

// decayingRate is a rate a second, averaged over about two seconds.
type decayingRate struct {
	sum       float64
	updatedAt Micros
}

const rateTimeConstant = 2 * second

func (m *decayingRate) add(now Micros, x float64) { m.sum, m.updatedAt = m.decayed(now)+x, now }

func (m *decayingRate) decayed(now Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateTimeConstant))
}

func (m *decayingRate) rate(now Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateTimeConstant)
}

// decayingAcceptance counts requests, and those accepted of them; both fade.
type decayingAcceptance struct {
	requests, accepts       float64
	updatedAt, timeConstant Micros
	lastTrialAt             Micros // last forced pass
}

func (t *decayingAcceptance) decay(now Micros) {
	left := math.Exp(-float64(now-t.updatedAt) / float64(t.timeConstant))
	t.requests, t.accepts, t.updatedAt = t.requests*left, t.accepts*left, now
}

func (t *decayingAcceptance) add(now Micros, accepted bool) {
	t.decay(now)
	t.requests++
	t.accepts += indicator(accepted)
}

// splitMix64 is a SplitMix64 generator.
type splitMix64 uint64

func (s *splitMix64) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// uniform returns a number in [0,1).
func (s *splitMix64) uniform() float64 { return float64(s.next()>>11) / (1 << 53) }

// uniformHash returns a number in (0,1) that a key and a name make, as good as random and the same for all.
func uniformHash(key, name uint64) float64 {
	s := splitMix64(key)
	s = splitMix64(s.next() ^ name)
	return s.uniform() + 1.0/(1<<54)
}

// duration returns a duration in [0,d).
func (s *splitMix64) duration(d Micros) Micros { return Micros(s.uniform() * float64(d)) }

// reportValue returns a figure of a load report, or -1 if it is not there or makes no sense.
func reportValue(fields []ReportField, load []float32, want ReportField) float64 {
	for i, f := range fields[:min(len(fields), len(load))] {
		if v := float64(load[i]); f == want && v >= 0 && !math.IsInf(v, 0) { // NaN fails this, too
			return v
		}
	}
	return -1
}

// newRequest returns the record of a request, or nil if its class is not known.
func (b *Balancer) newRequest(now Micros, in Request) *request {
	c, t := b.resolveClass(&in)
	if c == nil {
		return nil
	}
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
	} else {
		r = &request{timerToken: uint32(len(b.requestSlots) + firstRequestToken)}
		b.requestSlots = append(b.requestSlots, r)
	}
	// The high bits count uses of the slot, so that an old timer finds nothing.
	r.timerToken += 1 << slotBits
	changed := in.ReceivedUnder != nil
	in.ReceivedUnder = nil // or a record that waits to be used again would keep old settings
	r.class, r.idempotency, r.tenant = c, c.Idempotency, t
	r.Request, r.arrivedAt, r.attempts, r.inFlight, r.answered, r.streaming = in, now, r.attempts[:0], 0, false, false
	r.servedInTime, r.trial, r.awaitingProbes, r.bodyConsumed, r.awaitedEndpoints = 0, false, false, false, r.awaitedEndpoints[:0]
	if changed {
		b.restrictIdempotency(r)
	}
	b.requests[in.ID] = r
	b.openRequests++
	return r
}

// firstExecuted returns the first attempt that may have run, or nil.
func (r *request) firstExecuted() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayHaveExecuted }); i >= 0 {
		return &r.attempts[i]
	}
	return nil
}

// executedAttempts counts the attempts that may have run, or may yet.
func (r *request) executedAttempts() (n int) {
	for i := range r.attempts {
		n += int(indicator(r.attempts[i].mayHaveExecuted))
	}
	return n
}

// hasPendingAttempt says whether r has an attempt out that is to be waited for: any, or where second copies may be sent,
// one that is not late.
func (r *request) hasPendingAttempt(copies bool) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight && !(copies && a.presumedLost) })
}

func (r *request) triedAt(e *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == e })
}

func (k *circuitBreaker) advance(now Micros) *breakerBucket {
	n := now / (breakerWindow / breakerBuckets)
	if n-k.newest >= breakerBuckets {
		k.buckets, k.requests, k.accepts, k.newest = [breakerBuckets]breakerBucket{}, 0, 0, n
	}
	for k.newest < n {
		k.newest++
		old := &k.buckets[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = breakerBucket{}
	}
	return &k.buckets[n%breakerBuckets]
}

// count adds to the newest bucket. Whatever is asked counts as a request.
func (k *circuitBreaker) count(now Micros, accepts, failures int) {
	at := k.advance(now)
	at.requests++
	at.accepts += accepts
	at.failures += failures
	k.requests++
	k.accepts += accepts
}

// addLatency adds one to both averages.
func (k *circuitBreaker) addLatency(x float64) {
	if k.baseLatency <= 0 {
		k.baseLatency, k.currentLatency = x, x
		return
	}
	divisor := float64(baseRiseDivisor)
	if x < k.baseLatency {
		divisor = baseFallDivisor
	}
	k.baseLatency = (x + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (x + (currentDivisor-1)*k.currentLatency) / currentDivisor
}

// stopAwaiting ends r's wait for probes.
func (b *Balancer) stopAwaiting(r *request) {
	if r.awaitingProbes {
		r.awaitingProbes, r.awaitedEndpoints = false, r.awaitedEndpoints[:0]
		b.awaitingProbes = slices.DeleteFunc(b.awaitingProbes, func(h *request) bool { return h == r })
	}
}

// log writes a line for on-call staff, at most one a second for each topic: refusals come in thousands.
func (b *Balancer) log(now Micros, topic, format string, args ...any) {
	if at, ok := b.lastLogged[topic]; ok && now-at < second {
		return
	}
	b.lastLogged[topic] = now
	b.actions.Log(fmt.Sprintf(format, args...))
}

// reset forgets what is known of e but its listing and what is out there: a new process has none of the old record.
func (e *endpoint) reset() {
	*e = endpoint{Endpoint: e.Endpoint, listed: e.listed, pooled: e.pooled, inFlight: e.inFlight, uploading: e.uploading}
}

// usable says whether e may be sent to at all.
func (e *endpoint) usable() bool { return e.State == Ready && !e.cordoned }

// warmingSlowdown is how many times longer than once warm a request takes at e. Its warmth is only the least that it may
// have by now: how much of that slowness there is shows in the latencies of the cold ones.
func (e *endpoint) warmingSlowdown(now Micros, b *Balancer) float64 {
	return 1 + (1/e.warmupFraction(now, b)-1)*b.warmingSlowness.value
}

// warmupFraction is the least share of its capacity that e has by now.
func (e *endpoint) warmupFraction(now Micros, b *Balancer) float64 {
	if !e.isWarming(now, b) {
		return 1
	}
	from := b.settings.Contract.SlowStartInitialFraction
	return from + (1-from)*float64(now-e.warmingSince)/float64(b.settings.Contract.SlowStartDuration)
}

func (e *endpoint) isWarming(now Micros, b *Balancer) bool {
	if e.warming && now-e.warmingSince >= b.settings.Contract.SlowStartDuration {
		e.warming = false
	}
	return e.warming
}
