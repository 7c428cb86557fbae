// Package system wraps the system calls, clocks and file operations that the sidecar needs beyond the standard library,
// and tells transient errors from permanent ones.
//
// These invariants hold:
//
//   - A system call that a signal interrupts is made again; EINTR reaches no caller.
//   - A shortage of this machine, such as of descriptors or memory, is not taken for a fault of the other side.
//   - Looking at a connection reads none of its bytes.
//   - The zero FileOps and the zero Clock stand for the system's own, once OrSystem has filled them.
//
// The package supports Linux only. It does not log, and knows nothing of requests, endpoints or settings.
package system
