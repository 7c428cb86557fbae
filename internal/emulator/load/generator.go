// Package load is an open-loop load generator: requests have their intended starts
// from a schedule that no answer holds up, and latencies count from there.
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

// timerSlack is how late the runtime's timers may be, which count in milliseconds while
// the process is idle. The system's sleep, which ctx can't end, takes the last of a wait.
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

// Run carries a plan out. It ends early, and returns what it has so far, when ctx ends.
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

// dispatch starts each request at its time.
func (g *generator) dispatch(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	requests := newSchedule(g.plan)
	for {
		next, more := requests.next()
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

// sleepUntil waits for a time and says whether ctx lasts until then.
func sleepUntil(ctx context.Context, timer *time.Timer, at time.Time) bool {
	if coarse := time.Until(at) - timerSlack; coarse > 0 {
		timer.Reset(coarse)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return false
		}
	}
	for rest := time.Until(at); rest > 0; rest = time.Until(at) {
		left := syscall.NsecToTimespec(rest.Nanoseconds())
		// A sleep that a signal ends is gone on with.
		_ = syscall.Nanosleep(&left, nil)
	}
	return ctx.Err() == nil
}

// acquireSlot waits until a request more may be in flight, as long as it has time.
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

// unsentOutcome is the outcome of a request that got no slot.
func unsentOutcome(ctx context.Context) outcome {
	if ctx.Err() != nil {
		return cancelled
	}
	return unsent
}

// send sends one request and records what came of it.
func (g *generator) send(ctx context.Context, r request, intended, deadline time.Time) {
	defer g.inFlight.Done()
	defer func() { <-g.slots }()
	g.recorder.recordSend(time.Since(intended))
	got, err := g.client.do(ctx, &r, deadline, false)
	if errors.Is(err, errStaleConnection) && !g.plan.Direct && time.Now().Before(deadline) {
		g.client.resent.Add(1)
		got, err = g.client.do(ctx, &r, deadline, true)
	}
	took := time.Since(intended)
	g.recorder.recordOutcome(classify(ctx, &r, got, err, deadline), took)
}

// classify names a request's outcome.
func classify(ctx context.Context, r *request, got *response, err error, deadline time.Time) outcome {
	switch {
	case err != nil && ctx.Err() != nil:
		return cancelled
	case err != nil && !time.Now().Before(deadline):
		return timedOut
	case err != nil:
		return broken
	}
	switch got.status {
	case http.StatusOK:
		if !bytes.Contains(got.body, []byte(r.id)) {
			return mismatched
		}
		return served
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return rejected
	}
	return failed
}
