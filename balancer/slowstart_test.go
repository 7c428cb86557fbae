package balancer

import (
	"fmt"
	"math"
	"testing"
)

// slowStartBudgetWithMargin returns how many requests of mean work a warming endpoint may get if the settings permit
// n: n plus a margin for random variation.
func slowStartBudgetWithMargin(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// worstWindow returns the largest share of its budget that any warming endpoint got in any overload window, and a
// description of that endpoint and window. budget returns how many requests an endpoint may get, with a margin, if the
// settings permit n.
func (f *fleet) worstWindow(budget func(n float64) float64) (worst float64, where string) {
	c := f.settings.Contract
	for id, at := range f.received {
		first := 0
		for i, now := range at {
			for at[first] <= now-c.OverloadWindow {
				first++
			}
			fraction := f.warmupFraction(id, at[first])
			if fraction == 1 {
				continue
			}
			n := c.OverloadFactor * fraction * float64(c.OverloadWindow) / f.work
			got := float64(i - first + 1)
			if share := got / budget(n); share > worst {
				worst = share
				where = fmt.Sprintf("endpoint %d got %.0f requests in the window that ends at %.2f s, where %.1f are permitted",
					id, got, float64(now)/1e6, n)
			}
		}
	}
	return worst, where
}

// restartEndpoints restarts the first n endpoints of the list, all at once.
func (f *fleet) restartEndpoints(n int) {
	for i := range n {
		f.list[i].StartTime = f.now
	}
	for _, host := range f.hosts {
		host.balancer.HandleEndpoints(f.now, ListDelta, f.list[:n])
	}
}

// restartBalancers replaces every balancer by a new one that has received the endpoint list and nothing else. The new
// balancer with index i has the seed seed + i.
func (f *fleet) restartBalancers(t *testing.T, seed uint64) {
	t.Helper()
	for i := range f.hosts {
		host := &simulatedHost{fleet: f, attempts: map[uint64]int{}}
		var err error
		if host.balancer, err = New(f.settings, seed+uint64(i), host); err != nil {
			t.Fatal(err)
		}
		host.balancer.Start(f.now)
		host.balancer.HandleEndpoints(f.now, ListCached, f.list)
		host.balancer.HandleEndpoints(f.now, ListFull, f.list)
		f.hosts[i] = host
	}
}

// smallFleet is a case of TestSmallFleetsKeepTheSlowStartBudget.
type smallFleet struct {
	work               float64 // mean work of a request in microseconds
	balancers          int
	endpoints, warming int
	load               float64 // rate of the work, as a share of the endpoints' capacity
	restartBalancers   bool    // the balancers restart together with the endpoints
}

// smallFleets returns every combination of sizes, loads and restarts.
func smallFleets() (cases []smallFleet) {
	for _, work := range []float64{25_000, 150_000} {
		for _, balancers := range []int{1, 2, 5, 24} {
			for _, endpoints := range []int{2, 5, 12} {
				for _, warming := range []int{1, endpoints / 2, endpoints - 1, endpoints} {
					for _, load := range []float64{0.5, 1, 2.5} {
						for _, restart := range []bool{false, true} {
							cases = append(cases, smallFleet{work, balancers, endpoints, warming, load, restart})
						}
					}
				}
			}
		}
	}
	return cases
}

// In a small fleet, too, no warming endpoint may get more than its budget. The budget must not be exceeded if one
// balancer sends all requests, if nearly all or all endpoints are warming up, or under a burst. Nor may it be exceeded
// if the balancers restart together with the endpoints and so have no estimates.
func TestSmallFleetsKeepTheSlowStartBudget(t *testing.T) {
	const restartAt, end = 4 * second, 12 * second
	for _, c := range smallFleets() {
		name := fmt.Sprintf("%d balancers (restarted %v), %d of %d endpoints warming, load %.1f, work %.0f ms",
			c.balancers, c.restartBalancers, c.warming, c.endpoints, c.load, c.work/1000)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, slowStartSettings(c.work), c.balancers, c.work, uniformList(c.endpoints))
			f.startTraffic(c.load*float64(c.endpoints)*float64(second)/c.work, end)
			f.run(restartAt)
			f.restartEndpoints(c.warming)
			if c.restartBalancers {
				f.restartBalancers(t, 100)
			}
			f.run(end)
			worst, where := f.worstWindow(slowStartBudgetWithMargin)
			if worst > 1 {
				t.Errorf("a warming endpoint got %.2f of its budget, want 1 at most: %s", worst, where)
			}
			t.Logf("largest share of a budget in any window: %.2f: %s", worst, where)
		})
	}
}

