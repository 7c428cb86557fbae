// Package warmstart saves the balancer's estimates, which summarize its measurements (see balancer.Estimates), to a
// file. It loads them in the process that replaces this one, so that the new process need not start without
// measurements.
//
// The file is a cache: losing it costs only some seconds of worse balancing decisions. Writes are therefore neither
// durable nor retried. A file that is unreadable, belongs to another sidecar, has another version or is too old is
// ignored. A reader never sees a partly written file, because each write replaces the file by a rename.
//
// The package does not interpret estimates. It only converts their times to the clock of the process that loads them.
package warmstart
