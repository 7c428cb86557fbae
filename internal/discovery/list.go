package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// List is a complete list of endpoints or a list of changes. The protocol page, section Discovery, defines its JSON
// format.
type List struct {
	Version  uint64  `json:"seq"`   // version of the list
	Complete bool    `json:"whole"` // whether the list is complete; otherwise it contains only the entries that changed
	Entries  []Entry `json:"hosts"`

	Unusable   int       // number of entries that cannot be used
	FirstError error     // error of the first entry that cannot be used; nil if there is none
	date       time.Time // date of the answer according to discovery's clock, truncated to seconds; zero if unknown
}

// errNoVersion is the error for a list without a version.
var errNoVersion = errors.New("seq is missing")

// UnmarshalJSON parses a list entry by entry, so that an entry that cannot be used does not make the others unusable.
// If such an entry names an endpoint, l contains that endpoint as draining, because it may no longer be ready.
// UnmarshalJSON fails if the list has entries and none of them can be used, because the list then has an unknown
// format.
func (l *List) UnmarshalJSON(data []byte) error {
	var raw struct {
		Seq   *uint64           `json:"seq"`
		Whole bool              `json:"whole"`
		Hosts []json.RawMessage `json:"hosts"`
	}
	if err := json.Unmarshal(data, &raw); err != nil {
		return err
	}
	if raw.Seq == nil {
		return errNoVersion
	}
	*l = List{Version: *raw.Seq, Complete: raw.Whole, Entries: make([]Entry, 0, len(raw.Hosts))}
	for i, text := range raw.Hosts {
		var entry Entry
		err := json.Unmarshal(text, &entry)
		if err == nil {
			err = entry.validate()
		}
		if err == nil {
			l.Entries = append(l.Entries, entry)
			continue
		}
		if l.Unusable++; l.FirstError == nil {
			l.FirstError = fmt.Errorf("hosts[%d]: %w", i, err)
		}
		if entry.Name != "" {
			l.Entries = append(l.Entries, Entry{Name: entry.Name, Health: healthTerminating})
		}
	}
	if l.Unusable > 0 && l.Unusable == len(raw.Hosts) {
		return fmt.Errorf("no entry can be used: %w", l.FirstError)
	}
	return nil
}
