package operatorstate

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"oakproxy/internal/system"
)

// stateVersion is the version of the file format. A file of another version is ignored.
const stateVersion = 1

// State holds the settings that operators made by hand. It is stored as JSON and outlives the process.
type State struct {
	Version   int        `json:"version"` // version of the file format
	Sidecar   string     `json:"sidecar"` // name of the sidecar that the state belongs to
	Drained   bool       `json:"drained"` // true if the sidecar must report that it is not ready
	Overrides []Override `json:"hosts"`   // endpoints that are cordoned or were uncordoned recently
}

// Override is an operator's decision to cordon or uncordon one endpoint.
type Override struct {
	Name      string `json:"host"`
	Cordoned  bool   `json:"out"`
	SetUnixMS int64  `json:"since_ms"` // Unix time of the decision in milliseconds
	UptimeMS  int64  `json:"up_ms"`    // machine uptime at the decision in milliseconds; not affected by wall clock steps
}

// SetAt returns when the decision was made.
func (o *Override) SetAt() system.Timestamp {
	return system.Timestamp{UnixMS: o.SetUnixMS, UptimeMS: o.UptimeMS}
}

// SetCordon records that the named endpoint is cordoned or uncordoned at the time now. It does nothing if the endpoint
// is in that state already, so repeated calls keep the time of the first call.
func (st *State) SetCordon(name string, cordoned bool, now system.Timestamp) {
	// Clone the name: it may be a substring of a request, which the state would otherwise keep in memory.
	override := Override{Name: strings.Clone(name), Cordoned: cordoned, SetUnixMS: now.UnixMS, UptimeMS: now.UptimeMS}
	i := slices.IndexFunc(st.Overrides, func(o Override) bool { return o.Name == name })
	switch {
	case i < 0 && cordoned:
		st.Overrides = append(st.Overrides, override)
	case i >= 0 && st.Overrides[i].Cordoned != cordoned:
		st.Overrides[i] = override
	}
}

// errUnnamedEndpoint is the error for a stored override with an empty endpoint name.
var errUnnamedEndpoint = errors.New("stored override without an endpoint name")

// validate returns an error if st has another version, belongs to another sidecar, or contains an override whose
// endpoint name is empty.
func (st *State) validate(sidecar string) error {
	switch {
	case st.Version != stateVersion:
		return fmt.Errorf("stored version is %d, want %d", st.Version, stateVersion)
	case st.Sidecar != sidecar:
		return fmt.Errorf("stored state belongs to sidecar %q, want %q", st.Sidecar, sidecar)
	case slices.ContainsFunc(st.Overrides, func(o Override) bool { return o.Name == "" }):
		return errUnnamedEndpoint
	}
	return nil
}
