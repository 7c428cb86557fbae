// Package worker is what the emulator's worker processes do: one plays discovery,
// some play endpoints, some host sidecars, one sends requests.
package worker

import (
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/sidecarlog"
)

// Role names what a worker process plays.
type Role string

// The roles.
const (
	RegistryRole  Role = "registry"
	EndpointsRole Role = "endpoints"
	SidecarsRole  Role = "hollow"
	LoadRole      Role = "load"
)

// Requests of the registry role.
const (
	StartRegistry   control.Kind = "start registry"   // RegistryOptions, RegistryAddress
	SetInstances    control.Kind = "set instances"    // Instances, Version
	UpdateInstances control.Kind = "update instances" // Instances, Version
	CountRegistry   control.Kind = "count registry"   // Empty, registry.Counts
)

// RegistryOptions are the settings of discovery.
type RegistryOptions struct {
	CallsPerSecond float64
	MaxQueueDelay  time.Duration
	History        int
	Scratch        string // a folder to remove when the emulator is gone
}

// RegistryAddress is where discovery listens.
type RegistryAddress struct{ Address string }

// Instances are entries of discovery's list.
type Instances struct{ Instances []registry.Instance }

// ListVersion is a version of discovery's list, and when it came to be.
type ListVersion struct {
	Number    uint64
	CreatedAt time.Time
}

// Requests of the endpoints role.
const (
	StartEndpoints control.Kind = "start endpoints"  // EndpointConfigs, Lives
	ActOnEndpoints control.Kind = "act on endpoints" // Act, Lives
	CountEndpoints control.Kind = "count endpoints"  // Empty, endpoint.Counts
)

// EndpointConfigs are endpoints to start.
type EndpointConfigs struct{ Configs []endpoint.Config }

// Action is what happens to an endpoint.
type Action string

// The actions.
const (
	Drain   Action = "drain"
	Restart Action = "restart"
	Vanish  Action = "vanish"
)

// EndpointAction does something to the endpoints of these names, or to all where there are none.
type EndpointAction struct {
	Action Action
	Names  []string
}

// Incarnation is where an endpoint is reached, and since when it lives.
type Incarnation struct {
	Name      string
	Address   string
	StartedMS int64
}

// Incarnations are the endpoints that a request was about.
type Incarnations struct{ Endpoints []Incarnation }

// Requests of the hollow role.
const (
	StartSidecars  control.Kind = "start sidecars"  // Sidecars, Empty
	StopSidecars   control.Kind = "stop sidecars"   // Names, Empty
	ReloadSidecars control.Kind = "reload sidecars" // Names, Empty
	AwaitReady     control.Kind = "await ready"     // Await, Arrivals
	AwaitList      control.Kind = "await heard"     // Await, Arrivals
	AwaitConfig    control.Kind = "await in force"  // Await, Arrivals
	CountSidecars  control.Kind = "count sidecars"  // Empty, SidecarCounts
)

// SidecarFile is a sidecar and its configuration file.
type SidecarFile struct{ Name, Path string }

// Sidecars are sidecars to start, evenly over a time.
type Sidecars struct {
	Files []SidecarFile
	Over  time.Duration
}

// Names are the sidecars that a request is about; none: all.
type Names struct{ Names []string }

// Await waits until each of the named sidecars, or all of them, has got there, at most
// for a time: to a list of this version, or to the configuration that its file holds.
type Await struct {
	Names   []string
	Version uint64
	Timeout time.Duration
}

// Completion is when one sidecar got there.
type Completion struct {
	Name      string
	StartedAt time.Time // of the sidecar
	At        time.Time
}

// Completions are those that came in time, and the names of the others.
type Completions struct {
	Completed []Completion
	Missing   []string
}

// SidecarCounts tell of all sidecars that a worker hosts or has hosted.
type SidecarCounts struct {
	sidecarlog.Counts
	Running      int
	Goroutines   int
	Failed       uint64 // sidecars that ended by themselves
	FirstFailure string
}

// Requests of the load role.
const (
	SendLoad control.Kind = "send load" // LoadPlans, LoadReports
	StopLoad control.Kind = "stop load" // Empty, Empty: SendLoad ends with what it has
)

// LoadPlans are requests through sidecars and, for comparison, straight to endpoints.
// A plan without targets is left out.
type LoadPlans struct{ Proxied, Direct load.Plan }

// LoadReports tell what came of the plans; nil for one that was left out.
type LoadReports struct{ Proxied, Direct *load.Report }
