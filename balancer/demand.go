package balancer

import "math"

// Demand: classes and tenants, what is known of each, and the priority of a request.

const (
	// quotaTolerance is the factor by which a tenant may exceed its quota, measured by this balancer's traffic
	// alone, before it counts as over it: with it, a share of up to 1 - 1/1.25 rejected lowers no priority.
	quotaTolerance = 1.25

	// worstWindowGain is by how much more a priority weight counts in the goal's worst windows than overall:
	// requests are rejected in just those.
	worstWindowGain = 4.0

	initialWorkDivisor = 5 // of its latency objective: a class's work until the first sample

	minWorkShare      = 0.05 // of all work: lower bound of a class's share, by which its gain is divided
	servedInTimeScale = 0.1  // lead in the share served in time that lowers a class's gain by a factor of e
)

// demand is what clients ask for: the classes and tenants in force, and the rate of requests.
type demand struct {
	*environment
	classes       []*class // in the order of the settings
	tenants       []*tenant
	requestRate   decayingRate
	rejectedShare ewma // share of requests rejected at arrival
}

// class is a class with what is known of it. A changed definition makes another class, which shares the
// statistics of the earlier one of the same name.
type class struct {
	Class
	*classStats
}

// tenant is a tenant with the rate of its requests.
type tenant struct {
	Tenant
	*decayingRate
}

// classStats is what a balancer knows of a class.
type classStats struct {
	work              ewma // mean service time in microseconds of a request at an endpoint without load
	requestRate       decayingRate
	servedInTime      ewma   // share answered within the latency objective
	lastTrialAt       Micros // latest request sent as a trial although it seemed too late
	tooLateSinceTrial int    // requests that seemed too late since then
}

func newDemand(env *environment) demand {
	return demand{environment: env, rejectedShare: newEWMA(0)}
}

// configure takes up new classes and tenants. What is known of those of the same names stays.
func (d *demand) configure(s *Settings) {
	classes := make([]*class, len(s.Classes))
	for i, definition := range s.Classes {
		classes[i] = d.classFor(definition)
	}
	tenants := make([]*tenant, len(s.Tenants))
	for i, definition := range s.Tenants {
		tenants[i] = &tenant{definition, &decayingRate{}}
	}
	rates := make(map[string]*decayingRate, len(d.tenants))
	for _, t := range d.tenants {
		rates[t.Name] = t.decayingRate
	}
	for _, t := range tenants {
		if rate, ok := rates[t.Name]; ok {
			t.decayingRate = rate
		}
	}
	d.classes, d.tenants = classes, tenants
}

// rate is the rate of requests a second.
func (d *demand) rate(now Micros) float64 { return d.requestRate.rate(now) }

// rejected is the recent share of requests rejected at arrival.
func (d *demand) rejected() float64 { return d.rejectedShare.value }

// referenceWork is the mean work of the first class in microseconds, the unit where no request is at hand.
func (d *demand) referenceWork() float64 { return d.classes[0].work.value }

// recordArrival counts a request.
func (d *demand) recordArrival(now Micros, r *request) {
	d.requestRate.add(now, 1)
	r.class.requestRate.add(now, 1)
	if r.tenant != nil {
		r.tenant.add(now, 1)
	}
}

// recordDecision counts whether a request was sent or rejected at arrival.
func (d *demand) recordDecision(sent bool) { d.rejectedShare.add(indicator(!sent), shareSampleWeight) }

