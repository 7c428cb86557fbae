package config

import (
	"os"
	"runtime/debug"

	"oakproxy/internal/system"
)

// Host describes the resources of its process that a sidecar may use. The zero Host is for a sidecar that shares its
// process with others: the sidecar stores no files and does not change the memory limit of the process.
type Host struct {
	Directory   string            // directory of the files that the processes of one sidecar share; empty to store none
	LimitMemory func(bytes int64) // sets the memory limit of the process; nil if the sidecar must not set it

	Files system.FileOps // file operations; the zero value uses the operating system; tests inject faults here
	Time  system.Clock   // clock; the zero value uses the system clock; tests set a clock whose time they change
}

// OwnProcessHost returns the Host of a sidecar that is alone in its process.
func OwnProcessHost() Host {
	return Host{Directory: os.TempDir(), LimitMemory: func(bytes int64) { debug.SetMemoryLimit(bytes) }}
}
