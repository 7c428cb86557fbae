// Package sidecartest has fakes for tests of the sidecar's packages: endpoints whose responses a test writes, and
// disks, clocks, listeners and dials that fail, step or block on request.
//
// Fakes may be used by several goroutines unless they say otherwise. Those that own a resource take a testing.T and
// release it at the end of the test. The package checks nothing by itself and is imported by tests only.
package sidecartest
