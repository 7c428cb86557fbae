package wire

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"oakproxy/balancer"
)

const validSettings = `areas=a,b
classes.count=2
classes.0.name=x
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
classes.1.give-up=600000
classes.1.group=zone
classes.1.repeat=token
classes.1.target=300000
classes.1.window=400000
contract.cold-from=0.14
contract.ramp-time=23000000
discovery=subscribe
future.key=whatever
goal.whole=0.6
limits.most-tries=3
limits.probes=true
prices.probe=0.002
reporting.fields=busy_reqs,served_ps,brand_new
reporting.how=probe
tenants.count=1
tenants.0.allowance-per-s=137.0
tenants.0.name=t
value-by=work
`

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(validSettings)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Classes) != 2 || s.Classes[1].Idempotency != balancer.IdempotentWithKey ||
		s.Classes[1].DeduplicationScope != balancer.ScopeZone || s.Classes[1].DeduplicationWindow != 400000 ||
		!s.SubscribeToDiscovery || !s.WeightByWork || s.Zones != 2 || s.Limits.MaxAttempts != 3 ||
		s.Goal.Overall != 0.6 || s.Tenants[0].QuotaRate != 137 || s.Prices.Probe != 0.002 {
		t.Errorf("got settings %+v, want the values of validSettings", s)
	}
	if len(s.ReportFields) != 3 || s.ReportFields[0] != balancer.FieldInFlight ||
		s.ReportFields[2] != balancer.FieldUnknown {
		t.Errorf("got report fields %v, want 3 that start with FieldInFlight and end with FieldUnknown", s.ReportFields)
	}
	if _, err := balancer.New(s, 1, nil); err != nil {
		t.Errorf("balancer.New rejects the settings: %v", err)
	}
}

func TestParseSettingsWithoutLoadReports(t *testing.T) {
	s, err := ParseSettings(strings.Replace(validSettings, "how=probe", "how=none", 1))
	if err != nil || s.ReportFields != nil {
		t.Errorf("got report fields %v, error %v; want neither", s.ReportFields, err)
	}
}

// The lists of tenants and classes are at most as long as the indexes in a request record allow. Lists of the maximum
// length are accepted, and longer ones are rejected.
func TestParseSettingsBoundsListLengths(t *testing.T) {
	const tenants, classes, sidecars = 1 << 16, 1 << 8, 1 << 16
	var text strings.Builder
	fmt.Fprintf(&text, "peers-total=%d\nposition=%d\n", sidecars, sidecars-1)
	fmt.Fprintf(&text, "classes.count=%d\ntenants.count=%d\n", classes, tenants)
	for i := range classes {
		fmt.Fprintf(&text, "classes.%[1]d.name=c%[1]d\nclasses.%[1]d.target=1000\nclasses.%[1]d.give-up=2000\n"+
			"classes.%[1]d.repeat=pure\n", i)
	}
	for i := range tenants {
		fmt.Fprintf(&text, "tenants.%d.name=t%d\ntenants.%d.share=0.25\n", i, i, i)
	}
	s, err := ParseSettings(text.String())
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Tenants) != tenants || s.Tenants[tenants-1].Name != "t65535" || len(s.Classes) != classes ||
		s.Classes[classes-1].Name != "c255" || s.Balancers != sidecars || s.Index != sidecars-1 {
		t.Errorf("got %d tenants, %d classes, %d sidecars, index %d; want %d, %d, %d, %d, and the last names t65535 and c255",
			len(s.Tenants), len(s.Classes), s.Balancers, s.Index, tenants, classes, sidecars, sidecars-1)
	}
	if _, err := balancer.New(s, 1, nil); err != nil {
		t.Errorf("balancer.New rejects the settings: %v", err)
	}
	for list, limit := range map[string]int{"tenants": tenants, "classes": classes} {
		atLimit, overLimit := fmt.Sprintf("%s.count=%d", list, limit), fmt.Sprintf("%s.count=%d", list, limit+1)
		var invalid *balancer.SettingError
		_, err := ParseSettings(strings.Replace(text.String(), atLimit, overLimit, 1))
		if !errors.As(err, &invalid) || invalid.Key != list+".count" {
			t.Errorf("%d %s: got error %v, want one for the key %s.count", limit+1, list, err, list)
		}
	}
}

func TestParseSettingsNamesTheInvalidKey(t *testing.T) {
	for _, test := range []struct{ old, new, key string }{
		{"classes.count=2", "classes.count=3", "classes.count"},
		{"classes.count=2\n", "", "classes.count"},
		{"classes.count=2", "classes.count=-1", "classes.count"},
		{"repeat=pure", "repeat=sometimes", "classes.0.repeat"},
		{"classes.0.target=250000\n", "", "classes.0.target"},
		{"window=400000", "window=soon", "classes.1.window"},
		{"cold-from=0.14", "cold-from=NaN", "contract.cold-from"},
		{"probes=true", "probes=maybe", "limits.probes"},
		{"discovery=subscribe", "discovery=magic", "discovery"},
		{"value-by=work", "no pair", "line 25"},
	} {
		t.Run(test.key+" "+test.new, func(t *testing.T) {
			_, err := ParseSettings(strings.Replace(validSettings, test.old, test.new, 1))
			var invalid *balancer.SettingError
			if !errors.As(err, &invalid) || invalid.Key != test.key {
				t.Errorf("got error %v, want a *balancer.SettingError for the key %s", err, test.key)
			}
		})
	}
}

// ParseSettings accepts well-formed values that are out of range; the balancer's constructor rejects them.
func TestParseSettingsLeavesRangeChecksToBalancer(t *testing.T) {
	s, err := ParseSettings(strings.Replace(validSettings, "window=400000", "window=-1", 1))
	if err != nil {
		t.Fatal(err)
	}
	if _, err = balancer.New(s, 1, nil); err == nil || !strings.Contains(err.Error(), "Window=-1") {
		t.Errorf("negative window: got error %v, want one with Window=-1", err)
	}
}
