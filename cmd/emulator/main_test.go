package main

import (
	"os/exec"
	"strings"
	"testing"
	"time"
)

const (
	runVariable       = "EMULATOR_TEST_RUN" // environment variable that makes the test binary run as the program
	smallScenarioFile = "testdata/small.toml"
	awaitTimeout      = 60 * time.Second
)

const loadedPhase = "loaded"

// The program names invalid input in one line on stderr, exits with code 2, and starts no process.
func TestInvalidInputExitsWithCode2(t *testing.T) {
	changed := func(old, replacement string) string { return changedFile(t, old, replacement) }
	for name, test := range map[string]struct {
		arguments []string
		want      string
	}{
		"unknown scenario":       {[]string{"--scenario", "nonesuch"}, "nonesuch"},
		"too many sidecars":      {[]string{"--sidecars", "100000"}, "100000"},
		"no endpoints":           {[]string{"--endpoints", "-1"}, "endpoints"},
		"too many real sidecars": {[]string{"--real", "15"}, "real"},
		"missing program":        {[]string{"--sidecar", "/nonesuch/sidecar"}, "/nonesuch/sidecar"},
		"missing file":           {[]string{"--file", "nonesuch.toml"}, "nonesuch.toml"},
		"unknown flag":           {[]string{"--nonesuch"}, "nonesuch"},
		"unknown key":            {[]string{"--file", changed("history =", "histories =")}, "histories"},
		"unknown kind":           {[]string{"--file", changed(`kind = "zone"`, `kind = "ozone"`)}, "ozone"},
		"out of range":           {[]string{"--file", changed("cell_size = 8", "cell_size = 0")}, "cell_size"},
		"not a duration":         {[]string{"--file", changed(`keep_alive = "60s"`, `keep_alive = "60"`)}, "60"},
		"too much memory":        {[]string{"--file", changed("memory_mb = 2048", "memory_mb = 24000")}, "memory_mb"},
		"not a scenario file":    {[]string{"--file", "main_test.go"}, "main_test.go"},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRun(t, "steady", test.arguments...)
			checkExitCode(t, e.Run(), exitBadInput)
			stderr := e.stderr.String()
			if strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, test.want) || e.stdout.Len() > 0 {
				t.Errorf("got stderr %q and stdout %q, want one line with %q on stderr", stderr, e.stdout.String(), test.want)
			}
			e.checkNothingRemains(t)
		})
	}
}

// The deployed programs depend on no external module and on no package of the emulator.
func TestDeployedProgramsHaveNoExternalDependencies(t *testing.T) {
	list := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}",
		"oakproxy/cmd/sidecar", "oakproxy/cmd/simhost", "oakproxy/balancer")
	output, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(output))
	if len(packages) < 4 {
		t.Errorf("got %d packages %v, want at least 4", len(packages), packages)
	}
	for _, path := range packages {
		if !strings.HasPrefix(path, "oakproxy/") || strings.HasPrefix(path, "oakproxy/internal/emulator") {
			t.Errorf("a deployed program depends on %s", path)
		}
	}
}
