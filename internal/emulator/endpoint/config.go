package endpoint

import "time"

const (
	minColdCapacity  = 0.01 // limits how slow a cold endpoint is
	defaultLoadField = "inflight"
)

// Config describes an endpoint. Zone, MachineKind and Cell only describe its place.
type Config struct {
	Name        string
	Address     string // to listen on; with port 0 the system chooses one
	Zone        string
	MachineKind string
	Cell        uint16

	Cores       int           // requests served at a time; at least 1
	ServiceTime time.Duration // of each request on a core
	QueueLimit  int           // requests that may wait for a core; any more are rejected
	ReportLoad  bool          // responses and /stats carry a load report
	LoadField   string        // name of the requests in flight in the load report; empty: inflight
	IdleTimeout time.Duration // after which an idle connection is closed; 0: never

	// A cold endpoint starts with ColdCapacity, a fraction of its full capacity, and warms up
	// linearly to all of it over WarmUp. 0: always warm.
	WarmUp       time.Duration
	ColdCapacity float64
	// StartCold makes the first start cold. Restarts always are.
	StartCold bool
}

// withDefaults fills in defaults and limits values to their ranges.
func (c Config) withDefaults() Config {
	c.Cores = max(1, c.Cores)
	if c.LoadField == "" {
		c.LoadField = defaultLoadField
	}
	c.ColdCapacity = min(1, max(minColdCapacity, c.ColdCapacity))
	return c
}

// serviceTimeAt returns the service time of a request that begins this long after the start.
func (c Config) serviceTimeAt(sinceStart time.Duration) time.Duration {
	if sinceStart >= c.WarmUp {
		return c.ServiceTime
	}
	warmed := float64(sinceStart) / float64(c.WarmUp)
	capacity := c.ColdCapacity + (1-c.ColdCapacity)*warmed
	return time.Duration(float64(c.ServiceTime) / capacity)
}
