package httpmsg

import "sync/atomic"

// MemoryBudget bounds the memory that buffered bodies may use, over all requests and responses. Its methods may be
// called concurrently, and its fields be read and written meanwhile.
type MemoryBudget struct {
	// Limit is the maximum of Used in bytes. It may be lowered below Used: reservations then fail until enough is
	// released.
	Limit atomic.Int64
	// Used is the number of bytes reserved. A Reserve that fails adds to it for a moment.
	Used atomic.Int64
}

// NewMemoryBudget returns a budget of maxBytes bytes.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.Limit.Store(maxBytes)
	return b
}

// Reserve reserves n bytes and reports whether the budget had them. Each reservation is ended by one Release.
func (b *MemoryBudget) Reserve(n int64) bool {
	if b.Used.Add(n) > b.Limit.Load() {
		b.Used.Add(-n)
		return false
	}
	return true
}

// Release returns n bytes that Reserve has reserved.
func (b *MemoryBudget) Release(n int64) { b.Used.Add(-n) }