// classNamed returns the class in force of this name, or nil.
func (d *demand) classNamed(name string) *class {
	for _, c := range d.classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// classFor returns a class as defined, with what is known of the one of its name.
func (d *demand) classFor(definition Class) *class {
	inForce := d.classNamed(definition.Name)
	switch {
	case inForce == nil:
		work := newEWMA(float64(definition.LatencyObjective) / initialWorkDivisor)
		return &class{definition, &classStats{work: work}}
	case inForce.Class == definition:
		return inForce
	}
	return &class{definition, inForce.classStats}
}

// resolveClass returns the class and the tenant that a request names by position. The class is nil if there
// is none at its position, the tenant likewise.
func (d *demand) resolveClass(in *Request) (*class, *tenant) {
	s := in.ReceivedUnder
	if s == nil {
		s = &d.settings
	}
	if int(in.Class) >= len(s.Classes) {
		return nil, nil
	}
	if in.ReceivedUnder == nil {
		return d.classes[in.Class], d.tenantAt(int(in.Tenant))
	}
	var owner *tenant
	if int(in.Tenant) < len(s.Tenants) {
		owner = d.tenantNamed(s.Tenants[in.Tenant].Name)
	}
	return d.classFor(s.Classes[in.Class]), owner
}

// tenantAt returns the tenant in force at a position of the settings, or nil.
func (d *demand) tenantAt(position int) *tenant {
	if position >= len(d.tenants) {
		return nil
	}
	return d.tenants[position]
}

// tenantNamed returns the tenant in force of this name, or nil.
func (d *demand) tenantNamed(name string) *tenant {
	for _, t := range d.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// priority ranks r's class and tenant from 0 to 1 by what the goal gains from a unit of their work: by the
// priority weight of the class, and higher the closer it is to being the class that is served worst.
func (d *demand) priority(now Micros, r *request) float64 {
	var work, weight float64
	worst := 1.0
	for _, c := range d.classes {
		rate := c.requestRate.rate(now)
		work += rate * c.work.value
		weight += rate * d.requestWeight(c)
		worst = min(worst, c.servedInTime.valueOr(1))
	}
	top, own := 0.0, -1.0 // own stays negative for a class that is no longer in force
	for _, c := range d.classes {
		workShare := c.requestRate.rate(now) * c.work.value / work
		goal := d.settings.Goal.Overall + worstWindowGain*d.settings.Goal.WorstWindow
		gain := goal * d.requestWeight(c) / c.work.value * work / weight
		gain += d.settings.Goal.WorstClass / max(minWorkShare, workShare) *
			math.Exp((worst-c.servedInTime.valueOr(1))/servedInTimeScale)
		top = max(top, gain)
		if c.classStats == r.class.classStats {
			own = gain
		}
	}
	if !(top > 0) || own < 0 { // !(top > 0) holds for NaN, too
		return 1 // no weight is set, or the class is no longer in force
	}
	return own / top * d.tenantPriority(now, r)
}

// tenantPriority ranks r's tenant from 0 to 1: the mean weight of its requests, of which those over its quota
// weigh OverQuotaWeight, over that of the tenant with the largest.
//
// Only this balancer's traffic and rejections are known. The total demand is taken to exceed the sum of the
// quotas by the factor by which it exceeds what is admitted here. The rank is relative because a factor
// common to all tenants would reject more requests, and so lower all of them again.
func (d *demand) tenantPriority(now Micros, r *request) float64 {
	if r.tenant == nil {
		return 1
	}
	var requested, quota, top float64
	own := d.settings.OverQuotaWeight // a tenant that is no longer in force has no quota
	for _, t := range d.tenants {
		requested += t.rate(now)
		quota += t.QuotaRate
	}
	if quota <= 0 {
		return 1
	}
	for _, t := range d.tenants {
		within := 1.0
		if rate := t.rate(now); rate > 0 {
			within = min(1, t.QuotaRate/quota*requested/rate*(1-d.rejectedShare.value)*quotaTolerance)
			top = max(top, within+(1-within)*d.settings.OverQuotaWeight)
		}
		if t.decayingRate == r.tenant.decayingRate {
			own = within + (1-within)*d.settings.OverQuotaWeight
		}
	}
	if !(top > 0) {
		return 1
	}
	return own / top
}

// requestWeight is the weight of a request of a class in the goal; with WeightByWork, times its work.
func (d *demand) requestWeight(c *class) float64 {
	return c.PriorityWeight * (1 + (c.work.value-1)*indicator(d.settings.WeightByWork))
}
