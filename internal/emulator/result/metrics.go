package result

import (
	"fmt"
	"time"
)

// Names of the phases that are baselines for other phases.
const (
	idlePhase   = "rest"   // idle phase: no requests and no events
	loadedPhase = "loaded" // requests are sent, but there are no events
)

// Metric is a named value of a run that is compared across runs.
type Metric struct {
	Name  string // unique within the run
	Unit  string
	Value float64
}

// Metrics returns the metrics of a run. Their names and units must not change, since tables and plots select by them.
func (r *Run) Metrics() []Metric {
	metrics := []Metric{
		{"start: time to the last sidecar's being ready", "s", r.Startup.Seconds},
		{"start: discovery, bytes out", "B", float64(r.Startup.Discovery.BytesOut)},
		{"run: memory of all processes, peak", "MB", r.PeakMemoryMB},
	}
	baseline := r.phase(loadedPhase)
	if idle := r.phase(idlePhase); idle != nil && baseline != nil {
		metrics = append(metrics, baseline.requestCosts(idle)...)
	}
	for i := range r.Phases {
		phase := &r.Phases[i]
		metrics = append(metrics, phase.metric(phase.OwnCPUShare*100, "% of the machine", "run, processor time"))
		metrics = append(metrics, phase.roleMetrics()...)
		metrics = append(metrics, phase.discoveryMetrics()...)
		metrics = append(metrics, phase.endpointMetrics(r.Size.Sidecars)...)
		metrics = append(metrics, phase.requestMetrics()...)
		metrics = append(metrics, phase.distributionMetrics()...)
		if baseline != nil && phase != baseline {
			metrics = append(metrics, phase.eventMetrics(baseline)...)
		}
	}
	return metrics
}

// phase returns the run's phase of this name; nil if there is none.
func (r *Run) phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// metric returns a metric whose name consists of the phase's name, a colon and the formatted text.
func (p *Phase) metric(value float64, unit, format string, args ...any) Metric {
	return Metric{Name: p.Name + ": " + fmt.Sprintf(format, args...), Unit: unit, Value: value}
}

// roleMetrics returns the average resource usage of one unit of each role, except the load generator.
func (p *Phase) roleMetrics() []Metric {
	var metrics []Metric
	for _, usage := range p.Roles {
		if usage.Processes == 0 || usage.Role == Generator {
			continue
		}
		unit := perUnit(usage, p.Seconds)
		metrics = append(metrics,
			p.metric(unit.cpuPercent, "% of a core", "%s, processor time", usage.Role),
			p.metric(unit.residentMB, "MB", "%s, memory", usage.Role),
			p.metric(unit.readBytes, "B/s", "%s, bytes read", usage.Role),
			p.metric(unit.writeBytes, "B/s", "%s, bytes written", usage.Role),
			p.metric(float64(usage.Descriptors)/max(1, float64(usage.Units)), "", "%s, descriptors", usage.Role))
	}
	return metrics
}

// discoveryMetrics returns the rate and the cost of calls to the discovery server.
func (p *Phase) discoveryMetrics() []Metric {
	d := p.Discovery
	calls := float64(d.ListCalls + d.WatchCalls)
	metrics := []Metric{
		p.metric(calls/p.Seconds, "1/s", "discovery, calls"),
		p.metric(float64(d.BytesOut)/p.Seconds, "B/s", "discovery, bytes out"),
		p.metric(float64(d.CompleteResponses), "", "discovery, whole lists"),
	}
	if calls > 0 {
		metrics = append(metrics, p.metric(microseconds(d.HandlingCPU)/calls, "µs", "discovery, processor time of a call"))
	}
	return metrics
}

// endpointMetrics returns the probes and connections of sidecars, as counted by the endpoints.
func (p *Phase) endpointMetrics(sidecars int) []Metric {
	e := p.Endpoints
	return []Metric{
		p.metric(float64(e.HealthChecks)/p.Seconds/float64(sidecars), "1/s", "probes of a sidecar"),
		p.metric(float64(e.Connections.Open)/float64(sidecars), "", "connections of a sidecar to endpoints"),
		p.metric(float64(e.Connections.Accepted)/p.Seconds, "1/s", "endpoints, connections accepted"),
	}
}