// A balancer may send a request to a warming endpoint only if its token bucket contains the tokens for it. With little
// traffic, the bucket takes minutes to collect the tokens of one request. Therefore, not all balancers may start with
// an empty bucket.
func TestQuietBalancersTogetherServeWarmingEndpoints(t *testing.T) {
	const balancers = 200
	allowed := 0
	for seed := range balancers {
		b, err := New(testSettings(), uint64(seed), &recorder{})
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.HandleEndpoints(0, ListCached, readyEndpoints(10))
		for i := range Micros(10) {
			b.slowStart.sentWorkRate.add(i*second, 80_000) // one request of 80,000 us of work per second
		}
		b.HandleEndpoints(10*second, ListDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: 10 * second}})
		for i := range Micros(6) {
			b.slowStart.sentWorkRate.add((10+i)*second, 80_000)
			b.slowStart.maySend((10+i)*second, b.membership.byID[11], 80_000)
		}
		if b.slowStart.maySend(15*second, b.membership.byID[11], 80_000) {
			allowed++
		}
	}
	// In 5 s, a warm endpoint gets half a request from each balancer. A warming endpoint may get overloadFactorShare x
	// OverloadFactor x f = 0.7 f times as many, which is 0.35 f requests. Its warm-up fraction f rises here from 0.2
	// to 0.6.
	if allowed < 5 || allowed > 60 {
		t.Errorf("%d of %d balancers with little traffic may send to a warming endpoint within 5 s, want 5 to 60",
			allowed, balancers)
	}
}

// A balancer with few requests doesn't collect enough tokens to send a request to every warming endpoint. Many such
// balancers must together still use the capacity of the warming endpoints, and send none of them too many requests.
func TestManyQuietBalancersUseWarmingEndpoints(t *testing.T) {
	const warm, warming, balancers = 20, 20, 80
	counts := map[uint32]int{} // requests by endpoint ID since the warming endpoints were listed
	for seed := range uint64(balancers) {
		countSendsOfQuietBalancer(t, seed, balancers, warm, warming, counts)
	}
	var total, largest int
	for id, n := range counts {
		if id > warm {
			total += n
			largest = max(largest, n)
		}
	}
	// The balancers together get 800 requests per second, which are 40 per second at each of the 20 warm endpoints.
	// The fair share of a warming endpoint is this rate times its warm-up fraction, which rises from 0.2 to 0.44 in
	// these 3 s, with a mean of 0.32.
	fair := 0.32 * 40 * 3
	if got := float64(total) / warming; got < 0.3*fair || got > fair {
		t.Errorf("%.1f requests per warming endpoint on average, want %.1f to %.1f", got, 0.3*fair, fair)
	}
	if float64(largest) > 2*fair {
		t.Errorf("one warming endpoint got %d requests, want %.1f at most, twice its fair share", largest, 2*fair)
	}
}

