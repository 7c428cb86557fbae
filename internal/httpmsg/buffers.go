package httpmsg

import (
	"sync"
	"time"
)

// Limits on messages that apply to both requests and responses.
const (
	// MaxBodyBytes is the maximum size of a body.
	MaxBodyBytes = 64 << 20
	// MaxBufferedBytes is the maximum size of a body that is buffered completely. Of a larger body, at most the first
	// MaxBufferedBytes bytes are buffered.
	MaxBufferedBytes = 64 << 10
	// ChunkBytes is the maximum number of bytes of a body that are forwarded at a time.
	ChunkBytes = 32 << 10
	// smallChunkBytes is the number of bytes that are forwarded at a time if the memory for chunks is used up.
	smallChunkBytes = 2 << 10
	// ChunkTimeout limits how long a peer may take to accept one chunk. A client is allowed to read as slowly as 64 kB per
	// second, and even then accepts a chunk within the timeout.
	ChunkTimeout = 10 * time.Second
)

// chunkPool is a pool of the buffers of ChunkBytes. Its elements have type *[ChunkBytes]byte.
var chunkPool = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}

// Chunk returns a buffer through which a body is forwarded, and a function that the caller must call once it does not
// use the buffer any more. If the memory for chunks is used up, the buffer is a small one.
func (b *MemoryBudgets) Chunk() (buffer []byte, release func()) {
	if !b.Chunks.Reserve(ChunkBytes) {
		return make([]byte, smallChunkBytes), func() {}
	}
	chunk := chunkPool.Get().(*[ChunkBytes]byte)
	return chunk[:], func() {
		chunkPool.Put(chunk)
		b.Chunks.Release(ChunkBytes)
	}
}
