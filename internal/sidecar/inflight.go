package sidecar

import (
	"sync"
	"time"

	"oakproxy/internal/downstream"
)

// openRequest is a client's request from the moment it was read until the last byte of its response was written.
type openRequest struct {
	id        string // X-Correlation-Id
	class     string
	conn      *downstream.Conn
	arrivedAt time.Time
	deadline  time.Time // the client's; of an upload, when it is given up

	isUpload      bool          // its body is streamed, and its client's time counts from the last byte
	timeAfterBody time.Duration // of an upload, from then on
}

func newOpenRequest(x *exchange, deadline time.Time) *openRequest {
	return &openRequest{id: x.in.Header.Get("X-Correlation-Id"), class: x.in.Header.Get("X-Service-Class"),
		conn: x.conn, arrivedAt: x.times.Arrived, deadline: deadline}
}

// inFlightRequests is the set of open requests, by X-Correlation-Id: no two with one id are open at once. Any
// goroutine may use it; the zero value is empty.
type inFlightRequests struct {
	mu   sync.Mutex
	byID map[string]*openRequest
}

// add takes a request into the set and reports whether none with its id was there.
func (f *inFlightRequests) add(r *openRequest) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID[r.id] != nil {
		return false
	}
	if f.byID == nil {
		f.byID = map[string]*openRequest{}
	}
	f.byID[r.id] = r
	return true
}

// remove takes a request out of the set, if it is still there.
func (f *inFlightRequests) remove(r *openRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byID[r.id] == r {
		delete(f.byID, r.id)
	}
}

// all returns the open requests, in no particular order.
func (f *inFlightRequests) all() []*openRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*openRequest, 0, len(f.byID))
	for _, r := range f.byID {
		list = append(list, r)
	}
	return list
}

// count returns how many requests are open.
func (f *inFlightRequests) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// latestDeadline returns the latest deadline of the open requests, and whether there is any. Uploads count as if
// their last byte had come when admission closed: none that comes later is passed on.
func (f *inFlightRequests) latestDeadline(admissionClosedAt time.Time) (latest time.Time, found bool) {
	for _, r := range f.all() {
		deadline := r.deadline
		if r.isUpload {
			deadline = admissionClosedAt.Add(r.timeAfterBody)
		}
		if deadline.After(latest) {
			latest = deadline
		}
		found = true
	}
	return latest, found
}
