package sidecar

import (
	"net/http"
	"testing"
)

// A request that its first attempt served has its stages counted; one that took two has not.
func TestStagesOfServedRequests(t *testing.T) {
	served, turnsAway := newEndpoint(t, always(served)), newEndpoint(t, then(full, served))
	for _, test := range []struct {
		endpoint *endpoint
		counted  uint64
	}{{served, 1}, {turnsAway, 0}} {
		w := start(t, nil, ready("e0", test.endpoint.address), ready("e1", test.endpoint.address))
		if got := w.send(w.request("read", "", patience)); got.code != http.StatusOK {
			t.Fatalf("answered %d (%v)", got.code, got.err)
		}
		w.stop()
		if err := <-w.ended; err != nil { // the handler has returned by then
			t.Fatal(err)
		}
		if requests, text := w.loop.stages.summary(); requests != test.counted {
			t.Errorf("%d requests counted, want %d: %s", requests, test.counted, text)
		}
	}
}
