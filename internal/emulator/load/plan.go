package load

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	defaultMaxInFlight = 1024
	defaultTimeout     = time.Second
)

// Arrivals is the process by which requests arrive.
type Arrivals int

const (
	// Poisson arrivals are random and independent of each other.
	Poisson Arrivals = iota
	// Fixed arrivals are at equal intervals.
	Fixed
)

// Class is a class of requests.
type Class struct {
	Name              string
	Method            string        // GET or POST; empty: GET, or POST with an idempotency key
	HasIdempotencyKey bool          // requests carry an Idempotency-Key
	Timeout           time.Duration // from the intended start to the response; 0: 1 s
	Weight            float64       // relative to the weights of the other classes
}

// Plan describes the load to send.
type Plan struct {
	Targets     []string // host:port of sidecars, or of endpoints if Direct
	Rate        float64  // requests a second over all targets
	Duration    time.Duration
	MaxRequests int // 0: limited by Duration only
	MaxInFlight int // requests at a time; 0: 1024
	Seed        uint64
	Arrivals    Arrivals
	Classes     []Class  // empty: one class of GET requests
	Tenants     []string // empty: one tenant
	// Direct means that the targets are endpoints, to measure what the generator and the machine
	// contribute. No request is resent then, as endpoints count each copy.
	Direct bool
}

// withDefaults validates a plan and fills in defaults.
func (p Plan) withDefaults() (Plan, error) {
	switch {
	case len(p.Targets) == 0:
		return p, errors.New("load: no targets")
	case p.Rate <= 0:
		return p, fmt.Errorf("load: rate %g is not over 0", p.Rate)
	case p.Duration <= 0 && p.MaxRequests <= 0:
		return p, errors.New("load: neither a duration nor a maximum number of requests")
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
			return p, fmt.Errorf("load: class %d has no name or a negative weight", i)
		}
		totalWeight += class.Weight
	}
	if totalWeight <= 0 {
		return p, errors.New("load: no class has a weight")
	}
	p.Classes = classes
	return p, nil
}

// withDefaults fills in defaults.
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
