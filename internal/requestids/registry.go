package requestids

import (
	"hash/fnv"
	"math/bits"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Retention is the least time for which a strict claim is remembered, however many follow. It is longer than the time for
// which two processes of a sidecar overlap in a replacement.
const Retention = 20 * time.Second

// Result is the result of a claim.
type Result uint8

// The results of a claim.
const (
	Claimed   Result = iota // the id is new: the request may be executed
	Duplicate               // the id was claimed before: the request may have been executed
	Full                    // the id is new, but cannot be remembered: a request that must not run twice must not be sent
)

// A slot of the registry holds one claim, or 0 if it is free:
//
//	bits 24 to 63: part of the hash of the id, never 0
//	bit 23:        whether the claim is strict
//	bits 0 to 22:  machine uptime in seconds at the time of the claim
const (
	slotBytes  = 8
	timeBits   = 23
	timeMask   = 1<<timeBits - 1
	strictFlag = 1 << timeBits
	tagShift   = timeBits + 1
)

// bucketSlots is the number of slots in which the claim of an id may be stored.
const bucketSlots = 32

// minBytes is the least size of a registry.
const minBytes = bucketSlots * slotBytes

// Registry is a set of claimed ids of a fixed size. Its methods may be called concurrently, also by several processes that
// share its memory.
type Registry struct {
	uptime func() time.Duration // time since the machine's start

	allocate sync.Once // guards the first assignment of slots
	bytes    int
	slots    []atomic.Uint64

	mu sync.Mutex // held while a claim is stored; it does not exclude other processes
}

// New returns a registry of at most maxBytes bytes in the memory of this process, outside the heap. The memory is not used
// before the first claim. uptime is the time since the machine's start.
func New(maxBytes int, uptime func() time.Duration) *Registry {
	return &Registry{uptime: uptime, bytes: registryBytes(maxBytes)}
}

// ensureSlots maps the memory of a registry that is not shared, at its first use. If that fails, the registry has room for
// a few claims only.
func (r *Registry) ensureSlots() {
	if r.slots != nil {
		return
	}
	memory, err := syscall.Mmap(-1, 0, r.bytes, syscall.PROT_READ|syscall.PROT_WRITE,
		syscall.MAP_PRIVATE|syscall.MAP_ANON)
	if err != nil {
		r.slots = make([]atomic.Uint64, minBytes/slotBytes)
		return
	}
	r.slots = slotsOf(memory)
	runtime.AddCleanup(r, func(memory []byte) { _ = syscall.Munmap(memory) }, memory)
}

// slotsOf returns mapped memory as slots.
func slotsOf(memory []byte) []atomic.Uint64 {
	return unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(unsafe.SliceData(memory))), len(memory)/slotBytes)
}

// registryBytes returns the size of a registry: the largest power of two that is at most maxBytes.
func registryBytes(maxBytes int) int {
	return 1 << (bits.Len(uint(max(minBytes, maxBytes))) - 1)
}

// Claim claims an id, if it was not claimed before. A claim that is not strict may be forgotten at any time if other
// claims need its slot. A strict one is remembered for Retention at least.
func (r *Registry) Claim(id string, strict bool) Result {
	bucket, tag := r.locate(id)
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		slot, old := findSlot(bucket, tag, now)
		switch {
		case slot == nil && !strict:
			return Claimed // it need not be remembered
		case slot == nil:
			return Full
		case old>>tagShift == tag:
			return Duplicate
		}
		claim := tag<<tagShift | now
		if strict {
			claim |= strictFlag
		}
		if slot.CompareAndSwap(old, claim) {
			return Claimed
		} // another process has changed the slot, perhaps for the same id
	}
}

// Release withdraws the claim of an id, because its request was never executed and never will be.
func (r *Registry) Release(id string) {
	bucket, tag := r.locate(id)
	for i := range bucket {
		if old := bucket[i].Load(); old>>tagShift == tag {
			bucket[i].CompareAndSwap(old, 0)
		}
	}
}

// now returns the machine's uptime in the form in which a slot holds it.
func (r *Registry) now() uint64 { return uint64(r.uptime()/time.Second) & timeMask }

// locate returns the slots in which the claim of an id may be stored, and the part of its hash by which it is found there.
func (r *Registry) locate(id string) (bucket []atomic.Uint64, tag uint64) {
	r.allocate.Do(r.ensureSlots)
	hash := fnv.New64a()
	hash.Write([]byte(id))
	sum := mix(hash.Sum64())
	first := int(sum%uint64(len(r.slots)/bucketSlots)) * bucketSlots
	return r.slots[first : first+bucketSlots], max(1, mix(sum)>>tagShift)
}

// mix is the finalizer of SplitMix64: each bit of the result depends on all bits of x.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// findSlot returns the slot for the claim of an id, and its contents. In order of preference, that is the slot with a
// claim of the same id, a free slot, the oldest claim that is not strict, and the oldest claim beyond Retention. It returns
// nil if there is none. All processes choose the same slot, so that only one of them can claim an id.
func findSlot(bucket []atomic.Uint64, tag, now uint64) (slot *atomic.Uint64, old uint64) {
	best := -1
	for i := range bucket {
		contents := bucket[i].Load()
		if contents>>tagShift == tag {
			return &bucket[i], contents
		}
		if rank := evictionRank(contents, now); rank > best {
			slot, old, best = &bucket[i], contents, rank
		}
	}
	if best < 0 {
		return nil, 0
	}
	return slot, old
}

// evictionRank returns how suitable a slot is for a new claim: the higher, the better, and negative if the slot must not be
// used.
func evictionRank(contents, now uint64) int {
	age := age(contents, now)
	switch {
	case contents == 0:
		return 2 * timeMask
	case contents&strictFlag == 0:
		return timeMask + age
	case age > int(Retention/time.Second):
		return age
	}
	return -1
}

// age returns the age of a claim in seconds. It is 0 if the claim is from the future, by the clock of another process.
func age(contents, now uint64) int {
	age := int((now - contents) & timeMask)
	if age > timeMask/2 {
		return 0
	}
	return age
}
