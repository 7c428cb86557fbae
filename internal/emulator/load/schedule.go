package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// sessionKeyCount is the number of distinct session keys.
const sessionKeyCount = 4096

// request is one request of a schedule.
type request struct {
	startOffset    time.Duration // time from the start of the run to the intended start
	target         string
	class          Class
	tenant         string
	id             string
	sessionKey     string
	idempotencyKey string // value of the Idempotency-Key header; empty if the class has none
}

// schedule generates the requests of a plan in the order of their intended starts. The same plan with the same seed
// yields the same requests.
type schedule struct {
	plan        Plan
	random      *rand.Rand
	totalWeight float64       // sum of the weights of all classes
	count       int           // number of requests generated so far
	offset      time.Duration // time from the start of the run to the intended start of the latest request
}

func newSchedule(plan Plan) *schedule {
	s := &schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0))}
	for _, class := range plan.Classes {
		s.totalWeight += class.Weight
	}
	return s
}

// next returns the next request and true, or false at the end of the plan.
func (s *schedule) next() (request, bool) {
	s.offset += s.interarrival()
	if s.plan.MaxRequests > 0 && s.count >= s.plan.MaxRequests {
		return request{}, false
	}
	if s.plan.Duration > 0 && s.offset >= s.plan.Duration {
		return request{}, false
	}
	s.count++
	next := request{
		startOffset: s.offset,
		target:      s.plan.Targets[s.random.IntN(len(s.plan.Targets))],
		class:       s.pickClass(),
		tenant:      s.plan.Tenants[s.random.IntN(len(s.plan.Tenants))],
		id:          fmt.Sprintf("%016x", s.random.Uint64()),
		sessionKey:  fmt.Sprintf("%016x", s.random.Uint64N(sessionKeyCount)),
	}
	if next.class.HasIdempotencyKey {
		next.idempotencyKey = fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	}
	return next, true
}

// interarrival returns the time from one intended start to the next.
func (s *schedule) interarrival() time.Duration {
	seconds := 1 / s.plan.Rate
	if s.plan.Arrivals == Poisson {
		seconds *= s.random.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

// pickClass returns a random class. The probability of a class is weight / totalWeight.
func (s *schedule) pickClass() Class {
	remaining := s.random.Float64() * s.totalWeight
	for _, class := range s.plan.Classes {
		if remaining -= class.Weight; remaining < 0 {
			return class
		}
	}
	return s.plan.Classes[len(s.plan.Classes)-1]
}
