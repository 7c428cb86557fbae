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

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	firstSlot = 16
	slotBits  = 20
)

// New returns a balancer, or a *SettingError. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		out: out, rng: source(seed),
		requests: map[uint64]*request{}, byID: map[uint32]*endpoint{}, cordoned: map[uint64]bool{}, departed: map[uint64]Micros{},
		logged: map[string]Micros{},
	}
	b.applySettings(s)
	return b, nil
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lag.seen, b.refused.seen, b.lost.seen = true, true, true
	b.trend, b.trust = 1, 0.5
	b.coldSlowness = ewma{v: coldSlownessFirst, seen: true}
	b.usual = mean{v: usualFirst, n: usualGuess}
	b.credit, b.copies, b.passOf = budgetBurst, budgetBurst, minPassInterval
	b.firstAsk(now)
	b.firstProbe()
}

// HandleTimer handles a token given to Actions.Timer.
func (b *Balancer) HandleTimer(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.probeRound(now)
	case token == tokenDiscovery:
		b.ask(now)
	case token >= firstSlot:
		slot := int(token&(1<<slotBits-1)) - firstSlot
		if slot >= 0 && slot < len(b.slots) {
			if r := b.slots[slot]; r.token == token && !r.ended && !r.stream {
				b.wake(now, r)
			}
		}
	}
}
