// Package operatorstate stores the settings that operators make by hand: whether the sidecar is drained, so that
// clients leave it, and which endpoints are cordoned, so that they get no new attempts.
//
// All processes of one sidecar share the state file, because a replacement process runs beside its predecessor for a
// while. The package guarantees:
//
//   - When Store.Update returns nil, the update is on disk and in effect in the calling process.
//   - An update reads, changes and writes the file under one lock, so no process overwrites another's update.
//   - The file is replaced by a rename. A reader sees one complete version, even if a writer is killed.
//   - A read error is treated as transient: the current state stays in effect, and the file is read again later.
//
// The package does not decide how a cordon or a drain affects requests: the owner of a Store supplies the callback
// Store.Apply, which puts the state into effect. The package does not watch the file either: the owner calls
// Store.Refresh every PollInterval.
package operatorstate
