package main

// sidecarConfig is the configuration file of a sidecar, in the form of the deployment page.
type sidecarConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	AdminAddr string         `json:"admin_addr,omitempty"`
	Limits    map[string]any `json:"limits"`
	Known     *hostList      `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// hostList is a list of discovery.
type hostList struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// host is an endpoint in a list of discovery.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// readyHost returns the entry of an endpoint that is ready and started long ago.
func readyHost(name, dial string) host {
	return host{Host: name, Dial: dial, Site: "oslo-1", Class: "std-1", Health: "Ready", Share: 1}
}

// smallSite returns the configuration of one sidecar of a small deployment like lade-oslo: its classes, deadlines,
// windows and rules, one zone, and load reports by probes.
func smallSite(listen, discovery string, known []host) *sidecarConfig {
	class := func(name, repeat string, giveUpMS, worth int) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "group": "cell", "window": 2_500_000, "target": 150_000,
			"give-up": giveUpMS * 1000, "credit": worth, "late-value": 0, "stream": false}
	}
	tenant := func(name string, share float64) map[string]any {
		return map[string]any{"name": name, "share": share, "allowance-per-s": 240 * share}
	}
	return &sidecarConfig{
		Name: "n0", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 64, "sockets": 384},
		Known:  &hostList{Seq: 1, Whole: true, Hosts: known},
		Settings: map[string]any{
			"areas": []string{"oslo-1"}, "skus": []string{"std-1"}, "stages": []string{"api"},
			"kind-of-service": "mesh", "discovery": "subscribe", "weight-kind": "rough", "value-by": "request",
			"peers-total": 1, "position": 0, "zone": 0, "tier": 0, "tick": 2000, "over-share-worth": 0.05,
			"callers":     map[string]any{"marks-retry": false},
			"family-info": map[string]any{"warm-keys": true},
			"classes": []any{class("status-read", "pure", 300, 3), class("meter-post", "token", 500, 2),
				class("settle", "side_effect", 750, 2)},
			"tenants": []any{tenant("fjordlading", 0.6), tenant("dalen-el", 0.4)},
			"contract": map[string]any{"answer-slack": 8000, "ask-within": 10_000_000, "cold-from": 0.13,
				"drain-grace": 2_000_000, "fall-multiple": 3.0, "overload-for": 1_500_000, "ramp-time": 22_000_000},
			"limits": map[string]any{"cancel": true, "dial-timeout": 75_000, "keepalive": 60_000_000,
				"max-retry-after": 400_000, "may-tell": true, "most-held": 27_688, "most-tries": 4, "multiplex": 1,
				"probes": true, "retry-after": true, "second-copies": false, "cpu-us-per-s": 69_220},
			"goal": map[string]any{"whole": 0.55, "worst-window": 0.15, "worst-class": 0.05, "worst-tenant": 0.25},
			"prices": map[string]any{"cross-zone": 0.03, "late-fail": 0.055, "peer": 0.013, "probe": 0.05,
				"waste": 0.062},
			"reporting": map[string]any{"how": "probe", "fields": []string{"busy_reqs"}},
		},
	}
}
