// Package spec defines what the emulator plays: the scenario file and the size of the fleet.
//
// Read and Size.Validate check values against their limits, so that the packages that use them don't have to.
//
// Each field of the scenario file has two tags: the decoder of the file uses the toml tag, and the encoder of stored
// results uses the json tag. The keys in both tags are equal, so that a result shows the keys of the scenario file.
// The keys must not change. Some of them differ from the names in the code: a simulated sidecar, which runs within a
// worker's process, is written as "hollow", and the idle phase as "rest".
package spec

import "time"

// File is the content of a scenario file.
type File struct {
	Fleet     Fleet               `toml:"fleet" json:"fleet"`
	Sidecar   Sidecar             `toml:"sidecar" json:"sidecar"`
	Endpoint  Endpoint            `toml:"endpoint" json:"endpoint"`
	Registry  Registry            `toml:"registry" json:"registry"`
	Load      Load                `toml:"load" json:"load"`
	Limits    Limits              `toml:"limits" json:"limits"`
	Scenarios map[string]Scenario `toml:"scenarios" json:"-"` // scenarios by name
}

// Fleet describes how endpoints and sidecars are assigned to services, zones, cells and worker processes.
type Fleet struct {
	Services           int      `toml:"services" json:"services"` // number of services
	Regions            []string `toml:"regions" json:"regions"`
	ZonesPerRegion     int      `toml:"zones_per_region" json:"zones_per_region"`
	MachineKinds       []string `toml:"kinds" json:"kinds"`
	CellSize           int      `toml:"cell_size" json:"cell_size"`                       // number of endpoints per cell
	SimulatedPerWorker int      `toml:"hollow_per_worker" json:"hollow_per_worker"`       // simulated sidecars per worker
	EndpointsPerWorker int      `toml:"endpoints_per_worker" json:"endpoints_per_worker"` // endpoints per worker
}

// Sidecar holds the settings of every sidecar.
type Sidecar struct {
	MemoryMB      int      `toml:"memory_mb" json:"memory_mb"`
	Sockets       int      `toml:"sockets" json:"sockets"`
	Discovery     string   `toml:"discovery" json:"discovery"` // DiscoverySubscribe or DiscoveryAutomatic
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

// Registry holds the properties of the discovery server.
type Registry struct {
	CallsPerSecond float64  `toml:"calls_per_second" json:"calls_per_second"`
	MaxQueueDelay  Duration `toml:"max_queue_delay" json:"max_queue_delay"`
	History        int      `toml:"history" json:"history"`
}

// Load describes the requests that are sent through real sidecars and, for comparison, directly to endpoints.
type Load struct {
	// CallsPerSecond is the rate of requests to each real sidecar.
	CallsPerSecond float64 `toml:"calls_per_second" json:"calls_per_second"`
	// DirectCallsPerSecond is the total rate of direct requests to all endpoints.
	DirectCallsPerSecond float64 `toml:"direct_calls_per_second" json:"direct_calls_per_second"`
	MaxInFlight          int     `toml:"max_in_flight" json:"max_in_flight"`
	Classes              []Class `toml:"classes" json:"classes"`
}

// Class is a class of requests.
type Class struct {
	Name             string   `toml:"name" json:"name"`
	Idempotency      string   `toml:"repeat" json:"repeat"` // Idempotent, IdempotentWithKey or NonIdempotent
	LatencyObjective Duration `toml:"target" json:"target"`
	Timeout          Duration `toml:"give_up" json:"give_up"`
	Weight           float64  `toml:"share" json:"share"`
}

// The values of Class.Idempotency.
const (
	Idempotent        = "pure"
	IdempotentWithKey = "token"
	NonIdempotent     = "side_effect"
)

// The values of Sidecar.Discovery.
const (
	DiscoverySubscribe = "subscribe" // a balancer requests the endpoint list and a watch of its changes
	DiscoveryAutomatic = "automatic" // a balancer gets the endpoint list without a request; the sidecar starts the watch
)

// Limits holds the limits of every run.
type Limits struct {
	MemoryMB int      `toml:"memory_mb" json:"memory_mb"` // resident memory of all processes together
	Duration Duration `toml:"duration" json:"duration"`
	Requests int      `toml:"requests" json:"requests"`
	// StartSpread is the time over which the starts of the 860 sidecars of a full-size fleet are spread. For a fleet of
	// another size, the time is proportional to the number of sidecars.
	StartSpread  Duration `toml:"start_spread" json:"start_spread"`
	ReadyTimeout Duration `toml:"ready" json:"ready"` // time within which the sidecars must be ready
}

// Kind is the kind of a scenario.
type Kind string

// The kinds of scenarios.
const (
	Steady        Kind = "steady"  // nothing changes
	ConfigChanges Kind = "changes" // configuration changes, one by one and in a burst
	Replacements  Kind = "replace" // endpoints and their sidecars restart
	ZoneFailure   Kind = "zone"    // one zone is lost and recovers
)

// Scenario is one scenario of the scenario file. Its kind determines which of the values are used.
type Scenario struct {
	Kind        Kind     `toml:"kind" json:"kind"`
	Description string   `toml:"description" json:"description"`
	Settle      Duration `toml:"settle" json:"settle"` // time from when the fleet is ready until the first phase starts
	Idle        Duration `toml:"rest" json:"rest"`     // length of the idle phase, which has no load; 0 omits the phase
	Loaded      Duration `toml:"loaded" json:"loaded"` // length of the phase with load and no events; 0 omits the phase

	// PerDay is the number of events (changes or restarts) per day in the system that the scenario represents.
	PerDay int `toml:"per_day" json:"per_day,omitempty"`
	// Compression is the factor by which events are played faster than they occur in the system that the scenario
	// represents.
	Compression float64 `toml:"compression" json:"compression,omitempty"`
	Events      int     `toml:"events" json:"events,omitempty"` // number of events to play
	// Burst is the number of changes in the burst that follows the events. 0 omits the burst.
	Burst int `toml:"burst" json:"burst,omitempty"`

	// DrainDuration is the time from the announcement that an endpoint terminates until the endpoint restarts.
	DrainDuration Duration `toml:"drain" json:"drain,omitempty"`
	// DetectionDelay is the time from a zone's loss until discovery removes the zone's endpoints.
	DetectionDelay Duration `toml:"notice" json:"notice,omitempty"`
	Outage         Duration `toml:"gone" json:"gone,omitempty"` // length of the phase that starts when the zone is lost
	// Recovery is the length of the phase that starts when the zone recovers.
	Recovery Duration `toml:"back" json:"back,omitempty"`
}

// Interval returns the time from one event to the next.
func (s Scenario) Interval() time.Duration {
	const day = 24 * time.Hour
	return time.Duration(float64(day) / float64(s.PerDay) / s.Compression)
}

// Size is the size of a fleet.
type Size struct {
	Sidecars  int `json:"sidecars"` // total number of sidecars, including real ones
	Endpoints int `json:"endpoints"`
	Real      int `json:"real"` // number of sidecars that run in a process of their own
}

// Duration is a time.Duration that is encoded as text, such as 1.5s, in TOML and JSON.
type Duration time.Duration

// UnmarshalText parses a duration such as 1.5s.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// MarshalText formats the duration as text, such as 1.5s.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Std returns the duration as the standard library's time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Micros returns the duration in whole microseconds.
func (d Duration) Micros() int64 { return time.Duration(d).Microseconds() }
