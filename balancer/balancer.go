// Package balancer makes the decisions of a client-side sidecar balancer.
//
// A Balancer is a deterministic state machine for one caller at a time: the host passes each event with its
// instant, and the balancer calls Actions. It does no I/O and has no clock of its own.
//
// The decisions stand in ledger.go, demand.go, membership.go, discovery.go, endpoint.go, slowstart.go, probing.go,
// prediction.go, pick.go, breaker.go, admission.go and retries.go. The interface stands in settings.go, events.go and
// actions.go, and the counts in stats.go.
package balancer

const second Micros = 1_000_000

// Timer tokens below firstRequestToken belong to the balancer; others name a request.
const (
	probeTimerToken = iota
	pollTimerToken
	firstRequestToken = 16
	slotBits          = 20
)

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		actions: out, random: splitMix64(seed),
		requests: map[uint64]*request{}, endpointByID: map[uint32]*endpoint{}, cordoned: map[uint64]bool{}, removedStartTimes: map[uint64]Micros{},
		lastLogged: map[string]Micros{},
	}
	b.applySettings(s)
	return b, nil
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lateReportShare.initialized, b.rejectedShare.initialized, b.lostAttemptShare.initialized = true, true, true
	b.latencyTrend, b.workHintTrust = 1, 0.5
	b.warmingSlowness = ewma{value: initialWarmingSlowness, initialized: true}
	b.typicalLoad = cumulativeMean{value: initialTypicalLoad, samples: initialTypicalLoadSamples}
	b.retryBudget, b.hedgeBudget, b.trialInterval = budgetBurst, budgetBurst, minTrialInterval
	b.scheduleFirstPoll(now)
	b.startProbeRounds()
}

// HandleTimer handles a token given to Actions.Timer.
func (b *Balancer) HandleTimer(now Micros, token uint32) {
	switch {
	case token == probeTimerToken:
		b.probeRound(now)
	case token == pollTimerToken:
		b.poll(now)
	case token >= firstRequestToken:
		slot := int(token&(1<<slotBits-1)) - firstRequestToken
		if slot >= 0 && slot < len(b.requestSlots) {
			if r := b.requestSlots[slot]; r.timerToken == token && !r.answered && !r.streaming {
				b.handleRequestTimer(now, r)
			}
		}
	}
}

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

// Reconfigure takes up new settings in one step, or returns a *SettingError and changes nothing. What is known of
// classes and tenants stays with their names; endpoints, and what is known of them, stay as they are. A request in
// hand keeps the class that it began under, but for what that may no longer do: the host has to withdraw the
// attempts that are returned, unless their first byte is out.
func (b *Balancer) Reconfigure(s Settings) ([]AttemptID, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b.applySettings(s)
	b.startProbeRounds()
	var withdrawn []AttemptID
	for _, r := range b.requestSlots {
		if b.requests[r.ID] == r && !r.answered {
			withdrawn = append(withdrawn, b.restrictIdempotency(r)...)
		}
	}
	return withdrawn, nil
}

// applySettings puts settings in force.
func (b *Balancer) applySettings(s Settings) {
	classes := make([]*class, len(s.Classes))
	b.recentAttempts.timeConstant = 0
	for i, definition := range s.Classes {
		classes[i] = b.classFor(definition)
		b.recentAttempts.timeConstant = max(b.recentAttempts.timeConstant, definition.ClientTimeout) // by then, what is sent now has its outcome
	}
	tenants := make([]*tenant, len(s.Tenants))
	for i, definition := range s.Tenants {
		tenants[i] = &tenant{definition, &decayingRate{}}
	}
	known := make(map[string]*decayingRate, len(b.tenants))
	for _, t := range b.tenants {
		known[t.Name] = t.decayingRate
	}
	for _, t := range tenants {
		if taken, ok := known[t.Name]; ok {
			t.decayingRate = taken
		}
	}
	b.settings, b.classes, b.tenants = s, classes, tenants
}
