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
	Removed     = "Gone" // occurs only in changes: the instance has been removed from the list
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
	StartedMS   int64   `json:"born_ms"` // Unix time of the start in milliseconds; 0 if the endpoint started warm
}

// responseBody is the JSON body of a 200 response.
type responseBody struct {
	Version  uint64     `json:"seq"`
	Complete bool       `json:"whole"` // true if Hosts is the complete list, false if it holds changed entries only
	Hosts    []Instance `json:"hosts"`
}

// versionChange holds a version and the entries that differ from the version before it.
type versionChange struct {
	version   uint64
	instances []Instance
}

// response is an encoded response and its kind.
type response struct {
	encoded []byte // the complete HTTP response
	kind    responseKind
}

// responseKind says what a response contains.
type responseKind int

const (
	completeResponse responseKind = iota // the complete list
	deltaResponse                        // changed entries only
	emptyResponse                        // no entries, since none has changed
)

// endpointList is a versioned list of instances with the changes of recent versions. It encodes each response at most
// once per version. It is not safe for concurrent use.
type endpointList struct {
	version      uint64
	names        []string             // hosts of the instances, in the order in which they were added
	byName       map[string]Instance  // instances by host
	history      []versionChange      // changes of consecutive versions, oldest first; the last is the current version's
	historyLimit int                  // maximum length of history
	complete     *response            // response with the complete list of the current version; nil until requested
	deltas       map[uint64]*response // responses with the changes since a client's version, by that version
}

func newEndpointList(historyLimit int) *endpointList {
	return &endpointList{byName: map[string]Instance{}, historyLimit: historyLimit, deltas: map[uint64]*response{}}
}

// set replaces all instances. It clears the history, so that clients with an earlier version get the complete list.
func (l *endpointList) set(instances []Instance) {
	l.advance()
	l.history = nil
	l.names = l.names[:0]
	clear(l.byName)
	for _, instance := range instances {
		l.apply(instance)
	}
}

// update creates a new version by applying the changes to the current one.
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

// advance begins a new version and discards the encoded responses of the previous one.
func (l *endpointList) advance() {
	l.version++
	l.complete = nil
	clear(l.deltas)
}

// apply adds or replaces an instance, or removes it if its health is Removed.
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

// completeResponse returns the response with the complete list.
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

// responseAfter returns the response to a watch whose client has the given version: the entries that have changed
// since that version, or the complete list if the history does not cover all of these changes.
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

// historyCovers reports whether the history contains every change since the given version.
func (l *endpointList) historyCovers(after uint64) bool {
	return after <= l.version && after+uint64(len(l.history)) >= l.version
}

// changesAfter returns the latest entry of each instance that has changed since the given version.
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

// encode returns a complete 200 response with this body.
func encode(body responseBody) []byte {
	encoded, err := json.Marshal(body)
	if err != nil {
		// Encoding fails only if a weight is NaN or infinite.
		panic("registry: " + err.Error())
	}
	contentType := httpconn.Field{Name: "Content-Type", Value: "application/json"}
	return httpconn.AppendResponse(nil, http.StatusOK, encoded, contentType)
}
