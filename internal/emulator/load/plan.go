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

// Arrivals is how requests follow one another.
type Arrivals int

const (
	// Poisson arrivals come at random, independent of each other.
	Poisson Arrivals = iota
	// Fixed arrivals come at equal distances.
	Fixed
)

// Class is a kind of request.
type Class struct {
	Name              string
	Method            string        // GET or POST; empty: GET, or POST if Keyed
	HasIdempotencyKey bool          // has an Idempotency-Key
	Timeout           time.Duration // how long a client waits for the answer; 0: 1 s
	Weight            float64       // of all requests, against the other classes' shares
}

// Plan is what a generator sends.
type Plan struct {
	Targets     []string // host:port of sidecars, or of endpoints if Direct
	Rate        float64  // requests a second over all targets
	Duration    time.Duration
	MaxRequests int // 0: no limit but Duration
	MaxInFlight int // requests at a time; 0: 1024
	Seed        uint64
	Arrivals    Arrivals
	Classes     []Class  // empty: one class of GET requests
	Tenants     []string // empty: one tenant
	// Direct sends to endpoints, to measure the share of the generator and the
	// machine. A request is never sent twice then, as each copy counts there.
	Direct bool
}

// withDefaults checks a plan and fills in what has to have a value.
func (p Plan) withDefaults() (Plan, error) {
	switch {
	case len(p.Targets) == 0:
		return p, errors.New("load: no targets")
	case p.Rate <= 0:
		return p, fmt.Errorf("load: rate %g, must be over 0", p.Rate)
	case p.Duration <= 0 && p.MaxRequests <= 0:
		return p, errors.New("load: neither a duration nor a number of requests")
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
	var shares float64
	for i, class := range p.Classes {
		classes[i] = class.withDefaults()
		if class.Name == "" || class.Weight < 0 {
			return p, fmt.Errorf("load: class %d has no name or a share under 0", i)
		}
		shares += class.Weight
	}
	if shares <= 0 {
		return p, errors.New("load: no class has a share")
	}
	p.Classes = classes
	return p, nil
}

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
