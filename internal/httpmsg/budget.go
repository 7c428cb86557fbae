package httpmsg

import "sync/atomic"

// MemoryBudget limits the memory that buffered bodies may use in total, over all requests and responses. Its methods
// may be called concurrently, and its fields may be read and written at the same time.
type MemoryBudget struct {
	// Limit is the maximum of Used in bytes. It may be lowered below Used; then reservations fail until enough bytes
	// are released.
	Limit atomic.Int64
	// Used is the number of bytes reserved. A call of Reserve that fails increases it for a moment.
	Used atomic.Int64
}

// NewMemoryBudget returns a budget of maxBytes bytes, none of which is reserved.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.Limit.Store(maxBytes)
	return b
}

// Reserve reserves n bytes if the budget has that many left, and reports whether it did. Each successful Reserve must
// be followed by one Release of the same n.
func (b *MemoryBudget) Reserve(n int64) bool {
	if b.Used.Add(n) > b.Limit.Load() {
		b.Used.Add(-n)
		return false
	}
	return true
}

// Release returns to the budget n bytes that Reserve has reserved.
func (b *MemoryBudget) Release(n int64) { b.Used.Add(-n) }
