package balancer

import (
	"errors"
	"fmt"
	"math"
	"testing"
)

// fleet simulates many balancers on one clock, and the endpoints that they share. The latency of an endpoint grows with
// its load.
type fleet struct {
	settings Settings
	simClock
	hosts    []*simulatedHost
	list     []Endpoint
	inFlight map[uint32]int      // requests in flight by endpoint ID
	received map[uint32][]Micros // sending instants of the requests by endpoint ID
	rng      splitMix64
	work     float64 // work of each request in microseconds
}

// simulatedHost is the host of one balancer.
type simulatedHost struct {
	fleet    *fleet
	balancer *Balancer
	attempts map[uint64]int // number of attempts by request ID
}

func newFleet(t *testing.T, s Settings, balancers int, work float64, list []Endpoint) *fleet {
	t.Helper()
	f := &fleet{settings: s, list: list, work: work, inFlight: map[uint32]int{}, received: map[uint32][]Micros{}, rng: 5}
	f.settings.Balancers = balancers
	for i := range balancers {
		host := &simulatedHost{fleet: f, attempts: map[uint64]int{}}
		var err error
		if host.balancer, err = New(f.settings, uint64(i)+1, host); err != nil {
			t.Fatal(err)
		}
		f.hosts = append(f.hosts, host)
		host.balancer.Start(0)
		host.balancer.HandleEndpoints(0, ListCached, list)
		host.balancer.HandleEndpoints(0, ListFull, list)
	}
	return f
}

// startTraffic starts the arrival of requests at a total rate per second, up to the given instant. The load is uneven:
// some balancers get several times as many requests as the others do on average.
func (f *fleet) startTraffic(rate float64, until Micros) {
	id := uint64(0)
	var next func(now Micros)
	next = func(now Micros) {
		id++
		draw := f.rng.uniform()
		host := f.hosts[int(draw*draw*float64(len(f.hosts)))]
		host.balancer.HandleRequest(now, Request{ID: id, Deadline: now + second})
		if now < until {
			f.after(Micros(-math.Log(1-f.rng.uniform())/rate*float64(second)), next)
		}
	}
	f.after(1, next)
}

// warmupFraction returns the share of its capacity that an endpoint has: the least that the contract permits.
func (f *fleet) warmupFraction(id uint32, now Micros) float64 {
	from := f.settings.Contract.SlowStartInitialFraction
	for _, e := range f.list {
		if e.ID == id && e.StartTime != 0 && now >= e.StartTime && now-e.StartTime < f.settings.Contract.SlowStartDuration {
			return from + (1-from)*float64(now-e.StartTime)/float64(f.settings.Contract.SlowStartDuration)
		}
	}
	return 1
}

func (host *simulatedHost) Send(id uint64, endpoint uint32, _ Micros) {
	f, attempt, sentAt := host.fleet, host.attempts[id], host.fleet.now
	host.attempts[id]++
	f.received[endpoint] = append(f.received[endpoint], sentAt)
	f.inFlight[endpoint]++
	latency := Micros(f.work * float64(f.inFlight[endpoint]) / f.warmupFraction(endpoint, sentAt))
	f.after(latency, func(now Micros) {
		f.inFlight[endpoint]--
		host.balancer.HandleOutcome(now, Outcome{
			ID: id, Attempt: attempt, Endpoint: endpoint, Status: OK, Latency: latency, Answered: true,
		})
	})
}

func (host *simulatedHost) Probe(endpoint uint32) {
	host.fleet.after(500, func(now Micros) {
		host.balancer.HandleProbe(now, endpoint, OK, 500, []float32{float32(host.fleet.inFlight[endpoint])})
	})
}

func (host *simulatedHost) StartTimer(delay Micros, token uint32) {
	host.fleet.after(delay, func(now Micros) { host.balancer.HandleTimer(now, token) })
}

func (host *simulatedHost) Reject(uint64, Micros) {}
func (host *simulatedHost) Fail(uint64)           {}
func (host *simulatedHost) Cancel(uint64, int)    {}
func (host *simulatedHost) Watch(bool)            {}
func (host *simulatedHost) Log(string)            {}

