package wire

import (
	"fmt"
	"math"
	"strings"

	"oakproxy/balancer"
)

// Limits on the lengths of the lists of classes and tenants. A request record identifies its class by an index of 8
// bits and its tenant by an index of 16 bits.
const (
	maxClasses = math.MaxUint8 + 1
	maxTenants = math.MaxUint16 + 1
)

const defaultPollInterval balancer.Micros = 10_000_000 // 10 s, used if contract.ask-within is absent

// Meanings of the names that settings have as values.
var (
	reportFields = map[string]balancer.ReportField{
		"busy_reqs": balancer.FieldInFlight, "pending": balancer.FieldQueue, "cpu_share": balancer.FieldUtilization,
		"svc_ms": balancer.FieldLatency, "served_ps": balancer.FieldServedRate, "failed_ps": balancer.FieldErrorRate,
	}
	idempotencies = map[string]balancer.Idempotency{
		"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NonIdempotent,
	}
	deduplicationScopes = map[string]balancer.DeduplicationScope{
		"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell,
	}
	// reportingModes says whether endpoints send load reports.
	reportingModes = map[string]bool{"answers": true, "probe": true, "none": false}
	// discoveryModes says whether the balancer itself polls and watches discovery. Otherwise, lists are pushed to it.
	discoveryModes = map[string]bool{"automatic": false, "subscribe": true}
	// weightModes says whether requests are weighted by their work.
	weightModes = map[string]bool{"request": false, "work": true}
)

// ParseSettings parses the settings text of a begin record. It ignores unknown keys. Times are in microseconds. An
// error is a *balancer.SettingError that names the key in the text, or the number of a line that is not of the form
// key=value. ParseSettings does not check whether values are in range or consistent with each other; Settings.Validate
// does.
func ParseSettings(text string) (balancer.Settings, error) {
	t, err := splitSettingsText(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	s := balancer.Settings{
		Balancers:            int(t.integer("peers-total", 1)),
		Index:                int(t.integer("position", 0)),
		Zone:                 int(t.integer("zone", 0)),
		Zones:                t.itemCount("areas"),
		MachineKinds:         t.itemCount("skus"),
		SubscribeToDiscovery: enum(t, "discovery", false, discoveryModes),
		Tick:                 t.integer("tick", 0),
		Limits:               t.limits(),
		Contract:             t.contract(),
		Prices:               t.prices(),
		Goal:                 t.goal(),
		OverQuotaWeight:      t.number("over-share-worth", 1),
		KeyAffinity:          t.flag("family-info.warm-keys"),
		WeightByWork:         enum(t, "value-by", false, weightModes),
		ReportFields:         t.reportFields(),
		Classes:              t.classes(),
		Tenants:              t.tenants(),
	}
	return s, t.err
}

func (t *settingsText) limits() balancer.Limits {
	return balancer.Limits{
		CancelAttempts:  t.flag("limits.cancel"),
		Probes:          t.flag("limits.probes"),
		HedgedRequests:  t.flag("limits.second-copies"),
		RetryAfter:      t.flag("limits.retry-after"),
		PeerMessages:    t.flag("limits.may-tell"),
		MaxAttempts:     int(t.integer("limits.most-tries", 1)),
		MaxOpenRequests: int(t.integer("limits.most-held", math.MaxInt32)),
		MaxRetryAfter:   t.integer("limits.max-retry-after", 0),
		DialTimeout:     t.integer("limits.dial-timeout", 0),
	}
}

func (t *settingsText) contract() balancer.Contract {
	return balancer.Contract{
		DrainGrace:               t.integer("contract.drain-grace", 0),
		SlowStartInitialFraction: t.number("contract.cold-from", 1),
		SlowStartDuration:        t.integer("contract.ramp-time", 0),
		OverloadFactor:           t.number("contract.fall-multiple", 1),
		OverloadWindow:           t.integer("contract.overload-for", 0),
		PollInterval:             t.integer("contract.ask-within", defaultPollInterval),
		AnswerGrace:              t.integer("contract.answer-slack", 0),
	}
}

func (t *settingsText) prices() balancer.Prices {
	return balancer.Prices{
		CrossZone:     t.number("prices.cross-zone", 0),
		Probe:         t.number("prices.probe", 0),
		WastedAttempt: t.number("prices.waste", 0),
		LateFailure:   t.number("prices.late-fail", 0),
	}
}

func (t *settingsText) goal() balancer.Goal {
	return balancer.Goal{
		Overall:     t.number("goal.whole", 1),
		WorstWindow: t.number("goal.worst-window", 0),
		WorstClass:  t.number("goal.worst-class", 0),
		WorstTenant: t.number("goal.worst-tenant", 0),
	}
}

// reportFields returns the fields of load reports in their order, or nil if endpoints send no load reports. An unknown
// name becomes balancer.FieldUnknown, so that the fields after it keep their positions.
func (t *settingsText) reportFields() []balancer.ReportField {
	enabled := enum(t, "reporting.how", false, reportingModes)
	names := t.text("reporting.fields")
	if !enabled || names == "" {
		return nil
	}
	var fields []balancer.ReportField
	for name := range strings.SplitSeq(names, ",") {
		fields = append(fields, reportFields[name])
	}
	return fields
}

func (t *settingsText) classes() []balancer.Class {
	t.require("classes.count")
	var classes []balancer.Class
	for i := range t.objectCount("classes", maxClasses) {
		classes = append(classes, t.class(fmt.Sprintf("classes.%d.", i)))
	}
	return classes
}

func (t *settingsText) class(prefix string) balancer.Class {
	t.require(prefix + "target")
	t.require(prefix + "give-up")
	t.require(prefix + "repeat")
	return balancer.Class{
		Name:                t.text(prefix + "name"),
		Idempotency:         enum(t, prefix+"repeat", balancer.NonIdempotent, idempotencies),
		DeduplicationScope:  enum(t, prefix+"group", balancer.ScopeCell, deduplicationScopes),
		DeduplicationWindow: t.integer(prefix+"window", 0),
		LatencyObjective:    t.integer(prefix+"target", 0),
		ClientTimeout:       t.integer(prefix+"give-up", 0),
		PriorityWeight:      t.number(prefix+"credit", 1),
		LateWeight:          t.number(prefix+"late-value", 0),
		Streaming:           t.flag(prefix + "stream"),
	}
}

func (t *settingsText) tenants() []balancer.Tenant {
	var tenants []balancer.Tenant
	for i := range t.objectCount("tenants", maxTenants) {
		prefix := fmt.Sprintf("tenants.%d.", i)
		tenants = append(tenants, balancer.Tenant{
			Name:          t.text(prefix + "name"),
			QuotaRate:     t.number(prefix+"allowance-per-s", 0),
			CapacityShare: t.number(prefix+"share", 0),
		})
	}
	return tenants
}
