package endpoint

import "time"

const (
	minShare         = 0.01 // bounds how slow a cold endpoint is
	defaultLoadField = "inflight"
)

// Config describes an endpoint.
type Config struct {
	Name    string
	Address string // to listen on; with port 0 the system picks one
	Site    string
	Class   string
	Block   uint16

	Cores       int           // requests served at a time; at least 1
	ServiceTime time.Duration // of each request on a core
	QueueLimit  int           // requests that wait for a core; any more are turned away
	ReportLoad  bool          // answers and /stats tell the load
	LoadField   string        // what the load report calls the requests in flight; empty: inflight
	IdleTimeout time.Duration // after which an idle connection is closed; 0: never

	// From its start an endpoint that is cold has ColdShare of its capacity, which
	// grows linearly to all of it over WarmUp. 0: always warm.
	WarmUp    time.Duration
	ColdShare float64
	// StartCold makes the first start a cold one; restarts always are.
	StartCold bool
}

// withDefaults fills in what has to have a value.
func (c Config) withDefaults() Config {
	c.Cores = max(1, c.Cores)
	if c.LoadField == "" {
		c.LoadField = defaultLoadField
	}
	c.ColdShare = min(1, max(minShare, c.ColdShare))
	return c
}

// serviceTimeAt is the time a request takes that begins so long after the start.
func (c Config) serviceTimeAt(sinceStart time.Duration) time.Duration {
	if sinceStart >= c.WarmUp {
		return c.ServiceTime
	}
	warmed := float64(sinceStart) / float64(c.WarmUp)
	share := c.ColdShare + (1-c.ColdShare)*warmed
	return time.Duration(float64(c.ServiceTime) / share)
}
