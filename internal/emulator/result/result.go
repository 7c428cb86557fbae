// Package result holds what runs of the emulator measured: result files, metrics over the size of the fleet,
// linear fits, tables and plots.
//
// Result files are appended to and read by later versions: the JSON keys and the names of phases, roles, metrics
// and distributions must not change. The package measures nothing itself.
package result

import (
	"time"

	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/spec"
	"oakproxy/internal/emulator/worker"
)

// Version is the version of the format of result files.
const Version = 1

// SaturationThreshold is the fraction of the machine's processor time above which a run measures the machine rather
// than the fleet.
const SaturationThreshold = 0.85

// Run is one play of a scenario, a line of a result file.
type Run struct {
	Version         int           `json:"version"`
	StartedAt       time.Time     `json:"started_at"`
	Commit          string        `json:"commit"`
	Machine         Machine       `json:"machine"`
	Scenario        string        `json:"scenario"`
	Size            spec.Size     `json:"size"`
	Play            int           `json:"play"`
	Seed            uint64        `json:"seed"`
	Options         spec.File     `json:"options"`
	ScenarioOptions spec.Scenario `json:"scenario_options"`
	Stopped         string        `json:"stopped,omitempty"` // why the run ended early; empty if it did not
	Saturated       bool          `json:"saturated"`
	Seconds         float64       `json:"seconds"`
	PeakMemoryMB    float64       `json:"peak_memory_mb"` // resident, over all processes; shared pages count in each
	Startup         Startup       `json:"startup"`
	Phases          []Phase       `json:"phases"`
	End             End           `json:"end"`
}

// Machine is the machine that the run was played on.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	Kernel   string `json:"kernel"`
	Go       string `json:"go"`
}

// Startup is the start of the fleet.
type Startup struct {
	Seconds        float64         `json:"seconds"` // from the first sidecar's start to the last one's being ready
	SimulatedReady Distribution    `json:"hollow_ready"`
	RealReady      Distribution    `json:"real_ready"` // each from its process's start to 200 at /health/ready
	Discovery      registry.Counts `json:"discovery"`
}

// End is what was counted over the complete run.
type End struct {
	Simulated worker.SidecarCounts `json:"hollow"`
}

// Distribution is a distribution of times that events took to reach sidecars.
type Distribution struct {
	Name     string  `json:"what,omitempty"`
	Total    int     `json:"of"`      // times that were expected, missing ones included
	Missing  int     `json:"missing"` // times that exceeded the timeout
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"last_ms"`
}

// Role names what processes of a run do. Metrics are named by it.
type Role string

// The roles.
const (
	RealSidecar      Role = "real sidecar"
	SimulatedSidecar Role = "hollow sidecar"
	Endpoint         Role = "endpoint"
	Discovery        Role = "discovery"
	Configuration    Role = "configuration" // the emulator itself, which writes configurations
	Generator        Role = "load generator"
)

// RoleUsage is the resource usage of the processes of a role: processor time and bytes during a phase, memory and
// descriptors at its end.
type RoleUsage struct {
	Role        Role    `json:"role"`
	Processes   int     `json:"processes"`
	Units       int     `json:"units"` // sidecars or endpoints in them
	CPUSeconds  float64 `json:"cpu_seconds"`
	ResidentMB  float64 `json:"resident_mb"`
	PeakMB      float64 `json:"peak_mb"` // since the start of each process
	Descriptors int     `json:"descriptors"`
	ReadBytes   uint64  `json:"read_bytes"` // by system calls, sockets included
	WriteBytes  uint64  `json:"write_bytes"`
}

// Phase is a part of a run.
type Phase struct {
	Name                string               `json:"name"`
	Seconds             float64              `json:"seconds"`
	MachineCPUShare     float64              `json:"machine_cpu_share"` // all processes of the machine included
	OwnCPUShare         float64              `json:"own_cpu_share"`     // of the machine's, by the run's processes only
	Roles               []RoleUsage          `json:"roles"`
	Discovery           registry.Counts      `json:"discovery"` // within the phase, connections as at its end
	Endpoints           endpoint.Counts      `json:"endpoints"` // the same, over all endpoints
	Simulated           worker.SidecarCounts `json:"hollow"`    // the same; goroutines as at its end
	Proxied             *Requests            `json:"through,omitempty"`
	Direct              *Requests            `json:"direct,omitempty"`
	Distributions       []Distribution       `json:"spreads,omitempty"`
	Events              int                  `json:"events,omitempty"` // changes or restarts played
	ConfigBytes         int64                `json:"handed_out_bytes,omitempty"`
	NearDescriptorLimit bool                 `json:"exhausted,omitempty"` // a process was near its limit of descriptors
	Notes               []string             `json:"notes,omitempty"`
}

// Requests are the results of a load generator. Latencies are measured from the intended start.
type Requests struct {
	Counts         load.Counts `json:"counts"`
	Seconds        float64     `json:"seconds"`
	P50MS          float64     `json:"p50_ms"`
	P99MS          float64     `json:"p99_ms"`
	P999MS         float64     `json:"p999_ms"`
	MaxMS          float64     `json:"max_ms"`
	SendDelayP99MS float64     `json:"late_p99_ms"` // from the intended start to the actual one
	CPUSeconds     float64     `json:"cpu_seconds"`
}

// NewRequests summarizes a report; nil for nil.
func NewRequests(report *load.Report) *Requests {
	if report == nil {
		return nil
	}
	return &Requests{
		Counts:         report.Counts,
		Seconds:        report.Elapsed.Seconds(),
		P50MS:          Milliseconds(report.Latency.Quantile(0.5)),
		P99MS:          Milliseconds(report.Latency.Quantile(0.99)),
		P999MS:         Milliseconds(report.Latency.Quantile(0.999)),
		MaxMS:          Milliseconds(report.Latency.Max()),
		SendDelayP99MS: Milliseconds(report.SendDelay.Quantile(0.99)),
		CPUSeconds:     report.CPU.Seconds(),
	}
}

// Milliseconds returns a duration in milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Usage returns a role's usage in a phase; nil if there is none.
func (p *Phase) Usage(role Role) *RoleUsage {
	for i := range p.Roles {
		if p.Roles[i].Role == role {
			return &p.Roles[i]
		}
	}
	return nil
}
