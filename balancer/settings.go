package balancer

import "fmt"

// Micros is an instant or a duration in microseconds. All instants count from the same origin, which the host
// may choose freely. The host's clock never runs backwards.
type Micros = int64

// Time limits for the calls to discovery that deliver changes of the endpoint list. A watch is a series of
// calls, each of which waits for a change. The protocol requires that a sidecar receives a change within
// NotificationDeadline, whatever the state of its earlier calls. The time starts when discovery has the
// change and can be reached. In the worst case, it covers a call that hangs or a watch that went silent,
// then the backoff, then a call that queues at discovery. The backoff is therefore limited to the part of
// NotificationDeadline that the calls before and after it leave:
//
//	after a call that timed out:       at most NotificationDeadline - 2 DiscoveryCallTimeout = 0.6 s
//	after a watch that went silent:    at most NotificationDeadline - WatchDuration - WatchGrace
//	                                   - DiscoveryCallTimeout = 0.8 s
//	after a call that failed at once:  at most NotificationDeadline - DiscoveryCallTimeout = 3.3 s
//
// While nothing changes, the watch of each balancer makes one call every 1.5 to 2 s.
const (
	NotificationDeadline Micros = 6_000_000
	DiscoveryCallTimeout        = NotificationDeadline * 9 / 20 // timeout of a call that does not wait
	WatchDuration               = NotificationDeadline / 3      // longest time that a call may wait for a change
	WatchGrace                  = NotificationDeadline / 12     // time that a call may take beyond its wait
)

// Idempotency states the effect of executing a request twice. A larger value is stricter.
type Idempotency uint8

// The values of Idempotency.
const (
	// Idempotent means that a second execution is harmless.
	Idempotent Idempotency = iota
	// IdempotentWithKey means that the request carries an idempotency key, by which the endpoints within the
	// class's DeduplicationScope drop duplicates for DeduplicationWindow.
	IdempotentWithKey
	// NonIdempotent means that a second execution would have a second effect.
	NonIdempotent
)

// DeduplicationScope is the set of endpoints that drop duplicates of a request with an idempotency key. It is
// relative to the endpoint that received the request first.
type DeduplicationScope uint8

// The deduplication scopes.
const (
	ScopeAll  DeduplicationScope = iota // every endpoint
	ScopeZone                           // the endpoints of one zone
	ScopeCell                           // the endpoints of one cell
)

// ReportField identifies one figure of a load report.
type ReportField uint8

// The figures that a load report may contain. FieldUnknown is a figure that this version does not know and
// ignores.
const (
	FieldUnknown     ReportField = iota
	FieldInFlight                // requests queued or being served at the endpoint
	FieldQueue                   // requests queued at the endpoint
	FieldUtilization             // share of the endpoint's cores in use, 0 to 1
	FieldLatency                 // recent service time in milliseconds
	FieldServedRate              // requests served per second
	FieldErrorRate               // errors per second
)

// Class describes one class of requests. DeduplicationScope and DeduplicationWindow are used only with
// IdempotentWithKey. An answer is late if its latency exceeds LatencyObjective. No decision depends on
// LateWeight or Streaming.
type Class struct {
	Name                string
	Idempotency         Idempotency        `json:"Repeat"`
	DeduplicationScope  DeduplicationScope `json:"Group"`
	DeduplicationWindow Micros             `json:"Window"`    // how long endpoints drop duplicates
	LatencyObjective    Micros             `json:"Aim"`       // longest latency of an answer that is not late
	ClientTimeout       Micros             `json:"GiveUp"`    // the client's timeout over all its attempts
	PriorityWeight      float64            `json:"Worth"`     // weight of one request; see Settings.WeightByWork
	LateWeight          float64            `json:"LateWorth"` // share of PriorityWeight for a late answer
	Streaming           bool               `json:"Stream"`    // responses are streamed; see HandleHeaders
}

// Tenant describes one tenant and its quota. No decision depends on CapacityShare.
type Tenant struct {
	Name          string
	QuotaRate     float64 `json:"Allowance"` // quota in requests per second, over all balancers
	CapacityShare float64 `json:"Share"`
}

