package wire

import (
	"fmt"
	"math"
	"strings"

	"oakproxy/balancer"
)

// items counts the comma-separated items of a list of plain values.
func items(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

var fieldNames = map[string]balancer.ReportField{
	"busy_reqs": balancer.FieldInFlight, "pending": balancer.FieldQueue, "cpu_share": balancer.FieldUtilization,
	"svc_ms": balancer.FieldLatency, "served_ps": balancer.FieldServedRate, "failed_ps": balancer.FieldErrorRate,
}

// ParseSettings reads the config text of a begin record. Keys that it does not
// know are skipped. Errors are *balancer.SettingError and name the key on the wire.
func ParseSettings(text string) (balancer.Settings, error) {
	t := &settingsText{pairs: map[string]string{}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return balancer.Settings{}, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		t.pairs[key] = value
	}
	s := balancer.Settings{
		Balancers:            int(t.whole("peers-total", 1)),
		Index:                int(t.whole("position", 0)),
		Zone:                 int(t.whole("zone", 0)),
		Zones:                items(t.pairs["areas"]),
		MachineKinds:         items(t.pairs["skus"]),
		SubscribeToDiscovery: word(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:                 t.whole("tick", 0),
		Limits: balancer.Limits{
			CancelAttempts:  t.flag("limits.cancel", false),
			Probes:          t.flag("limits.probes", false),
			HedgedRequests:  t.flag("limits.second-copies", false),
			RetryAfter:      t.flag("limits.retry-after", false),
			PeerMessages:    t.flag("limits.may-tell", false),
			MaxAttempts:     int(t.whole("limits.most-tries", 1)),
			MaxOpenRequests: int(t.whole("limits.most-held", math.MaxInt32)),
			MaxRetryAfter:   t.whole("limits.max-retry-after", 0),
			DialTimeout:     t.whole("limits.dial-timeout", 0),
		},
		Contract: balancer.Contract{
			DrainGrace:               t.whole("contract.drain-grace", 0),
			SlowStartInitialFraction: t.number("contract.cold-from", 1),
			SlowStartDuration:        t.whole("contract.ramp-time", 0),
			OverloadFactor:           t.number("contract.fall-multiple", 1),
			OverloadWindow:           t.whole("contract.overload-for", 0),
			PollInterval:             t.whole("contract.ask-within", 10_000_000),
			AnswerGrace:              t.whole("contract.answer-slack", 0),
		},
		Prices: balancer.Prices{
			CrossZone:     t.number("prices.cross-zone", 0),
			Probe:         t.number("prices.probe", 0),
			WastedAttempt: t.number("prices.waste", 0),
			LateFailure:   t.number("prices.late-fail", 0),
		},
		Goal: balancer.Goal{
			Overall:     t.number("goal.whole", 1),
			WorstWindow: t.number("goal.worst-window", 0),
			WorstClass:  t.number("goal.worst-class", 0),
			WorstTenant: t.number("goal.worst-tenant", 0),
		},
		OverQuotaWeight: t.number("over-share-worth", 1),
		KeyAffinity:     t.flag("family-info.warm-keys", false),
		WeightByWork: word(t, "value-by", false,
			map[string]bool{"request": false, "work": true}),
	}
	how := word(t, "reporting.how", "none", map[string]string{"answers": "answers", "probe": "probe", "none": "none"})
	if fields := t.pairs["reporting.fields"]; how != "none" && fields != "" {
		for _, f := range strings.Split(fields, ",") {
			s.ReportFields = append(s.ReportFields, fieldNames[f])
		}
	}
	for i := range t.count("classes", true, maxClasses) {
		at := fmt.Sprintf("classes.%d.", i)
		for _, key := range [...]string{"target", "give-up", "repeat"} {
			if _, ok := t.pairs[at+key]; !ok && t.err == nil {
				t.err = &balancer.SettingError{Key: at + key, Value: "", Reason: "is missing"}
			}
		}
		s.Classes = append(s.Classes, balancer.Class{
			Name: t.pairs[at+"name"],
			Idempotency: word(t, at+"repeat", balancer.NonIdempotent, map[string]balancer.Idempotency{
				"pure": balancer.Idempotent, "token": balancer.IdempotentWithKey, "side_effect": balancer.NonIdempotent}),
			DeduplicationScope: word(t, at+"group", balancer.ScopeCell, map[string]balancer.DeduplicationScope{
				"all": balancer.ScopeAll, "zone": balancer.ScopeZone, "cell": balancer.ScopeCell}),
			DeduplicationWindow: t.whole(at+"window", 0),
			LatencyObjective:    t.whole(at+"target", 0),
			ClientTimeout:       t.whole(at+"give-up", 0),
			PriorityWeight:      t.number(at+"credit", 1),
			LateWeight:          t.number(at+"late-value", 0),
			Streaming:           t.flag(at+"stream", false),
		})
	}
	for i := range t.count("tenants", false, maxTenants) {
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Name:          t.pairs[at+"name"],
			QuotaRate:     t.number(at+"allowance-per-s", 0),
			CapacityShare: t.number(at+"share", 0),
		})
	}
	return s, t.err
}
