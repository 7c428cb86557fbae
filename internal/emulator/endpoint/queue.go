package endpoint

import (
	"container/list"
	"sync"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

// progress is how far a task has come.
type progress int

const (
	waiting progress = iota
	running
	expired // its time was over before a core was free
	finished
)

// task is a request's stay in a queue. Its connection is woken once it is done or expired.
type task struct {
	conn     *httpconn.Conn
	expires  time.Time // zero: never
	progress progress
	element  *list.Element // in the queue, while it waits
}

// queue hands tasks to a number of cores, first in, first out.
type queue struct {
	cores, limit int
	serviceTime  func(now time.Time) time.Duration

	mu      sync.Mutex
	running int
	waiting list.List // of *task
}

// admit starts a task or queues it; it returns false if the queue is full.
func (q *queue) admit(t *task) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running < q.cores {
		q.start(t)
		return true
	}
	if q.waiting.Len() >= q.limit {
		return false
	}
	t.element = q.waiting.PushBack(t)
	return true
}

// finish takes a task out, done or not, and starts the next one. It returns how far
// the task had come.
func (q *queue) finish(t *task) progress {
	q.mu.Lock()
	defer q.mu.Unlock()
	reached := t.progress
	switch reached {
	case waiting:
		q.waiting.Remove(t.element)
	case running:
		q.running--
		q.startNext()
	}
	t.progress = finished
	return reached
}

// inFlight counts the tasks that run or wait.
func (q *queue) inFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running + q.waiting.Len()
}

// start puts a task on a core. q.mu is held.
func (q *queue) start(t *task) {
	now := time.Now()
	q.running++
	t.progress = running
	t.conn.WakeAt(now.Add(q.serviceTime(now)))
}

// startNext starts the first task that waits and has time left. q.mu is held.
func (q *queue) startNext() {
	for q.waiting.Len() > 0 {
		next := q.waiting.Remove(q.waiting.Front()).(*task)
		if next.expires.IsZero() || time.Now().Before(next.expires) {
			q.start(next)
			return
		}
		next.progress = expired
		next.conn.Wake()
	}
}
