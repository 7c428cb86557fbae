// Package warmstart saves a balancer's estimates to a file and loads them in the process that replaces this one, so
// that it does not begin without measurements.
//
// The file is a cache: losing it costs some seconds of worse decisions, no more. Writes are therefore neither durable
// nor retried, and a file that is unreadable, of another sidecar or version, or too old is ignored. A reader still
// never sees part of a file, since each write replaces it by a rename.
//
// The package does not interpret estimates; it only shifts their times to the clock of the process that loads them.
package warmstart
