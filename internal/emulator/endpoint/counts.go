package endpoint

import (
	"sync/atomic"

	"oakproxy/internal/emulator/counter"
	"oakproxy/internal/emulator/httpconn"
)

// Counts holds the counters of an endpoint since Start, summed over all its incarnations.
type Counts struct {
	Requests     uint64 // requests received completely, health checks excluded
	Served       uint64 // 200 responses written
	Rejected     uint64 // requests rejected because the queue was full, the endpoint drained or the deadline had passed
	MissingIDs   uint64 `json:"MissingID"` // 404 responses to requests without a correlation ID
	Duplicates   uint64 // admitted requests whose correlation ID the endpoint had recently admitted already
	Abandoned    uint64 // requests whose client disconnected or sent more data while they were queued or running
	HealthChecks uint64 `json:"Probes"` // GET requests for /health/live or /stats
	BytesIn      uint64
	BytesOut     uint64
	Connections  httpconn.SetCounts
}

// counters holds the atomic counters that Endpoint.Counts reads.
type counters struct {
	requests, served, rejected, missingID, duplicates, abandoned, healthChecks atomic.Uint64
}

// Add adds the counts of another endpoint to c.
func (c *Counts) Add(other Counts) {
	counter.Add(c.counters(), other.counters())
	c.Connections.Open += other.Connections.Open
	c.Connections.MaxOpen += other.Connections.MaxOpen
}

// Since returns the increase of the counters since an earlier reading of the same endpoint. Open and MaxOpen of
// Connections are gauges and keep their current values.
func (c Counts) Since(earlier Counts) Counts {
	counter.Subtract(c.counters(), earlier.counters())
	return c
}

// counters returns pointers to the fields that only increase, always in the same order.
func (c *Counts) counters() []*uint64 {
	return []*uint64{&c.Requests, &c.Served, &c.Rejected, &c.MissingIDs, &c.Duplicates, &c.Abandoned, &c.HealthChecks,
		&c.BytesIn, &c.BytesOut, &c.Connections.Accepted}
}
