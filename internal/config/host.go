package config

import (
	"os"
	"runtime/debug"

	"oakproxy/internal/system"
)

// Host is what a sidecar may use of the process that it runs in. The zero Host is for a sidecar that shares its process
// with others: it stores no files, and does not change the memory limit of the process.
type Host struct {
	Directory   string            // of the files that the processes of one sidecar share; empty: it stores none
	LimitMemory func(bytes int64) // sets the memory limit of the process; nil: the limit is not the sidecar's to set

	Files system.FileOps // the zero value uses the system's; tests inject faults
	Time  system.Clock   // the zero value uses the system's; tests step it
}

// OwnProcessHost returns the host of a sidecar that has its process to itself.
func OwnProcessHost() Host {
	return Host{Directory: os.TempDir(), LimitMemory: func(bytes int64) { debug.SetMemoryLimit(bytes) }}
}
