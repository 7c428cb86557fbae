package load

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// sessionKeys is how many things requests are about.
const sessionKeys = 4096

// request is one request of a schedule.
type request struct {
	after      time.Duration // intended start, from the start of the run
	target     string
	class      Class
	tenant     string
	id         string
	sessionKey string
	key        string // Idempotency-Key; empty where the class has none
}

// schedule makes the requests of a plan, one after the other; the same for the same seed.
type schedule struct {
	plan   Plan
	random *rand.Rand
	shares float64
	made   int
	after  time.Duration
}

func newSchedule(plan Plan) *schedule {
	s := &schedule{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 0))}
	for _, class := range plan.Classes {
		s.shares += class.Share
	}
	return s
}

// next returns the next request, or false once the plan is through.
func (s *schedule) next() (request, bool) {
	s.after += s.gap()
	if s.plan.MaxRequests > 0 && s.made >= s.plan.MaxRequests {
		return request{}, false
	}
	if s.plan.Duration > 0 && s.after >= s.plan.Duration {
		return request{}, false
	}
	s.made++
	next := request{
		after:      s.after,
		target:     s.plan.Targets[s.random.IntN(len(s.plan.Targets))],
		class:      s.class(),
		tenant:     s.plan.Tenants[s.random.IntN(len(s.plan.Tenants))],
		id:         fmt.Sprintf("%016x", s.random.Uint64()),
		sessionKey: fmt.Sprintf("%016x", s.random.Uint64N(sessionKeys)),
	}
	if next.class.Keyed {
		next.key = fmt.Sprintf("%016x%016x", s.random.Uint64(), s.random.Uint64())
	}
	return next, true
}

// gap is the time from one request to the next.
func (s *schedule) gap() time.Duration {
	seconds := 1 / s.plan.Rate
	if s.plan.Arrivals == Poisson {
		seconds *= s.random.ExpFloat64()
	}
	return time.Duration(seconds * float64(time.Second))
}

func (s *schedule) class() Class {
	at := s.random.Float64() * s.shares
	for _, class := range s.plan.Classes {
		if at -= class.Share; at < 0 {
			return class
		}
	}
	return s.plan.Classes[len(s.plan.Classes)-1]
}
