// Package load is an open-loop load generator.
//
// The schedule gives each request an intended start, which does not depend on responses, and latencies are measured
// from the intended start. A slow target therefore cannot hide its latency by delaying later requests (coordinated
// omission). The same plan with the same seed yields the same schedule. The generator neither retries nor hedges
// requests, with one exception: it resends a request once if the request failed on a stale connection, that is, an
// idle connection that the target has closed. Requests of a direct plan are never resent.
package load

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// timerSlack is how late a timer of the Go runtime may fire: these timers have a resolution of milliseconds while the
// process is idle. Therefore sleepUntil uses a timer only until timerSlack before the end of a wait, and the system
// call nanosleep for the rest. A context cannot interrupt nanosleep.
const timerSlack = 2 * time.Millisecond

// generator is a run of a plan.
type generator struct {
	plan     Plan
	client   *client
	recorder *recorder
	slots    chan struct{}  // holds one element for each request in flight; its capacity is plan.MaxInFlight
	start    time.Time      // start of the run
	inFlight sync.WaitGroup // goroutines that send requests
}

// Run runs a plan and returns its report. When ctx is done, the run ends early and Run returns the report up to then.
// Run fails only if the plan is invalid.
func Run(ctx context.Context, plan Plan) (*Report, error) {
	plan, err := plan.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &generator{
		plan:     plan,
		client:   newClient(),
		recorder: newRecorder(),
		slots:    make(chan struct{}, plan.MaxInFlight),
		start:    time.Now(),
	}
	defer g.client.close()
	cpu := processCPU()
	g.dispatch(ctx)
	g.inFlight.Wait()
	report := g.recorder.result()
	report.Direct = plan.Direct
	report.Elapsed = time.Since(g.start)
	report.CPU = processCPU() - cpu
	report.Counts.Connections = g.client.opened.Load()
	report.Counts.BytesIn = g.client.bytesIn.Load()
	report.Counts.BytesOut = g.client.bytesOut.Load()
	report.Counts.Resent = g.client.resent.Load()
	return report, nil
}

// dispatch starts each request of the plan at its intended start, or as soon as there is a free slot. A request that
// gets no slot before its deadline is recorded as unsent. If ctx is done first, it is recorded as cancelled.
func (g *generator) dispatch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	schedule := newSchedule(g.plan)
	for {
		next, more := schedule.next()
		if !more {
			return
		}
		intended := g.start.Add(next.startOffset)
		if !sleepUntil(ctx, timer, intended) {
			return
		}
		deadline := intended.Add(next.class.Timeout)
		if !g.acquireSlot(ctx, timer, deadline) {
			g.recorder.recordOutcome(unsentOutcome(ctx), 0)
			continue
		}
		g.inFlight.Add(1)
		go g.send(ctx, next, intended, deadline)
	}
}

// sleepUntil waits until the given time. It returns false if ctx is done by then.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	if coarseWait := time.Until(at) - timerSlack; coarseWait > 0 {
		timer.Reset(coarseWait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for remaining := time.Until(at); remaining > 0; remaining = time.Until(at) {
		length := syscall.NsecToTimespec(remaining.Nanoseconds())
		// If a signal interrupts the sleep, the loop sleeps for the remaining time.
		_ = syscall.Nanosleep(&length, nil)
	}
	return ctx.Err() == nil
}

// acquireSlot waits until one more request may be in flight. It returns false if the deadline passes or ctx is done
// first.
func (g *generator) acquireSlot(ctx context.Context, timer *time.Timer, deadline time.Time) bool {
	select {
	case g.slots <- struct{}{}:
		return true
	default:
	}
	timer.Reset(time.Until(deadline))
	select {
	case g.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// unsentOutcome returns the outcome of a request that got no slot.
func unsentOutcome(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return cancelled
	}
	return unsent
}

// send sends one request, records its outcome and releases its slot.
func (g *generator) send(ctx context.Context, r request, intended, deadline time.Time) {
	defer g.inFlight.Done()
	defer func() { <-g.slots }()
	g.recorder.recordSend(time.Since(intended))
	resp, err := g.client.do(ctx, &r, deadline, pooled)
	if errors.Is(err, errStaleConnection) && !g.plan.Direct && time.Now().Before(deadline) {
		g.client.resent.Add(1)
		resp, err = g.client.do(ctx, &r, deadline, fresh)
	}
	latency := time.Since(intended)
	g.recorder.recordOutcome(classifyOutcome(ctx, &r, resp, err, deadline), latency)
}

// classifyOutcome returns the outcome of a request that got a response or an error.
func classifyOutcome(ctx context.Context, r *request, resp *response, err error, deadline time.Time) outcome {
	switch {
	case err != nil && ctx.Err() != nil:
		return cancelled
	case err != nil && !time.Now().Before(deadline):
		return timedOut
	case err != nil:
		return broken
	}
	switch resp.status {
	case http.StatusOK:
		if !bytes.Contains(resp.body, []byte(r.id)) {
			return mismatched
		}
		return served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return rejected
	}
	return failed
}
