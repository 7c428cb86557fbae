package config

import (
	"os"
	"runtime/debug"

	"oakproxy/internal/system"
)

// Host is what a sidecar may use of the process that it runs in. The zero Host is that of a
// sidecar that shares its process with others: it has no files of its own there, and leaves
// the process's memory limit alone.
type Host struct {
	Directory   string            // of the files that the processes of one sidecar share
	LimitMemory func(bytes int64) // sets the memory limit of the process; may be nil

	Files system.FileOps // may fail
	Time  system.Clock   // may be stepped
}

// OwnProcessHost is the host of a sidecar that has its process to itself.
func OwnProcessHost() Host {
	return Host{Directory: os.TempDir(), LimitMemory: func(bytes int64) { debug.SetMemoryLimit(bytes) }}
}