// countSendsOfQuietBalancer sends ten requests per second to one balancer: for 5 s with only the warm endpoints in its
// list, then for 3 s with the warming ones, too. It adds the requests of those 3 s to counts, by endpoint ID. The warm
// endpoints report a load of 3.
func countSendsOfQuietBalancer(t *testing.T, seed uint64, balancers, warm, warming int, counts map[uint32]int) {
	t.Helper()
	s := testSettings()
	s.Balancers = balancers
	r := &recorder{}
	b, err := New(s, seed, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.HandleEndpoints(0, ListCached, readyEndpoints(warm))
	id := uint64(0)
	run := func(from, to Micros) {
		for now := from; now < to; now += second / 10 {
			for _, e := range b.membership.endpoints {
				if id%uint64(warm+warming) == uint64(e.ID)%uint64(warm+warming) {
					load := 3 * float32(indicator(int(e.ID) <= warm))
					b.HandleProbe(now, e.ID, OK, 500, []float32{load})
				}
			}
			id++
			sends := len(r.sends)
			b.HandleRequest(now, testRequest(id, 0, now))
			for _, s := range r.sends[sends:] {
				if from > 0 {
					counts[s.endpoint]++
				}
				b.HandleOutcome(now, Outcome{
					ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: 100_000, Answered: true,
				})
			}
		}
	}
	run(0, 5*second)
	var added []Endpoint
	for i := range warming {
		added = append(added, Endpoint{ID: uint32(warm + 1 + i), Weight: 1, StartTime: 5 * second})
	}
	b.HandleEndpoints(5*second, ListDelta, added)
	run(5*second, 8*second)
}

// If warming endpoints answer as quickly as warm ones, they get more requests, after enough answers, than their
// guaranteed warm-up fraction permits. If they answer slowly, they get little more.
func TestWarmingShareFollowsMeasuredLatency(t *testing.T) {
	// tokensAfter returns the tokens that the bucket gains in 0.1 s, after a warming endpoint has given this number of
	// answers with this latency.
	tokensAfter := func(answers int, latency Micros) float64 {
		s := testSettings()
		s.Balancers = 1
		b, _ := startBalancer(t, s, readyEndpoints(10))
		now := Micros(0)
		serve := func(e *endpoint, latency Micros) {
			r := b.ledger.newRequest(now, testRequest(uint64(now)+1, 0, now))
			r.work = 80_000
			a := attempt{endpoint: e, sentAt: now, warming: e.warming, queueingFactor: 1, predictedWithoutTrend: r.work}
			b.estimates.learnServiceTime(now+latency, r, &a, latencySample{latency: float64(latency)})
			now += 1000
		}
		for _, e := range b.membership.endpoints {
			serve(e, 80_000)
		}
		b.HandleEndpoints(now, ListDelta, []Endpoint{{ID: 11, Weight: 1, StartTime: now}})
		warming := b.membership.byID[11]
		warming.serviceTimeRatio = newEWMA(1)
		for range answers {
			serve(warming, latency)
		}
		b.slowStart.tokens, b.slowStart.tokensAt = 0, now
		b.slowStart.sentWorkRate = decayingRate{10_000_000, now}
		b.slowStart.refill(now+second/10, 1)
		return b.slowStart.tokens
	}
	initial := tokensAfter(0, 0)
	if few := tokensAfter(2, 80_000); few < initial || few > 1.3*initial {
		t.Errorf("%v tokens after two quick answers, want %v to %v", few, initial, 1.3*initial)
	}
	if quick := tokensAfter(60, 80_000); quick < 1.5*initial || quick > 2.1*initial {
		t.Errorf("%v tokens after 60 quick answers, want %v to %v", quick, 1.5*initial, 2.1*initial)
	}
	if slow := tokensAfter(60, 400_000); slow > 1.4*initial {
		t.Errorf("%v tokens after 60 slow answers, want %v at most", slow, 1.4*initial)
	}
}

// A warming endpoint that gets no requests because it is too busy or too far away must not block other warming
// endpoints.
func TestBusyWarmingEndpointDoesNotBlockOthers(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	b, r := startBalancer(t, s, readyEndpoints(1))
	now := Micros(0)
	b.slowStart.sentWorkRate = decayingRate{10_000_000, now}
	b.HandleEndpoints(now, ListDelta, []Endpoint{{ID: 2, Weight: 1, StartTime: 1}, {ID: 3, Weight: 1, StartTime: 1}})
	received := map[uint32]int{}
	for id := range uint64(200) {
		now += 20_000
		b.slowStart.sentWorkRate = decayingRate{10_000_000, now} // keeps the rate constant, even if requests are rejected
		for e, load := range []float32{40, 40, 0} {
			b.HandleProbe(now, uint32(e+1), OK, 1000, []float32{load})
		}
		sends := len(r.sends)
		b.HandleRequest(now, testRequest(id+1, 0, now))
		for _, s := range r.sends[sends:] {
			received[s.endpoint]++
			o := Outcome{ID: s.id, Endpoint: s.endpoint, Status: OK, Latency: 80_000, Answered: true}
			if s.endpoint != 3 {
				o.Status, o.Latency = Timeout, second
			}
			b.HandleOutcome(now, o)
		}
	}
	if received[3] < 20 {
		t.Errorf("sends by endpoint %v, want 20 at least at endpoint 3, which is idle", received)
	}
}

// warmingSends has a balancer handle requests at a constant rate per second. It returns the number of requests to each
// warming endpoint in the overload window that begins with their start, and the mean number to each of ten warm
// endpoints in the same window.
func warmingSends(t *testing.T, rate, warmingEndpoints int) (warming []int, warm float64) {
	t.Helper()
	s := testSettings()
	list := readyEndpoints(10)
	b, r := startBalancer(t, s, list)
	id, seen := uint64(0), 0
	counts := map[uint32]int{}
	run := func(from, to Micros) {
		for now := from; now < to; now += second / Micros(rate) {
			for e := range uint32(12) {
				b.HandleProbe(now, e+1, OK, 500, []float32{0})
			}
			id++
			b.HandleRequest(now, testRequest(id, 0, now))
			for ; seen < len(r.sends); seen++ {
				counts[r.sends[seen].endpoint]++
				b.HandleOutcome(now, Outcome{ID: r.sends[seen].id, Endpoint: r.sends[seen].endpoint, Status: OK,
					Latency: 30_000, Answered: true})
			}
		}
	}
	run(0, 5*second)
	clear(counts)
	for i := range warmingEndpoints {
		b.HandleEndpoints(5*second, ListDelta, []Endpoint{{ID: uint32(11 + i), State: Ready, StartTime: 5 * second}})
	}
	run(5*second, 6*second)
	for e, n := range counts {
		if e >= 11 {
			warming = append(warming, n)
		} else {
			warm += float64(n) / 10
		}
	}
	return warming, warm
}

// A warming endpoint that got as many requests as a warm one could be overloaded. It must get at most the share that
// its warm-up fraction permits.
func TestWarmingEndpointGetsItsSlowStartShare(t *testing.T) {
	for _, c := range []struct{ rate, warmingEndpoints int }{{100, 1}, {500, 1}, {500, 2}, {2000, 2}} {
		warming, warm := warmingSends(t, c.rate, c.warmingEndpoints)
		for _, n := range warming {
			// The warm-up fraction rises from 0.2 to 0.28 in this second. One request more allows for rounding.
			if float64(n) > 0.28*warm+1 {
				t.Errorf("rate %d/s: a warming endpoint got %d requests, want %.1f at most; a warm one got %.1f",
					c.rate, n, 0.28*warm+1, warm)
			}
		}
	}
}

// If the only endpoint restarts, the slow start must limit its requests, but must not block all of them for lack of a
// warm endpoint.
func TestSingleEndpointRestarts(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(1)[:1])
	b.HandleEndpoints(second, ListDelta, []Endpoint{{ID: 1, State: Ready, StartTime: second}})
	for i := range uint64(400) {
		now := second + Micros(i)*10_000
		b.HandleRequest(now, testRequest(i, 0, now))
		if n := len(r.sends); n > 0 && b.ledger.requests[i] != nil {
			b.HandleOutcome(now, Outcome{ID: i, Endpoint: 1, Status: OK, Latency: 10_000, Answered: true})
		}
	}
	if n := len(r.sends); n < 20 || n > 250 {
		t.Errorf("%d of 400 requests sent to the only endpoint, which is warming up; want 20 to 250", n)
	}
}
