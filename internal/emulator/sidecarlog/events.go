// Package sidecarlog turns the log records of a sidecar into typed events.
//
// A simulated sidecar logs to Events.Logger within the process. A sidecar in a process of its own writes log lines,
// which a Writer parses. These lines do not include endpoint lists, which the sidecar logs at debug level. The package
// neither stores nor forwards log records.
package sidecarlog

import (
	"context"
	"sync"
	"time"

	"oakproxy/internal/emulator/counter"
)

// endpointList describes an endpoint list that a sidecar received.
type endpointList struct {
	version    uint64
	complete   bool  // true for a complete list, false for a list of changes
	endpoints  int64 // number of entries of the list
	receivedAt time.Time
}

// appliedConfig describes a configuration that a sidecar applied.
type appliedConfig struct {
	hash      string
	appliedAt time.Time
}

// Events records the events of one sidecar. New creates one. It is safe for concurrent use.
type Events struct {
	mu      sync.Mutex
	changed chan struct{}   // closed and replaced by a new channel at every event
	readyAt time.Time       // time of the first list with an endpoint; zero until then
	lists   []endpointList  // received lists; consecutive lists of the same version are stored once
	applied []appliedConfig // applied configurations, the latest last
	counts  Counts
}

// Counts holds the number of events of each kind.
type Counts struct {
	CompleteLists   uint64 `json:"WholeLists"` // complete lists received
	ListChanges     uint64 `json:"Changes"`    // lists of changes received, including empty ones
	ConfigsApplied  uint64 `json:"InForce"`    // configurations applied, including the first one
	ConfigsRejected uint64 `json:"Refused"`    // configurations rejected
}

// Add adds the counts of another sidecar to c.
func (c *Counts) Add(other Counts) { counter.Add(c.counters(), other.counters()) }

// Since returns the increase of the counts since an earlier reading.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	return c
}

// counters returns pointers to all counters, always in the same order.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.CompleteLists, &c.ListChanges, &c.ConfigsApplied, &c.ConfigsRejected}
}

// New returns an Events without any event, for a sidecar that has not started yet.
func New() *Events { return &Events{changed: make(chan struct{})} }

// Counts returns the current counts.
func (e *Events) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// recordList records that an endpoint list was received.
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

// update calls change with the lock held and wakes the callers of Await.
func (e *Events) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

// Condition reports whether the events of a sidecar meet a condition, and since when. It is called with the lock of
// Events held.
type Condition func(*Events) (since time.Time, met bool)

// Ready is the Condition that a sidecar has received a list with at least one endpoint.
func Ready(e *Events) (since time.Time, met bool) { return e.readyAt, !e.readyAt.IsZero() }

// ListReceived returns the Condition that a sidecar has received a list of the given version or a newer one.
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

// ConfigApplied returns the Condition that a sidecar's latest applied configuration has the given hash.
func ConfigApplied(hash string) Condition {
	return func(e *Events) (time.Time, bool) {
		last := len(e.applied) - 1
		if last < 0 || e.applied[last].hash != hash {
			return time.Time{}, false
		}
		return e.applied[last].appliedAt, true
	}
}

// Await waits until the condition is met or ctx is done. It returns whether the condition is met, and since when.
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
