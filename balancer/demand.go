package balancer

import "math"

// Demand: classes and tenants with the statistics of each, and the priority of a request.

const (
	// quotaTolerance multiplies a tenant's quota, as estimated from this balancer's traffic alone. The estimate
	// is also multiplied by 1 - s, where s is the rejected share: s up to 1 - 1/1.25 = 0.2 lowers no priority.
	quotaTolerance = 1.25

	// worstWindowMultiplier multiplies Goal.WorstWindow where it is added to Goal.Overall: requests are rejected
	// only in the worst windows, so priorities matter more there than overall.
	worstWindowMultiplier = 4.0

	latencyObjectiveDivisor = 5 // until its first sample, the work of a class is its latency objective / this

	// Goal.WorstClass adds this term to the gain of class i, which the method priority defines:
	//
	//	WorstClass / max(minWorkShareDivisor, w_i) x exp(-(s_i - min s) / servedInTimeLeadDivisor)
	//
	// where w_i is the class's share of all work, s_i its share of requests served in time, and min s the least
	// s_i of any class. A lead s_i - min s of servedInTimeLeadDivisor lowers this term by a factor of e.
	minWorkShareDivisor     = 0.05 // lower bound of the divisor w_i
	servedInTimeLeadDivisor = 0.1  // divides the lead s_i - min s
)

// demand holds the classes and tenants of the current settings, and the rate of requests.
type demand struct {
	*environment
	classes       []*class // in the order of the settings
	tenants       []*tenant
	requestRate   decayingRate
	rejectedShare ewma // share of requests that were rejected at arrival
}

// class is the definition of a class with its statistics. If the settings change the definition, a new class
// value is created. It shares the statistics of the earlier class of the same name.
type class struct {
	Class
	*classStats
}

// tenant is the definition of a tenant with the rate of its requests.
type tenant struct {
	Tenant
	*decayingRate
}

// classStats holds the statistics of a class at this balancer.
type classStats struct {
	work              ewma // mean service time in microseconds of a request at an endpoint without load
	requestRate       decayingRate
	servedInTime      ewma   // share of requests answered within the latency objective
	lastTrialAt       Micros // instant of the latest trial: a request sent although it was predicted too late
	tooLateSinceTrial int    // requests predicted too late since the latest trial
}

func newDemand(env *environment) demand {
	return demand{environment: env, rejectedShare: newEWMA(0)}
}

// configure replaces the classes and tenants, but keeps the statistics of each name that remains.
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

// rate returns the number of requests per second.
func (d *demand) rate(now Micros) float64 { return d.requestRate.rate(now) }

// recentRejectedShare returns the recent share of requests rejected at arrival, 0 to 1.
func (d *demand) recentRejectedShare() float64 { return d.rejectedShare.value }

// referenceWork returns the mean work of the first class, in microseconds, as that of a typical request.
func (d *demand) referenceWork() float64 { return d.classes[0].work.value }

// recordArrival adds a request to the total rate and to the rates of its class and its tenant.
func (d *demand) recordArrival(now Micros, r *request) {
	d.requestRate.add(now, 1)
	r.class.requestRate.add(now, 1)
	if r.tenant != nil {
		r.tenant.add(now, 1)
	}
}

// recordDecision updates the rejected share by a request that was sent or rejected at arrival.
func (d *demand) recordDecision(sent bool) { d.rejectedShare.add(indicator(!sent), shareSampleWeight) }

// classNamed returns the class of this name in the current settings, or nil.
func (d *demand) classNamed(name string) *class {
	for _, c := range d.classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// classFor returns a class with this definition and the statistics of the current class of its name, if any.
func (d *demand) classFor(definition Class) *class {
	current := d.classNamed(definition.Name)
	switch {
	case current == nil:
		work := newEWMA(float64(definition.LatencyObjective) / latencyObjectiveDivisor)
		return &class{definition, &classStats{work: work}}
	case current.Class == definition:
		return current
	}
	return &class{definition, current.classStats}
}

// resolveClass returns the class and the tenant of a request, whose fields Class and Tenant are positions in
// the settings ReceivedUnder. Both results are nil if the position of the class is out of range. The tenant
// is also nil if its own position is out of range, or if the current settings have no tenant of its name.
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
	var requestTenant *tenant
	if int(in.Tenant) < len(s.Tenants) {
		requestTenant = d.tenantNamed(s.Tenants[in.Tenant].Name)
	}
	return d.classFor(s.Classes[in.Class]), requestTenant
}

