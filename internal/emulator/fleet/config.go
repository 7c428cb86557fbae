package fleet

import (
	"encoding/json"
	"fmt"

	"oakproxy/internal/emulator/spec"
)

// baseQuotaRate is a tenant's quota per sidecar of the fleet, in requests per second. Each new version of the
// configuration raises the quota of the first tenant by 1 request per second, so that versions differ.
const baseQuotaRate = 1000

// Configuration is the content of a sidecar's configuration file, which package config parses.
type Configuration struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Seed      string   `json:"seed"`
	Limits    limits   `json:"limits"`
	Settings  settings `json:"settings"`
}

// limits are the resource limits of a sidecar's process.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings are the balancer's settings in a configuration file. Durations, here and in the types of the fields, are in
// microseconds.
type settings struct {
	Zones        []string          `json:"areas"`
	MachineKinds []string          `json:"skus"`
	Stages       []string          `json:"stages"`
	Discovery    string            `json:"discovery"`
	Balancers    int               `json:"peers-total"`
	Index        int               `json:"position"`
	Zone         int               `json:"zone"`
	WeightBy     string            `json:"value-by"`
	Classes      []classSettings   `json:"classes"`
	Tenants      []tenantSettings  `json:"tenants"`
	Contract     contractSettings  `json:"contract"`
	Limits       limitSettings     `json:"limits"`
	Prices       priceSettings     `json:"prices"`
	Goal         goalSettings      `json:"goal"`
	Reporting    reportingSettings `json:"reporting"`
}

type classSettings struct {
	Name                string  `json:"name"`
	Idempotency         string  `json:"repeat"`
	DeduplicationScope  string  `json:"group,omitempty"`
	DeduplicationWindow int64   `json:"window,omitempty"`
	LatencyObjective    int64   `json:"target"`
	ClientTimeout       int64   `json:"give-up"`
	PriorityWeight      float64 `json:"credit"`
}

type tenantSettings struct {
	Name          string  `json:"name"`
	QuotaRate     float64 `json:"allowance-per-s"`
	CapacityShare float64 `json:"share"`
}

type contractSettings struct {
	AnswerGrace              int64   `json:"answer-slack"`
	PollInterval             int64   `json:"ask-within"`
	SlowStartInitialFraction float64 `json:"cold-from"`
	DrainGrace               int64   `json:"drain-grace"`
	OverloadFactor           float64 `json:"fall-multiple"`
	OverloadWindow           int64   `json:"overload-for"`
	SlowStartDuration        int64   `json:"ramp-time"`
}

type limitSettings struct {
	CancelAttempts  bool  `json:"cancel"`
	DialTimeout     int64 `json:"dial-timeout"`
	KeepAlive       int64 `json:"keepalive"`
	MaxRetryAfter   int64 `json:"max-retry-after"`
	MaxOpenRequests int   `json:"most-held"`
	MaxAttempts     int   `json:"most-tries"`
	Multiplex       int   `json:"multiplex"`
	Probes          bool  `json:"probes"`
	RetryAfter      bool  `json:"retry-after"`
	HedgedRequests  bool  `json:"second-copies"`
}

type priceSettings struct {
	CrossZone     float64 `json:"cross-zone"`
	Probe         float64 `json:"probe"`
	WastedAttempt float64 `json:"waste"`
	LateFailure   float64 `json:"late-fail"`
}

