package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"oakproxy/balancer"
	"oakproxy/internal/sidecartest"
)

// An invalid configuration is rejected with an error of one line that names the invalid key.
func TestInvalidConfigurationNamesTheKey(t *testing.T) {
	valid := `{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964",` +
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},` +
		`"known":{"seq":4,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:3","health":"Ready"}]},` +
		`"settings":` + sidecartest.SettingsText + `}`
	if cfg, err := Parse([]byte(valid)); err != nil {
		t.Fatal(err)
	} else if cfg.Settings.Limits.MaxRetryAfter != 1_500_000 || len(cfg.Settings.Classes) != 4 ||
		cfg.Settings.Classes[1].Idempotency != balancer.IdempotentWithKey || len(cfg.Settings.ReportFields) != 2 ||
		!cfg.Settings.SubscribeToDiscovery {
		t.Errorf("got settings %+v, want those of sidecartest.SettingsText", cfg.Settings)
	}
	for _, test := range []struct{ old, new, key string }{
		{`"listen":"127.0.0.1:1"`, `"listen":"here"`, "listen"},
		{`"listen":"127.0.0.1:1",`, ``, "listen"},
		{`"listen":"127.0.0.1:1"`, `"listen":7`, "listen"},
		{`"discovery":"127.0.0.1:2"`, `"discovery":""`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits.memory_mb"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"host":"s-1"`, `"host":""`, "known: no entry can be used: hosts[0]: host"},
		{`"health":"Ready"`, `"health":"Fine"`, "known: no entry can be used: hosts[0]: health"},
		{`"dial":"127.0.0.1:3"`, `"dial":"nowhere"`, "known: no entry can be used: hosts[0]: dial"},
		{`"known":{"seq":4,`, `"known":{`, "known: seq"},
		{`"known":{`, `"known":7,"x":{`, "known"},
		{`"settings":`, `"other":`, "settings"},
		{`"keepalive":5000000`, `"keepalive":0`, "limits.keepalive"},
		{`"dial-timeout":2000000`, `"dial-timeout":-1`, "DialTimeout"},
		{`"most-tries":3`, `"most-tries":"3.5"`, "limits.most-tries"},
		{`"name":"read","repeat":"pure"`, `"name":"read","repeat":"twice"`, "classes.0.repeat"},
		{`"name":"read","repeat":"pure"`, `"name":"read"`, "classes.0.repeat"},
		{`"discovery":"subscribe"`, `"discovery":"gossip"`, "discovery"},
	} {
		invalid := strings.Replace(valid, test.old, test.new, 1)
		if invalid == valid {
			t.Fatalf("%q is not in the configuration", test.old)
		}
		_, err := Parse([]byte(invalid))
		if err == nil || !strings.Contains(err.Error(), test.key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got error %v, want one line with %q", test.new, err, test.key)
		}
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if _, err := Load(path); err == nil {
		t.Error("missing file: got no error, want one")
	}
	os.WriteFile(path, []byte(valid[:100]), 0o600)
	if _, err := Load(path); err == nil {
		t.Error("truncated file: got no error, want one")
	}
}

// flatten writes a settings object as settings text, the format of the settings in the simulator's begin record.
func TestFlattenWritesSettingsText(t *testing.T) {
	var out strings.Builder
	flatten(&out, "", map[string]any{"a": map[string]any{"b": []any{
		map[string]any{"name": "x, y\nz=1"}, map[string]any{"on": true}}}})
	flatten(&out, "areas", []any{"p q", "r"})
	flatten(&out, "none", []any{})
	flatten(&out, "absent", nil)
	want := "a.b.count=2\na.b.0.name=x__y_z=1\na.b.1.on=true\nareas=p_q,r\nnone=\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
