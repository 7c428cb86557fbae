package sidecar

import (
	"net/http"
	"sync"
	"time"

	"oakproxy/internal/downstream"
)

// openRequest is a client's request from the moment it was read until the last byte of its answer was written.
type openRequest struct {
	id        string // X-Correlation-Id
	class     string
	conn      *downstream.Conn
	arrivedAt time.Time
	deadline  time.Time // when its client's time is up; of an upload, when it is given up

	upload   bool          // its body is passed on while it comes, and its time counts from the last byte
	timeLeft time.Duration // of an upload, from then on
}

func newOpenRequest(in *http.Request, c *downstream.Conn, since, until time.Time) *openRequest {
	return &openRequest{id: in.Header.Get("X-Correlation-Id"), class: in.Header.Get("X-Service-Class"), conn: c,
		arrivedAt: since, deadline: until}
}

// inFlightRequests is the set of open requests, by X-Correlation-Id: no two with one id are open at once.
type inFlightRequests struct {
	mu   sync.Mutex
	byID map[string]*openRequest
}

// add takes a request into the set and reports whether none with its id was there.
func (h *inFlightRequests) add(r *openRequest) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[r.id] != nil {
		return false
	}
	if h.byID == nil {
		h.byID = map[string]*openRequest{}
	}
	h.byID[r.id] = r
	return true
}

// remove takes a request out of the set, unless it has left it already: its answer is written, or its client has left.
func (h *inFlightRequests) remove(r *openRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byID[r.id] == r {
		delete(h.byID, r.id)
	}
}

// all returns the open requests, in no particular order.
func (h *inFlightRequests) all() []*openRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := make([]*openRequest, 0, len(h.byID))
	for _, r := range h.byID {
		list = append(list, r)
	}
	return list
}

// count returns how many requests are open.
func (h *inFlightRequests) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byID)
}

// latestDeadline returns when the time of the last of the open requests is up, given that no body came to its end after
// closed, and whether there is any.
func (h *inFlightRequests) latestDeadline(closed time.Time) (due time.Time, any bool) {
	for _, r := range h.all() {
		until := r.deadline
		if r.upload {
			until = closed.Add(r.timeLeft)
		}
		if until.After(due) {
			due = until
		}
		any = true
	}
	return due, any
}
