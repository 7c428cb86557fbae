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

// Any number of signals leads to a bounded number of readings, and the file as it is at the last signal is read.
func TestReadingsAreBoundedUnderManySignals(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(memory int) {
		text := fmt.Sprintf(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1",`+
			`"limits":{"memory_mb":%d,"sockets":256},"settings":%s}`, memory, sidecartest.SettingsText)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal, 1)
		var readings, last atomic.Int32
		configs := ReloadOnSignal(path, signals)
		go func() {
			for cfg := range configs {
				readings.Add(1)
				last.Store(int32(cfg.Limits.MemoryMB))
			}
		}()
		const files = 1000
		for i := range files {
			write(i + 1)
			select { // as the runtime delivers them
			case signals <- syscall.SIGHUP:
			default:
			}
			time.Sleep(time.Millisecond)
		}
		time.Sleep(2 * reloadInterval)
		if n := readings.Load(); n < 2 || n > files*int32(time.Millisecond)/int32(reloadInterval)+2 || last.Load() != files {
			t.Errorf("%d readings for %d signals, the last of file %d", n, files, last.Load())
		}
		close(signals)
		time.Sleep(reloadInterval)
	})
}
