package sidecar

import (
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/downstream"
)

// singleValueHeaders are the headers that a request may contain only once. The sidecar would use the first of two
// values, but another parser on the way to the endpoint might use the second.
var singleValueHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Session-Key",
	"X-Time-Left-Ms", "X-Repeat", "X-Weight-Hint", "Idempotency-Key"}

// hashName returns a hash of a name. All sidecars compute the same hash of the same name.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// parseRequest returns the balancer's description of a request. arrived is the time of its arrival by the loop's clock.
// An error that it returns is a *downstream.RequestError.
func (s *server) parseRequest(in *http.Request, arrived balancer.Micros) (balancer.Request, error) {
	inForce := s.loop.current.Load()
	req := balancer.Request{ReceivedUnder: &inForce.Settings}
	h := in.Header
	for _, name := range singleValueHeaders {
		if len(h[name]) > 1 {
			return req, downstream.NewBadRequest("%s is there %d times", name, len(h[name]))
		}
	}
	if id := h.Get("X-Correlation-Id"); id == "" || len(id) > maxIDLength {
		return req, downstream.NewBadRequest("X-Correlation-Id: %d characters, must be 1 to %d", len(id), maxIDLength)
	}
	if err := parseClass(in, inForce, &req); err != nil {
		return req, err
	}
	timeLeftMS, err := strconv.ParseUint(h.Get("X-Time-Left-Ms"), 10, 63)
	if err != nil {
		return req, downstream.NewBadRequest("X-Time-Left-Ms: %.64q is not a whole number of milliseconds",
			h.Get("X-Time-Left-Ms"))
	}
	timeLeftMS = min(timeLeftMS, uint64(maxTimeLeft.Milliseconds()))
	req.Deadline = arrived + int64(timeLeftMS)*1000 - responseMargin.Microseconds()
	err = parseOptionalHeaders(h, inForce, &req)
	return req, err
}

// parseClass sets the request's class, and checks that the request's path, method and body are allowed for the class.
func parseClass(in *http.Request, inForce *config.Snapshot, req *balancer.Request) error {
	name := in.Header.Get("X-Service-Class")
	class, ok := inForce.Classes[name]
	if !ok {
		return downstream.NewBadRequest("X-Service-Class: %.64q is not a known class", name)
	}
	if firstSegment, _, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/"), "/"); firstSegment != name {
		return downstream.NewBadRequest("the path is not of X-Service-Class %.64q", name)
	}
	req.Class = class
	wantMethod, hasKey := http.MethodPost, in.Header.Get("Idempotency-Key") != ""
	switch inForce.Settings.Classes[class].Idempotency {
	case balancer.Idempotent:
		wantMethod = http.MethodGet
	case balancer.IdempotentWithKey:
		if !hasKey {
			return downstream.NewBadRequest("Idempotency-Key is missing")
		}
	}
	if in.Method != wantMethod {
		return downstream.NewRequestError(http.StatusMethodNotAllowed, "requests of this class are %s", wantMethod)
	}
	if wantMethod == http.MethodGet && in.ContentLength != 0 {
		return downstream.NewBadRequest("a GET has no body")
	}
	return nil
}

// parseOptionalHeaders sets the fields that come from headers that not every client sends.
func parseOptionalHeaders(h http.Header, inForce *config.Snapshot, req *balancer.Request) error {
	if len(inForce.Tenants) > 0 {
		var ok bool
		if req.Tenant, ok = inForce.Tenants[h.Get("X-Account")]; !ok {
			return downstream.NewBadRequest("X-Account: %.64q is not a known tenant", h.Get("X-Account"))
		}
	}
	if key := h.Get("X-Session-Key"); key != "" {
		req.Key = hashName(key)
	}
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		workMicros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return downstream.NewBadRequest("X-Weight-Hint: %.64q is not a whole number of microseconds", hint)
		}
		req.WorkHint, req.HasWorkHint = int64(workMicros), true
	}
	switch h.Get("X-Repeat") {
	case "1":
		req.ClientRetry = true
	case "", "0":
	default:
		return downstream.NewBadRequest("X-Repeat: %.64q is neither 0 nor 1", h.Get("X-Repeat"))
	}
	return nil
}
