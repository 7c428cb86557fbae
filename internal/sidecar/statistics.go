package sidecar

import (
	"fmt"
	"log/slog"
	"maps"
	"runtime/metrics"
	"slices"
	"strings"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/downstream"
	"oakproxy/internal/stages"
	"oakproxy/internal/upstream"
)

// counters are the counters of all parts of the sidecar, counted since the start.
type counters struct {
	balancer       balancer.Stats
	upstream       upstream.Counts
	discoveryCalls discoveryCallCounts // calls to discovery
	stages         stages.Totals
	closes         downstream.CloseCounts // closed clients' connections, by cause
	overdueUploads uint64
}

// gauges are the values of the statistics that describe the current state.
type gauges struct {
	listAgeMS       balancer.Micros // milliseconds since discovery's latest valid answer
	listVersion     uint64
	maxEventWait    time.Duration // longest time that an event has waited in the queue since the previous call of logStats
	inForce         *config.Snapshot
	rejectedReloads int
	held            heldResources
}

// heldResources are the numbers of things that exist only while requests are in progress. A number that grows while the
// others do not shows which part of the sidecar keeps what it should have released.
type heldResources struct {
	tableEntries int   // entries of the loop's request table
	openRequests int   // requests whose handlers have not returned
	bodyMemory   int64 // bytes reserved for buffered bodies
	headMemory   int64 // bytes reserved for heads
	chunkMemory  int64 // bytes reserved for the buffers of bodies that are forwarded as they arrive
	heap         int64 // bytes of heap objects, including garbage that has not been collected yet
	goroutines   int
}

// heapMetric is the name of the runtime's metric of the bytes of heap objects.
const heapMetric = "/memory/classes/heap/objects:bytes"

// heapBytes returns the bytes of heap objects.
func heapBytes() int64 {
	sample := []metrics.Sample{{Name: heapMetric}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// statsLogger logs the changes of the counters since the previous call of logSinceLast, with the gauges. The loop's
// goroutine owns it.
type statsLogger struct {
	log  *slog.Logger
	last counters // counters at the previous call of logSinceLast

	failures        map[upstream.FailureReason]uint64 // failed attempts since the previous call of logSinceLast
	failureLoggedAt time.Time                         // when recordFailure has logged a line last
}

// attemptLogInterval is the minimum time between two log lines about failed attempts.
const attemptLogInterval = time.Second

// recordFailure counts an attempt that has failed without a valid response. It logs those whose response was cut off or
// given up, at most one in each attemptLogInterval.
func (l *statsLogger) recordFailure(r *request, outcome balancer.Outcome, result upstream.Result) {
	if result.Err == nil {
		return
	}
	if l.failures == nil {
		l.failures = map[upstream.FailureReason]uint64{}
	}
	l.failures[result.Reason]++
	unusual := result.Reason != upstream.FailedLocally && result.Reason != upstream.FailedDial
	if !unusual || time.Since(l.failureLoggedAt) < attemptLogInterval {
		return
	}
	l.failureLoggedAt = time.Now()
	l.log.Info("attempt failed", "id", r.message.Header.Get("X-Correlation-Id"),
		"class", r.message.Header.Get("X-Service-Class"), "number", outcome.Attempt, "endpoint", outcome.Endpoint,
		"reason", result.Reason, "error", result.Err, "after_us", outcome.Latency)
}

// takeFailures returns the failed attempts by reason since the previous call, such as "[ended:2 stalled:1]".
func (l *statsLogger) takeFailures() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(l.failures)) {
		parts = append(parts, fmt.Sprintf("%s:%d", reason, l.failures[reason]))
	}
	clear(l.failures)
	return "[" + strings.Join(parts, " ") + "]"
}

// logSinceLast logs one line of statistics if there was a request since the previous call, and remembers the counters
// for the next call.
func (l *statsLogger) logSinceLast(c *counters, g gauges) {
	last := &l.last
	if c.balancer.Requests != last.balancer.Requests {
		dials := c.upstream.Dials - last.upstream.Dials
		l.log.Info("statistics",
			"balancer", c.balancer.Since(&last.balancer),
			"list_age_ms", g.listAgeMS, "list_seq", g.listVersion,
			"discovery_calls", c.discoveryCalls.since(last.discoveryCalls),
			"dials", dials,
			"dial_ms", (c.upstream.DialTime-last.upstream.DialTime).Milliseconds()/int64(max(1, dials)),
			"dial_failed", c.upstream.FailedDials-last.upstream.FailedDials,
			"connection_limit", c.upstream.LimitReached-last.upstream.LimitReached, "connections", c.upstream.Open,
			"event_wait_ms", float64(g.maxEventWait.Microseconds())/1000,
			"stages_us", c.stages.MeansSince(last.stages), "client_closes", c.closes.Since(last.closes),
			"uploads_overdue", c.overdueUploads-last.overdueUploads, "attempt_failures", l.takeFailures(),
			"generation", g.inForce.Generation, "hash", g.inForce.FileHash,
			"reloads", g.inForce.Generation-config.FirstGeneration, "reloads_rejected", g.rejectedReloads,
			"requests_held", g.held.tableEntries, "requests_open", g.held.openRequests,
			"body_memory_kb", g.held.bodyMemory>>10, "head_memory_kb", g.held.headMemory>>10,
			"chunk_memory_kb", g.held.chunkMemory>>10, "heap_kb", g.held.heap>>10, "goroutines", g.held.goroutines)
	}
	l.last = *c
}
