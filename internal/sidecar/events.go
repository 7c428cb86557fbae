package sidecar

import (
	"time"

	"oakproxy/balancer"
)

const (
	maxQueuedEvents       = 1024
	maxQueuedUrgentEvents = 16
)

// event is a function for the loop's goroutine to call. Its argument is the time at which the loop calls it.
type event func(now balancer.Micros)

// eventQueue passes events from any goroutine to the loop's goroutine, which owns maxWait and is the only reader of the
// channels. The loop's goroutine itself must not post events: if the queue were full, it would block forever.
type eventQueue struct {
	queued  chan event
	urgent  chan event
	ended   <-chan struct{} // channel that is closed when the loop ends; no event is handled after that
	maxWait time.Duration   // longest wait in the channel queued, of events handled since the last call of takeMaxWait
}

func newEventQueue(ended <-chan struct{}) eventQueue {
	return eventQueue{
		queued: make(chan event, maxQueuedEvents),
		urgent: make(chan event, maxQueuedUrgentEvents),
		ended:  ended,
	}
}

// post queues an event. It blocks while the queue is full, and drops the event if the loop ends.
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

// runUrgent makes the loop run an event ahead of all events queued by post. It waits until the event has run or the
// loop has ended.
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

// takeMaxWait returns the longest time that an event has waited in the queue, among those handled since the previous
// call. Urgent events are left out.
func (q *eventQueue) takeMaxWait() time.Duration {
	longest := q.maxWait
	q.maxWait = 0
	return longest
}
