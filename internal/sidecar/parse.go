package sidecar

import (
	"errors"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"

	"oakproxy/balancer"
	"oakproxy/internal/downstream"
)

// rejectInvalid turns a request away, with its connection: what else a client sends
// that gets this much wrong is not worth reading.
func rejectInvalid(w http.ResponseWriter, in *http.Request, err error) {
	code := http.StatusBadRequest
	var b *downstream.RequestError
	if errors.As(err, &b) {
		code = b.StatusCode
	}
	reason := err.Error() + "\n"
	rejectUnread(w, in, finalResponse{code: code, body: []byte(reason),
		header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}, "X-Content-Type-Options": {"nosniff"}}})
}

// singleValueHeaders headers have one value. A second one could be the one that somebody
// else on the way goes by.
var singleValueHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Session-Key",
	"X-Time-Left-Ms", "X-Repeat", "X-Weight-Hint", "Idempotency-Key"}

// hashName makes a number of a name, the same at every sidecar.
func hashName(name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// parseRequest reads the headers of a request.
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
	name := h.Get("X-Service-Class")
	class, ok := inForce.Classes[name]
	if !ok {
		return req, downstream.NewBadRequest("X-Service-Class: %q is not a known class", name)
	}
	if first, _, _ := strings.Cut(strings.TrimPrefix(in.URL.Path, "/"), "/"); first != name {
		return req, downstream.NewBadRequest("the path is not of X-Service-Class %q", name)
	}
	req.Class = class
	method, keyed := http.MethodPost, h.Get("Idempotency-Key") != ""
	switch inForce.Settings.Classes[class].Idempotency {
	case balancer.Idempotent:
		method = http.MethodGet
	case balancer.IdempotentWithKey:
		if !keyed {
			return req, downstream.NewBadRequest("Idempotency-Key is missing")
		}
	}
	if in.Method != method {
		return req, downstream.NewRequestError(http.StatusMethodNotAllowed, "requests of this class are %s", method)
	}
	if method == http.MethodGet && in.ContentLength != 0 {
		return req, downstream.NewBadRequest("a GET has no body")
	}
	left, err := strconv.ParseUint(h.Get("X-Time-Left-Ms"), 10, 63)
	if err != nil {
		return req, downstream.NewBadRequest("X-Time-Left-Ms: %q is not a whole number of milliseconds", h.Get("X-Time-Left-Ms"))
	}
	left = min(left, uint64(maxTimeLeft.Milliseconds()))
	req.Deadline = arrived + int64(left)*1000 - responseMargin.Microseconds()
	if len(inForce.Tenants) > 0 {
		if req.Tenant, ok = inForce.Tenants[h.Get("X-Account")]; !ok {
			return req, downstream.NewBadRequest("X-Account: %q is not a known tenant", h.Get("X-Account"))
		}
	}
	if key := h.Get("X-Session-Key"); key != "" {
		req.Key = hashName(key)
	}
	if hint := h.Get("X-Weight-Hint"); hint != "" {
		micros, err := strconv.ParseUint(hint, 10, 63)
		if err != nil {
			return req, downstream.NewBadRequest("X-Weight-Hint: %q is not a whole number of microseconds", hint)
		}
		req.WorkHint, req.HasWorkHint = int64(micros), true
	}
	switch h.Get("X-Repeat") {
	case "1":
		req.ClientRetry = true
	case "", "0":
	default:
		return req, downstream.NewBadRequest("X-Repeat: %q is neither 0 nor 1", h.Get("X-Repeat"))
	}
	return req, nil
}
