package warmstart

import (
	"encoding/json"
	"fmt"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/system"
)

// FileName is the name of the file that holds the estimates, in the directory that the processes of a sidecar share.
const FileName = "oakproxy-learned.json"

const (
	fileVersion  = 1       // version of the file format
	maxFileBytes = 1 << 20 // limit on the bytes read from the file

	// maxAge is the maximum age of saved estimates. The load of a fleet changes within seconds, so older estimates would
	// mislead the balancer.
	maxAge = 30 * time.Second
)

// fileContents is the content of the file, which is stored as JSON.
type fileContents struct {
	Version       int                `json:"version"`
	Sidecar       string             `json:"sidecar"`  // name of the sidecar that the estimates belong to
	SavedUnixMS   int64              `json:"at_ms"`    // Unix time of the save in milliseconds
	SavedUptimeMS int64              `json:"up_ms"`    // machine uptime at the save in milliseconds
	Clock         balancer.Micros    `json:"clock_us"` // time of the save in µs, on the clock of the saving balancer
	Estimates     balancer.Estimates `json:"learned"`
}

// parse returns the content of a file and its age. It returns an error if the content is damaged, belongs to another
// sidecar, has another version, has an unknown age, or is older than maxAge.
func (s *Store) parse(text []byte) (saved fileContents, age time.Duration, err error) {
	if err := json.Unmarshal(text, &saved); err != nil {
		return saved, 0, err
	}
	age, known := s.clock.Age(system.Timestamp{UnixMS: saved.SavedUnixMS, UptimeMS: saved.SavedUptimeMS})
	if saved.Version != fileVersion || saved.Sidecar != s.sidecar || !known || age > maxAge {
		return saved, age, fmt.Errorf("got version %d of sidecar %q, age %v (known: %v), "+
			"want version %d of sidecar %q, age at most %v",
			saved.Version, saved.Sidecar, age, known, fileVersion, s.sidecar, maxAge)
	}
	return saved, age, nil
}

// shiftTo converts the times of the estimates to the clock of this process's balancer. now is the time on that clock,
// and age is the time since the save. The clocks of two processes may differ by a constant offset.
func (c *fileContents) shiftTo(now balancer.Micros, age time.Duration) {
	if c.Clock <= 0 {
		return // a file without a time on the balancer's clock has no times to convert
	}
	offset := now - age.Microseconds() - c.Clock
	for i := range c.Estimates.Endpoints {
		c.Estimates.Endpoints[i].MeasuredAt += offset
	}
}
