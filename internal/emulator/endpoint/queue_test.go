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
			t.Fatalf("admit(%+v): got false, want true", next)
		}
	}
	if got := q.finish(first); got != running {
		t.Errorf("state of the first task: got %v, want %v (running)", got, running)
	}
	if late.state != expired || second.state != running || third.state != queued {
		t.Errorf("states of the late, the second and the third task: got %v, %v and %v, want %v, %v and %v",
			late.state, second.state, third.state, expired, running, queued)
	}
	for _, next := range []*task{third, late, second} {
		q.finish(next)
	}
	if got := q.inFlight(); got != 0 {
		t.Errorf("got %d tasks in flight, want 0", got)
	}
}
