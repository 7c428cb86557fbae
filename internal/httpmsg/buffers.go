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
	// ChunkTimeout limits how long a peer may take to accept one chunk. A client is allowed to read as slowly as 64 kB per
	// second, and even then accepts a chunk within the timeout.
	ChunkTimeout = 10 * time.Second
)

// ChunkBuffers is a pool of the buffers through which bodies are forwarded. Its elements have type *[ChunkBytes]byte.
var ChunkBuffers = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}
