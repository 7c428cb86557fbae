package balancer

import "testing"

// An endpoint that restarts while its load report is in the pool must not be added to the pool a second time.
func TestRestartedEndpointIsPooledOnce(t *testing.T) {
	b, _ := startBalancer(t, testSettings(), readyEndpoints(2))
	b.HandleProbe(1000, 1, OK, 500, []float32{0})
	restarted := readyEndpoints(1)[0]
	restarted.StartTime = 1500
	b.HandleEndpoints(2000, ListDelta, []Endpoint{restarted})
	b.HandleProbe(3000, 1, OK, 500, []float32{0})
	pooled := 0
	for _, e := range b.probes.pool {
		if e.ID == 1 {
			pooled++
		}
	}
	if pooled != 1 {
		t.Errorf("endpoint 1 is in the pool %d times, want once", pooled)
	}
}

// A listed start time may be wrong, since clocks may be stepped forwards or backwards. An endpoint process that the
// previous list did not name is new, and is regarded as warming up whatever its start time, unless the same process
// was removed earlier and returns: it stays warm. So does an endpoint whose start time in the first list is long ago.
func TestStartTimeOfASteppedClock(t *testing.T) {
	const hour = 3600 * second
	const startedAt = 10 * hour // start of this balancer, by its own clock
	old := Endpoint{ID: 1, Name: 1, Weight: 1, StartTime: startedAt - hour}
	for name, c := range map[string]struct {
		entry   Endpoint
		warming bool
	}{
		"new, clocks agree":            {Endpoint{ID: 2, Name: 2, Weight: 1, StartTime: startedAt + 60*second}, true},
		"new, by a clock behind":       {Endpoint{ID: 2, Name: 2, Weight: 1, StartTime: startedAt + 60*second - hour}, true},
		"new, by a clock ahead":        {Endpoint{ID: 2, Name: 2, Weight: 1, StartTime: startedAt + 60*second + hour}, true},
		"restarted, clocks agree":      {Endpoint{ID: 1, Name: 1, Weight: 1, StartTime: startedAt + 60*second}, true},
		"restarted, by a clock behind": {Endpoint{ID: 1, Name: 1, Weight: 1, StartTime: startedAt + 60*second - hour}, true},
		"unchanged":                    {old, false},
		"returned as the same process": {Endpoint{ID: 3, Name: 3, Weight: 1, StartTime: startedAt - hour}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := New(testSettings(), 7, &recorder{})
			if err != nil {
				t.Fatal(err)
			}
			b.Start(startedAt)
			removed := Endpoint{ID: 3, Name: 3, Weight: 1, StartTime: startedAt - hour}
			b.HandleEndpoints(startedAt, ListFull, []Endpoint{old, removed})
			b.HandleEndpoints(startedAt+second, ListFull, []Endpoint{old})
			b.HandleEndpoints(startedAt+60*second, ListDelta, nil)
			now := startedAt + 61*second
			b.HandleEndpoints(now, ListDelta, []Endpoint{c.entry})
			if got := b.membership.byID[c.entry.ID].isWarming(now, &b.settings.Contract); got != c.warming {
				t.Errorf("warming: %v, want %v", got, c.warming)
			}
		})
	}
}

// A request that is sent to a draining or removed endpoint may be lost when the endpoint stops.
func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(2))
	b.HandleEndpoints(1000, ListDelta, []Endpoint{{ID: 1, State: Draining}})
	b.HandleEndpoints(1000, ListFull, []Endpoint{{ID: 1, State: Draining}, {ID: 3, State: Ready}})
	for id := range uint64(20) {
		b.HandleRequest(2000, testRequest(id, 0, 2000))
	}
	for _, s := range r.sends {
		if s.endpoint == 1 || s.endpoint == 2 {
			t.Fatalf("request %d was sent to endpoint %d, which is draining or removed", s.id, s.endpoint)
		}
	}
}
