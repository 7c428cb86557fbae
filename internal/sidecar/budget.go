package sidecar

import (
	"sync/atomic"
)

// budget bounds the memory that bodies may take, over all requests and answers.
type budget struct{ most, used atomic.Int64 }

// newBudget grants bodies their part of the memory.
func newBudget(cfg *Config) *budget {
	b := &budget{}
	b.most.Store(int64(cfg.Limits.MemoryMB) << 20 / bodiesPart)
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
