// Package system wraps the system calls, clocks and file operations that the sidecar needs beyond the standard
// library, and tells errors that pass by themselves from those that stay.
package system
