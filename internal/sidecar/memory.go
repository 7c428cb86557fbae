package sidecar

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"peatpost/balancer"
)

const (
	memoryFile    = "oakproxy-learned.json"
	maxLearnedAge = 30 * time.Second // an older one tells nothing of the fleet as it is
)

// memory keeps what the balancer has learned in a file, for the process that
// replaces this one. To lose it costs some seconds of worse service, no more.
type memory struct {
	dir, sidecar string
	log          *slog.Logger
	latest       chan balancer.Learned // to be written
}

// learned is the file's text.
type learned struct {
	Version int              `json:"version"`
	Sidecar string           `json:"sidecar"`
	AtMS    int64            `json:"at_ms"` // Unix time
	Learned balancer.Learned `json:"learned"`
}

// newMemory writes what it is given until ctx ends.
func newMemory(ctx context.Context, sidecar, dir string, log *slog.Logger) *memory {
	m := &memory{dir: dir, sidecar: sidecar, log: log, latest: make(chan balancer.Learned, 1)}
	go func() {
		for {
			select {
			case l := <-m.latest:
				if err := m.write(l); err != nil {
					m.log.Warn("what was learned is not kept", "error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

// keep has it written soon, unless the last is still being written.
func (m *memory) keep(l balancer.Learned) {
	select {
	case m.latest <- l:
	default:
	}
}

func (m *memory) write(l balancer.Learned) error {
	text, err := json.Marshal(learned{stateVersion, m.sidecar, time.Now().UnixMilli(), l})
	if err != nil {
		return err
	}
	return replaceFile(filepath.Join(m.dir, memoryFile), text)
}

// load returns what the process before this one knew, or nil.
func (m *memory) load() *balancer.Learned {
	text, _, err := readFile(filepath.Join(m.dir, memoryFile))
	if err != nil {
		return nil
	}
	var l learned
	err = json.Unmarshal(text, &l)
	age := time.Since(time.UnixMilli(l.AtMS))
	if err == nil && (l.Version != stateVersion || l.Sidecar != m.sidecar || age < 0 || age > maxLearnedAge) {
		err = fmt.Errorf("version %d of sidecar %q, %v old", l.Version, l.Sidecar, age)
	}
	if err != nil {
		m.log.Warn("what was learned is ignored", "error", err)
		return nil
	}
	return &l.Learned
}
