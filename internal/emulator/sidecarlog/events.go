// Package sidecarlog makes events of what a sidecar logs, whether it is hosted in this
// process or writes lines in one of its own.
package sidecarlog

import (
	"context"
	"sync"
	"time"
)

// list is a list of endpoints that a sidecar has heard of.
type list struct {
	seq   uint64
	whole bool
	hosts int64
	at    time.Time
}

// configuration is one that a sidecar has put in force.
type configuration struct {
	hash string
	at   time.Time
}

// Events are what has happened to one sidecar. Make them with New.
type Events struct {
	mu             sync.Mutex
	changed        chan struct{} // closed and replaced with every event
	readyAt        time.Time     // of the first list with an endpoint
	lists          []list        // one for each version, the first time that it was heard
	configurations []configuration
	counts         Counts
}

// Counts tell how often something has happened.
type Counts struct {
	WholeLists uint64 `json:"WholeLists"` // lists that were complete
	Changes    uint64 `json:"Changes"`    // lists of changes, or of nothing new
	InForce    uint64 `json:"InForce"`    // configurations applied, the first one included
	Refused    uint64 `json:"Refused"`    // configurations rejected
}

// Add adds another sidecar's figures.
func (c *Counts) Add(other Counts) {
	c.WholeLists += other.WholeLists
	c.Changes += other.Changes
	c.InForce += other.InForce
	c.Refused += other.Refused
}

// New returns Events of a sidecar that is about to start.
func New() *Events { return &Events{changed: make(chan struct{})} }

// Counts returns the figures so far.
func (e *Events) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// refuse notes that a configuration was refused.
func (e *Events) refuse() {
	e.note(func() { e.counts.Refused++ })
}

// note makes a change and wakes those who wait.
func (e *Events) note(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *Events) hear(heard list) {
	e.note(func() {
		if heard.whole {
			e.counts.WholeLists++
		} else {
			e.counts.Changes++
		}
		if e.readyAt.IsZero() && heard.hosts > 0 {
			e.readyAt = heard.at
		}
		if last := len(e.lists) - 1; last < 0 || e.lists[last].seq != heard.seq {
			e.lists = append(e.lists, heard)
		}
	})
}

func (e *Events) hold(held configuration) {
	e.note(func() {
		e.counts.InForce++
		e.configurations = append(e.configurations, held)
	})
}

// Condition says whether a sidecar has got somewhere, and since when.
type Condition func(*Events) (since time.Time, met bool)

// Ready is met by the first list with an endpoint.
func Ready(e *Events) (since time.Time, met bool) { return e.readyAt, !e.readyAt.IsZero() }

// Heard is met by a list of this version or a newer one.
func Heard(seq uint64) Condition {
	return func(e *Events) (time.Time, bool) {
		for _, heard := range e.lists {
			if heard.seq >= seq {
				return heard.at, true
			}
		}
		return time.Time{}, false
	}
}

// InForce is met while the configuration in force has this hash.
func InForce(hash string) Condition {
	return func(e *Events) (time.Time, bool) {
		last := len(e.configurations) - 1
		if last < 0 || e.configurations[last].hash != hash {
			return time.Time{}, false
		}
		return e.configurations[last].at, true
	}
}

// Await waits for a condition, until ctx ends.
func (e *Events) Await(ctx context.Context, condition Condition) (since time.Time, met bool) {
	for {
		e.mu.Lock()
		since, met = condition(e)
		changed := e.changed
		e.mu.Unlock()
		if met {
			return since, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return time.Time{}, false
		}
	}
}
