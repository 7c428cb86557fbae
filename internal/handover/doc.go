// Package handover lets the processes of one sidecar share its listening socket, and detect each other while one
// process replaces another. To be detected, each process holds a slot: a locked file in a directory that they share.
//
// The package guarantees:
//
//   - A slot belongs to at most one process: the one that holds the lock on the slot's file. The kernel releases the
//     lock when the process ends, for whatever reason.
//   - A slot's file says "ready" only between the calls of MarkReady and Withdraw by the process that holds the slot.
//     AcquireSlot clears the mark that the previous holder may have left.
//   - Closing an inherited listener closes only this process's descriptor. The other processes continue to accept.
//
// On disk, a slot is the file oakproxy-process.N in the shared directory, where N counts from 0. The file is empty or
// contains the word "ready". Processes of other versions read both the name and the content, so neither may change.
//
// The package does not start or stop processes, pass the socket on, or divide the limits of the sidecar among its
// processes.
package handover
