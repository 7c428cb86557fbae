// Package result stores and evaluates the results of emulator runs: result files, metrics over the size of the fleet,
// linear fits, tables and plots.
//
// Later versions of the emulator read result files and append to them, so the JSON keys and the names of phases, roles,
// metrics and distributions must not change. Some of them differ from the names in the code: a simulated sidecar is
// stored as "hollow". The package measures nothing itself.
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

// SaturationThreshold is the fraction of the machine's processor time, from 0 to 1, above which the results of a run
// are regarded as limited by the machine, so that they do not describe the fleet.
const SaturationThreshold = 0.85

// Run holds the results of one play of a scenario. It is one line of a result file.
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
	Stopped         string        `json:"stopped,omitempty"` // reason for which the run ended early; empty if it did not
	// Saturated is set if a phase exceeded SaturationThreshold or has NearDescriptorLimit set.
	Saturated bool    `json:"saturated"`
	Seconds   float64 `json:"seconds"`
	// PeakMemoryMB is the peak resident memory of all processes together. A shared page is included once for each
	// process that maps it.
	PeakMemoryMB float64 `json:"peak_memory_mb"`
	Startup      Startup `json:"startup"`
	Phases       []Phase `json:"phases"`
	End          End     `json:"end"`
}

// Machine describes the machine that the run was played on.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int64  `json:"memory_mb"`
	Kernel   string `json:"kernel"`
	Go       string `json:"go"`
}

// Startup holds the measurements of the fleet's start.
type Startup struct {
	Seconds        float64         `json:"seconds"`      // time from the first sidecar's start until the last one is ready
	SimulatedReady Distribution    `json:"hollow_ready"` // times from start to first non-empty endpoint list
	RealReady      Distribution    `json:"real_ready"`   // times from start until /health/ready responds with 200
	Discovery      registry.Counts `json:"discovery"`
}

// End holds the counts over the complete run.
type End struct {
	Simulated worker.SidecarCounts `json:"hollow"`
}

// Distribution summarizes durations, such as the time that each sidecar took to receive a change.
type Distribution struct {
	Name     string  `json:"what,omitempty"`
	Total    int     `json:"of"`      // number of durations expected, including the missing ones
	Missing  int     `json:"missing"` // number of durations that had not ended at the timeout
	MedianMS float64 `json:"median_ms"`
	P99MS    float64 `json:"p99_ms"`
	MaxMS    float64 `json:"last_ms"`
}

// Role is what a process of a run does. The names of metrics contain it.
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

// RoleUsage is the resource usage of all processes of a role: processor time and bytes during a phase, memory and open
// descriptors at the end of the phase.
type RoleUsage struct {
	Role        Role    `json:"role"`
	Processes   int     `json:"processes"`
	Units       int     `json:"units"` // number of sidecars, endpoints or other instances in the processes
	CPUSeconds  float64 `json:"cpu_seconds"`
	ResidentMB  float64 `json:"resident_mb"`
	PeakMB      float64 `json:"peak_mb"` // sum of the peak resident memory of each process since its start
	Descriptors int     `json:"descriptors"`
	ReadBytes   uint64  `json:"read_bytes"`  // bytes read by system calls, including those from sockets
	WriteBytes  uint64  `json:"write_bytes"` // bytes written by system calls, including those to sockets
}

// Phase holds the results of one phase of a run.
type Phase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// MachineCPUShare is the fraction of the machine's processor time that all of its processes used.
	MachineCPUShare float64 `json:"machine_cpu_share"`
	// OwnCPUShare is the fraction of the machine's processor time that the run's processes used.
	OwnCPUShare float64     `json:"own_cpu_share"`
	Roles       []RoleUsage `json:"roles"`
	// Discovery holds the counts of the discovery server within the phase; open connections are those at its end.
	Discovery registry.Counts `json:"discovery"`
	// Endpoints holds the sums of the counts of all endpoints within the phase; open connections are those at its end.
	Endpoints endpoint.Counts `json:"endpoints"`
	// Simulated holds the counts of simulated sidecars within the phase; Running and Goroutines are those at its end.
	Simulated worker.SidecarCounts `json:"hollow"`
	// Proxied holds the results of the requests through real sidecars; nil if none were sent.
	Proxied *Requests `json:"through,omitempty"`
	// Direct holds the results of the requests sent directly to endpoints; nil if none were sent.
	Direct        *Requests      `json:"direct,omitempty"`
	Distributions []Distribution `json:"spreads,omitempty"`
	// Events is the number of changes, restarts or zone events that were played.
	Events int `json:"events,omitempty"`
	// ConfigBytes is the total size of the configuration files that were written.
	ConfigBytes int64 `json:"handed_out_bytes,omitempty"`
	// NearDescriptorLimit is set if a process was near its limit of file descriptors.
	NearDescriptorLimit bool     `json:"exhausted,omitempty"`
	Notes               []string `json:"notes,omitempty"`
}

// Requests holds the results of the load generator. The latencies are those of the requests served, measured from the
// intended start.
type Requests struct {
	Counts         load.Counts `json:"counts"`
	Seconds        float64     `json:"seconds"`
	P50MS          float64     `json:"p50_ms"`
	P99MS          float64     `json:"p99_ms"`
	P999MS         float64     `json:"p999_ms"`
	MaxMS          float64     `json:"max_ms"`
	SendDelayP99MS float64     `json:"late_p99_ms"` // 99th percentile of the delay from the intended to the actual start
	CPUSeconds     float64     `json:"cpu_seconds"`
}

// NewRequests summarizes a load report. It returns nil for a nil report.
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

// Usage returns the usage of a role in a phase. It returns nil if the phase has no entry for the role.
func (p *Phase) Usage(role Role) *RoleUsage {
	for i := range p.Roles {
		if p.Roles[i].Role == role {
			return &p.Roles[i]
		}
	}
	return nil
}
