package sidecar

import (
	"sync"
	"time"
)

// Limits on messages that hold for requests and answers alike.
const (
	maxBodyBytes     = 64 << 20         // bytes of a request's or an answer's body
	maxBufferedBytes = 64 << 10         // bytes of a body that is held whole; of a larger one, the first
	maxPieceBytes    = 32 << 10         // bytes passed on at a time
	pieceTime        = 10 * time.Second // for a peer to take one: a client may read 64 kB a second
)

// pieces are the buffers in which bodies are passed on.
var pieces = sync.Pool{New: func() any { return new([maxPieceBytes]byte) }}
