package worker

import "oakproxy/internal/emulator/sidecarlog"

// SidecarCounts holds the counts of the simulated sidecars of a worker, including those that have ended.
type SidecarCounts struct {
	sidecarlog.Counts
	Running      int    // number of sidecars that are running now
	Goroutines   int    // number of goroutines of the worker process
	Failed       uint64 // number of incarnations that ended with an error
	FirstFailure string // name and error of the first failed incarnation found; empty if there is none
}

// Add adds the counts of other sidecars or incarnations to c, except Goroutines.
func (c *SidecarCounts) Add(other SidecarCounts) {
	c.Running += other.Running
	c.Counts.Add(other.Counts)
	c.Failed += other.Failed
	if c.FirstFailure == "" {
		c.FirstFailure = other.FirstFailure
	}
}

// Since returns the increase of the counts since an earlier reading. Running, Goroutines and FirstFailure keep their
// current values.
func (c SidecarCounts) Since(earlier SidecarCounts) SidecarCounts {
	c.Counts = c.Counts.Since(earlier.Counts)
	c.Failed -= earlier.Failed
	return c
}