// requestMetrics returns the latencies of requests through sidecars, the share of these requests that were not served,
// and how much longer their latencies are than those of direct calls.
func (p *Phase) requestMetrics() []Metric {
	if p.Proxied == nil || p.Proxied.Counts.Planned == 0 {
		return nil
	}
	counts := p.Proxied.Counts
	notServed := counts.Rejected + counts.Failed + counts.Lost() + counts.Mismatched
	metrics := []Metric{
		p.metric(p.Proxied.P50MS, "ms", "through sidecars, p50"),
		p.metric(p.Proxied.P99MS, "ms", "through sidecars, p99"),
		p.metric(float64(notServed)/float64(counts.Planned)*100, "%", "through sidecars, not served"),
	}
	if p.Direct == nil || p.Direct.Counts.Served == 0 {
		return metrics
	}
	return append(metrics,
		p.metric(p.Proxied.P50MS-p.Direct.P50MS, "ms", "added to direct calls, p50"),
		p.metric(p.Proxied.P99MS-p.Direct.P99MS, "ms", "added to direct calls, p99"))
}

// requestCosts returns the processor time of one request at a real sidecar and at an endpoint, without the processor
// time that they use while idle: (cpu - idleCPU/idleSeconds*seconds) / requests. Here, cpu is the processor time of
// the role, seconds is the length of the phase, and idleCPU and idleSeconds are the same values of the idle phase.
// requests is the number of requests that the real sidecars served or that the endpoints received.
func (p *Phase) requestCosts(idle *Phase) []Metric {
	if p.Proxied == nil || p.Proxied.Counts.Served == 0 || p.Endpoints.Requests == 0 {
		return nil
	}
	var metrics []Metric
	for _, consumer := range []struct {
		role     Role
		requests uint64
	}{{RealSidecar, p.Proxied.Counts.Served}, {Endpoint, p.Endpoints.Requests}} {
		usage, idleUsage := p.Usage(consumer.role), idle.Usage(consumer.role)
		if usage == nil || idleUsage == nil {
			continue
		}
		extraCPUSeconds := usage.CPUSeconds - idleUsage.CPUSeconds/idle.Seconds*p.Seconds
		cost := extraCPUSeconds * 1e6 / float64(consumer.requests)
		metrics = append(metrics, p.metric(cost, "µs", "%s, processor time of a request", consumer.role))
	}
	return metrics
}

// distributionMetrics returns the quantiles and the number of missing times of each distribution.
func (p *Phase) distributionMetrics() []Metric {
	var metrics []Metric
	for _, s := range p.Distributions {
		if s.Total == 0 {
			continue
		}
		metrics = append(metrics,
			p.metric(s.MedianMS, "ms", "%s, median", s.Name),
			p.metric(s.P99MS, "ms", "%s, p99", s.Name),
			p.metric(s.MaxMS, "ms", "%s, last", s.Name),
			p.metric(float64(s.Missing), "", "%s, missing", s.Name))
	}
	return metrics
}

// eventMetrics returns the processor time that one event costs one unit of each role, without the processor time that
// the role uses for load alone: (cpu - baselineCPU/baselineSeconds*seconds) / events / units. Here, cpu is the
// processor time of the role, seconds is the length of the phase, and baselineCPU and baselineSeconds are the same
// values of the loaded phase. events is the number of events in the phase, and units is the number of units of the
// role.
func (p *Phase) eventMetrics(baseline *Phase) []Metric {
	if p.Events == 0 {
		return nil
	}
	var metrics []Metric
	for _, usage := range p.Roles {
		baselineUsage := baseline.Usage(usage.Role)
		if baselineUsage == nil || usage.Processes == 0 || usage.Role == Generator {
			continue
		}
		extraCPUSeconds := usage.CPUSeconds - baselineUsage.CPUSeconds/baseline.Seconds*p.Seconds
		cost := extraCPUSeconds * 1000 / float64(p.Events) / max(1, float64(usage.Units))
		metrics = append(metrics, p.metric(cost, "ms", "%s, processor time of an event", usage.Role))
	}
	return metrics
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
