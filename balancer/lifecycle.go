// Package balancer makes the decisions of a client-side sidecar balancer.
//
// A Balancer is a deterministic state machine for one caller at a time: the host passes each event with its
// instant, and the balancer calls Actions. It does no I/O and has no clock of its own.
//
// The decisions stand in ledger.go, membership.go, slowstart.go, probing.go, prediction.go, pick.go, breaker.go,
// admission.go and retries.go; settings, events and actions in api.go, records in state.go, new settings in
// reconfigure.go, counts in stats.go.
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
