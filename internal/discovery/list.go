package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"oakproxy/balancer"
	"time"
)

// List is a list of endpoints, or of changes, in discovery's form.
type List struct {
	Seq   uint64  `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []Entry `json:"hosts"`

	Unusable   int       // entries that could not be used
	FirstError error     // of the first of them
	date       time.Time // by the clock of discovery, to the second; zero where it did not say
}

type Entry struct {
	Name   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  uint16  `json:"block"`
	Health string  `json:"health"`
	Share  float32 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

var States = map[string]balancer.EndpointState{
	"Ready": balancer.Ready, "Terminating": balancer.Draining, "Gone": balancer.Removed,
}

// check finds what keeps an entry from being used.
func (h *Entry) check() error {
	state, ok := States[h.Health]
	switch {
	case h.Name == "":
		return errors.New("host is missing")
	case !ok:
		return fmt.Errorf("health: %q is not a known state", h.Health)
	case state == balancer.Ready:
		if _, _, err := net.SplitHostPort(h.Dial); err != nil {
			return fmt.Errorf("dial: %q is not host:port", h.Dial)
		}
	}
	return nil
}

// UnmarshalJSON reads a list entry by entry: one that can't be used does not cost the
// others. An endpoint that it names is left with what it has, as it may no longer be
// ready. Where no entry can be used, none of them is worth believing.
func (r *List) UnmarshalJSON(data []byte) error {
	var list struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &list); err != nil {
		return err
	}
	if list.Seq == nil {
		return errors.New("seq is missing")
	}
	*r = List{Seq: *list.Seq, Whole: list.Whole, Hosts: make([]Entry, 0, len(list.Hosts))}
	for i, raw := range list.Hosts {
		var h Entry
		err := json.Unmarshal(raw, &h)
		if err == nil {
			err = h.check()
		}
		if err != nil {
			if r.Unusable++; r.FirstError == nil {
				r.FirstError = fmt.Errorf("hosts[%d]: %w", i, err)
			}
			if h.Name == "" {
				continue
			}
			h = Entry{Name: h.Name, Health: "Terminating"}
		}
		r.Hosts = append(r.Hosts, h)
	}
	if r.Unusable > 0 && r.Unusable == len(list.Hosts) {
		return fmt.Errorf("no entry can be used: %w", r.FirstError)
	}
	return nil
}

// MinSkew is how far the clocks of discovery and of this process must be apart to be told so: discovery's date is cut to
// the second, and its answer takes a while.
const MinSkew = 2 * time.Second

// ClockSkew is how far the clock by which a list tells starts is ahead of the loop's, as far as the list lets it be known.
func (r *List) ClockSkew(now balancer.Micros) balancer.Micros {
	if r.date.IsZero() {
		return 0
	}
	if skew := r.date.UnixMicro() - now; skew > MinSkew.Microseconds() || skew < -MinSkew.Microseconds() {
		return skew
	}
	return 0
}
