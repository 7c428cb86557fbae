package sidecar

import (
	"slices"
	"sync"
	"time"

	"oakproxy/internal/downstream"
)

// openRequest is a client's request from the time when it was read until the last byte of its response is written.
// An upload is a request whose body is streamed: the sidecar forwards it while it arrives.
type openRequest struct {
	id        string // value of X-Correlation-Id
	class     string
	conn      *downstream.Conn
	arrivedAt time.Time
	deadline  time.Time // the client's deadline; for an upload, the time when reading its body is given up

	isUpload      bool          // whether the body is streamed
	timeAfterBody time.Duration // for an upload, time from the body's last byte until the response is due; otherwise 0
}

func newOpenRequest(x *exchange, deadline time.Time) *openRequest {
	return &openRequest{id: x.in.Header.Get("X-Correlation-Id"), class: x.in.Header.Get("X-Service-Class"),
		conn: x.conn, arrivedAt: x.times.Arrived, deadline: deadline}
}

// inFlightRequests is the set of open requests. It has at most one request for each X-Correlation-Id. It is safe for
// concurrent use. The zero value is an empty set.
type inFlightRequests struct {
	mu   sync.Mutex
	byID map[string]*openRequest
}

// add adds a request to the set. If the set already has a request with its id, add changes nothing and returns false.
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

// remove removes a request from the set if the set still contains that request.
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

// count returns the number of open requests.
func (f *inFlightRequests) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

// anyRelaying reports whether the response to an open request has begun and is incomplete.
func (f *inFlightRequests) anyRelaying() bool {
	return slices.ContainsFunc(f.all(), func(r *openRequest) bool { return r.conn.Relaying() })
}

// latestDeadline returns the latest deadline of the open requests, and whether there is an open request. A response
// must begin by the deadline, but may be relayed for longer. The deadline of an upload is computed as if its last byte
// had arrived at admissionClosedAt, because a last byte that arrives later is not forwarded.
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
