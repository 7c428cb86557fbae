// Package worker implements the worker processes of the emulator and defines the messages between the emulator and its
// workers.
//
// A worker has one role: it hosts the discovery server, it hosts endpoints, it hosts simulated sidecars, or it sends
// requests. When its input ends, it stops everything that it has started. An incarnation of an endpoint or a simulated
// sidecar lasts from one start to its end; a restart begins a new incarnation. Messages are exchanged only between
// processes of the same build. The counters are the only messages that are stored, in result files.
package worker

import (
	"time"

	"oakproxy/internal/emulator/control"
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/load"
	"oakproxy/internal/emulator/registry"
)

// Role is the task of a worker process.
type Role string

// The roles.
const (
	RegistryRole  Role = "registry"  // hosts the discovery server
	EndpointsRole Role = "endpoints" // hosts endpoints
	SidecarsRole  Role = "hollow"    // hosts simulated sidecars, which are called hollow in stored and printed texts
	LoadRole      Role = "load"      // sends requests
)

// Kinds of requests to a worker with the registry role, each with the types of the request and the response.
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
	Scratch        string // temporary directory that the worker removes when it ends; empty means none
}

// RegistryAddress holds the address that the discovery server listens on.
type RegistryAddress struct{ Address string }

// Instances are entries of the discovery server's endpoint list.
type Instances struct{ Instances []registry.Instance }

// ListVersion is a version of the discovery server's endpoint list and the time of its creation.
type ListVersion struct {
	Number    uint64
	CreatedAt time.Time
}

// Kinds of requests to a worker with the endpoints role, each with the types of the request and the response.
const (
	StartEndpoints control.Kind = "start endpoints"  // EndpointConfigs, Incarnations
	ActOnEndpoints control.Kind = "act on endpoints" // EndpointAction, Incarnations
	CountEndpoints control.Kind = "count endpoints"  // Empty, endpoint.Counts
)

// EndpointConfigs holds the configurations of endpoints to start.
type EndpointConfigs struct{ Configs []endpoint.Config }

// Action is a planned change or a fault of an endpoint.
type Action string

// The actions.
const (
	Drain      Action = "drain"
	Restart    Action = "restart"
	Disconnect Action = "vanish"
)

// EndpointAction applies an action to the named endpoints, or to all endpoints of the worker if Names is empty.
type EndpointAction struct {
	Action Action
	Names  []string
}

// Incarnation identifies the current incarnation of an endpoint.
type Incarnation struct {
	Name      string
	Address   string
	StartedMS int64 // Unix time of the start in milliseconds; 0 for an endpoint that started warm
}

// Incarnations holds the incarnations of the endpoints of a request, after the request has taken effect.
type Incarnations struct{ Endpoints []Incarnation }

// Kinds of requests to a worker with the role hollow, each with the types of the request and the response.
const (
	StartSidecars  control.Kind = "start sidecars"  // Sidecars, Empty
	StopSidecars   control.Kind = "stop sidecars"   // SidecarNames, Empty
	ReloadSidecars control.Kind = "reload sidecars" // SidecarNames, Empty
	AwaitReady     control.Kind = "await ready"     // AwaitRequest, Completions
	AwaitList      control.Kind = "await heard"     // AwaitRequest, Completions
	AwaitConfig    control.Kind = "await in force"  // AwaitRequest, Completions
	CountSidecars  control.Kind = "count sidecars"  // Empty, SidecarCounts
)

// SidecarFile holds the name of a sidecar and the path of its configuration file.
type SidecarFile struct{ Name, Path string }

// Sidecars holds the sidecars to start. Over is the time over which their starts are spread evenly.
type Sidecars struct {
	Files []SidecarFile
	Over  time.Duration
}

// SidecarNames selects the sidecars of a request. If Names is empty, it selects all running sidecars.
type SidecarNames struct{ Names []string }

// AwaitRequest asks a worker to wait until each of the selected sidecars meets a condition, which depends on the kind
// of the request: AwaitReady waits until the sidecar is ready, AwaitList until it has received the endpoint list of
// the given version or a newer one, and AwaitConfig until it has applied the configuration in its file.
type AwaitRequest struct {
	Names   []string      // names of the sidecars; empty means all running sidecars
	Version uint64        // endpoint list version, for AwaitList only
	Timeout time.Duration // longest time to wait
}

// Completion is the time at which a sidecar met the condition of an AwaitRequest.
type Completion struct {
	Name      string
	StartedAt time.Time // time at which the sidecar was started
	At        time.Time // time at which the sidecar met the condition
}

// Completions holds the sidecars that met the condition of an AwaitRequest within its timeout, and the names of the
// running sidecars that did not.
type Completions struct {
	Completed []Completion
	Missing   []string
}

// Kinds of requests to a worker with the load role, each with the types of the request and the response.
const (
	SendLoad control.Kind = "send load" // LoadPlans, LoadReports
	StopLoad control.Kind = "stop load" // Empty, Empty; ends a SendLoad request, which returns its reports up to then
)

// LoadPlans holds the plan for requests through sidecars (Proxied) and, for comparison, the plan for requests directly
// to endpoints (Direct). A plan without targets is not run.
type LoadPlans struct{ Proxied, Direct load.Plan }

// LoadReports holds the reports of LoadPlans. The report of a plan that was not run is nil.
type LoadReports struct{ Proxied, Direct *load.Report }
