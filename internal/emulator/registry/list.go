package registry

import (
	"encoding/json"
	"net/http"

	"oakproxy/internal/emulator/httpconn"
)

// Health values of an Instance.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Removed     = "Gone" // only among changes
)

// Instance is an entry of the endpoint list.
type Instance struct {
	Host        string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	MachineKind string  `json:"class"`
	Cell        uint16  `json:"block"`
	Health      string  `json:"health"`
	Weight      float32 `json:"share"`
	StartedMS   int64   `json:"born_ms"`
}

// responseBody is the body of a response.
type responseBody struct {
	Version  uint64     `json:"seq"`
	Complete bool       `json:"whole"`
	Hosts    []Instance `json:"hosts"`
}

// versionChange holds the entries that one version changed.
type versionChange struct {
	version   uint64
	instances []Instance
}

// response is an encoded response and its kind.
type response struct {
	encoded []byte
	kind    responseKind
}

type responseKind int

const (
	completeResponse responseKind = iota
	deltaResponse
	emptyResponse
)

// endpointList holds the instances, their version, and the changes of recent versions.
// It encodes each response once per version. It is not safe for concurrent use.
type endpointList struct {
	version      uint64
	names        []string // in the order of their first appearance
	byName       map[string]Instance
	history      []versionChange // without gaps, up to version
	historyLimit int
	complete     *response            // nil until it is requested
	deltas       map[uint64]*response // by the version they are newer than
}

func newEndpointList(historyLimit int) *endpointList {
	return &endpointList{byName: map[string]Instance{}, historyLimit: historyLimit, deltas: map[uint64]*response{}}
}

// set replaces all instances. There are no changes from an earlier version to this one.
func (l *endpointList) set(instances []Instance) {
	l.advance()
	l.history = nil
	l.names = l.names[:0]
	clear(l.byName)
	for _, instance := range instances {
		l.apply(instance)
	}
}

// update makes one version of the changes.
func (l *endpointList) update(changes []Instance) {
	l.advance()
	for _, instance := range changes {
		l.apply(instance)
	}
	l.history = append(l.history, versionChange{version: l.version, instances: append([]Instance(nil), changes...)})
	if overLimit := len(l.history) - l.historyLimit; overLimit > 0 {
		l.history = append([]versionChange(nil), l.history[overLimit:]...)
	}
}

// advance begins a version, whose responses have not been encoded yet.
func (l *endpointList) advance() {
	l.version++
	l.complete = nil
	clear(l.deltas)
}

// apply adds, replaces or, with health Gone, removes an instance.
func (l *endpointList) apply(instance Instance) {
	_, known := l.byName[instance.Host]
	if instance.Health == Removed {
		l.remove(instance.Host)
		return
	}
	if !known {
		l.names = append(l.names, instance.Host)
	}
	l.byName[instance.Host] = instance
}

func (l *endpointList) remove(name string) {
	delete(l.byName, name)
	for i, other := range l.names {
		if other == name {
			l.names = append(l.names[:i], l.names[i+1:]...)
			return
		}
	}
}

// completeResponse returns the response with every instance.
func (l *endpointList) completeResponse() *response {
	if l.complete == nil {
		hosts := make([]Instance, 0, len(l.names))
		for _, name := range l.names {
			hosts = append(hosts, l.byName[name])
		}
		l.complete = &response{
			encoded: encode(responseBody{Version: l.version, Complete: true, Hosts: hosts}),
			kind:    completeResponse,
		}
	}
	return l.complete
}

// responseAfter returns the response to a watch from a version: the entries that have changed, or the
// complete list if the history does not reach back that far.
func (l *endpointList) responseAfter(after uint64) *response {
	if !l.historyCovers(after) {
		return l.completeResponse()
	}
	if cached, ok := l.deltas[after]; ok {
		return cached
	}
	hosts := l.changesAfter(after)
	kind := deltaResponse
	if len(hosts) == 0 {
		kind = emptyResponse
	}
	delta := &response{encoded: encode(responseBody{Version: l.version, Hosts: hosts}), kind: kind}
	l.deltas[after] = delta
	return delta
}

// historyCovers says whether the history holds every change since a version.
func (l *endpointList) historyCovers(after uint64) bool {
	return after <= l.version && after+uint64(len(l.history)) >= l.version
}

// changesAfter returns the latest entry of each instance that changed since a version.
func (l *endpointList) changesAfter(after uint64) []Instance {
	hosts := []Instance{}
	position := map[string]int{}
	for _, change := range l.history {
		if change.version <= after {
			continue
		}
		for _, instance := range change.instances {
			if index, seen := position[instance.Host]; seen {
				hosts[index] = instance
				continue
			}
			position[instance.Host] = len(hosts)
			hosts = append(hosts, instance)
		}
	}
	return hosts
}

// encode returns a response 200 with this body.
func encode(body responseBody) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		// Only a weight that is not a number cannot be encoded.
		panic("registry: " + err.Error())
	}
	contentType := httpconn.Field{Name: "Content-Type", Value: "application/json"}
	return httpconn.AppendResponse(nil, http.StatusOK, encoded, contentType)
}
