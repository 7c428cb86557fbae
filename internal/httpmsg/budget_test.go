package httpmsg

import "testing"

// A reservation that exceeds the limit changes nothing, even after the limit was lowered below what is reserved.
func TestMemoryBudgetAdmitsUpToItsLimit(t *testing.T) {
	b := &MemoryBudget{}
	b.Limit.Store(10)
	for _, step := range []struct {
		limit, reserve int64
		want           bool
		used           int64
	}{
		{10, 6, true, 6},
		{10, 5, false, 6},
		{10, 4, true, 10},
		{8, 1, false, 10},
		{11, 1, true, 11},
	} {
		b.Limit.Store(step.limit)
		if got := b.Reserve(step.reserve); got != step.want || b.Used.Load() != step.used {
			t.Errorf("Reserve(%d) with a limit of %d bytes: got %v and %d bytes reserved, want %v and %d",
				step.reserve, step.limit, got, b.Used.Load(), step.want, step.used)
		}
	}
	b.Release(11)
	if used := b.Used.Load(); used != 0 {
		t.Errorf("%d bytes are reserved after all were released, want 0", used)
	}
}
