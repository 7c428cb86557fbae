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

// What one process saves the next one loads. A file that is old, damaged or another sidecar's is ignored.
func TestSavedEstimatesAreLoaded(t *testing.T) {
	dir := t.TempDir()
	store := NewStore(t.Context(), "n0", config.Host{Directory: dir}, slog.New(slog.DiscardHandler))
	if got := store.Load(0); got != nil {
		t.Errorf("without a file: %+v", got)
	}
	store.Save(1, balancer.Estimates{ServiceTimeRatio: 1.5,
		ClassWork: []balancer.ClassWorkEstimate{{Class: "read", Work: 2}}})
	sidecartest.Await(t, "the file", func() bool { return store.Load(0) != nil })
	if got := store.Load(0); got.ServiceTimeRatio != 1.5 || len(got.ClassWork) != 1 {
		t.Errorf("loaded %+v", got)
	}
	path := filepath.Join(dir, FileName)
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"cut short": string(good[:40]), "another sidecar": strings.Replace(string(good), "n0", "n1", 1),
		"another version":  strings.Replace(string(good), `"version":1`, `"version":2`, 1),
		"old":              regexp.MustCompile(`"up_ms":[0-9]+`).ReplaceAllString(string(good), `"up_ms":1`),
		"old, no uptime":   regexp.MustCompile(`"at_ms":1(.*)"up_ms":[0-9]+`).ReplaceAllString(string(good), `"at_ms":0$1"up_ms":0`),
		"of a later start": regexp.MustCompile(`"up_ms":[0-9]+`).ReplaceAllString(string(good), `"up_ms":9000000000000`),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if got := store.Load(0); got != nil {
			t.Errorf("%s: loaded %+v", name, got)
		}
	}
}
