package load

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	defaultMaxInFlight = 1024        // default of Plan.MaxInFlight
	defaultTimeout     = time.Second // default of Class.Timeout
)

// Arrivals is the arrival process of requests.
type Arrivals int

const (
	// Poisson arrivals are a Poisson process: the times between them are independent and exponentially distributed.
	Poisson Arrivals = iota
	// Fixed arrivals occur at equal intervals.
	Fixed
)

// Class is a class of requests.
type Class struct {
	Name              string
	Method            string        // GET or POST; empty means POST if HasIdempotencyKey is set, and GET otherwise
	HasIdempotencyKey bool          // whether requests carry an Idempotency-Key header
	Timeout           time.Duration // limit on the time from the intended start to the response; 0 means 1 s
	Weight            float64       // relative frequency: the class gets Weight / (sum of all weights) of the requests
}

// Plan describes the load to send.
type Plan struct {
	Targets     []string      // addresses (host:port) of sidecars, or of endpoints if Direct is set
	Rate        float64       // requests per second, over all targets
	Duration    time.Duration // 0 means that only MaxRequests limits the run
	MaxRequests int           // maximum number of requests; 0 means that only Duration limits the run
	MaxInFlight int           // maximum number of requests in flight at the same time; 0 means 1024
	Seed        uint64        // seed of the random choices in the schedule
	Arrivals    Arrivals
	Classes     []Class  // empty means one class of GET requests, named "default"
	Tenants     []string // empty means one tenant, named "default"
	// Direct means that the targets are endpoints. Such a run measures the latency that the generator and the machine
	// contribute. It resends no request, because endpoints count every copy.
	Direct bool
}

// withDefaults validates a plan and returns it with defaults filled in.
func (p Plan) withDefaults() (Plan, error) {
	switch {
	case len(p.Targets) == 0:
		return p, errors.New("load: plan has no targets")
	case p.Rate <= 0:
		return p, fmt.Errorf("load: plan has rate %g, which must be positive", p.Rate)
	case p.Duration <= 0 && p.MaxRequests <= 0:
		return p, errors.New("load: plan sets neither a duration nor a maximum number of requests")
	}
	if p.MaxInFlight <= 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	if len(p.Tenants) == 0 {
		p.Tenants = []string{"default"}
	}
	if len(p.Classes) == 0 {
		p.Classes = []Class{{Name: "default", Weight: 1}}
	}
	classes := make([]Class, len(p.Classes))
	var totalWeight float64
	for i, class := range p.Classes {
		classes[i] = class.withDefaults()
		if class.Name == "" || class.Weight < 0 {
			return p, fmt.Errorf("load: class %d has no name or a negative weight: name %q, weight %g",
				i, class.Name, class.Weight)
		}
		totalWeight += class.Weight
	}
	if totalWeight <= 0 {
		return p, errors.New("load: no class has a positive weight")
	}
	p.Classes = classes
	return p, nil
}

// withDefaults returns the class with defaults filled in.
func (c Class) withDefaults() Class {
	if c.Method == "" && c.HasIdempotencyKey {
		c.Method = http.MethodPost
	}
	if c.Method == "" {
		c.Method = http.MethodGet
	}
	if c.Timeout <= 0 {
		c.Timeout = defaultTimeout
	}
	return c
}
