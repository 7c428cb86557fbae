//go:build go1.25

package config

import (
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"oakproxy/internal/sidecartest"
)

// Many signals in a short time cause only a limited number of reloads, and the last reload reads the file as it is at
// the last signal.
func TestReloadsAreBoundedUnderManySignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	writeFile := func(memoryMB int) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",`+
			`"limits":{"memory_mb":%d,"sockets":256},"settings":%s}`, memoryMB, sidecartest.SettingsText)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		var reloads, lastMemoryMB atomic.Int32
		configs := ReloadOnSignal(path, signals)
		go func() {
			for cfg := range configs {
				reloads.Add(1)
				lastMemoryMB.Store(int32(cfg.Limits.MemoryMB))
			}
		}()
		const fileVersions = 1000
		for i := range fileVersions {
			writeFile(i + 1)
			select { // drops a signal if the buffer is full, as signal.Notify does
			case signals <- syscall.SIGHUP:
			default:
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * reloadInterval)
		if n := reloads.Load(); n < 2 || n > fileVersions*int32(time.Millisecond)/int32(reloadInterval)+2 ||
			lastMemoryMB.Load() != fileVersions {
			t.Errorf("got %d reloads for %d signals, the last of version %d of the file; want 2 to %d, the last of version %d",
				n, fileVersions, lastMemoryMB.Load(), fileVersions*int32(time.Millisecond)/int32(reloadInterval)+2, fileVersions)
		}
		close(signals)
		time.Sleep(reloadInterval)
	})
}
