package endpoint

import (
	"container/list"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

// taskState is the state of a task.
type taskState int

const (
	queued  taskState = iota // the task waits for a core
	running                  // the task occupies a core
	expired                  // the deadline of the task passed before a core was free
	done                     // finish has removed the task
)

// task is a request in a queue. The connection of the task is woken when the task's service time is over or it
// has expired.
type task struct {
	conn     *httpconn.Conn
	deadline time.Time // zero if the request has no deadline
	state    taskState
	element  *list.Element // element of queue.queued that holds the task; valid while the task is queued
}

// queue is a bounded FIFO queue in front of a number of cores.
type queue struct {
	cores, limit int                               // maximum numbers of running and of queued tasks
	serviceTime  func(now time.Time) time.Duration // returns the service time of a task that starts now

	mu      sync.Mutex
	running int       // number of running tasks
	queued  list.List // queued tasks, of type *task, oldest first
}

// admit starts a task or queues it. It returns false, and does neither, if the queue is full.
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

// finish removes a task, whatever its state, and starts the next one if a core has become free. It returns the state
// that the task was in.
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

// start runs a task on a free core. The caller holds q.mu.
func (q *queue) start(t *task) {
	now := time.Now()
	q.running++
	t.state = running
	t.conn.WakeAt(now.Add(q.serviceTime(now)))
}

// startNext starts the first queued task whose deadline has not passed, and marks the tasks before it as expired.
// The caller holds q.mu.
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
