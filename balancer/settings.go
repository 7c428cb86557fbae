package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. Instants share one
// arbitrary origin chosen by the host; the host's clock never runs backwards.
type Micros = int64

// Time limits for learning of a change of the endpoint list. By the protocol a sidecar counts as notified of a change
// NotificationDeadline after discovery has it and can be reached, whatever became of earlier calls. Within that time
// there may be a call that hangs or a watch that has gone silent, then the backoff, then a call that queues at
// discovery. The backoff therefore has what the other two leave:
//
//	after a call that timed out:   NotificationDeadline - 2 DiscoveryCallTimeout                            = 0.6 s at most
//	after a watch went silent:     NotificationDeadline - WatchDuration - WatchGrace - DiscoveryCallTimeout = 0.8 s at most
//	after a call refused at once:  NotificationDeadline - DiscoveryCallTimeout                              = 3.3 s at most
//
// Over a fleet, quiet watches make one call each in 1.5 to 2 s.
const (
	NotificationDeadline Micros = 6_000_000
	DiscoveryCallTimeout        = NotificationDeadline * 9 / 20 // with a call that asks at once
	WatchDuration               = NotificationDeadline / 3      // that a call may wait for news,
	WatchGrace                  = NotificationDeadline / 12     // and be late with telling that there is none
)

// Idempotency says what a second run of a request of a class would do.
type Idempotency uint8

// The three kinds of class.
const (
	Idempotent        Idempotency = iota // a repeat is harmless
	IdempotentWithKey                    // a group of endpoints drops repeats for a while
	NonIdempotent                        // a repeat would have a second effect
)

// DeduplicationScope is the set of endpoints that drops repeats of a keyed request.
type DeduplicationScope uint8

// The groups of a keyed class.
const (
	ScopeAll  DeduplicationScope = iota // every endpoint
	ScopeZone                           // the endpoints of one zone
	ScopeCell                           // the endpoints of one cell
)

// ReportField names one figure of a load report.
type ReportField uint8

// The figures that a load report may carry. FieldUnknown is one that this
// version does not know; it is skipped.
const (
	FieldUnknown     ReportField = iota
	FieldInFlight                // requests that the endpoint holds
	FieldQueue                   // requests that wait there
	FieldUtilization             // share of its cores in use
	FieldLatency                 // recent service time in milliseconds
	FieldServedRate              // requests served a second
	FieldErrorRate               // errors a second
)

// Class describes one class of requests.
type Class struct {
	Name                string
	Idempotency         Idempotency        `json:"Repeat"`
	DeduplicationScope  DeduplicationScope `json:"Group"`     // keyed only
	DeduplicationWindow Micros             `json:"Window"`    // keyed only: how long the group remembers
	LatencyObjective    Micros             `json:"Aim"`       // an answer within this time earns the full worth
	ClientTimeout       Micros             `json:"GiveUp"`    // the client's patience over all its tries
	PriorityWeight      float64            `json:"Worth"`     // of one request
	LateWeight          float64            `json:"LateWorth"` // share of the worth earned after the aim
	Streaming           bool               `json:"Stream"`    // answers are streamed: Headers announces them
}

// Tenant describes one tenant and its share of the service.
type Tenant struct {
	Name          string
	QuotaRate     float64 `json:"Allowance"` // requests a second over all balancers
	CapacityShare float64 `json:"Share"`
}

// Limits holds what the deployment permits. Tell and DialTimeout are checked
// but no decision reads them.
type Limits struct {
	CancelAttempts bool `json:"Cancel"`
	Probes         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	PeerMessages   bool `json:"Tell"`

	MaxAttempts     int    // attempts a request
	MaxOpenRequests int    `json:"MaxOpen"` // open requests a balancer
	MaxRetryAfter   Micros // the longest wait that clients honour
	DialTimeout     Micros
}

// Contract holds the figures of the rules. DrainGrace and AnswerGrace are
// checked but no decision reads them: nothing new is sent to a draining
// endpoint, and answers leave by the deadline.
type Contract struct {
	DrainGrace               Micros
	SlowStartInitialFraction float64 `json:"ColdFrom"`     // an endpoint starts at no less than this share
	SlowStartDuration        Micros  `json:"RampTime"`     // and is warm no later than this
	OverloadFactor           float64 `json:"FallMultiple"` // of its present capacity, sent for OverloadWindow,
	OverloadWindow           Micros  `json:"OverloadFor"`  // makes a cold endpoint fall over
	PollInterval             Micros  `json:"AskWithin"`    // a balancer without subscription must ask this often
	AnswerGrace              Micros  `json:"AnswerSlack"`
}