// tenantAt returns the tenant at a position of the current settings, or nil if there is none.
func (d *demand) tenantAt(position int) *tenant {
	if position >= len(d.tenants) {
		return nil
	}
	return d.tenants[position]
}

// tenantNamed returns the tenant of this name in the current settings, or nil.
func (d *demand) tenantNamed(name string) *tenant {
	for _, t := range d.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// priority returns the priority of r, from 0 to 1:
//
//	(gain of r's class / largest gain of any class) x priority of r's tenant
//
// The gain of a class is what one unit of its work adds to the goal. It grows with the priority weight of the
// class. It falls as the class's share of requests served in time rises above the least such share.
func (d *demand) priority(now Micros, r *request) float64 {
	var totalWork, totalWeight float64
	minServedInTime := 1.0
	for _, c := range d.classes {
		rate := c.requestRate.rate(now)
		totalWork += rate * c.work.value
		totalWeight += rate * d.requestWeight(c)
		minServedInTime = min(minServedInTime, c.servedInTime.valueOr(1))
	}
	maxGain, ownGain := 0.0, -1.0 // ownGain stays negative if the current settings lack r's class
	for _, c := range d.classes {
		workShare := c.requestRate.rate(now) * c.work.value / totalWork
		goalWeight := d.settings.Goal.Overall + worstWindowMultiplier*d.settings.Goal.WorstWindow
		gain := goalWeight * d.requestWeight(c) / c.work.value * totalWork / totalWeight
		gain += d.settings.Goal.WorstClass / max(minWorkShareDivisor, workShare) *
			math.Exp((minServedInTime-c.servedInTime.valueOr(1))/servedInTimeLeadDivisor)
		maxGain = max(maxGain, gain)
		if c.classStats == r.class.classStats {
			ownGain = gain
		}
	}
	if !(maxGain > 0) || ownGain < 0 { // !(maxGain > 0) is also true for NaN
		return 1 // no weight is set, or the current settings lack r's class
	}
	return ownGain / maxGain * d.tenantPriority(now, r)
}

// tenantPriority returns the priority of r's tenant, from 0 to 1. With
//
//	q = share of the tenant's requests within its quota, 0 to 1
//	w = q + (1 - q) x OverQuotaWeight, the mean weight of one of its requests
//
// the priority is w divided by the largest w of any tenant.
//
// Only this balancer's traffic and rejections are known. The ratio of total demand to the sum of all quotas
// is assumed to equal the ratio of requests to admitted requests at this balancer. Rejections therefore
// lower w. The priority is relative to the largest w, since rejections would otherwise lower all priorities,
// and so cause more rejections.
func (d *demand) tenantPriority(now Micros, r *request) float64 {
	if r.tenant == nil {
		return 1
	}
	var totalRate, totalQuota, maxWeight float64
	ownWeight := d.settings.OverQuotaWeight // a tenant that the current settings lack has no quota
	for _, t := range d.tenants {
		totalRate += t.rate(now)
		totalQuota += t.QuotaRate
	}
	if totalQuota <= 0 {
		return 1
	}
	for _, t := range d.tenants {
		withinQuotaShare := 1.0
		if rate := t.rate(now); rate > 0 {
			withinQuotaShare = min(1, t.QuotaRate/totalQuota*totalRate/rate*(1-d.rejectedShare.value)*quotaTolerance)
			maxWeight = max(maxWeight, withinQuotaShare+(1-withinQuotaShare)*d.settings.OverQuotaWeight)
		}
		if t.decayingRate == r.tenant.decayingRate {
			ownWeight = withinQuotaShare + (1-withinQuotaShare)*d.settings.OverQuotaWeight
		}
	}
	if !(maxWeight > 0) {
		return 1
	}
	return ownWeight / maxWeight
}

// requestWeight returns the weight in the goal of one request of class c: its priority weight, multiplied by
// the mean work of the class if WeightByWork is set.
func (d *demand) requestWeight(c *class) float64 {
	return c.PriorityWeight * (1 + (c.work.value-1)*indicator(d.settings.WeightByWork))
}
