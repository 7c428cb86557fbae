package balancer

import (
	"errors"
	"testing"
)

// New must reject invalid settings, and its error must name the invalid setting.
func TestNewReturnsSettingError(t *testing.T) {
	for _, c := range []struct {
		key        string
		invalidate func(*Settings)
	}{
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Classes[1].DeduplicationWindow", func(s *Settings) { s.Classes[1].DeduplicationWindow = -1 }},
		{"Contract.SlowStartInitialFraction", func(s *Settings) { s.Contract.SlowStartInitialFraction = 0 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Prices.Probe", func(s *Settings) { s.Prices.Probe = -1 }},
	} {
		s := testSettings()
		c.invalidate(&s)
		_, err := New(s, 1, &recorder{})
		var invalid *SettingError
		if !errors.As(err, &invalid) || invalid.Key != c.key {
			t.Errorf("got error %v, want a *SettingError for %s", err, c.key)
		}
	}
}
