// Package system wraps the system calls, clocks and file operations that the sidecar needs beyond the standard library,
// and distinguishes transient errors from permanent ones. PauseGate pauses goroutines.
//
// These invariants hold:
//
//   - A system call that a signal interrupts is repeated; callers never see EINTR.
//   - A resource shortage on this machine, such as of descriptors or memory, is not treated as a fault of the peer.
//   - Inspecting a connection consumes none of its bytes.
//   - WithDefaults turns the zero FileOps and the zero Clock into the operations and the clock of the operating system.
//
// The package supports Linux only. It does not log, and it does not depend on requests, endpoints or settings.
package system
