package balancer

// Reconfigure takes up new settings in one step, or returns a *SettingError and changes nothing. What is known of
// classes and tenants stays with their names; endpoints, and what is known of them, stay as they are. A request in
// hand keeps the class that it began under, but for what that may no longer do: the host has to withdraw the
// attempts that are returned, unless their first byte is out.
func (b *Balancer) Reconfigure(s Settings) ([]AttemptID, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b.applySettings(s)
	b.startProbeRounds()
	var withdrawn []AttemptID
	for _, r := range b.requestSlots {
		if b.requests[r.ID] == r && !r.answered {
			withdrawn = append(withdrawn, b.restrictIdempotency(r)...)
		}
	}
	return withdrawn, nil
}

// applySettings puts settings in force.
func (b *Balancer) applySettings(s Settings) {
	classes := make([]*class, len(s.Classes))
	b.recentAttempts.timeConstant = 0
	for i, definition := range s.Classes {
		classes[i] = b.classFor(definition)
		b.recentAttempts.timeConstant = max(b.recentAttempts.timeConstant, definition.ClientTimeout) // by then, what is sent now has its outcome
	}
	tenants := make([]*tenant, len(s.Tenants))
	for i, definition := range s.Tenants {
		tenants[i] = &tenant{definition, &decayingRate{}}
	}
	known := make(map[string]*decayingRate, len(b.tenants))
	for _, t := range b.tenants {
		known[t.Name] = t.decayingRate
	}
	for _, t := range tenants {
		if taken, ok := known[t.Name]; ok {
			t.decayingRate = taken
		}
	}
	b.settings, b.classes, b.tenants = s, classes, tenants
}

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

// resolveClass returns the class and the tenant that a request names; no class where there is none at its place.
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
