package balancer

import "testing"

// While requests are rejected, a tenant that exceeds its quota must have a lower priority than a tenant within its
// quota. Otherwise the excess of the first tenant would be served at the expense of the second.
func TestTenantOverQuotaHasLowerPriority(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.05
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 50}, {Name: "b", QuotaRate: 50}}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	for i := range Micros(100) {
		b.demand.tenants[0].add(i*1000, 1)
		if i%4 == 0 {
			b.demand.tenants[1].add(i*1000, 1)
		}
	}
	over, within := newRecord(b, Request{Tenant: 0}), newRecord(b, Request{Tenant: 1})
	b.demand.rejectedShare.value = 0.5
	overPriority := b.demand.tenantPriority(100_000, over)
	withinPriority := b.demand.tenantPriority(100_000, within)
	if withinPriority != 1 || overPriority > 0.6 {
		t.Errorf("priority %v over the quota, want 0.6 at most; %v within it, want 1", overPriority, withinPriority)
	}
	if got := b.demand.tenantPriority(100_000, newRecord(b, Request{Tenant: 9})); got != 1 {
		t.Errorf("priority %v of an unknown tenant, want 1", got)
	}
}

// Rejections must not lower the priority of all tenants: lower priorities cause more rejections, and these would lower
// the priorities again.
func TestRejectionsAloneLowerNoTenantPriority(t *testing.T) {
	s := testSettings()
	s.OverQuotaWeight = 0.05
	s.Tenants = []Tenant{{Name: "a", QuotaRate: 60}, {Name: "b", QuotaRate: 40}}
	b, _ := startBalancer(t, s, readyEndpoints(2))
	b.demand.tenants[0].add(0, 60)
	b.demand.tenants[1].add(0, 40)
	b.demand.rejectedShare.value = 0.8
	for tenant := range uint16(2) {
		if got := b.demand.tenantPriority(0, newRecord(b, Request{Tenant: tenant})); got < 0.99 {
			t.Errorf("tenant %d within its quota: priority %.2f while 80%% are rejected, want 0.99 at least", tenant, got)
		}
	}
}
