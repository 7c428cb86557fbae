package balancer

import "slices"

// Membership: the endpoints that discovery lists, and the names of the endpoints that operators cordoned.

// membership holds the known endpoints.
type membership struct {
	*environment
	endpoints         []*endpoint // in the order in which they were first listed
	byID              map[uint32]*endpoint
	cordoned          map[uint64]bool             // names of the cordoned endpoints
	restoredEstimates map[uint64]EndpointEstimate // estimates from Restore by name, until the endpoint is listed
	removedStartTimes map[uint64]Micros           // start times of removed endpoints, by name
	listReceived      bool                        // a list arrived; if subscribing, one that is not cached
	listReceivedAt    Micros                      // time of latest list or delta that is not cached; 0 for none
	maxWeight         float64                     // largest weight ever listed; random draws are scaled by it
}

// maxRemovedEndpoints is the maximum number of entries of removedStartTimes, which is cleared when full.
const maxRemovedEndpoints = 4096

func newMembership(env *environment) membership {
	return membership{
		environment: env, byID: map[uint32]*endpoint{}, cordoned: map[uint64]bool{},
		removedStartTimes: map[uint64]Micros{},
	}
}

// list returns the known endpoints. The caller must not modify the slice.
func (m *membership) list() []*endpoint { return m.endpoints }

// largestWeight returns the largest weight ever listed.
func (m *membership) largestWeight() float64 { return m.maxWeight }

// lookup returns the endpoint of this ID, or nil.
func (m *membership) lookup(id uint32) *endpoint { return m.byID[id] }

// setCordoned records whether endpoints of this name are cordoned. This applies to entries listed from now
// on; known endpoints are not changed.
func (m *membership) setCordoned(name uint64, cordoned bool) {
	if !cordoned {
		delete(m.cordoned, name)
		return
	}
	m.cordoned[name] = true
}

// beginUpdate marks all endpoints as not listed. It is called before the entries of a list are stored.
func (m *membership) beginUpdate() {
	for _, e := range m.endpoints {
		e.listed = false
	}
}

// update stores an entry of a list and returns its endpoint. newProcess is true if the endpoint was unknown
// or was restarted. startTime is the instant at which its process started; 0 means long ago.
func (m *membership) update(now Micros, in *Endpoint) (e *endpoint, startTime Micros, newProcess bool) {
	e = m.byID[in.ID]
	added := e == nil
	if added {
		e = &endpoint{}
		m.byID[in.ID] = e
		m.endpoints = append(m.endpoints, e)
	}
	restarted := !added && in.StartTime != 0 && in.StartTime != e.StartTime
	if restarted {
		e.reset()
	}
	e.cordoned = m.cordoned[in.Name]
	startTime = in.StartTime
	if startTime == 0 && added && m.listReceived {
		startTime = now // the endpoint appeared after the first list
	} else if startTime != 0 && (added || restarted) {
		startTime = m.effectiveStartTime(now, in)
	}
	if e.Endpoint, e.listed = *in, true; added {
		m.restoreEndpoint(e)
	}
	m.maxWeight = max(m.maxWeight, float64(e.Weight))
	return e, startTime, added || restarted
}

// endUpdate deletes the endpoints that were removed. It is called after the entries of a list were stored. A
// complete list removes every endpoint that it does not name.
func (m *membership) endUpdate(now Micros, kind ListUpdate) {
	complete := kind != ListDelta
	m.endpoints = slices.DeleteFunc(m.endpoints, func(e *endpoint) bool {
		if complete && !e.listed {
			e.State = Removed
		}
		return m.unindexIfRemoved(e)
	})
	m.listReceived = m.listReceived || kind != ListCached || !m.settings.SubscribeToDiscovery
	if kind != ListCached {
		m.listReceivedAt = now
	}
}

// dropIfRemoved deletes an endpoint from the list if it was removed and has no attempt in flight. It is
// called after an attempt at that endpoint has ended.
func (m *membership) dropIfRemoved(removed *endpoint) {
	if m.unindexIfRemoved(removed) {
		m.endpoints = slices.DeleteFunc(m.endpoints, func(e *endpoint) bool { return e == removed })
	}
}

// unindexIfRemoved reports whether e was removed and has no attempt in flight. If so, it deletes e from the
// index by ID; the caller deletes e from the list.
func (m *membership) unindexIfRemoved(e *endpoint) bool {
	deletable := e.State == Removed && e.inFlight+e.uploading == 0
	if deletable && m.byID[e.ID] == e {
		delete(m.byID, e.ID)
		m.rememberStartTime(e)
	}
	return deletable
}

// rememberStartTime stores the start time of a removed endpoint: it may be listed again as the same process.
func (m *membership) rememberStartTime(e *endpoint) {
	if len(m.removedStartTimes) >= maxRemovedEndpoints {
		clear(m.removedStartTimes)
	}
	m.removedStartTimes[e.Name] = e.StartTime
}

// effectiveStartTime returns the instant at which the process of an added or restarted endpoint started.
//
// The listed start time was read from another clock, which may have been stepped. A process that the previous
// list did not name cannot be warm yet, unless it was removed and is listed again. If its listed start time
// says that it was already warm at the time of the previous list, the process is taken to start now.
func (m *membership) effectiveStartTime(now Micros, in *Endpoint) Micros {
	removedStartTime, wasRemoved := m.removedStartTimes[in.Name]
	returned := wasRemoved && removedStartTime == in.StartTime
	latestWarmStart := m.listReceivedAt - m.settings.Contract.SlowStartDuration
	if m.listReceivedAt > 0 && !returned && in.StartTime < latestWarmStart {
		return now
	}
	return in.StartTime
}

// restoreEndpoint sets e's estimates to those of an earlier balancer process, if they are of the same
// endpoint process.
func (m *membership) restoreEndpoint(e *endpoint) {
	if estimate, ok := m.restoredEstimates[e.Name]; ok && estimate.StartTime == e.StartTime {
		e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(estimate.ServiceTimeRatio), estimate.MeasuredAt
		if isPositiveFinite(estimate.MeanLoad) {
			e.meanReportedLoad = newEWMA(estimate.MeanLoad)
		}
	}
	delete(m.restoredEstimates, e.Name)
}
