package spec

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Upper limits of values in the scenario file and on the command line.
const (
	maxSidecars  = 2000
	maxEndpoints = 2000
	maxReal      = 100
	maxMemoryMB  = 24 << 10
	maxDuration  = 10 * time.Minute
	maxRequests  = 5_000_000
	maxEvents    = 1000
)

// InputError is an error in the user's input: in a flag or the scenario file, or a program that does not exist.
type InputError struct{ err error }

// Error returns the message, which names the input at fault.
func (e *InputError) Error() string { return e.err.Error() }

// Unwrap returns the error that InputErrorf formatted. That error has the same message as e, and wraps the operand of
// %w.
func (e *InputError) Unwrap() error { return e.err }

// InputErrorf returns an *InputError with a message formatted as by fmt.Errorf, including %w.
func InputErrorf(format string, args ...any) error {
	return &InputError{err: fmt.Errorf(format, args...)}
}

// Read reads and validates a scenario file. A key that is unknown is an error. Every error is an *InputError.
func Read(path string) (*File, error) {
	var file File
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, InputErrorf("%s: %s", path, firstLine(err.Error()))
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, InputErrorf("%s: unknown key %s", path, unknown[0])
	}
	if err := file.validate(); err != nil {
		return nil, InputErrorf("%s: %w", path, err)
	}
	return &file, nil
}

// firstLine returns the first line of a text, without the line break.
func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// Names returns the names of the scenarios, sorted.
func (f *File) Names() []string { return slices.Sorted(maps.Keys(f.Scenarios)) }

// Scenario returns the scenario of this name. If there is none, the error is an *InputError.
func (f *File) Scenario(name string) (Scenario, error) {
	scenario, known := f.Scenarios[name]
	if !known {
		return Scenario{}, InputErrorf("unknown scenario %q; the scenario file has %s", name, strings.Join(f.Names(), ", "))
	}
	return scenario, nil
}

// Validate returns an *InputError if a number in the size is out of range.
func (s Size) Validate() error {
	switch {
	case s.Sidecars < 1 || s.Sidecars > maxSidecars:
		return InputErrorf("sidecars: %d is out of range, 1 to %d", s.Sidecars, maxSidecars)
	case s.Endpoints < 1 || s.Endpoints > maxEndpoints:
		return InputErrorf("endpoints: %d is out of range, 1 to %d", s.Endpoints, maxEndpoints)
	case s.Real < 0 || s.Real > min(maxReal, s.Sidecars):
		return InputErrorf("real: %d is out of range, 0 to %d with %d sidecars", s.Real, min(maxReal, s.Sidecars), s.Sidecars)
	}
	return nil
}

// rangedValue is a value of the scenario file and its allowed range, with both ends included. Durations are in seconds.
type rangedValue struct {
	key      string
	value    float64
	min, max float64
}

