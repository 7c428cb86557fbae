package endpoint

import "time"

const (
	minColdCapacity  = 0.01       // lower limit of Config.ColdCapacity: cold is at most 100 times slower than warm
	defaultLoadField = "inflight" // value that replaces an empty Config.LoadField
)

// Config configures an endpoint. Zone, MachineKind and Cell describe where the endpoint runs; they do not affect how
// it serves requests.
type Config struct {
	Name        string
	Address     string // listen address; for port 0 the operating system chooses the port
	Zone        string
	MachineKind string
	Cell        uint16

	Cores       int           // number of requests served at the same time; at least 1
	ServiceTime time.Duration // time that each request occupies a core of a warm endpoint
	QueueLimit  int           // maximum number of requests that wait for a core; further ones are rejected
	ReportLoad  bool          // whether responses and the body of /stats contain a load report
	LoadField   string        // name of the in-flight request count in the load report; empty means "inflight"
	IdleTimeout time.Duration // time after which an idle connection is closed; 0 means never

	// WarmUp is the time in which the capacity of a cold endpoint grows linearly from ColdCapacity to full capacity.
	// 0 means that the endpoint is always warm.
	WarmUp time.Duration
	// ColdCapacity is the capacity of an endpoint that has just started cold, as a fraction of its full capacity.
	ColdCapacity float64
	// StartCold makes the first start of the endpoint a cold one. Every restart is cold.
	StartCold bool
}

// withDefaults returns the configuration with defaults filled in and out-of-range values limited to their ranges.
func (c Config) withDefaults() Config {
	c.Cores = max(1, c.Cores)
	if c.LoadField == "" {
		c.LoadField = defaultLoadField
	}
	c.ColdCapacity = min(1, max(minColdCapacity, c.ColdCapacity))
	return c
}

// serviceTimeAt returns the service time of a request that starts to run when sinceStart has passed since the start
// of the incarnation. It is ServiceTime / capacity, where capacity grows linearly from ColdCapacity to 1 over WarmUp.
func (c Config) serviceTimeAt(sinceStart time.Duration) time.Duration {
	if sinceStart >= c.WarmUp {
		return c.ServiceTime
	}
	warmed := float64(sinceStart) / float64(c.WarmUp)
	capacity := c.ColdCapacity + (1-c.ColdCapacity)*warmed
	return time.Duration(float64(c.ServiceTime) / capacity)
}
