// Package worker implements the emulator's worker processes and the messages of their requests.
//
// A worker has one role: it hosts the discovery server, endpoints or simulated sidecars, or it sends
// requests. It stops all that it started when its input ends. Messages are exchanged only between
// processes of one build; of them only the counters are stored, in result files.
package worker

import (
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/registry"
)

// Role names what a worker process does.
type Role string

// The roles.
const (
	RegistryRole  Role = "registry"
	EndpointsRole Role = "endpoints"
	SidecarsRole  Role = "hollow"
	LoadRole      Role = "load"
)

// Requests of the registry role, each with the types of its request and response.
const (
	StartRegistry   control.Kind = "start registry"   // RegistryOptions, RegistryAddress
	SetInstances    control.Kind = "set instances"    // Instances, ListVersion
	UpdateInstances control.Kind = "update instances" // Instances, ListVersion
	CountRegistry   control.Kind = "count registry"   // Empty, registry.Counts
)

// RegistryOptions are the settings of the discovery server.
type RegistryOptions struct {
	CallsPerSecond float64
	MaxQueueDelay  time.Duration
	History        int
	Scratch        string // a directory to remove when the emulator has ended
}

// RegistryAddress is where the discovery server listens.
type RegistryAddress struct{ Address string }

// Instances are entries of the discovery server's endpoint list.
type Instances struct{ Instances []registry.Instance }

// ListVersion is a version of the discovery server's endpoint list, and when it was made.
type ListVersion struct {
	Number    uint64
	CreatedAt time.Time
}

// Requests of the endpoints role, each with the types of its request and response.
const (
	StartEndpoints control.Kind = "start endpoints"  // EndpointConfigs, Incarnations
	ActOnEndpoints control.Kind = "act on endpoints" // EndpointAction, Incarnations
	CountEndpoints control.Kind = "count endpoints"  // Empty, endpoint.Counts
)

// EndpointConfigs are endpoints to start.
type EndpointConfigs struct{ Configs []endpoint.Config }

// Action is a planned change or a fault of an endpoint.
type Action string

// The actions.
const (
	Drain      Action = "drain"
	Restart    Action = "restart"
	Disconnect Action = "vanish"
)

// EndpointAction applies an action to the endpoints of these names; without names, to all.
type EndpointAction struct {
	Action Action
	Names  []string
}

// Incarnation is the address of an endpoint and the start time of its process.
type Incarnation struct {
	Name      string
	Address   string
	StartedMS int64
}

// Incarnations are those of the endpoints of a request, after it.
type Incarnations struct{ Endpoints []Incarnation }

// Requests of the sidecars role, each with the types of its request and response.
const (
	StartSidecars  control.Kind = "start sidecars"  // Sidecars, Empty
	StopSidecars   control.Kind = "stop sidecars"   // Names, Empty
	ReloadSidecars control.Kind = "reload sidecars" // Names, Empty
	AwaitReady     control.Kind = "await ready"     // Await, Completions
	AwaitList      control.Kind = "await heard"     // Await, Completions
	AwaitConfig    control.Kind = "await in force"  // Await, Completions
	CountSidecars  control.Kind = "count sidecars"  // Empty, SidecarCounts
)

// SidecarFile is a sidecar and its configuration file.
type SidecarFile struct{ Name, Path string }

// Sidecars are sidecars to start, evenly over a duration.
type Sidecars struct {
	Files []SidecarFile
	Over  time.Duration
}

// SidecarNames are the sidecars of a request; without names, all that are running.
type SidecarNames struct{ Names []string }

// AwaitRequest waits until each of the named sidecars, or each that is running, is ready, has received a list of
// this version, or has applied the configuration of its file.
type AwaitRequest struct {
	Names   []string
	Version uint64
	Timeout time.Duration
}

// Completion is when one sidecar met the condition.
type Completion struct {
	Name      string
	StartedAt time.Time // of the sidecar
	At        time.Time
}

// Completions are those within the timeout, and the names of the sidecars that missed it.
type Completions struct {
	Completed []Completion
	Missing   []string
}

// Requests of the load role, each with the types of its request and response.
const (
	SendLoad control.Kind = "send load" // LoadPlans, LoadReports
	StopLoad control.Kind = "stop load" // Empty, Empty; makes SendLoad return what it has measured
)

// LoadPlans are requests through sidecars and, for comparison, directly to endpoints. A plan without
// targets is omitted.
type LoadPlans struct{ Proxied, Direct load.Plan }

// LoadReports are the results of the plans; nil for one that was omitted.
type LoadReports struct{ Proxied, Direct *load.Report }
