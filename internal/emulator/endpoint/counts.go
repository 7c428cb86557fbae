package endpoint

import (
	"sync/atomic"

	"oakproxy/internal/emulator/httpconn"
)

// Counts are the figures of an endpoint since Start, over all its restarts.
type Counts struct {
	Requests    uint64 // that came whole, without probes
	Served      uint64 // answers 200 written
	Rejected    uint64 // turned away: queue full, draining or out of time
	MissingID   uint64 // answers 404 for want of a correlation id
	Duplicates  uint64 // begun with a correlation id that had begun here before
	Abandoned   uint64 // given up by the client while they waited or ran
	Probes      uint64
	BytesIn     uint64
	BytesOut    uint64
	Connections httpconn.SetCounts
}

// counters are the live form of Counts.
type counters struct {
	requests, served, rejected, missingID, duplicates, abandoned, probes atomic.Uint64
}
