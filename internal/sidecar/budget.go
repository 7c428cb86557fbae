package sidecar

import (
	"sync/atomic"
)

// budget bounds the memory that bodies may take, over all requests and answers.
type budget struct{ most, used atomic.Int64 }

// newBudget returns a budget of so many bytes.
func newBudget(maxBytes int64) *budget {
	b := &budget{}
	b.most.Store(maxBytes)
	return b
}

func (b *budget) take(n int64) bool {
	if b.used.Add(n) > b.most.Load() {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.used.Add(-n) }
