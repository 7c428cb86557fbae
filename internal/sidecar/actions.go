package sidecar

import (
	"context"
	"net/http"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/upstream"
)

// The methods of this file implement balancer.Actions. The balancer calls them in the loop's goroutine.
var _ balancer.Actions = (*loop)(nil)

// Send starts an attempt to forward the request with this id to an endpoint. The attempt may not be sent after
// latestSend; 0 means that there is no such limit.
func (l *loop) Send(id uint64, endpoint uint32, latestSend balancer.Micros) {
	r, target := l.requests.byID[id], l.endpoints.acquire(endpoint)
	startedAt, gate := l.clock.now(), &upstream.Gate{ClientGone: r.clientClosed}
	if latestSend > 0 {
		gate.NotAfter = l.clock.timeAt(latestSend)
	}
	ctx, cancel := context.WithDeadline(l.ctx, l.clock.timeAt(r.deadline))
	outcome := balancer.Outcome{ID: id, Attempt: len(r.attempts), Endpoint: endpoint}
	l.trace(r, "attempt started", "number", outcome.Attempt, "endpoint", endpoint, "known", target != nil)
	if len(r.attempts) == 0 {
		r.times.FirstAttemptStarted = time.Now()
	}
	l.requests.beginAttempt(r, attempt{cancel, gate})
	go func() {
		result := upstream.Result{Status: balancer.NotSent}
		if target != nil {
			result = l.upstream.Attempt(ctx, target, r.message, gate, func() balancer.StallDecision {
				return l.decideStalled(ctx, r, outcome.Attempt)
			})
		}
		cancel()
		l.events.post(func(at balancer.Micros) {
			outcome.Status, outcome.Latency = result.Status, at-startedAt
			if upload := r.message.Upload; upload != nil {
				outcome.BodyConsumed = upload.BodyConsumed()
				if !upload.WrittenAt.IsZero() {
					outcome.Latency = time.Since(upload.WrittenAt).Microseconds()
				}
			}
			l.handleOutcome(at, r, outcome, result)
			l.endpoints.release(endpoint)
		})
	}()
}

// decideStalled asks the balancer about an attempt whose response has begun and makes no progress. It waits for the
// loop's goroutine, at most until ctx ends.
func (l *loop) decideStalled(ctx context.Context, r *request, attempt int) balancer.StallDecision {
	decided := make(chan balancer.StallDecision, 1)
	l.events.post(func(now balancer.Micros) {
		decision := l.balancer.HandleStalledResponse(now, r.id, attempt)
		l.trace(r, "response stalled", "number", attempt, "decision", decision)
		decided <- decision
	})
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
		return balancer.StallKeep
	}
}

// Reject responds with status 503, which tells the client that a retry is harmless. If retryAfter is not 0, the
// response also tells the client how long to wait before a retry.
func (l *loop) Reject(id uint64, retryAfter balancer.Micros) {
	l.respond(l.requests.byID[id], finalResponse{code: http.StatusServiceUnavailable, retryAfter: retryAfter})
}

// Fail responds with status 502, which tells the client that the request failed.
func (l *loop) Fail(id uint64) {
	l.respond(l.requests.byID[id], finalResponse{code: http.StatusBadGateway})
}

// Cancel ends an attempt by closing its connection. The attempt's outcome is still reported.
func (l *loop) Cancel(id uint64, attempt int) {
	if r := l.requests.byID[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) {
		r.attempts[attempt].cancel()
	}
}

// StartTimer passes the token back to the balancer after the delay.
func (l *loop) StartTimer(delay balancer.Micros, token uint32) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		l.events.post(func(now balancer.Micros) { l.balancer.HandleTimer(now, token) })
	})
}

// Probe requests a load report from an endpoint.
func (l *loop) Probe(endpoint uint32) {
	target := l.endpoints.acquire(endpoint)
	go func() {
		result := upstream.Result{Status: balancer.NotSent}
		if target != nil {
			result = l.upstream.Probe(l.ctx, target)
		}
		l.events.post(func(now balancer.Micros) {
			l.balancer.HandleProbe(now, endpoint, result.Status, result.Elapsed.Microseconds(), l.currentLoadReport(result))
			l.endpoints.release(endpoint)
		})
	}()
}

// Watch starts the watch of the endpoint list, from the last version received, if on is true. Otherwise Watch stops the
// watch. If the settings subscribe to discovery, the balancer decides when to restart the watch after a failure. If
// they do not, the watch restarts by itself.
func (l *loop) Watch(on bool) {
	if !on {
		l.watcher.stop()
		return
	}
	l.watcher.start(l.ctx, &l.events, l, !l.cfg.Settings.SubscribeToDiscovery)
}

// Log logs a line that the balancer has written.
func (l *loop) Log(line string) { l.log.Info(line) }
