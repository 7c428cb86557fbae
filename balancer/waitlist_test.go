package balancer

import "testing"

// A request resumes when the last of its probes has ended, or as soon as one of them finds an idle endpoint. Of
// several requests that can resume, the one that was added last resumes first.
func TestWaitlistResumesRequests(t *testing.T) {
	busy, idle, other := &endpoint{}, &endpoint{}, &endpoint{}
	busy.reportedAt, busy.reportedLoad = 1000, 9
	idle.reportedAt, idle.reportedLoad = 1000, 0
	add := func(w *waitlist, awaited ...*endpoint) { w.add(&request{awaitedEndpoints: awaited}) }
	for name, c := range map[string]struct {
		answered *endpoint
		want     int // number of requests that resume
	}{
		"busy endpoint": {busy, 1},
		"idle endpoint": {idle, 2},
		"not awaited":   {other, 0},
	} {
		var w waitlist
		add(&w, busy, idle)
		add(&w, busy)
		add(&w, idle)
		var resumed []*request
		for r, i := w.nextResumable(1000, c.answered, fromEnd); r != nil; r, i = w.nextResumable(1000, c.answered, i) {
			w.remove(r)
			resumed = append(resumed, r)
		}
		if len(resumed) != c.want || len(w.requests) != 3-c.want {
			t.Errorf("%s: %d requests resumed and %d wait, want %d and %d",
				name, len(resumed), len(w.requests), c.want, 3-c.want)
		}
		for _, r := range resumed {
			if r.awaitingProbes || len(r.awaitedEndpoints) > 0 {
				t.Errorf("%s: a resumed request still awaits %d probes (awaiting %v), want none",
					name, len(r.awaitedEndpoints), r.awaitingProbes)
			}
		}
	}
}

// Removing a request that does not wait, or no longer waits, must leave the other requests on the waitlist.
func TestWaitlistRemoveIgnoresOthers(t *testing.T) {
	var w waitlist
	first, second, absent := &request{}, &request{}, &request{}
	w.add(first)
	w.add(second)
	w.remove(absent)
	w.remove(first)
	w.remove(first)
	if len(w.requests) != 1 || w.requests[0] != second {
		t.Errorf("%d requests wait, want only the second", len(w.requests))
	}
}