// Limits holds what the deployment permits a balancer to do. No decision depends on PeerMessages or
// DialTimeout.
type Limits struct {
	CancelAttempts bool `json:"Cancel"`
	Probes         bool
	HedgedRequests bool `json:"SecondCopies"`
	RetryAfter     bool
	PeerMessages   bool `json:"Tell"`

	MaxAttempts     int    // largest number of attempts of a request, including the first
	MaxOpenRequests int    `json:"MaxOpen"` // largest number of open requests of a balancer
	MaxRetryAfter   Micros // longest Retry-After that clients respect
	DialTimeout     Micros
}

// Contract holds the parameters of the rules for endpoints, discovery and answers. No decision depends on
// AnswerGrace, since the balancer gives each final answer by the deadline.
type Contract struct {
	// DrainGrace is how long a draining endpoint still serves requests.
	DrainGrace Micros

	// A warming endpoint has at least SlowStartInitialFraction of its capacity when it starts. It is fully warm
	// after SlowStartDuration at the latest.
	SlowStartInitialFraction float64 `json:"ColdFrom"`
	SlowStartDuration        Micros  `json:"RampTime"`

	// A warming endpoint becomes overloaded if it receives requests at OverloadFactor times its present capacity
	// for OverloadWindow.
	OverloadFactor float64 `json:"FallMultiple"`
	OverloadWindow Micros  `json:"OverloadFor"`

	// PollInterval is the longest time between calls to discovery by a balancer without a subscription.
	PollInterval Micros `json:"AskWithin"`
	AnswerGrace  Micros `json:"AnswerSlack"`
}

// Prices holds deductions from the score that users give the service; Goal has the weights of the score's
// criteria. Each price is multiplied by the number of its events per request, such as the probes per request.
// No decision depends on WastedAttempt or LateFailure.
type Prices struct {
	CrossZone     float64
	Probe         float64
	WastedAttempt float64 `json:"Waste"`
	LateFailure   float64 `json:"LateFail"`
}

// Goal holds the weights of the criteria by which users judge the service: as a whole, in its worst time
// window, for the worst class and for the worst tenant. No decision depends on WorstTenant.
type Goal struct {
	Overall     float64 `json:"Whole"`
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Settings configures a balancer, in New and in Reconfigure. A Settings that was passed to one of these
// functions must not be modified afterwards. No decision depends on Index, Zones, MachineKinds or Tick.
//
// Balancers is the number of balancers in the tier, including this one. Index is the position of this
// balancer among them, from 0, and Zone is this balancer's zone.
type Settings struct {
	Balancers            int
	Index                int `json:"Position"`
	Zone                 int
	Zones                int
	MachineKinds         int  `json:"Kinds"`
	SubscribeToDiscovery bool `json:"Subscribe"` // endpoint lists arrive only after calls of Actions.Watch

	Classes      []Class
	Tenants      []Tenant
	ReportFields []ReportField `json:"Fields"` // meaning of each figure of a load report, in order

	Limits          Limits
	Contract        Contract
	Prices          Prices
	Goal            Goal
	Tick            Micros  // shortest time between two rounds of events
	OverQuotaWeight float64 `json:"OverShareWorth"` // relative weight of a request above its tenant's quota
	WeightByWork    bool    `json:"WorthByWork"`    // PriorityWeight is per unit of work, not per request
	KeyAffinity     bool    `json:"WarmKeys"`       // endpoints that served a key lately need less work for it
}

// SettingError reports an invalid setting. In an error from this package, Key is the path of the setting in
// Settings, such as "Contract.DrainGrace".
type SettingError struct{ Key, Value, Reason string }

// Error returns a message with the key, the value and the reason why it is invalid.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first invalid setting, or nil if all settings are valid.
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
	v.check(c.Idempotency <= NonIdempotent, path+"Idempotency", c.Idempotency, "not a known idempotency")
	v.check(c.DeduplicationScope <= ScopeCell, path+"DeduplicationScope", c.DeduplicationScope, "not a known scope")
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
	v.check(fraction > 0 && fraction <= 1, "Contract.SlowStartInitialFraction", fraction, "must be in (0,1]")
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

// validator collects the result of checks. err is the first error, or nil.
type validator struct{ err error }

func (v *validator) check(ok bool, key string, value any, reason string) {
	if !ok && v.err == nil {
		v.err = &SettingError{key, fmt.Sprint(value), reason}
	}
}

// number is the set of types of settings that are checked against a bound. NaN fails every check, since every
// comparison with it is false.
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
