package balancer

import "math"

// Demand: classes and tenants, what is known of each, and what a request of them is worth.

const (
	tenantSlack     = 1.25 // refusals below a fifth say nothing of shares
	worstWindowGain = 4.0  // worth counts more in the worst windows, and those are when requests are refused
)

// classNamed returns the class in force of this name, or nil.
func (b *Balancer) classNamed(name string) *class {
	for _, c := range b.classes {
		if c.Name == name {
			return c
		}
	}
	return nil
}

// classFor returns a class as defined, with what is known of the one of its name.
func (b *Balancer) classFor(definition Class) *class {
	inForce := b.classNamed(definition.Name)
	switch {
	case inForce == nil:
		work := ewma{value: float64(definition.LatencyObjective) / 5, initialized: true}
		return &class{definition, &classStats{work: work}}
	case inForce.Class == definition:
		return inForce
	}
	return &class{definition, inForce.classStats}
}

// resolveClass returns the class and the tenant that a request names; no class where there is none at its
// place.
func (b *Balancer) resolveClass(in *Request) (*class, *tenant) {
	s := in.ReceivedUnder
	if s == nil {
		s = &b.settings
	}
	if int(in.Class) >= len(s.Classes) {
		return nil, nil
	}
	if in.ReceivedUnder == nil {
		return b.classes[in.Class], b.tenantAt(int(in.Tenant))
	}
	var owner *tenant
	if int(in.Tenant) < len(s.Tenants) {
		owner = b.tenantNamed(s.Tenants[in.Tenant].Name)
	}
	return b.classFor(s.Classes[in.Class]), owner
}

// tenantAt returns the tenant at a place in the settings in force, or nil.
func (b *Balancer) tenantAt(place int) *tenant {
	if place >= len(b.tenants) {
		return nil
	}
	return b.tenants[place]
}

// tenantNamed returns the tenant in force of this name, or nil.
func (b *Balancer) tenantNamed(name string) *tenant {
	for _, t := range b.tenants {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// class is a class with what is known of it. A changed definition makes another one, which shares the
// statistics with that of the same name before it.
type class struct {
	Class
	*classStats
}

// tenant is a tenant with its rate of requests taken.
type tenant struct {
	Tenant
	*decayingRate
}

// classStats is what a balancer knows of a class.
type classStats struct {
	work              ewma         // mean work of a request
	requestRate       decayingRate // requests taken
	servedInTime      ewma         // share answered in time
	lastTrialAt       Micros       // last request sent although it seemed too late
	tooLateSinceTrial int          // requests that seemed too late since then
}

// priority ranks r's class, 0 to 1, by the goal's gain from a unit of its work: worth, and more if served
// worst.
func (b *Balancer) priority(now Micros, r *request) float64 {
	var work, worth float64
	worst := 1.0
	for _, c := range b.classes {
		rate := c.requestRate.rate(now)
		work += rate * c.work.value
		worth += rate * b.requestWeight(c)
		worst = min(worst, c.servedInTime.or(1))
	}
	top, own := 0.0, -1.0 // of a class that is gone
	for _, c := range b.classes {
		part := c.requestRate.rate(now) * c.work.value / work
		goal := b.settings.Goal.Overall + worstWindowGain*b.settings.Goal.WorstWindow
		v := goal * b.requestWeight(c) / c.work.value * work / worth
		v += b.settings.Goal.WorstClass / max(0.05, part) * math.Exp((worst-c.servedInTime.or(1))/0.1)
		top = max(top, v)
		if c.classStats == r.class.classStats {
			own = v
		}
	}
	if !(top > 0) || own < 0 {
		return 1 // no worth was set
	}
	return own / top * b.tenantPriority(now, r)
}

// tenantPriority ranks r's tenant, 0 to 1, by what a request of it is worth on average against one of the
// tenant whose are worth most, given how much of a tenant's traffic lies beyond its share. Only this
// balancer's mix and refusals are known: the whole demand is taken to exceed the sum of the allowances as it
// exceeds what is let in here. What lowers all alike ranks none: it must not refuse more, and so lower all
// again.
func (b *Balancer) tenantPriority(now Micros, r *request) float64 {
	if r.tenant == nil {
		return 1
	}
	var asked, allowed, top float64
	own := b.settings.OverQuotaWeight // a tenant that is gone has no share any more
	for _, t := range b.tenants {
		asked += t.rate(now)
		allowed += t.QuotaRate
	}
	if allowed <= 0 {
		return 1
	}
	for _, t := range b.tenants {
		inside := 1.0
		if mine := t.rate(now); mine > 0 {
			inside = min(1, t.QuotaRate/allowed*asked/mine*(1-b.rejectedShare.value)*tenantSlack)
			top = max(top, inside+(1-inside)*b.settings.OverQuotaWeight)
		}
		if t.decayingRate == r.tenant.decayingRate {
			own = inside + (1-inside)*b.settings.OverQuotaWeight
		}
	}
	if !(top > 0) {
		return 1
	}
	return own / top
}

func (b *Balancer) requestWeight(c *class) float64 {
	return c.PriorityWeight * (1 + (c.work.value-1)*indicator(b.settings.WeightByWork))
}
