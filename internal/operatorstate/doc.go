// Package operatorstate stores what operators have set by hand: whether the sidecar is drained, and which endpoints are
// cordoned.
//
// The processes of one sidecar share the file, since a replacement runs beside its predecessor for a while. These
// invariants hold:
//
//   - An update that returned nil is on disk, and in force in the process that made it.
//   - A change is a read, a modification and a write under one lock, so that no process overwrites another's update.
//   - The file is replaced by a rename. A reader sees one complete version, whenever a writer is killed.
//   - A read error is transient: the state in force stays, and the file is read again later.
//
// The package does not decide what a cordon or a drain means for requests; Store.Apply does that. It does not watch the
// file by itself either: its owner calls Refresh every PollInterval.
package operatorstate
