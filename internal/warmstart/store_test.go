package warmstart

import (
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/sidecartest"
)

// Guards against a process that starts without the saved estimates, or that uses estimates from a file that is old,
// damaged, of another version or of another sidecar.
func TestSavedEstimatesAreLoaded(t *testing.T) {
	dir := t.TempDir()
	store := NewStore(t.Context(), "n0", config.Host{Directory: dir}, slog.New(slog.DiscardHandler))
	if got := store.Load(0); got != nil {
		t.Errorf("load without a file: got %+v, want nil", got)
	}
	store.Save(1, balancer.Estimates{ServiceTimeRatio: 1.5,
		ClassWork: []balancer.ClassWorkEstimate{{Class: "read", Work: 2}}})
	sidecartest.Await(t, "the file", func() bool { return store.Load(0) != nil })
	if got := store.Load(0); got.ServiceTimeRatio != 1.5 || len(got.ClassWork) != 1 {
		t.Errorf("got loaded estimates %+v, want a service time ratio of 1.5 and one class", got)
	}
	path := filepath.Join(dir, FileName)
	valid, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"cut short": string(valid[:40]), "another sidecar": strings.Replace(string(valid), "n0", "n1", 1),
		"another version": strings.Replace(string(valid), `"version":1`, `"version":2`, 1),
		"old":             regexp.MustCompile(`"up_ms":[0-9]+`).ReplaceAllString(string(valid), `"up_ms":1`),
		"old, no uptime": regexp.MustCompile(`"at_ms":1(.*)"up_ms":[0-9]+`).
			ReplaceAllString(string(valid), `"at_ms":0$1"up_ms":0`),
		"before a reboot": regexp.MustCompile(`"up_ms":[0-9]+`).ReplaceAllString(string(valid), `"up_ms":9000000000000`),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := store.Load(0); got != nil {
			t.Errorf("load of a file that is unusable (%s): got %+v, want nil", name, got)
		}
	}
}
