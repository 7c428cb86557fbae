package httpmsg

import (
	"sync/atomic"
)

// MemoryBudget bounds the memory that bodies may take, over all requests and answers.
type MemoryBudget struct{ Limit, Used atomic.Int64 }

// NewMemoryBudget returns a budget of so many bytes.
func NewMemoryBudget(maxBytes int64) *MemoryBudget {
	b := &MemoryBudget{}
	b.Limit.Store(maxBytes)
	return b
}

func (b *MemoryBudget) Reserve(n int64) bool {
	if b.Used.Add(n) > b.Limit.Load() {
		b.Used.Add(-n)
		return false
	}
	return true
}

func (b *MemoryBudget) Release(n int64) { b.Used.Add(-n) }