// validate returns an *InputError for the first value that is not allowed. The error names the key.
func (f *File) validate() error {
	ranges := []rangedValue{
		{"fleet.services", float64(f.Fleet.Services), 1, 100},
		{"fleet.regions", float64(len(f.Fleet.Regions)), 1, 8},
		{"fleet.zones_per_region", float64(f.Fleet.ZonesPerRegion), 1, 8},
		{"fleet.kinds", float64(len(f.Fleet.MachineKinds)), 1, 8},
		{"fleet.cell_size", float64(f.Fleet.CellSize), 1, maxEndpoints},
		{"fleet.hollow_per_worker", float64(f.Fleet.SimulatedPerWorker), 1, 200},
		{"fleet.endpoints_per_worker", float64(f.Fleet.EndpointsPerWorker), 1, 200},
		{"sidecar.memory_mb", float64(f.Sidecar.MemoryMB), 16, 1024},
		{"sidecar.sockets", float64(f.Sidecar.Sockets), 64, 4096},
		{"sidecar.probe_price", f.Sidecar.ProbePrice, 0, 1},
		{"sidecar.max_attempts", float64(f.Sidecar.MaxAttempts), 1, 10},
		{"sidecar.tenants", float64(f.Sidecar.Tenants), 1, 1024},
		{"endpoint.cores", float64(f.Endpoint.Cores), 1, 64},
		{"endpoint.service_time", f.Endpoint.ServiceTime.Std().Seconds(), 0, 10},
		{"endpoint.queue_limit", float64(f.Endpoint.QueueLimit), 0, 10_000},
		{"endpoint.cold_share", f.Endpoint.ColdCapacity, 0, 1},
		{"registry.calls_per_second", f.Registry.CallsPerSecond, 0, 1e6},
		{"registry.history", float64(f.Registry.History), 0, 1e6},
		{"load.calls_per_second", f.Load.CallsPerSecond, 0, 10_000},
		{"load.direct_calls_per_second", f.Load.DirectCallsPerSecond, 0, 10_000},
		{"load.max_in_flight", float64(f.Load.MaxInFlight), 1, 10_000},
		{"load.classes", float64(len(f.Load.Classes)), 1, 16},
		{"limits.memory_mb", float64(f.Limits.MemoryMB), 64, maxMemoryMB},
		{"limits.duration", f.Limits.Duration.Std().Seconds(), 1, maxDuration.Seconds()},
		{"limits.requests", float64(f.Limits.Requests), 1, maxRequests},
		{"limits.start_spread", f.Limits.StartSpread.Std().Seconds(), 0, maxDuration.Seconds()},
		{"limits.ready", f.Limits.ReadyTimeout.Std().Seconds(), 1, maxDuration.Seconds()},
	}
	if err := validateRanges(ranges); err != nil {
		return err
	}
	for i, class := range f.Load.Classes {
		if !slices.Contains([]string{Idempotent, IdempotentWithKey, NonIdempotent}, class.Idempotency) {
			return InputErrorf("load.classes[%d].repeat: %q is not one of pure, token and side_effect", i, class.Idempotency)
		}
	}
	if !slices.Contains([]string{DiscoverySubscribe, DiscoveryAutomatic}, f.Sidecar.Discovery) {
		return InputErrorf("sidecar.discovery: %q is neither subscribe nor automatic", f.Sidecar.Discovery)
	}
	for _, name := range f.Names() {
		if err := f.Scenarios[name].validate(); err != nil {
			return InputErrorf("scenarios.%s.%w", name, err)
		}
	}
	return nil
}

// validateRanges returns an *InputError for the first value that is out of its range. NaN is out of every range.
func validateRanges(values []rangedValue) error {
	for _, v := range values {
		if !(v.value >= v.min && v.value <= v.max) {
			return InputErrorf("%s: %v is out of range, %v to %v", v.key, v.value, v.min, v.max)
		}
	}
	return nil
}

// validate returns an *InputError for the first value of a scenario that is not allowed. It ignores values that a
// scenario of this kind does not use.
func (s Scenario) validate() error {
	phaseRanges := []rangedValue{
		{"settle", s.Settle.Std().Seconds(), 0, maxDuration.Seconds()},
		{"rest", s.Idle.Std().Seconds(), 0, maxDuration.Seconds()},
		{"loaded", s.Loaded.Std().Seconds(), 0, maxDuration.Seconds()},
	}
	eventRanges := []rangedValue{
		{"per_day", float64(s.PerDay), 1, 1e6},
		{"compression", s.Compression, 1, 1e6},
		{"events", float64(s.Events), 1, maxEvents},
		{"burst", float64(s.Burst), 0, maxEvents},
		{"drain", s.DrainDuration.Std().Seconds(), 0, maxDuration.Seconds()},
	}
	outageRanges := []rangedValue{
		{"notice", s.DetectionDelay.Std().Seconds(), 0, maxDuration.Seconds()},
		{"gone", s.Outage.Std().Seconds(), 0.1, maxDuration.Seconds()},
		{"back", s.Recovery.Std().Seconds(), 0.1, maxDuration.Seconds()},
	}
	switch s.Kind {
	case Steady:
		return validateRanges(phaseRanges)
	case ConfigChanges, Replacements:
		return validateRanges(append(phaseRanges, eventRanges...))
	case ZoneFailure:
		return validateRanges(append(phaseRanges, outageRanges...))
	}
	return InputErrorf("kind: %q is not one of steady, changes, replace and zone", s.Kind)
}
