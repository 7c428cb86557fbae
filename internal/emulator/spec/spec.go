// Package spec defines what the emulator plays: the scenario file and the size of the fleet.
//
// It validates every value, so that the packages that use them need not.
//
// Each field has two tags, since the decoder of the scenario file reads toml tags and stored results are encoded by
// json tags. Their keys are equal, so that a result shows the scenario file's keys, and must not change.
package spec

import "time"

// File is the scenario file.
type File struct {
	Fleet     Fleet               `toml:"fleet" json:"fleet"`
	Sidecar   Sidecar             `toml:"sidecar" json:"sidecar"`
	Endpoint  Endpoint            `toml:"endpoint" json:"endpoint"`
	Registry  Registry            `toml:"registry" json:"registry"`
	Load      Load                `toml:"load" json:"load"`
	Limits    Limits              `toml:"limits" json:"limits"`
	Scenarios map[string]Scenario `toml:"scenarios" json:"-"`
}

// Fleet describes how endpoints and sidecars are laid out.
type Fleet struct {
	Services           int      `toml:"services" json:"services"`
	Regions            []string `toml:"regions" json:"regions"`
	ZonesPerRegion     int      `toml:"zones_per_region" json:"zones_per_region"`
	MachineKinds       []string `toml:"kinds" json:"kinds"`
	CellSize           int      `toml:"cell_size" json:"cell_size"`
	SimulatedPerWorker int      `toml:"hollow_per_worker" json:"hollow_per_worker"`
	EndpointsPerWorker int      `toml:"endpoints_per_worker" json:"endpoints_per_worker"`
}

// Sidecar holds the settings of every sidecar.
type Sidecar struct {
	MemoryMB      int      `toml:"memory_mb" json:"memory_mb"`
	Sockets       int      `toml:"sockets" json:"sockets"`
	Discovery     string   `toml:"discovery" json:"discovery"` // subscribe or automatic
	LoadField     string   `toml:"load_field" json:"load_field"`
	ProbePrice    float64  `toml:"probe_price" json:"probe_price"`
	KeepAlive     Duration `toml:"keep_alive" json:"keep_alive"`
	DialTimeout   Duration `toml:"dial_timeout" json:"dial_timeout"`
	DrainGrace    Duration `toml:"drain_grace" json:"drain_grace"`
	PollInterval  Duration `toml:"ask_within" json:"ask_within"`
	MaxAttempts   int      `toml:"max_attempts" json:"max_attempts"`
	MaxRetryAfter Duration `toml:"max_retry_after" json:"max_retry_after"`
	Tenants       int      `toml:"tenants" json:"tenants"`
}

// Endpoint holds the properties of every endpoint.
type Endpoint struct {
	Cores        int      `toml:"cores" json:"cores"`
	ServiceTime  Duration `toml:"service_time" json:"service_time"`
	QueueLimit   int      `toml:"queue_limit" json:"queue_limit"`
	WarmUp       Duration `toml:"warm_up" json:"warm_up"`
	ColdCapacity float64  `toml:"cold_share" json:"cold_share"`
}

// Registry holds the limits of the discovery server.
type Registry struct {
	CallsPerSecond float64  `toml:"calls_per_second" json:"calls_per_second"`
	MaxQueueDelay  Duration `toml:"max_queue_delay" json:"max_queue_delay"`
	History        int      `toml:"history" json:"history"`
}

// Load describes the requests that are sent through real sidecars and, for comparison, directly.
type Load struct {
	CallsPerSecond       float64 `toml:"calls_per_second" json:"calls_per_second"`               // to each real sidecar
	DirectCallsPerSecond float64 `toml:"direct_calls_per_second" json:"direct_calls_per_second"` // over all endpoints
	MaxInFlight          int     `toml:"max_in_flight" json:"max_in_flight"`
	Classes              []Class `toml:"classes" json:"classes"`
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name" json:"name"`
	Idempotency      string   `toml:"repeat" json:"repeat"` // pure, token or side_effect
	LatencyObjective Duration `toml:"target" json:"target"`
	Timeout          Duration `toml:"give_up" json:"give_up"`
	Weight           float64  `toml:"share" json:"share"`
}

// Values of Class.Idempotency.
const (
	Idempotent        = "pure"
	IdempotentWithKey = "token"
	NonIdempotent     = "side_effect"
)

// Values of Sidecar.Discovery.
const (
	DiscoverySubscribe = "subscribe"
	DiscoveryAutomatic = "automatic"
)

// Limits limit every run.
type Limits struct {
	MemoryMB     int      `toml:"memory_mb" json:"memory_mb"` // of all processes together
	Duration     Duration `toml:"duration" json:"duration"`
	Requests     int      `toml:"requests" json:"requests"`
	StartSpread  Duration `toml:"start_spread" json:"start_spread"` // time over which sidecars start, at the largest size
	ReadyTimeout Duration `toml:"ready" json:"ready"`               // time within which the fleet has to be ready
}

// Kind is the kind of a scenario.
type Kind string

// The kinds of scenario.
const (
	Steady        Kind = "steady"
	ConfigChanges Kind = "changes"
	Replacements  Kind = "replace"
	ZoneFailure   Kind = "zone"
)

// Scenario is a scenario of the file. Which values it needs depends on its kind.
type Scenario struct {
	Kind        Kind     `toml:"kind" json:"kind"`
	Description string   `toml:"description" json:"description"`
	Settle      Duration `toml:"settle" json:"settle"` // time from the fleet's being ready to the first phase
	Idle        Duration `toml:"rest" json:"rest"`     // length of the phase without load; 0: no such phase
	Loaded      Duration `toml:"loaded" json:"loaded"` // length of the phase with load and nothing else; 0: no such phase

	PerDay      int     `toml:"per_day" json:"per_day,omitempty"`         // events a day: changes or restarts
	Compression float64 `toml:"compression" json:"compression,omitempty"` // how many times faster they are played
	Events      int     `toml:"events" json:"events,omitempty"`           // number of events to play
	Burst       int     `toml:"burst" json:"burst,omitempty"`             // number of changes in the burst after them

	DrainDuration  Duration `toml:"drain" json:"drain,omitempty"`   // from the announcement of a restart to it
	DetectionDelay Duration `toml:"notice" json:"notice,omitempty"` // from a zone's failure to its removal
	Outage         Duration `toml:"gone" json:"gone,omitempty"`     // duration of a zone's failure
	Recovery       Duration `toml:"back" json:"back,omitempty"`     // time that is measured from its recovery
}

// Interval is the time from one event to the next.
func (s Scenario) Interval() time.Duration {
	const day = 24 * time.Hour
	return time.Duration(float64(day) / float64(s.PerDay) / s.Compression)
}

// Size is the size of a fleet.
type Size struct {
	Sidecars  int `json:"sidecars"` // real sidecars included
	Endpoints int `json:"endpoints"`
	Real      int `json:"real"` // sidecars with a process of their own
}

// Duration is a time.Duration that is encoded as text, such as 1.5s.
type Duration time.Duration

// UnmarshalText parses a duration such as 1.5s.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText formats a duration such as 1.5s.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Micros returns the duration in whole microseconds.
func (d Duration) Micros() int64 { return time.Duration(d).Microseconds() }
