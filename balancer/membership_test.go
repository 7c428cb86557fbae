package balancer

import "testing"

// An endpoint that restarts while its answer is pooled stands in the pool once.
func TestRestartedEndpointIsPooledOnce(t *testing.T) {
	b, _ := start(t, testSettings(), ready(2))
	b.Probed(1000, 1, OK, 500, []float32{0})
	restarted := ready(1)[0]
	restarted.StartTime = 1500
	b.Members(2000, ListDelta, []Endpoint{restarted})
	b.Probed(3000, 1, OK, 500, []float32{0})
	pooled := 0
	for _, e := range b.pool {
		if e.ID == 1 {
			pooled++
		}
	}
	if pooled != 1 {
		t.Errorf("it stands in the pool %d times", pooled)
	}
}
