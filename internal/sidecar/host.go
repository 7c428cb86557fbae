package sidecar

import (
	"os"
	"runtime/debug"
)

// Host is what a sidecar may use of the process that it runs in. The zero Host is that of a
// sidecar that shares its process with others: it has no files of its own there, and leaves
// the process's memory limit alone.
type Host struct {
	Directory   string            // of the files that the processes of one sidecar share
	LimitMemory func(bytes int64) // sets the memory limit of the process; may be nil

	Files FileOps // may fail
	Time  Clock   // may be stepped
}

// ownProcess is the host of a sidecar that has its process to itself.
func ownProcess() Host {
	return Host{Directory: os.TempDir(), LimitMemory: func(bytes int64) { debug.SetMemoryLimit(bytes) }}
}