type goalSettings struct {
	Overall     float64 `json:"whole"`
	WorstWindow float64 `json:"worst-window"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
}

type reportingSettings struct {
	How    string   `json:"how"`
	Fields []string `json:"fields"`
}

// Settings that are the same in all scenarios. Durations are in microseconds.
const (
	answerGrace         = 50_000
	overloadFactor      = 3
	overloadWindow      = 1_500_000
	deduplicationWindow = 2_500_000
	maxOpenRequests     = 1000
	crossZonePrice      = 0.03
	wastedAttemptPrice  = 0.06
	lateFailurePrice    = 0.05
)

// Configurations encodes the configuration files of the sidecars of a fleet.
type Configurations struct {
	File      *spec.File
	Layout    *Layout
	Discovery string // address of the discovery server
	Seed      uint64 // seed of the sidecar at position 0; the sidecar at position p gets Seed+p
}

// Encode returns the content of a sidecar's configuration file in the given version, counted from 1. The parameter
// listen is the address on which the sidecar has to listen.
func (c *Configurations) Encode(s Sidecar, listen string, version int) ([]byte, error) {
	options := c.File.Sidecar
	return json.Marshal(Configuration{
		Name:      s.Name,
		Listen:    listen,
		Discovery: c.Discovery,
		Seed:      fmt.Sprintf("%016x", c.Seed+uint64(s.Position)),
		Limits:    limits{Cores: 1, MemoryMB: options.MemoryMB, Sockets: options.Sockets},
		Settings:  c.settings(s, version),
	})
}

// settings returns the balancer's settings of a sidecar in the given version.
func (c *Configurations) settings(s Sidecar, version int) settings {
	options := c.File.Sidecar
	return settings{
		Zones:        c.Layout.Zones,
		MachineKinds: c.Layout.MachineKinds,
		Stages:       []string{"application"},
		Discovery:    options.Discovery,
		Balancers:    len(c.Layout.Sidecars),
		Index:        s.Position,
		Zone:         s.Zone,
		WeightBy:     "request",
		Classes:      c.classes(),
		Tenants:      c.tenants(version),
		Contract: contractSettings{
			AnswerGrace:              answerGrace,
			PollInterval:             options.PollInterval.Micros(),
			SlowStartInitialFraction: c.File.Endpoint.ColdCapacity,
			DrainGrace:               options.DrainGrace.Micros(),
			OverloadFactor:           overloadFactor,
			OverloadWindow:           overloadWindow,
			SlowStartDuration:        c.File.Endpoint.WarmUp.Micros(),
		},
		Limits: limitSettings{
			CancelAttempts:  true,
			DialTimeout:     options.DialTimeout.Micros(),
			KeepAlive:       options.KeepAlive.Micros(),
			MaxRetryAfter:   options.MaxRetryAfter.Micros(),
			MaxOpenRequests: maxOpenRequests,
			MaxAttempts:     options.MaxAttempts,
			Multiplex:       1,
			Probes:          true,
			RetryAfter:      true,
		},
		Prices: priceSettings{
			CrossZone:     crossZonePrice,
			Probe:         options.ProbePrice,
			WastedAttempt: wastedAttemptPrice,
			LateFailure:   lateFailurePrice,
		},
		Goal:      goalSettings{Overall: 0.55, WorstWindow: 0.15, WorstClass: 0.05, WorstTenant: 0.25},
		Reporting: reportingSettings{How: "probe", Fields: []string{options.LoadField}},
	}
}

// classes returns the settings of the request classes.
func (c *Configurations) classes() []classSettings {
	var classes []classSettings
	for _, class := range c.File.Load.Classes {
		encoded := classSettings{
			Name:             class.Name,
			Idempotency:      class.Idempotency,
			LatencyObjective: class.LatencyObjective.Micros(),
			ClientTimeout:    class.Timeout.Micros(),
			PriorityWeight:   1,
		}
		if class.Idempotency == spec.IdempotentWithKey {
			encoded.DeduplicationScope, encoded.DeduplicationWindow = "cell", deduplicationWindow
		}
		classes = append(classes, encoded)
	}
	return classes
}

// Tenants returns the names of the tenants.
func (c *Configurations) Tenants() []string {
	names := make([]string, c.File.Sidecar.Tenants)
	for i := range names {
		names[i] = fmt.Sprintf("tenant-%d", i+1)
	}
	return names
}

// tenants returns the settings of the tenants in the given version.
func (c *Configurations) tenants(version int) []tenantSettings {
	var tenants []tenantSettings
	for _, name := range c.Tenants() {
		tenants = append(tenants, tenantSettings{Name: name, QuotaRate: baseQuotaRate * float64(len(c.Layout.Sidecars)),
			CapacityShare: 1 / float64(c.File.Sidecar.Tenants)})
	}
	tenants[0].QuotaRate += float64(version - 1)
	return tenants
}
