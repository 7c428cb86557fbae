package balancer

import "slices"

// Membership: the endpoints that discovery lists, and those that operators cordoned.

// membership is the set of known endpoints.
type membership struct {
	*environment
	endpoints         []*endpoint // in the order first listed
	byID              map[uint32]*endpoint
	cordoned          map[uint64]bool             // by name
	restored          map[uint64]EndpointEstimate // estimates of an earlier process by name, until listed
	removedStartTimes map[uint64]Micros           // start times of removed endpoints, by name
	listReceived      bool                        // discovery has answered since the start
	listReceivedAt    Micros                      // when it last did; 0 before
	maxWeight         float64                     // largest weight ever listed, by which random draws are scaled
}

// maxRemovedEndpoints bounds removedStartTimes.
const maxRemovedEndpoints = 4096

func newMembership(env *environment) membership {
	return membership{
		environment: env, byID: map[uint32]*endpoint{}, cordoned: map[uint64]bool{},
		removedStartTimes: map[uint64]Micros{},
	}
}

// list returns the known endpoints. The caller must not change the slice.
func (m *membership) list() []*endpoint { return m.endpoints }

// largestWeight returns the largest weight ever listed.
func (m *membership) largestWeight() float64 { return m.maxWeight }

// lookup returns the endpoint of this ID, or nil.
func (m *membership) lookup(id uint32) *endpoint { return m.byID[id] }

// setCordoned records whether endpoints of this name are cordoned. It concerns entries listed from now on.
func (m *membership) setCordoned(name uint64, cordoned bool) { m.cordoned[name] = cordoned }

// beginUpdate prepares for the entries of a list.
func (m *membership) beginUpdate() {
	for _, e := range m.endpoints {
		e.listed = false
	}
}

// update stores an entry of a list. newProcess reports whether it names an endpoint, or a process of one,
// that was not known. That process started at startTime, or long ago if startTime is 0.
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
		startTime = now // it appeared while subscribed
	} else if startTime != 0 && (added || restarted) {
		startTime = m.effectiveStartTime(now, in)
	}
	if e.Endpoint, e.listed = *in, true; added {
		m.restoreEndpoint(e)
	}
	m.maxWeight = max(m.maxWeight, float64(e.Weight))
	return e, startTime, added || restarted
}

// endUpdate removes endpoints that are gone, after the entries of a list.
func (m *membership) endUpdate(now Micros, kind ListUpdate) {
	complete := kind != ListDelta
	m.endpoints = slices.DeleteFunc(m.endpoints, func(e *endpoint) bool {
		if complete && !e.listed {
			e.State = Removed
		}
		return m.forgetIfRemoved(e)
	})
	m.listReceived = m.listReceived || kind != ListCached || !m.settings.SubscribeToDiscovery
	if kind != ListCached {
		m.listReceivedAt = now
	}
}

// dropIfRemoved drops a removed endpoint whose last attempt has ended.
func (m *membership) dropIfRemoved(removed *endpoint) {
	if m.forgetIfRemoved(removed) {
		m.endpoints = slices.DeleteFunc(m.endpoints, func(e *endpoint) bool { return e == removed })
	}
}

// forgetIfRemoved forgets a removed endpoint that has no attempt in flight, and reports whether it did.
func (m *membership) forgetIfRemoved(e *endpoint) bool {
	forget := e.State == Removed && e.inFlight+e.uploading == 0
	if forget && m.byID[e.ID] == e {
		delete(m.byID, e.ID)
		m.rememberStartTime(e)
	}
	return forget
}

// rememberStartTime keeps the start time of a removed endpoint: it may return as the same process.
func (m *membership) rememberStartTime(e *endpoint) {
	if len(m.removedStartTimes) >= maxRemovedEndpoints {
		clear(m.removedStartTimes)
	}
	m.removedStartTimes[e.Name] = e.StartTime
}

// effectiveStartTime returns the instant at which an endpoint that is new here, or was restarted, started.
// The listed time is by another clock, which may have been stepped. A process that the latest list did not
// name can't be warm already, unless it is one that was removed and returns.
func (m *membership) effectiveStartTime(now Micros, in *Endpoint) Micros {
	removed, known := m.removedStartTimes[in.Name]
	returned := known && removed == in.StartTime
	latestWarmStart := m.listReceivedAt - m.settings.Contract.SlowStartDuration
	if m.listReceivedAt > 0 && !returned && in.StartTime < latestWarmStart {
		return now
	}
	return in.StartTime
}

// restoreEndpoint takes up the estimates of an earlier balancer process for the same endpoint process.
func (m *membership) restoreEndpoint(e *endpoint) {
	if known, ok := m.restored[e.Name]; ok && known.StartTime == e.StartTime {
		e.serviceTimeRatio, e.serviceTimeRatioAt = newEWMA(known.ServiceTimeRatio), known.MeasuredAt
		if isPositiveFinite(known.MeanLoad) {
			e.meanReportedLoad = newEWMA(known.MeanLoad)
		}
	}
	delete(m.restored, e.Name)
}
