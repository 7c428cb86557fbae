package httpmsg

import (
	"sync"
	"time"
)

// Limits on messages that hold for requests and responses alike.
const (
	// MaxBodyBytes is the maximum size of a body.
	MaxBodyBytes = 64 << 20
	// MaxBufferedBytes is the maximum size of a body that is buffered completely. Of a larger one, as much of its
	// beginning may be buffered.
	MaxBufferedBytes = 64 << 10
	// ChunkBytes is the maximum number of bytes that are forwarded at a time.
	ChunkBytes = 32 << 10
	// ChunkTimeout bounds the time for a peer to take one chunk: a client may read as little as 64 kB a second.
	ChunkTimeout = 10 * time.Second
)

// ChunkBuffers holds the buffers through which bodies are forwarded, as *[ChunkBytes]byte.
var ChunkBuffers = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}
