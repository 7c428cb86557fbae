// Package sidecarlog turns what a sidecar logs into typed events.
//
// A hosted sidecar logs to Events.Logger within the process. A sidecar in a process of its own writes
// lines, which a Writer parses; lists of endpoints are logged at debug level and are not among them.
// The package only observes: it neither stores nor forwards log records.
package sidecarlog

import (
	"context"
	"sync"
	"time"

	"oakproxy/internal/emulator/counter"
)

// endpointList is an endpoint list that a sidecar received.
type endpointList struct {
	version    uint64
	complete   bool
	endpoints  int64
	receivedAt time.Time
}

// appliedConfig is a configuration that a sidecar applied.
type appliedConfig struct {
	hash      string
	appliedAt time.Time
}

// Events records the events of one sidecar. Make one with New. It is safe for concurrent use.
type Events struct {
	mu      sync.Mutex
	changed chan struct{}  // closed and replaced with every event
	readyAt time.Time      // of the first list with an endpoint
	lists   []endpointList // one for each version, as it was first received
	applied []appliedConfig
	counts  Counts
}

// Counts says how often each event has occurred.
type Counts struct {
	CompleteLists   uint64 `json:"WholeLists"` // lists that were complete
	ListChanges     uint64 `json:"Changes"`    // lists of changes, or of nothing new
	ConfigsApplied  uint64 `json:"InForce"`    // configurations applied, the first one included
	ConfigsRejected uint64 `json:"Refused"`    // configurations rejected
}

// Add adds another sidecar's counts.
func (c *Counts) Add(other Counts) { counter.Add(c.counters(), other.counters()) }

// Since returns the counts since an earlier reading.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	return c
}

func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.CompleteLists, &c.ListChanges, &c.ConfigsApplied, &c.ConfigsRejected}
}

// New returns the Events of a sidecar that is about to start.
func New() *Events { return &Events{changed: make(chan struct{})} }

// Counts returns the counts so far.
func (e *Events) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// recordList records an endpoint list.
func (e *Events) recordList(received endpointList) {
	e.update(func() {
		if received.complete {
			e.counts.CompleteLists++
		} else {
			e.counts.ListChanges++
		}
		if e.readyAt.IsZero() && received.endpoints > 0 {
			e.readyAt = received.receivedAt
		}
		if last := len(e.lists) - 1; last < 0 || e.lists[last].version != received.version {
			e.lists = append(e.lists, received)
		}
	})
}

// recordApplied records that a configuration was applied.
func (e *Events) recordApplied(applied appliedConfig) {
	e.update(func() {
		e.counts.ConfigsApplied++
		e.applied = append(e.applied, applied)
	})
}

// recordRejected records that a configuration was rejected.
func (e *Events) recordRejected() {
	e.update(func() { e.counts.ConfigsRejected++ })
}

// update makes a change and wakes the callers of Await.
func (e *Events) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

// Condition says whether a sidecar has reached a state, and since when. It is called with the lock held.
type Condition func(*Events) (since time.Time, met bool)

// Ready is met by the first list with an endpoint.
func Ready(e *Events) (since time.Time, met bool) { return e.readyAt, !e.readyAt.IsZero() }

// ListReceived is met by a list of this version or a newer one.
func ListReceived(version uint64) Condition {
	return func(e *Events) (time.Time, bool) {
		for _, received := range e.lists {
			if received.version >= version {
				return received.receivedAt, true
			}
		}
		return time.Time{}, false
	}
}

// ConfigApplied is met while the configuration applied last has this hash.
func ConfigApplied(hash string) Condition {
	return func(e *Events) (time.Time, bool) {
		last := len(e.applied) - 1
		if last < 0 || e.applied[last].hash != hash {
			return time.Time{}, false
		}
		return e.applied[last].appliedAt, true
	}
}

// Await waits until a condition is met or ctx is done.
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
