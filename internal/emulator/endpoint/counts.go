package endpoint

import (
	"sync/atomic"

	"oakproxy/internal/emulator/counter"
	"oakproxy/internal/emulator/httpconn"
)

// Counts are the counters of an endpoint since Start, over all its incarnations.
type Counts struct {
	Requests     uint64 // complete requests, without health checks
	Served       uint64 // responses 200 written
	Rejected     uint64 // queue full, draining or deadline exceeded
	MissingIDs   uint64 `json:"MissingID"` // responses 404 for want of a correlation ID
	Duplicates   uint64 // started with a correlation ID that had been started here before
	Abandoned    uint64 // cancelled by the client while they were queued or running
	HealthChecks uint64 `json:"Probes"` // health checks
	BytesIn      uint64
	BytesOut     uint64
	Connections  httpconn.SetCounts
}

// counters are the live form of Counts.
type counters struct {
	requests, served, rejected, missingID, duplicates, abandoned, healthChecks atomic.Uint64
}

// Add adds another endpoint's counts.
func (c *Counts) Add(other Counts) {
	counter.Add(c.counters(), other.counters())
	c.Connections.Open += other.Connections.Open
	c.Connections.MaxOpen += other.Connections.MaxOpen
}

// Since returns the counts since an earlier reading. Open connections are as they are now.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	return c
}

// counters lists all that only grow.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.Requests, &c.Served, &c.Rejected, &c.MissingIDs, &c.Duplicates, &c.Abandoned, &c.HealthChecks,
		&c.BytesIn, &c.BytesOut, &c.Connections.Accepted}
}
