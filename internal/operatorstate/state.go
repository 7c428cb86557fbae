package operatorstate

import (
	"slices"
	"strings"

	"oakproxy/internal/system"
)

// State is what operators have set by hand. It outlives a process.
type State struct {
	Version int        `json:"version"`
	Sidecar string     `json:"sidecar"`
	Drained bool       `json:"drained"`
	Hosts   []Override `json:"hosts"`
}

// Override tells that an endpoint was left out, or put back, and since when.
type Override struct {
	Name     string `json:"host"`
	Cordoned bool   `json:"out"`
	SinceMS  int64  `json:"since_ms"` // Unix time
	UpMS     int64  `json:"up_ms"`    // the same by the machine's uptime: steps of the wall clock change no span
}

func (m *Override) Since() system.Timestamp { return system.Timestamp{UnixMS: m.SinceMS, UpMS: m.UpMS} }

// SetCordon marks an endpoint as left out or put back. A call repeated changes nothing.
func (st *State) SetCordon(name string, out bool, now system.Timestamp) {
	next := Override{Name: strings.Clone(name), Cordoned: out, SinceMS: now.UnixMS, UpMS: now.UpMS}
	i := slices.IndexFunc(st.Hosts, func(m Override) bool { return m.Name == name })
	switch {
	case i < 0 && out:
		st.Hosts = append(st.Hosts, next)
	case i >= 0 && st.Hosts[i].Cordoned != out:
		st.Hosts[i] = next
	}
}
