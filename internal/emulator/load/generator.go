// Package load is an open-loop load generator.
//
// Requests have intended starts from a schedule that no response delays, and latencies are measured from the
// intended start, so that a slow target cannot hide its latency by delaying later requests (coordinated
// omission). A plan with the same seed has the same schedule. The generator neither retries nor hedges; it only
// resends a request once that met a stale connection.
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

// timerSlack is how late the runtime's timers may fire, which have a resolution of milliseconds while the process
// is idle. The last part of a wait is a system sleep, which ctx cannot interrupt.
const timerSlack = 2 * time.Millisecond

// generator is a run of a plan.
type generator struct {
	plan     Plan
	client   *client
	recorder *recorder
	slots    chan struct{} // one for each request in flight
	start    time.Time
	inFlight sync.WaitGroup
}

// Run runs a plan. When ctx is done it ends early and returns the report so far. It fails only on an invalid plan.
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

// dispatch starts each request at its intended start, or records it as unsent.
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

// sleepUntil waits until a time and says whether ctx was not done before.
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
		// The loop continues a sleep that a signal interrupted.
		_ = syscall.Nanosleep(&length, nil)
	}
	return ctx.Err() == nil
}

// acquireSlot waits until one more request may be in flight. It returns false if the deadline passes or ctx is
// done before.
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

// send sends one request and records its outcome. It releases the request's slot.
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

// classifyOutcome returns a request's outcome.
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
