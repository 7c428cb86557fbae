package warmstart

import (
	"encoding/json"
	"fmt"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/system"
)

// FileName is the name of the file with the estimates, in the directory that the processes of one sidecar share.
const FileName = "oakproxy-learned.json"

const (
	fileVersion  = 1
	maxFileBytes = 1 << 20 // that are read of the file

	// maxAge is how old estimates may be. The load of a fleet changes within seconds, and older ones would mislead.
	maxAge = 30 * time.Second
)

// contents is the stored form. Its JSON keys are those of the file.
type contents struct {
	Version   int                `json:"version"`
	Sidecar   string             `json:"sidecar"`  // the name of the sidecar that it belongs to
	AtMS      int64              `json:"at_ms"`    // Unix time of the save in milliseconds
	UpMS      int64              `json:"up_ms"`    // machine uptime then, in milliseconds
	Clock     balancer.Micros    `json:"clock_us"` // the same instant by the clock of the balancer that had the estimates
	Estimates balancer.Estimates `json:"learned"`
}

// parse returns stored contents and their age. It fails on those that are damaged, of another sidecar or version, or
// older than maxAge.
func (s *Store) parse(text []byte) (saved contents, age time.Duration, err error) {
	if err := json.Unmarshal(text, &saved); err != nil {
		return saved, 0, err
	}
	age, known := s.clock.Age(system.Timestamp{UnixMS: saved.AtMS, UptimeMS: saved.UpMS})
	if saved.Version != fileVersion || saved.Sidecar != s.sidecar || !known || age > maxAge {
		return saved, age, fmt.Errorf("version %d of sidecar %q, %v old", saved.Version, saved.Sidecar, age)
	}
	return saved, age, nil
}

// shiftTo moves the times of the estimates to a balancer's clock that shows now, age after they were saved. The
// clocks of two processes may differ by a step.
func (c *contents) shiftTo(now balancer.Micros, age time.Duration) {
	if c.Clock <= 0 {
		return // a file that has no clock, and so no times either
	}
	offset := now - age.Microseconds() - c.Clock
	for i := range c.Estimates.Endpoints {
		c.Estimates.Endpoints[i].MeasuredAt += offset
	}
}
