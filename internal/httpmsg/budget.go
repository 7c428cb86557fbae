package httpmsg

import "sync/atomic"

// How the memory of a sidecar is divided: each budget has the memory divided by its divisor.
const (
	bodyMemoryDivisor  = 8
	headMemoryDivisor  = 8
	chunkMemoryDivisor = 16
)

// MemoryBudgets are the budgets for all that peers, clients and endpoints can make the sidecar keep. They are separate,
// so that a lack of one kind of memory does not affect messages that need another kind.
type MemoryBudgets struct {
	Bodies MemoryBudget // buffered bodies of responses, and of requests beyond BodyAllowance
	Heads  MemoryBudget // heads of requests and responses beyond HeadAllowance
	Chunks MemoryBudget // buffers of ChunkBytes through which bodies are forwarded
}

// NewMemoryBudgets returns the budgets of a process that may use maxBytes bytes of memory.
func NewMemoryBudgets(maxBytes int64) *MemoryBudgets {
	b := &MemoryBudgets{}
	b.SetMemory(maxBytes)
	return b
}

// SetMemory sets the limits of the budgets for a process that may use maxBytes bytes of memory.
func (b *MemoryBudgets) SetMemory(maxBytes int64) {
	b.Bodies.Limit.Store(maxBytes / bodyMemoryDivisor)
	b.Heads.Limit.Store(maxBytes / headMemoryDivisor)
	b.Chunks.Limit.Store(maxBytes / chunkMemoryDivisor)
}

// MemoryBudget limits the memory of one kind in total, over all requests and responses. Its methods may be called
// concurrently, and its fields may be read and written at the same time.
type MemoryBudget struct {
	// Limit is the maximum of Used in bytes. It may be lowered below Used; then reservations fail until enough bytes
	// are released.
	Limit atomic.Int64
	// Used is the number of bytes reserved. A call of Reserve that fails increases it for a moment.
	Used atomic.Int64
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

// HeadAllowance is the memory in bytes that each head may use without a reservation. It is enough for the requests of
// most clients, so that other heads, which use up the budget, do not affect them. The limits on connections bound the
// sum of the allowances.
const HeadAllowance = 8 << 10

// BodyAllowance is the memory in bytes that the body of each request may use without a reservation, as HeadAllowance is
// for heads.
const BodyAllowance = 4 << 10

// HeadReservation returns the number of bytes to reserve for the part of a head that was scanned.
func HeadReservation(head *HeadScanner) int64 { return max(0, head.Memory()-HeadAllowance) }

// SharedMemory is memory that is used on behalf of several owners. The last one that releases it returns it to its
// budget.
type SharedMemory struct {
	owners  atomic.Int32
	release func()
}

// NewSharedMemory returns memory with one owner. release returns it to its budget.
func NewSharedMemory(release func()) *SharedMemory {
	m := &SharedMemory{release: release}
	m.owners.Store(1)
	return m
}

// Retain adds an owner. The caller must be an owner.
func (m *SharedMemory) Retain() { m.owners.Add(1) }

// Release removes an owner, which must not use the memory any more.
func (m *SharedMemory) Release() {
	if m.owners.Add(-1) == 0 {
		m.release()
	}
}
