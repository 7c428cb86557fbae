package sidecar

import (
	"time"

	"oakproxy/balancer"
)

const (
	maxQueuedEvents       = 1024
	maxQueuedUrgentEvents = 16
)

// event is work for the loop's goroutine. It is called with the time at which the loop takes it up.
type event func(now balancer.Micros)

// eventQueue carries events from any goroutine to the loop's. The loop's goroutine owns maxWait and is the only
// reader of the channels. It must not post: a full queue would block it for good.
type eventQueue struct {
	queued  chan event
	urgent  chan event
	ended   <-chan struct{} // closed when the loop ends: nothing is taken from then on
	maxWait time.Duration   // the longest time an event was queued, since takeMaxWait
}

func newEventQueue(ended <-chan struct{}) eventQueue {
	return eventQueue{
		queued: make(chan event, maxQueuedEvents),
		urgent: make(chan event, maxQueuedUrgentEvents),
		ended:  ended,
	}
}

// post queues an event. It waits while the queue is full, and drops the event if the loop ends.
func (q *eventQueue) post(e event) {
	posted := time.Now()
	timed := func(now balancer.Micros) {
		q.maxWait = max(q.maxWait, time.Since(posted))
		e(now)
	}
	select {
	case q.queued <- timed:
	case <-q.ended:
	}
}

// runUrgent has the loop run an event ahead of all that are queued, and waits until it has run or the loop has ended.
func (q *eventQueue) runUrgent(e event) {
	done := make(chan struct{})
	select {
	case q.urgent <- func(now balancer.Micros) { e(now); close(done) }:
	case <-q.ended:
		return
	}
	select {
	case <-done:
	case <-q.ended:
	}
}

// takeMaxWait returns the longest wait of an event since the last call.
func (q *eventQueue) takeMaxWait() time.Duration {
	longest := q.maxWait
	q.maxWait = 0
	return longest
}
