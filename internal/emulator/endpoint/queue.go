package endpoint

import (
	"container/list"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

// taskState is the progress of a task.
type taskState int

const (
	queued taskState = iota
	running
	expired // its deadline passed before a core was free
	done
)

// task is a request in a queue. Its connection is woken once its service time is over or it has expired.
type task struct {
	conn     *httpconn.Conn
	deadline time.Time // zero: none
	state    taskState
	element  *list.Element // of the queue, while it is queued
}

// queue is a bounded FIFO queue in front of a number of cores.
type queue struct {
	cores, limit int
	serviceTime  func(now time.Time) time.Duration

	mu      sync.Mutex
	running int
	queued  list.List // of *task
}

// admit starts a task or queues it. It returns false if the queue is full.
func (q *queue) admit(t *task) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.cores {
		q.start(t)
		return true
	}
	if q.queued.Len() >= q.limit {
		return false
	}
	t.element = q.queued.PushBack(t)
	return true
}

// finish removes a task in any state and starts the next one. It returns the state that the task was in.
func (q *queue) finish(t *task) taskState {
	q.mu.Lock()
	defer q.mu.Unlock()
	state := t.state
	switch state {
	case queued:
		q.queued.Remove(t.element)
	case running:
		q.running--
		q.startNext()
	}
	t.state = done
	return state
}

// inFlight returns the number of tasks that are running or queued.
func (q *queue) inFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running + q.queued.Len()
}

// start runs a task on a core. q.mu is locked.
func (q *queue) start(t *task) {
	now := time.Now()
	q.running++
	t.state = running
	t.conn.WakeAt(now.Add(q.serviceTime(now)))
}

// startNext starts the first queued task whose deadline has not passed, and expires those before it.
// q.mu is locked.
func (q *queue) startNext() {
	for q.queued.Len() > 0 {
		next := q.queued.Remove(q.queued.Front()).(*task)
		if next.deadline.IsZero() || time.Now().Before(next.deadline) {
			q.start(next)
			return
		}
		next.state = expired
		next.conn.Wake()
	}
}
