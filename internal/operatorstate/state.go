package operatorstate

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"oakproxy/internal/system"
)

// stateVersion is the version of the stored form. A file of another version is ignored.
const stateVersion = 1

// State is what operators have set by hand. It outlives a process. Its JSON keys are those of the stored file.
type State struct {
	Version   int        `json:"version"` // of the stored form
	Sidecar   string     `json:"sidecar"` // the name of the sidecar that it belongs to
	Drained   bool       `json:"drained"` // readiness is withdrawn
	Overrides []Override `json:"hosts"`   // endpoints that are cordoned, or were until recently
}

// Override is an operator's decision on one endpoint: cordoned, or put back into service.
type Override struct {
	Name      string `json:"host"`
	Cordoned  bool   `json:"out"`
	SetUnixMS int64  `json:"since_ms"` // Unix time of the decision in milliseconds
	UptimeMS  int64  `json:"up_ms"`    // machine uptime then, in milliseconds: a wall clock step does not change its age
}

// SetAt returns when the decision was made.
func (o *Override) SetAt() system.Timestamp {
	return system.Timestamp{UnixMS: o.SetUnixMS, UptimeMS: o.UptimeMS}
}

// SetCordon records that an endpoint is cordoned, or put back into service, at now. It does nothing if the endpoint is
// in that state already, so repeated calls keep the time of the first.
func (st *State) SetCordon(name string, cordoned bool, now system.Timestamp) {
	// The name is cloned, since it may be a part of a request that the state would keep alive.
	override := Override{Name: strings.Clone(name), Cordoned: cordoned, SetUnixMS: now.UnixMS, UptimeMS: now.UptimeMS}
	i := slices.IndexFunc(st.Overrides, func(o Override) bool { return o.Name == name })
	switch {
	case i < 0 && cordoned:
		st.Overrides = append(st.Overrides, override)
	case i >= 0 && st.Overrides[i].Cordoned != cordoned:
		st.Overrides[i] = override
	}
}

// errUnnamedEndpoint is the error of a stored state with an override that names no endpoint.
var errUnnamedEndpoint = errors.New("an endpoint without a name")

// validate reports why a stored state cannot be that of the given sidecar.
func (st *State) validate(sidecar string) error {
	switch {
	case st.Version != stateVersion:
		return fmt.Errorf("version %d, not %d", st.Version, stateVersion)
	case st.Sidecar != sidecar:
		return fmt.Errorf("of sidecar %q, not %q", st.Sidecar, sidecar)
	case slices.ContainsFunc(st.Overrides, func(o Override) bool { return o.Name == "" }):
		return errUnnamedEndpoint
	}
	return nil
}
