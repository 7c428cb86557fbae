package result

import (
	"oakproxy/internal/emulator/endpoint"
	"oakproxy/internal/emulator/registry"
	"oakproxy/internal/emulator/worker"
)

// DiscoverySince returns what discovery counted since an earlier reading. Connections
// that are open are as they are now.
func DiscoverySince(now, earlier registry.Counts) registry.Counts {
	now.ListCalls -= earlier.ListCalls
	now.WatchCalls -= earlier.WatchCalls
	now.CompleteResponses -= earlier.CompleteResponses
	now.DeltaResponses -= earlier.DeltaResponses
	now.EmptyResponses -= earlier.EmptyResponses
	now.Unavailable -= earlier.Unavailable
	now.NotFound -= earlier.NotFound
	now.Reset -= earlier.Reset
	now.BytesIn -= earlier.BytesIn
	now.BytesOut -= earlier.BytesOut
	now.Connections.Accepted -= earlier.Connections.Accepted
	now.HandlingCPU -= earlier.HandlingCPU
	now.ProcessCPU -= earlier.ProcessCPU
	return now
}

// EndpointsSince returns what endpoints counted since an earlier reading. Connections
// that are open are as they are now.
func EndpointsSince(now, earlier endpoint.Counts) endpoint.Counts {
	now.Requests -= earlier.Requests
	now.Served -= earlier.Served
	now.Rejected -= earlier.Rejected
	now.MissingIDs -= earlier.MissingIDs
	now.Duplicates -= earlier.Duplicates
	now.Abandoned -= earlier.Abandoned
	now.HealthChecks -= earlier.HealthChecks
	now.BytesIn -= earlier.BytesIn
	now.BytesOut -= earlier.BytesOut
	now.Connections.Accepted -= earlier.Connections.Accepted
	return now
}

// HollowSince returns what hollow sidecars counted since an earlier reading. Those
// that run are as they are now.
func HollowSince(now, earlier worker.SidecarCounts) worker.SidecarCounts {
	now.CompleteLists -= earlier.CompleteLists
	now.ListChanges -= earlier.ListChanges
	now.ConfigsApplied -= earlier.ConfigsApplied
	now.ConfigsRejected -= earlier.ConfigsRejected
	now.Failed -= earlier.Failed
	return now
}
