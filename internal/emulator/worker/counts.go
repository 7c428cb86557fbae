package worker

import "oakproxy/internal/emulator/sidecarlog"

// SidecarCounts are the counts of all sidecars that a worker hosts or has hosted.
type SidecarCounts struct {
	sidecarlog.Counts
	Running      int
	Goroutines   int
	Failed       uint64 // sidecars that ended with an error
	FirstFailure string
}

// Add adds the counts of other sidecars or incarnations.
func (c *SidecarCounts) Add(other SidecarCounts) {
	c.Running += other.Running
	c.Counts.Add(other.Counts)
	c.Failed += other.Failed
	if c.FirstFailure == "" {
		c.FirstFailure = other.FirstFailure
	}
}

// Since returns the counts since an earlier reading. What is running is as it is now.
func (c SidecarCounts) Since(earlier SidecarCounts) SidecarCounts {
	c.Counts = c.Counts.Since(earlier.Counts)
	c.Failed -= earlier.Failed
	return c
}
