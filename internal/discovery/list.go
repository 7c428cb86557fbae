package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// List is a list of endpoints, or of changes to one, in the form of the protocol page's section on discovery.
type List struct {
	Version  uint64  `json:"seq"`   // the version
	Complete bool    `json:"whole"` // the list is complete; otherwise it has the entries that changed
	Entries  []Entry `json:"hosts"`

	Unusable   int       // the number of entries that cannot be used
	FirstError error     // of the first such entry; nil if there is none
	date       time.Time // of the answer by discovery's clock, to the second; zero if not known
}

// errNoVersion is the error of a list without a version.
var errNoVersion = errors.New("seq is missing")

// UnmarshalJSON reads a list entry by entry, so that one that cannot be used does not make the others unusable. If
// such an entry names an endpoint, the list has it as draining, as it may no longer be ready. It fails if no entry at
// all can be used, since the list is then of some other form.
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