// Prices holds what is taken off the result, each for its rate per request.
// No decision reads Waste and LateFail.
type Prices struct {
	CrossZone     float64
	Probe         float64
	WastedAttempt float64 `json:"Waste"`
	LateFailure   float64 `json:"LateFail"`
}

// Goal holds the weights of what the users judge. No decision reads WorstTenant.
type Goal struct {
	Overall     float64 `json:"Whole"`
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Settings is all that a balancer is told at its start, and by Reconfigure. It does not change what it is given,
// nor may its host. No decision reads Position, Zones and Kinds.
type Settings struct {
	Balancers            int // in this tier, this one included
	Index                int `json:"Position"` // of this one among them
	Zone                 int // of this one
	Zones                int
	MachineKinds         int  `json:"Kinds"`     // of machines
	SubscribeToDiscovery bool `json:"Subscribe"` // discovery answers only when asked

	Classes      []Class
	Tenants      []Tenant
	ReportFields []ReportField `json:"Fields"` // of a load report, in order

	Limits          Limits
	Contract        Contract
	Prices          Prices
	Goal            Goal
	Tick            Micros  // the least time between two rounds of events
	OverQuotaWeight float64 `json:"OverShareWorth"`
	WeightByWork    bool    `json:"WorthByWork"` // worth counts per unit of work, not per request
	KeyAffinity     bool    `json:"WarmKeys"`    // an endpoint that met a key lately does less work for it
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Value, Reason string }

// Error says which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that makes no sense.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{key, fmt.Sprint(value), reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Index >= 0, "Index", s.Index, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.MachineKinds >= 0, "MachineKinds", s.MachineKinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.Idempotency <= NonIdempotent, at("Idempotency"), c.Idempotency, "not a known kind")
		check(c.DeduplicationScope <= ScopeCell, at("DeduplicationScope"), c.DeduplicationScope, "not a known group")
		check(c.DeduplicationWindow >= 0, at("DeduplicationWindow"), c.DeduplicationWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("LatencyObjective"), c.LatencyObjective, "must be positive")
		check(c.ClientTimeout > 0, at("ClientTimeout"), c.ClientTimeout, "must be positive")
		check(c.PriorityWeight >= 0, at("PriorityWeight"), c.PriorityWeight, "must not be negative")
		check(c.LateWeight >= 0 && c.LateWeight <= 1, at("LateWeight"), c.LateWeight, "must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].QuotaRate", i)
		check(t.QuotaRate >= 0, key, t.QuotaRate, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverQuotaWeight", s.OverQuotaWeight, "must not be negative")
	l, c, p := &s.Limits, &s.Contract, &s.Prices
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxOpenRequests >= 1, "Limits.MaxOpenRequests", l.MaxOpenRequests, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	check(c.SlowStartInitialFraction > 0 && c.SlowStartInitialFraction <= 1, "Contract.SlowStartInitialFraction", c.SlowStartInitialFraction, "must be in 0..1, not 0")
	check(c.SlowStartDuration >= 0, "Contract.SlowStartDuration", c.SlowStartDuration, "must not be negative")
	check(c.OverloadFactor > 0, "Contract.OverloadFactor", c.OverloadFactor, "must be positive")
	check(c.OverloadWindow >= 0, "Contract.OverloadWindow", c.OverloadWindow, "must not be negative")
	check(c.PollInterval >= 0, "Contract.PollInterval", c.PollInterval, "must not be negative")
	check(c.AnswerGrace >= 0, "Contract.AnswerGrace", c.AnswerGrace, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.Probe >= 0, "Prices.Probe", p.Probe, "must not be negative")
	check(p.WastedAttempt >= 0, "Prices.WastedAttempt", p.WastedAttempt, "must not be negative")
	check(p.LateFailure >= 0, "Prices.LateFailure", p.LateFailure, "must not be negative")
	return err
}
