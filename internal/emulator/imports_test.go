// Package emulator_test checks the dependencies between the sidecar and the emulator.
package emulator_test

import (
	"os/exec"
	"strings"
	"testing"
)

// TestSidecarDoesNotDependOnTheEmulator checks that the sidecar's packages depend neither on packages of the emulator
// nor on external modules, which only the emulator requires.
func TestSidecarDoesNotDependOnTheEmulator(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "oakproxy/balancer", "oakproxy/internal/sidecar", "oakproxy/cmd/sidecar")
	output, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range strings.Fields(string(output)) {
		domain, _, _ := strings.Cut(path, "/")
		external := strings.Contains(domain, ".")
		if external || strings.HasPrefix(path, "oakproxy/internal/emulator") {
			t.Errorf("the sidecar depends on %s, want only the standard library and packages outside the emulator", path)
		}
	}
}
