package result

import (
	"fmt"
	"time"
)

// Phases that others are held against.
const (
	restPhase   = "rest"   // nothing happens
	loadedPhase = "loaded" // requests come, and nothing else happens
)

// Metric is one figure of a run.
type Metric struct {
	Name  string // unique within the run
	Unit  string
	Value float64
}

// Metrics returns the figures of a run that are looked at over the size of the fleet.
func (r *Run) Metrics() []Metric {
	metrics := []Metric{
		{"start: time to the last sidecar's being ready", "s", r.Startup.Seconds},
		{"start: discovery, bytes out", "B", float64(r.Startup.Discovery.BytesOut)},
		{"run: memory of all processes, peak", "MB", r.PeakMemoryMB},
	}
	baseline := r.phase(loadedPhase)
	if rest := r.phase(restPhase); rest != nil && baseline != nil {
		metrics = append(metrics, baseline.requestCosts(rest)...)
	}
	for i := range r.Phases {
		phase := &r.Phases[i]
		metrics = append(metrics, phase.named(phase.OwnCPUShare*100, "% of the machine", "run, processor time"))
		metrics = append(metrics, phase.roleMetrics()...)
		metrics = append(metrics, phase.discoveryMetrics()...)
		metrics = append(metrics, phase.endpointMetrics(r.Size.Sidecars)...)
		metrics = append(metrics, phase.requestMetrics()...)
		metrics = append(metrics, phase.spreadMetrics()...)
		if baseline != nil && phase != baseline {
			metrics = append(metrics, phase.eventMetrics(baseline)...)
		}
	}
	return metrics
}

func (r *Run) phase(name string) *Phase {
	for i := range r.Phases {
		if r.Phases[i].Name == name {
			return &r.Phases[i]
		}
	}
	return nil
}

// named makes a metric of a phase.
func (p *Phase) named(value float64, unit, format string, args ...any) Metric {
	return Metric{Name: p.Name + ": " + fmt.Sprintf(format, args...), Unit: unit, Value: value}
}

// roleMetrics tell what one unit of each role spends and holds.
func (p *Phase) roleMetrics() []Metric {
	var metrics []Metric
	for _, usage := range p.Roles {
		if usage.Processes == 0 || usage.Role == Generator {
			continue
		}
		each := perUnit(usage, p.Seconds)
		metrics = append(metrics,
			p.named(each.cpuPercent, "% of a core", "%s, processor time", usage.Role),
			p.named(each.residentMB, "MB", "%s, memory", usage.Role),
			p.named(each.readBytes, "B/s", "%s, bytes read", usage.Role),
			p.named(each.writeBytes, "B/s", "%s, bytes written", usage.Role),
			p.named(float64(usage.Descriptors)/max(1, float64(usage.Units)), "", "%s, descriptors", usage.Role))
	}
	return metrics
}

func (p *Phase) discoveryMetrics() []Metric {
	d := p.Discovery
	calls := float64(d.ListCalls + d.WatchCalls)
	metrics := []Metric{
		p.named(calls/p.Seconds, "1/s", "discovery, calls"),
		p.named(float64(d.BytesOut)/p.Seconds, "B/s", "discovery, bytes out"),
		p.named(float64(d.CompleteResponses), "", "discovery, whole lists"),
	}
	if calls > 0 {
		metrics = append(metrics, p.named(microseconds(d.HandlingCPU)/calls, "µs", "discovery, processor time of a call"))
	}
	return metrics
}

func (p *Phase) endpointMetrics(sidecars int) []Metric {
	e := p.Endpoints
	return []Metric{
		p.named(float64(e.HealthChecks)/p.Seconds/float64(sidecars), "1/s", "probes of a sidecar"),
		p.named(float64(e.Connections.Open)/float64(sidecars), "", "connections of a sidecar to endpoints"),
		p.named(float64(e.Connections.Accepted)/p.Seconds, "1/s", "endpoints, connections accepted"),
	}
}

// requestMetrics tell of latencies, and what the sidecars add to those of direct calls.
func (p *Phase) requestMetrics() []Metric {
	if p.Through == nil || p.Through.Counts.Planned == 0 {
		return nil
	}
	counts := p.Through.Counts
	notServed := counts.Refused + counts.Failed + counts.Lost() + counts.Mismatched
	metrics := []Metric{
		p.named(p.Through.P50MS, "ms", "through sidecars, p50"),
		p.named(p.Through.P99MS, "ms", "through sidecars, p99"),
		p.named(float64(notServed)/float64(counts.Planned)*100, "%", "through sidecars, not served"),
	}
	if p.Direct == nil || p.Direct.Counts.Served == 0 {
		return metrics
	}
	return append(metrics,
		p.named(p.Through.P50MS-p.Direct.P50MS, "ms", "added to direct calls, p50"),
		p.named(p.Through.P99MS-p.Direct.P99MS, "ms", "added to direct calls, p99"))
}

// requestCosts tell what a request costs a sidecar and an endpoint, beyond what they
// spend at rest.
func (p *Phase) requestCosts(rest *Phase) []Metric {
	if p.Through == nil || p.Through.Counts.Served == 0 || p.Endpoints.Requests == 0 {
		return nil
	}
	var metrics []Metric
	for _, each := range []struct {
		role     Role
		requests uint64
	}{{RealSidecar, p.Through.Counts.Served}, {Endpoint, p.Endpoints.Requests}} {
		usage, usual := p.Usage(each.role), rest.Usage(each.role)
		if usage == nil || usual == nil {
			continue
		}
		beyond := usage.CPUSeconds - usual.CPUSeconds/rest.Seconds*p.Seconds
		metrics = append(metrics, p.named(beyond*1e6/float64(each.requests), "µs", "%s, processor time of a request", each.role))
	}
	return metrics
}

func (p *Phase) spreadMetrics() []Metric {
	var metrics []Metric
	for _, s := range p.Spreads {
		if s.Of == 0 {
			continue
		}
		metrics = append(metrics,
			p.named(s.MedianMS, "ms", "%s, median", s.What),
			p.named(s.P99MS, "ms", "%s, p99", s.What),
			p.named(s.LastMS, "ms", "%s, last", s.What),
			p.named(float64(s.Missing), "", "%s, missing", s.What))
	}
	return metrics
}

// eventMetrics tell what one event costs a unit of each role, beyond what it spends in
// the phase with load and nothing else.
func (p *Phase) eventMetrics(baseline *Phase) []Metric {
	if p.Events == 0 {
		return nil
	}
	var metrics []Metric
	for _, usage := range p.Roles {
		usual := baseline.Usage(usage.Role)
		if usual == nil || usage.Processes == 0 || usage.Role == Generator {
			continue
		}
		beyond := usage.CPUSeconds - usual.CPUSeconds/baseline.Seconds*p.Seconds
		cost := beyond * 1000 / float64(p.Events) / max(1, float64(usage.Units))
		metrics = append(metrics, p.named(cost, "ms", "%s, processor time of an event", usage.Role))
	}
	return metrics
}

func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
