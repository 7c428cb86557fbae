// Package handover lets the processes of one sidecar share its listening socket, and see each other while one replaces
// the other.
//
// Its invariants are:
//
//   - A slot has one process at most: that which holds the lock on the slot's file. The kernel drops the lock when the
//     process ends, in whatever way.
//   - A slot's file says that its process is ready only once that process has said so: the next holder clears it.
//   - Closing an inherited listener ends only this process's descriptor. The other processes go on accepting.
//
// On disk a slot is the file oakproxy-process.N in the shared folder, N from 0. It is empty, or holds the word "ready".
// Both are read by processes of other versions and do not change.
//
// The package does not start or stop processes, pass the socket on, or divide the limits of the sidecar among its
// processes.
package handover
