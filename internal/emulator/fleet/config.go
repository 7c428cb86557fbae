package fleet

import (
	"encoding/json"
	"fmt"

	"oakproxy/internal/emulator/spec"
)

// baseAllowance is the first tenant's allowance in the first version of a configuration.
// Each later version raises it by one.
const baseAllowance = 1000

// Configuration is a sidecar's configuration file.
type Configuration struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Seed      string   `json:"seed"`
	Limits    limits   `json:"limits"`
	Settings  settings `json:"settings"`
}

type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// settings are what the balancer is told; durations are in microseconds.
type settings struct {
	Areas      []string          `json:"areas"`
	Skus       []string          `json:"skus"`
	Stages     []string          `json:"stages"`
	Discovery  string            `json:"discovery"`
	PeersTotal int               `json:"peers-total"`
	Position   int               `json:"position"`
	Zone       int               `json:"zone"`
	ValueBy    string            `json:"value-by"`
	Classes    []classSettings   `json:"classes"`
	Tenants    []tenantSettings  `json:"tenants"`
	Contract   contractSettings  `json:"contract"`
	Limits     limitSettings     `json:"limits"`
	Prices     priceSettings     `json:"prices"`
	Goal       goalSettings      `json:"goal"`
	Reporting  reportingSettings `json:"reporting"`
}

type classSettings struct {
	Name   string  `json:"name"`
	Repeat string  `json:"repeat"`
	Group  string  `json:"group,omitempty"`
	Window int64   `json:"window,omitempty"`
	Target int64   `json:"target"`
	GiveUp int64   `json:"give-up"`
	Credit float64 `json:"credit"`
}

type tenantSettings struct {
	Name      string  `json:"name"`
	Allowance float64 `json:"allowance-per-s"`
	Share     float64 `json:"share"`
}

type contractSettings struct {
	AnswerSlack  int64   `json:"answer-slack"`
	AskWithin    int64   `json:"ask-within"`
	ColdFrom     float64 `json:"cold-from"`
	DrainGrace   int64   `json:"drain-grace"`
	FallMultiple float64 `json:"fall-multiple"`
	OverloadFor  int64   `json:"overload-for"`
	RampTime     int64   `json:"ramp-time"`
}

type limitSettings struct {
	Cancel        bool  `json:"cancel"`
	DialTimeout   int64 `json:"dial-timeout"`
	KeepAlive     int64 `json:"keepalive"`
	MaxRetryAfter int64 `json:"max-retry-after"`
	MostHeld      int   `json:"most-held"`
	MostTries     int   `json:"most-tries"`
	Multiplex     int   `json:"multiplex"`
	Probes        bool  `json:"probes"`
	RetryAfter    bool  `json:"retry-after"`
	SecondCopies  bool  `json:"second-copies"`
}

type priceSettings struct {
	CrossZone float64 `json:"cross-zone"`
	Probe     float64 `json:"probe"`
	Waste     float64 `json:"waste"`
	LateFail  float64 `json:"late-fail"`
}

type goalSettings struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst-window"`
	WorstClass  float64 `json:"worst-class"`
	WorstTenant float64 `json:"worst-tenant"`
}

type reportingSettings struct {
	How    string   `json:"how"`
	Fields []string `json:"fields"`
}

// Figures of the settings that no scenario varies.
const (
	answerSlack    = 50_000
	fallMultiple   = 3
	overloadFor    = 1_500_000
	repeatWindow   = 2_500_000
	mostHeld       = 1000
	crossZonePrice = 0.03
	wastePrice     = 0.06
	lateFailPrice  = 0.05
)

// Configurations writes the configurations of a fleet's sidecars.
type Configurations struct {
	File      *spec.File
	Layout    *Layout
	Discovery string // the registry's address
	Seed      uint64
}

// Text returns one version of a sidecar's configuration. Versions count from 1.
func (c *Configurations) Text(s Sidecar, listen string, version int) ([]byte, error) {
	of := c.File.Sidecar
	return json.Marshal(Configuration{
		Name:      s.Name,
		Listen:    listen,
		Discovery: c.Discovery,
		Seed:      fmt.Sprintf("%016x", c.Seed+uint64(s.Position)),
		Limits:    limits{Cores: 1, MemoryMB: of.MemoryMB, Sockets: of.Sockets},
		Settings:  c.settings(s, version),
	})
}

func (c *Configurations) settings(s Sidecar, version int) settings {
	of := c.File.Sidecar
	return settings{
		Areas:      c.Layout.Zones,
		Skus:       c.Layout.Kinds,
		Stages:     []string{"application"},
		Discovery:  of.Discovery,
		PeersTotal: len(c.Layout.Sidecars),
		Position:   s.Position,
		Zone:       s.Zone,
		ValueBy:    "request",
		Classes:    c.classes(),
		Tenants:    c.tenants(version),
		Contract: contractSettings{AnswerSlack: answerSlack, AskWithin: of.AskWithin.Micros(),
			ColdFrom: c.File.Endpoint.ColdShare, DrainGrace: of.DrainGrace.Micros(), FallMultiple: fallMultiple,
			OverloadFor: overloadFor, RampTime: c.File.Endpoint.WarmUp.Micros()},
		Limits: limitSettings{Cancel: true, DialTimeout: of.DialTimeout.Micros(), KeepAlive: of.KeepAlive.Micros(),
			MaxRetryAfter: of.MaxRetryAfter.Micros(), MostHeld: mostHeld, MostTries: of.MaxAttempts, Multiplex: 1,
			Probes: true, RetryAfter: true},
		Prices:    priceSettings{CrossZone: crossZonePrice, Probe: of.ProbePrice, Waste: wastePrice, LateFail: lateFailPrice},
		Goal:      goalSettings{Whole: 0.55, WorstWindow: 0.15, WorstClass: 0.05, WorstTenant: 0.25},
		Reporting: reportingSettings{How: "probe", Fields: []string{of.LoadField}},
	}
}

func (c *Configurations) classes() []classSettings {
	var classes []classSettings
	for _, class := range c.File.Load.Classes {
		next := classSettings{Name: class.Name, Repeat: class.Repeat, Target: class.Target.Micros(),
			GiveUp: class.GiveUp.Micros(), Credit: 1}
		if class.Repeat == spec.RepeatToken {
			next.Group, next.Window = "cell", repeatWindow
		}
		classes = append(classes, next)
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

func (c *Configurations) tenants(version int) []tenantSettings {
	var tenants []tenantSettings
	for _, name := range c.Tenants() {
		tenants = append(tenants, tenantSettings{Name: name, Allowance: baseAllowance * float64(len(c.Layout.Sidecars)),
			Share: 1 / float64(c.File.Sidecar.Tenants)})
	}
	tenants[0].Allowance += float64(version - 1)
	return tenants
}
