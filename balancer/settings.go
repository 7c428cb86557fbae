package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. Instants share one arbitrary origin chosen by the host; the
// host's clock never runs backwards.
type Micros = int64

// Time limits for a notification of a change of the endpoint list. By the protocol, a sidecar counts as notified of a
// change NotificationDeadline after discovery has it and is reachable, whatever the state of earlier calls. Within that
// time there may be a call that hangs or a silent watch, then the backoff, then a call that queues at discovery. The
// backoff therefore takes no more than the other two leave:
//
//	after a call that timed out:   NotificationDeadline - 2 DiscoveryCallTimeout = 0.6 s at most
//	after a watch went silent:     NotificationDeadline - WatchDuration - WatchGrace
//	                               - DiscoveryCallTimeout = 0.8 s at most
//	after a call failed at once:   NotificationDeadline - DiscoveryCallTimeout = 3.3 s at most
//
// Without changes, each watch of a fleet makes one call in 1.5 to 2 s.
const (
	NotificationDeadline Micros = 6_000_000
	DiscoveryCallTimeout        = NotificationDeadline * 9 / 20 // of a call that is to be answered at once
	WatchDuration               = NotificationDeadline / 3      // for which a call may wait for a change,
	WatchGrace                  = NotificationDeadline / 12     // and by which an answer that there is none may be late
)

// Idempotency tells what a second execution of a request would do. Later values permit less.
type Idempotency uint8

// The kinds of class.
const (
	Idempotent        Idempotency = iota // a second execution is harmless
	IdempotentWithKey                    // the endpoints of a scope drop duplicates by their key for DeduplicationWindow
	NonIdempotent                        // a second execution would have a second effect
)

// DeduplicationScope is the set of endpoints that drop duplicates of a request with an idempotency key.
type DeduplicationScope uint8

// The deduplication scopes.
const (
	ScopeAll  DeduplicationScope = iota // every endpoint
	ScopeZone                           // the endpoints of one zone
	ScopeCell                           // the endpoints of one cell
)

// ReportField names one figure of a load report.
type ReportField uint8

// The figures that a load report may carry. FieldUnknown is one that this version does not know; it is skipped.
const (
	FieldUnknown     ReportField = iota
	FieldInFlight                // requests at the endpoint
	FieldQueue                   // requests queued there
	FieldUtilization             // share of its cores in use
	FieldLatency                 // recent service time in milliseconds
	FieldServedRate              // requests served a second
	FieldErrorRate               // errors a second
)

// Class describes one class of requests. No decision reads LateWeight and Streaming.
type Class struct {
	Name                string
	Idempotency         Idempotency        `json:"Repeat"`
	DeduplicationScope  DeduplicationScope `json:"Group"`     // for IdempotentWithKey only
	DeduplicationWindow Micros             `json:"Window"`    // for IdempotentWithKey only: duplicates are dropped so long
	LatencyObjective    Micros             `json:"Aim"`       // an answer within this time earns the full weight
	ClientTimeout       Micros             `json:"GiveUp"`    // of the client, over all its attempts
	PriorityWeight      float64            `json:"Worth"`     // of one request
	LateWeight          float64            `json:"LateWorth"` // share of the weight earned after LatencyObjective
	Streaming           bool               `json:"Stream"`    // answers are streamed: HandleHeaders announces them
}

// Tenant describes one tenant and its quota. No decision reads CapacityShare.
type Tenant struct {
	Name          string
	QuotaRate     float64 `json:"Allowance"` // requests a second over all balancers
	CapacityShare float64 `json:"Share"`
}

// Limits holds what the deployment permits. No decision reads PeerMessages and DialTimeout.
type Limits struct {
	CancelAttempts bool `json:"Cancel"`
	Probes         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	PeerMessages   bool `json:"Tell"`

	MaxAttempts     int    // attempts a request
	MaxOpenRequests int    `json:"MaxOpen"` // open requests a balancer
	MaxRetryAfter   Micros // the longest Retry-After that clients honour
	DialTimeout     Micros
}

// Contract holds the figures of the rules. No decision reads AnswerGrace: answers leave by the deadline.
type Contract struct {
	DrainGrace               Micros  // for which a draining endpoint still serves
	SlowStartInitialFraction float64 `json:"ColdFrom"`     // share of its capacity, at least, that an endpoint starts with
	SlowStartDuration        Micros  `json:"RampTime"`     // after which it is warm, at the latest
	OverloadFactor           float64 `json:"FallMultiple"` // times its present capacity overload a warming endpoint
	OverloadWindow           Micros  `json:"OverloadFor"`  // if sent for this time
	PollInterval             Micros  `json:"AskWithin"`    // between polls of a balancer without subscription, at most
	AnswerGrace              Micros  `json:"AnswerSlack"`
}

// Prices holds what is taken off the result, each for its rate per request. No decision reads WastedAttempt and
// LateFailure.
type Prices struct {
	CrossZone     float64
	Probe         float64
	WastedAttempt float64 `json:"Waste"`
	LateFailure   float64 `json:"LateFail"`
}