// checkWarmingBudget returns the largest share of its budget that any warming endpoint got in any overload window, and
// an error if that share exceeds 1. The budget is n + 2 sqrt(n) + 2 requests, where n is the number that the settings
// permit and the rest is a margin for random variation.
func (f *fleet) checkWarmingBudget() (worst float64, err error) {
	worst, where := f.worstWindow(func(n float64) float64 { return n + 2*math.Sqrt(n) + 2 })
	if worst > 1 {
		err = errors.New(where)
	}
	return worst, err
}

// Whatever the number of balancers, the requests that all of them together send to a warming endpoint must stay within
// its budget. This applies if one endpoint starts alone, if many start one after the other, and if an endpoint is no
// longer cordoned.
func TestAllBalancersTogetherKeepTheWarmingBudget(t *testing.T) {
	warmingRequests := 0
	for _, balancers := range []int{4, 30, 300} {
		for _, work := range []float64{25_000, 150_000} { // microseconds; the less, the more requests are permitted
			for name, start := range map[string]func(f *fleet){
				"one starts": func(f *fleet) { f.startEndpoints(1, 0) },
				"many start one after the other": func(f *fleet) {
					f.startEndpoints(30, 200_000)
				},
				"a late one": func(f *fleet) {
					f.startEndpoints(30, 0)
					f.after(6*second, func(Micros) { f.startEndpoints(1, 0) })
				},
				"one by one after a time without": func(f *fleet) {
					f.startEndpoints(4, 4*second)
				},
				"one is uncordoned": func(f *fleet) {
					for _, host := range f.hosts {
						host.balancer.Cordon(f.now, 1, true, f.now)
					}
					f.after(2*second, func(now Micros) {
						f.list[0].StartTime = now
						for _, host := range f.hosts {
							host.balancer.Cordon(now, 1, false, now)
						}
					})
				},
			} {
				t.Run(fmt.Sprintf("%s, %d balancers, work %.0f ms", name, balancers, work/1000), func(t *testing.T) {
					s := slowStartSettings(work)
					list := uniformList(40)
					f := newFleet(t, s, balancers, work, list)
					f.startTraffic(1.0*40*float64(second)/work, 14*second)
					f.run(4 * second)
					start(f)
					f.run(14 * second)
					worstShare, err := f.checkWarmingBudget()
					if err != nil {
						t.Error(err)
					}
					t.Logf("largest share of a budget in any window: %.2f", worstShare)
					for _, e := range f.list {
						if e.StartTime != 0 {
							warmingRequests += len(f.received[e.ID])
						}
					}
				})
			}
		}
	}
	if warmingRequests < 1000 {
		t.Errorf("the warming endpoints got %d requests in all, want 1000 at least", warmingRequests)
	}
}

// startEndpoints schedules the start of n new endpoints, the first now and each of the others an interval later.
func (f *fleet) startEndpoints(n int, interval Micros) {
	for i := range n {
		f.after(Micros(i)*interval, func(now Micros) {
			id := uint32(len(f.list) + 1)
			f.list = append(f.list, Endpoint{ID: id, Name: uint64(id), Weight: 1, StartTime: now})
			for _, host := range f.hosts {
				host.balancer.HandleEndpoints(now, ListDelta, f.list[len(f.list)-1:])
			}
		})
	}
}

// slowStartSettings returns the settings of a fleet with one class, whose requests have this mean work in microseconds.
func slowStartSettings(work float64) Settings {
	s := testSettings()
	s.Classes = readClass(Micros(6*work), second)
	s.Limits.HedgedRequests = false
	s.Contract.SlowStartInitialFraction, s.Contract.SlowStartDuration = 0.13, 22*second
	s.Contract.OverloadFactor, s.Contract.OverloadWindow = 3, 1_500_000
	return s
}

// uniformList returns n warm endpoints of the same zone and weight.
func uniformList(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Name: uint64(i + 1), Weight: 1}
	}
	return list
}
