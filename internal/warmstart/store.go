package warmstart

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/system"
)

const (
	FileName      = "oakproxy-learned.json"
	fileVersion   = 1
	maxFileBytes  = 1 << 20
	maxLearnedAge = 30 * time.Second // an older one tells nothing of the fleet as it is
)

// memory keeps what the balancer has learned in a file, for the process that
// replaces this one. To lose it costs some seconds of worse service, no more.
type memory struct {
	path, temporary string
	sidecar         string
	files           system.FileOps
	time            system.Clock
	log             *slog.Logger
	latest          chan fileContents // to be written
}

// fileContents is the file's text.
type fileContents struct {
	Version   int                `json:"version"`
	Sidecar   string             `json:"sidecar"`
	AtMS      int64              `json:"at_ms"`    // Unix time
	UpMS      int64              `json:"up_ms"`    // the same by the machine's uptime
	Clock     balancer.Micros    `json:"clock_us"` // the same by the clock of the balancer that knew it
	Estimates balancer.Estimates `json:"learned"`
}

// NewStore writes what it is given until ctx ends.
func NewStore(ctx context.Context, sidecar string, host config.Host, log *slog.Logger) *memory {
	path := filepath.Join(host.Directory, FileName)
	m := &memory{path: path, temporary: fmt.Sprintf("%s.%d", path, os.Getpid()), sidecar: sidecar,
		files: host.Files.OrSystem(), time: host.Time.OrSystem(), log: log, latest: make(chan fileContents, 1)}
	m.removeLeftovers()
	go func() {
		for {
			select {
			case l := <-m.latest:
				if err := m.write(l); err != nil {
					m.log.Warn("estimates not saved", "error", err)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	return m
}

// Save has it written soon, unless the last is still being written.
func (m *memory) Save(now balancer.Micros, known balancer.Estimates) {
	at := m.time.Now()
	select {
	case m.latest <- fileContents{fileVersion, m.sidecar, at.UnixMS, at.UpMS, now, known}:
	default:
	}
}

func (m *memory) write(l fileContents) error {
	text, err := json.Marshal(l)
	if err != nil {
		return err
	}
	return m.files.ReplaceFile(m.path, m.temporary, text, false)
}

// removeLeftovers removes what processes that were killed while they wrote have left. One that is about to be renamed
// by another process may go, too: it writes the next a second later.
func (m *memory) removeLeftovers() {
	left, err := filepath.Glob(m.path + ".*")
	if err != nil {
		return // the pattern is at fault: the folder has odd characters
	}
	for _, path := range left {
		os.Remove(path)
	}
}

// Load returns what the process before this one knew, by the balancer's clock of now, or nil.
func (m *memory) Load(now balancer.Micros) *balancer.Estimates {
	text, _, err := m.files.ReadFile(m.path, maxFileBytes)
	if err != nil {
		return nil
	}
	var l fileContents
	err = json.Unmarshal(text, &l)
	age, known := m.time.Age(system.Timestamp{UnixMS: l.AtMS, UpMS: l.UpMS})
	if err == nil && (l.Version != fileVersion || l.Sidecar != m.sidecar || !known || age > maxLearnedAge) {
		err = fmt.Errorf("version %d of sidecar %q, %v old", l.Version, l.Sidecar, age)
	}
	if err != nil {
		m.log.Warn("saved estimates ignored", "error", err)
		return nil
	}
	if l.Clock > 0 {
		shift := now - age.Microseconds() - l.Clock // the clocks of two processes may be a step apart
		for i := range l.Estimates.Endpoints {
			l.Estimates.Endpoints[i].MeasuredAt += shift
		}
	}
	return &l.Estimates
}