// Goal holds the weights of what users judge. No decision reads WorstTenant.
type Goal struct {
	Overall     float64 `json:"Whole"`
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Settings configures a balancer, at its start and by Reconfigure. Neither the balancer nor its host may change them
// afterwards. No decision reads Index, Zones, MachineKinds and Tick.
type Settings struct {
	Balancers            int // in this tier, this one included
	Index                int `json:"Position"` // of this one among them
	Zone                 int // of this one
	Zones                int
	MachineKinds         int  `json:"Kinds"`
	SubscribeToDiscovery bool `json:"Subscribe"` // discovery answers only when called

	Classes      []Class
	Tenants      []Tenant
	ReportFields []ReportField `json:"Fields"` // of a load report, in order

	Limits          Limits
	Contract        Contract
	Prices          Prices
	Goal            Goal
	Tick            Micros  // the least time between two rounds of events
	OverQuotaWeight float64 `json:"OverShareWorth"` // of a request beyond its tenant's quota, as a share
	WeightByWork    bool    `json:"WorthByWork"`    // PriorityWeight counts per unit of work, not per request
	KeyAffinity     bool    `json:"WarmKeys"`       // an endpoint that served a key recently does less work for it
}

// SettingError names a setting that is invalid. Key is its path in Settings.
type SettingError struct{ Key, Value, Reason string }

// Error says which setting is invalid, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that is invalid.
func (s *Settings) Validate() error {
	var v validator
	atLeastOne(&v, "Balancers", s.Balancers)
	notNegative(&v, "Index", s.Index)
	notNegative(&v, "Zone", s.Zone)
	notNegative(&v, "MachineKinds", s.MachineKinds)
	notNegative(&v, "Tick", s.Tick)
	v.check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i := range s.Classes {
		s.Classes[i].validate(&v, fmt.Sprintf("Classes[%d].", i))
	}
	for i, t := range s.Tenants {
		notNegative(&v, fmt.Sprintf("Tenants[%d].QuotaRate", i), t.QuotaRate)
	}
	for _, weight := range [...]float64{s.Goal.Overall, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		notNegative(&v, "Goal", weight)
	}
	notNegative(&v, "OverQuotaWeight", s.OverQuotaWeight)
	s.Limits.validate(&v)
	s.Contract.validate(&v)
	s.Prices.validate(&v)
	return v.err
}

func (c *Class) validate(v *validator, path string) {
	v.check(c.Idempotency <= NonIdempotent, path+"Idempotency", c.Idempotency, "not a known kind")
	v.check(c.DeduplicationScope <= ScopeCell, path+"DeduplicationScope", c.DeduplicationScope, "not a known group")
	notNegative(v, path+"DeduplicationWindow", c.DeduplicationWindow)
	positive(v, path+"LatencyObjective", c.LatencyObjective)
	positive(v, path+"ClientTimeout", c.ClientTimeout)
	notNegative(v, path+"PriorityWeight", c.PriorityWeight)
	v.check(c.LateWeight >= 0 && c.LateWeight <= 1, path+"LateWeight", c.LateWeight, "must be in 0..1")
}

func (l *Limits) validate(v *validator) {
	atLeastOne(v, "Limits.MaxAttempts", l.MaxAttempts)
	atLeastOne(v, "Limits.MaxOpenRequests", l.MaxOpenRequests)
	notNegative(v, "Limits.MaxRetryAfter", l.MaxRetryAfter)
	notNegative(v, "Limits.DialTimeout", l.DialTimeout)
}

func (c *Contract) validate(v *validator) {
	notNegative(v, "Contract.DrainGrace", c.DrainGrace)
	fraction := c.SlowStartInitialFraction
	v.check(fraction > 0 && fraction <= 1, "Contract.SlowStartInitialFraction", fraction, "must be in 0..1, not 0")
	notNegative(v, "Contract.SlowStartDuration", c.SlowStartDuration)
	positive(v, "Contract.OverloadFactor", c.OverloadFactor)
	notNegative(v, "Contract.OverloadWindow", c.OverloadWindow)
	notNegative(v, "Contract.PollInterval", c.PollInterval)
	notNegative(v, "Contract.AnswerGrace", c.AnswerGrace)
}

func (p *Prices) validate(v *validator) {
	notNegative(v, "Prices.CrossZone", p.CrossZone)
	notNegative(v, "Prices.Probe", p.Probe)
	notNegative(v, "Prices.WastedAttempt", p.WastedAttempt)
	notNegative(v, "Prices.LateFailure", p.LateFailure)
}

// validator keeps the first error.
type validator struct{ err error }

func (v *validator) check(ok bool, key string, value any, reason string) {
	if !ok && v.err == nil {
		v.err = &SettingError{key, fmt.Sprint(value), reason}
	}
}

// number is any type of the settings that is checked against a bound. No comparison holds for NaN.
type number interface{ int | int64 | float64 }

func notNegative[T number](v *validator, key string, value T) {
	v.check(value >= 0, key, value, "must not be negative")
}

func positive[T number](v *validator, key string, value T) {
	v.check(value > 0, key, value, "must be positive")
}

func atLeastOne[T number](v *validator, key string, value T) {
	v.check(value >= 1, key, value, "must be at least 1")
}
