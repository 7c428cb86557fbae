package httpmsg

import (
	"sync"
	"time"
)

// Limits on messages that hold for requests and answers alike.
const (
	MaxBodyBytes     = 64 << 20         // bytes of a request's or an answer's body
	MaxBufferedBytes = 64 << 10         // bytes of a body that is held whole; of a larger one, the first
	ChunkBytes       = 32 << 10         // bytes passed on at a time
	ChunkTimeout     = 10 * time.Second // for a peer to take one: a client may read 64 kB a second
)

// ChunkBuffers are the buffers in which bodies are passed on.
var ChunkBuffers = sync.Pool{New: func() any { return new([ChunkBytes]byte) }}
