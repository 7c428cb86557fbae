package endpoint

import (
	"net"
	"testing"
	"time"

	"oakproxy/internal/emulator/httpconn"
)

func TestQueueIsFIFOAndSkipsExpiredTasks(t *testing.T) {
	serverEnd, clientEnd := net.Pipe()
	defer serverEnd.Close()
	defer clientEnd.Close()
	conn := httpconn.New(serverEnd, &httpconn.Traffic{})
	q := &queue{cores: 1, limit: 9, serviceTime: func(time.Time) time.Duration { return time.Hour }}
	first := &task{conn: conn}
	late := &task{conn: conn, deadline: time.Now()}
	second, third := &task{conn: conn}, &task{conn: conn}
	for _, next := range []*task{first, late, second, third} {
		if !q.admit(next) {
			t.Fatal("a task was rejected")
		}
	}
	if got := q.finish(first); got != running {
		t.Errorf("the first task was in state %v, want running", got)
	}
	if late.state != expired || second.state != running || third.state != queued {
		t.Errorf("states: expired task %v, second %v, third %v", late.state, second.state, third.state)
	}
	for _, next := range []*task{third, late, second} {
		q.finish(next)
	}
	if got := q.inFlight(); got != 0 {
		t.Errorf("%d tasks in flight, want 0", got)
	}
}
