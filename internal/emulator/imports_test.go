// Package emulator_test checks what the emulator must not touch.
package emulator_test

import (
	"os/exec"
	"strings"
	"testing"
)

// TestSidecarDoesNotDependOnTheEmulator keeps the emulator and what it requires out of
// the sidecar's own packages.
func TestSidecarDoesNotDependOnTheEmulator(t *testing.T) {
	listed, err := exec.Command("go", "list", "-deps", "oakproxy/balancer", "oakproxy/internal/sidecar", "oakproxy/cmd/sidecar").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range strings.Fields(string(listed)) {
		domain, _, _ := strings.Cut(name, "/")
		required := strings.Contains(domain, ".")
		if required || strings.HasPrefix(name, "oakproxy/internal/emulator") {
			t.Errorf("the sidecar depends on %s", name)
		}
	}
}
