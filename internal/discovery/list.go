package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
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
