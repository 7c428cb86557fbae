// Package sidecartest provides fakes for the tests of the sidecar's packages: endpoints whose responses a test
// chooses, and disks, clocks, listeners and dials that a test makes fail, jump or block.
//
// The fakes are safe for concurrent use unless their documentation says otherwise. Constructors of fakes that own a
// resource take a *testing.T and release the resource at the end of the test. The package fails a test only if a
// condition is not met in time or a fake cannot be set up. Only tests import it.
package sidecartest
