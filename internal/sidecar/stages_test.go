package sidecar

import (
	"net/http"
	"testing"

	"oakproxy/internal/sidecartest"
)

// Tests that the stages of a request are counted if its first attempt is successful, but not if it needs two attempts.
func TestStagesOfServedRequests(t *testing.T) {
	serving := newServingEndpoint(t)
	rejecting := sidecartest.NewEndpoint(t,
		sidecartest.RespondFirstThen(sidecartest.RejectedResponse, sidecartest.ServedResponse))
	for _, test := range []struct {
		endpoint *sidecartest.Endpoint
		counted  uint64
	}{{serving, 1}, {rejecting, 0}} {
		h := start(t, nil, ready("e0", test.endpoint.Address), ready("e1", test.endpoint.Address))
		if got := h.send(h.request("read", "", sidecartest.WaitTimeout)); got.code != http.StatusOK {
			t.Fatalf("got %d (%v), want 200", got.code, got.err)
		}
		h.stop()
		if err := <-h.ended; err != nil { // the handler has returned by then
			t.Fatal(err)
		}
		if requests, text := h.loop.stages.Summary(); requests != test.counted {
			t.Errorf("got %d requests counted (%s), want %d", requests, text, test.counted)
		}
	}
}
