package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oakproxy/balancer"
	"oakproxy/internal/config"
	"oakproxy/internal/discovery"
	"oakproxy/internal/operatorstate"
	"oakproxy/internal/sidecartest"
	"oakproxy/internal/upstream"
)

// classes returns the settings' list of classes.
func classes(settings map[string]any) []any { return settings["classes"].([]any) }

// class returns the settings of one class.
func class(settings map[string]any, name string) map[string]any {
	for _, c := range classes(settings) {
		if c := c.(map[string]any); c["name"] == name {
			return c
		}
	}
	return nil
}

// withoutClass leaves a class out of the settings.
func withoutClass(name string) func(settings map[string]any) {
	return func(s map[string]any) {
		s["classes"] = slices.DeleteFunc(classes(s), func(c any) bool { return c.(map[string]any)["name"] == name })
	}
}

// withSearchClass adds a class ahead of the others.
func withSearchClass(s map[string]any) {
	added := map[string]any{"name": "search", "repeat": "side_effect", "target": 600000, "give-up": 3000000}
	s["classes"] = append([]any{added}, classes(s)...)
}

// reload has the sidecar take up changed settings, and returns what it logs.
func (w *harness) reload(alter func(settings map[string]any)) string {
	w.t.Helper()
	next := configure(w.t, w.discovery.address, alter)
	return w.captureLog(func() { w.loop.reload(next) })
}

// captureLog runs f in the loop and returns what the loop logs meanwhile.
func (w *harness) captureLog(f func()) string {
	w.t.Helper()
	var text bytes.Buffer
	w.runInLoop(func() {
		old, captured := w.loop.log, slog.New(slog.NewTextHandler(&text, nil))
		w.loop.log, w.loop.watcher.log, w.loop.stats.log = captured, captured, captured
		f()
		w.loop.log, w.loop.watcher.log, w.loop.stats.log = old, old, old
	})
	return text.String()
}

// A class is served from the reload on that adds it, and rejected from the one on that removes it; the others are
// served under their own rules wherever they stand. The same goes for tenants.
func TestReloadedClassesAndTenants(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	check := func(when string, want map[string]int) {
		t.Helper()
		for name, code := range want {
			r := w.request(name, "x", time.Minute)
			r.Header.Set("X-Account", "acme")
			if got := w.send(r); got.code != code {
				t.Errorf("%s: %s is answered %+v, want %d", when, name, got, code)
			}
		}
	}
	check("at the start", map[string]int{"search": 400, "read": 200, "pay": 200, "order": 200})
	if log := w.reload(withSearchClass); !strings.Contains(log, `msg="configuration in force" generation=2 hash=`) ||
		!strings.Contains(log, "changed=[classes]") || strings.Count(log, "\n") != 1 {
		t.Errorf("logged %q", log)
	}
	check("with a class more", map[string]int{"search": 200, "read": 200, "pay": 200, "order": 200})
	w.reload(func(s map[string]any) { withoutClass("pay")(s); slices.Reverse(classes(s)) })
	check(
		"with two classes less, and the others reversed",
		map[string]int{"search": 400, "read": 200, "pay": 400, "close": 200, "order": 200},
	)
	tenants := func(names ...string) func(map[string]any) {
		return func(s map[string]any) {
			var list []any
			for _, name := range names {
				list = append(list, map[string]any{"name": name, "allowance-per-s": 10})
			}
			s["tenants"] = list
		}
	}
	w.reload(tenants("other"))
	check("without the tenant", map[string]int{"read": 400})
	w.reload(tenants("other", "acme"))
	check("with the tenant", map[string]int{"read": 200})
}

// A request in flight is served under the class that it began under: its retry is sent, and its late outcome is
// reported, while the class is moved, changed or removed.
func TestRequestStartedBeforeAReloadIsServed(t *testing.T) {
	for name, alter := range map[string]func(map[string]any){
		"moved": func(s map[string]any) { slices.Reverse(classes(s)) }, "gone": withoutClass("pay"),
		"added ahead": withSearchClass, "less time": func(s map[string]any) { class(s, "pay")["give-up"] = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := make(chan struct{})
			var seen atomic.Int32
			serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.Next(in) != nil {
					if seen.Add(1) > 1 {
						io.WriteString(conn, sidecartest.Served)
						continue
					}
					<-answer
					io.WriteString(conn, sidecartest.Failing)
				}
			}
			first, second := sidecartest.NewEndpoint(t, serve), sidecartest.NewEndpoint(t, serve)
			w := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
			pending := make(chan reply)
			go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
			w.await("the request in flight", func() bool { return seen.Load() == 1 })
			w.reload(alter)
			close(answer)
			if got := <-pending; got.code != http.StatusOK || got.body != "done" {
				t.Errorf("response %+v", got)
			}
			for _, e := range []*sidecartest.Endpoint{first, second} {
				if n, _ := e.Seen(); n != 1 || e.Request(0).URL.Path != "/pay/x/y" {
					t.Errorf("an endpoint got %d requests, want 1 of the class", n)
				}
			}
			w.await("nothing to be in flight", func() (none bool) {
				w.runInLoop(func() { none = len(w.loop.requests.byID) == 0 })
				return none
			})
		})
	}
}

// A request that was read before a reload and reaches the loop after it is served under the class that it was read
// under: it is retried like that class, and not like the one in its place, which is not idempotent.
func TestRequestReadBeforeAReloadKeepsItsClass(t *testing.T) {
	order := func(names ...string) func(map[string]any) {
		return func(s map[string]any) {
			var list []any
			for _, name := range names {
				list = append(list, class(s, name))
			}
			s["classes"] = list
		}
	}
	for name, c := range map[string]struct {
		alter    func(map[string]any)
		code     int
		attempts int
	}{
		"moved":  {order("read", "order", "close", "pay"), http.StatusOK, 2},
		"gone":   {order("read", "order", "close"), http.StatusOK, 2},
		"unsafe": {func(s map[string]any) { class(s, "pay")["repeat"] = "side_effect" }, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, sidecartest.FirstThen(sidecartest.Failing, sidecartest.Served))
			w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
			next := configure(t, w.discovery.address, c.alter)
			busy := make(chan struct{})
			w.loop.events.post(func(balancer.Micros) { <-busy })
			answer := make(chan reply)
			go func() { answer <- w.send(w.request("pay", "x", time.Minute)) }()
			w.await("the request to be read", func() bool { return w.server.inFlight.count() == 1 })
			go w.loop.events.runUrgent(func(balancer.Micros) { w.loop.reload(next) })
			w.await("the reload to wait", func() bool { return len(w.loop.events.urgent) == 1 })
			close(busy)
			if got := <-answer; got.code != c.code {
				t.Errorf("response %+v, want %d", got, c.code)
			}
			if n, _ := e.Seen(); n != c.attempts || w.loop.current.Load().Generation != 2 {
				t.Errorf("%d attempts, want %d; generation %d", n, c.attempts, w.loop.current.Load().Generation)
			}
		})
	}
}

// A retry that waits for its connection when its class becomes unsafe is never sent, and the client is promised
// nothing. A first attempt goes on.
func TestReloadToUnsafeClassAppliesToUnsentAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		blocked int32 // the dial that waits
		code    int
	}{"a repeat": {2, http.StatusBadGateway}, "a first attempt": {1, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, seen atomic.Int32
			serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.Next(in) != nil {
					seen.Add(1)
					if c.code == http.StatusOK {
						io.WriteString(conn, sidecartest.Served)
					} else {
						io.WriteString(conn, sidecartest.Failing)
					}
				}
			}
			w := start(
				t,
				nil,
				ready("s-1", sidecartest.NewEndpoint(t, serve).Address),
				ready("s-2", sidecartest.NewEndpoint(t, serve).Address),
			)
			dialling, goOn := make(chan struct{}), make(chan struct{})
			w.runInLoop(func() {
				w.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
					if dials.Add(1) == c.blocked {
						close(dialling)
						<-goOn
					}
					return nil
				}
			})
			answer := make(chan reply)
			go func() { answer <- w.send(w.request("read", "", time.Minute)) }()
			<-dialling
			w.reload(func(s map[string]any) { class(s, "read")["repeat"] = "side_effect" })
			close(goOn)
			if got := <-answer; got.code != c.code {
				t.Errorf("response %+v, want %d", got, c.code)
			}
			if seen.Load() != 1 {
				t.Errorf("%d attempts reached an endpoint, want 1", seen.Load())
			}
		})
	}
}

// The hash depends on what is in force, not on how the file is written or which sidecar reads it. A file that equals
// what is in force changes nothing; keys that need a restart are logged.
func TestEqualConfigurationChangesNothing(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	first := w.loop.current.Load()
	if log := w.reload(nil); log != "" || w.loop.current.Load() != first {
		t.Errorf("logged %q, generation %d", log, w.loop.current.Load().Generation)
	}
	log := w.captureLog(func() {
		next := *configure(t, w.discovery.address, nil)
		next.Name, next.ListenAddress, next.Seed, next.Limits.MemoryMB = "n1", "127.0.0.1:1", 7, 64
		w.loop.reload(&next)
	})
	if !strings.Contains(log, `needs_restart="[name listen seed limits.memory_mb]"`) ||
		w.loop.current.Load() != first ||
		strings.Count(log, "\n") != 1 {
		t.Errorf("logged %q", log)
	}
	text := func(settings string) string {
		return `{"settings":` + settings + `,"seed":"1","discovery":"127.0.0.1:2","listen":"127.0.0.1:1","limits":{"sockets":256,"memory_mb":9}}`
	}
	for what, c := range map[string]struct {
		old, new string
		same     bool
	}{
		"spaces": {`{"name":"pay",`, "{ \"name\" :\t\"pay\",\n", true}, "areas": {`"areas":["a","b"]`, `"areas":["b","a"]`, true},
		"order":         {`{"name":"read","repeat":"pure",`, `{"repeat":"pure","name":"read",`, true},
		"another place": {`"position":0,"zone":0`, `"position":3,"zone":1`, true},
		"a target":      {`"target":600000`, `"target":600001`, false}, "a limit": {`"keepalive":5000000`, `"keepalive":5000001`, false},
	} {
		cfg, err := config.Parse([]byte(text(strings.Replace(sidecartest.SettingsText, c.old, c.new, 1))))
		if err != nil || (cfg.Hash() == first.FileHash) != c.same || len(cfg.Hash()) != 2*config.HashBytes {
			t.Errorf("%s: %v, hash %s beside %s", what, err, cfg.Hash(), first.FileHash)
		}
	}
}

// An invalid configuration changes nothing: one log line names the key, and the rejection is counted.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	first := w.loop.current.Load()
	path := filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal, 1)
	defer close(signals)
	configs := config.ReloadOnSignal(path, signals)
	good := `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + w.discovery.address + `","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":256},"settings":` + sidecartest.SettingsText + `}`
	tried := 0
	for _, c := range []struct{ old, new, key string }{
		{good, "", "config.json"}, {good, good[:200], "JSON"}, {good, "[" + good + "]", "array into Go value of type config.configFile"},
		{`"sockets":256`, `"sockets":1`, "limits.sockets"}, {`"sockets":256`, `"sockets":"x"`, "limits.sockets"},
		{`"seed":"8`, `"seed":"x`, "seed"}, {`"name":"pay"`, `"name":"read"`, "classes.1.name"},
		{`"target":600000`, `"target":0`, "Classes[0].LatencyObjective"}, {`"window":5000000`, `"window":-1`, "DeduplicationWindow"},
		{`"target":600000`, `"target":1e400`, "classes.0.target"}, {`"most-tries":3`, `"most-tries":0`, "MaxAttempts"},
		{`"cold-from":0.3`, `"cold-from":2`, "SlowStartInitialFraction"}, {`"tenants":[]`, `"tenants":[{"name":"a"},{"name":"a"}]`, "tenants.1.name"},
		{`"dial-timeout":2000000`, `"dial-timeout":0`, "limits.dial-timeout"}, {sidecartest.SettingsText, "{}", "classes"},
	} {
		text := strings.Replace(good, c.old, c.new, 1)
		if text == good {
			t.Fatalf("%q is not in the configuration", c.old)
		}
		os.Remove(path)
		if text != "" {
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		signals <- syscall.SIGHUP
		next := <-configs
		tried++
		log := w.captureLog(func() { w.loop.reload(next) })
		if strings.Count(log, "\n") != 1 || !strings.Contains(log, `msg="configuration not reloaded"`) ||
			!strings.Contains(log, c.key) || !strings.Contains(log, fmt.Sprintf("reloads_rejected=%d", tried)) {
			t.Errorf("%s: logged %q, want one line with %q and the count %d", c.new, log, c.key, tried)
		}
	}
	if now := w.loop.current.Load(); now != first || w.loop.cfg != first.Config {
		t.Errorf("generation %d is in force, want the first", now.Generation)
	}
	if got := w.send(w.request("pay", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("response %+v", got)
	}
	counts := w.captureLog(func() { w.loop.logStats(w.loop.clock.now()) })
	if want := fmt.Sprintf("generation=1 hash=%s reloads=0 reloads_rejected=%d", first.FileHash, tried); !strings.Contains(
		counts,
		want,
	) {
		t.Errorf("counts %q, want %q", counts, want)
	}
}

// What operators and discovery have set for endpoints survives a change of settings, which does not call discovery
// again. Limits apply at once, to connections, too.
func TestReloadKeepsEndpointsAndAppliesLimits(t *testing.T) {
	e := newServingEndpoint(t)
	w := startWith(t, nil, longWaits, ready("s-1", e.Address), ready("s-2", e.Address))
	w.await("the watch", func() bool { return w.discovery.count() == 2 })
	drained := ready("s-1", e.Address)
	drained.Health = "Terminating"
	var before, after map[uint32]endpoint
	var watch, same *discovery.Client
	members := func() map[uint32]endpoint {
		all := map[uint32]endpoint{}
		for id, m := range w.loop.endpoints.byID {
			all[id] = *m
		}
		return all
	}
	w.runInLoop(func() {
		now := w.loop.clock.now()
		w.loop.updateEndpoints(now, balancer.ListDelta, discovery.List{Entries: []discovery.Entry{drained}})
		w.loop.applyOverrides(now, []operatorstate.Override{{Name: "s-2", Cordoned: true}})
		before, watch = members(), w.loop.watcher.client
	})
	next := *configure(t, w.discovery.address, func(s map[string]any) {
		limits := s["limits"].(map[string]any)
		limits["dial-timeout"], limits["keepalive"], limits["most-held"] = 7000, 4000, 9
		s["reporting"] = map[string]any{"how": "probe", "fields": []string{"pending"}}
	})
	next.Limits.Sockets = 128
	var old, read upstream.Result
	old.Load, old.ReportFormat = w.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
	w.runInLoop(func() {
		w.loop.reload(&next)
		after, same = members(), w.loop.watcher.client
		read.Load, read.ReportFormat = w.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
		if load := w.loop.currentLoadReport(read); len(load) != 1 || load[0] != 2 {
			t.Errorf("a report by the new fields: %v", load)
		}
		if load := w.loop.currentLoadReport(old); load != nil {
			t.Errorf("a report that was read by the old fields tells %v", load)
		}
	})
	if len(before) != 2 || before[1] != after[1] || before[2] != after[2] ||
		!w.loop.endpoints.overrides["s-2"].Cordoned {
		t.Errorf("endpoints %+v, were %+v", after, before)
	}
	if watch != same || w.discovery.count() != 2 {
		t.Error("a change of settings asks discovery again")
	}
	if got, want := w.loop.upstream.Limits(), (upstream.ConnectionLimits{DialTimeout: 7 * time.Millisecond, MaxIdle: 3 * time.Millisecond, MaxConnections: maxConnections(&next)}); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
	if connections, used := w.server.clients.Limits(); connections != maxConnections(&next) ||
		used != 128/crowdedDivisor {
		t.Errorf("%d connections of clients, %d used", connections, used)
	}
}

// Before the first event, in a drain by operators and after SIGTERM a reload applies as at any other time and ends
// nothing early: requests of before keep their deadlines.
func TestReloadBeforeTheStartAndWhileDraining(t *testing.T) {
	e := newServingEndpoint(t)
	w := &harness{t: t, discovery: newFakeDiscovery(t, ready("s-1", e.Address))}
	cfg := configure(t, w.discovery.address, nil, ready("s-1", e.Address))
	l, err := newLoop(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		l.events.runUrgent(func(balancer.Micros) { l.reload(configure(t, w.discovery.address, withSearchClass)) })
		close(done)
	}()
	sidecartest.Await(t, "the reload to wait", func() bool { return len(l.events.urgent) == 1 })
	go l.run()
	<-done
	if now := l.current.Load(); now.Generation != 2 || len(now.Classes) != 5 {
		t.Errorf("during the start: generation %d, classes %v", now.Generation, now.Classes)
	}

	w = start(t, nil, ready("s-1", e.Address))
	w.server.drainPeriod = sidecartest.WaitTimeout
	w.server.drainedByOperator.Store(true)
	w.reload(withSearchClass)
	got := w.send(w.request("search", "x", time.Minute))
	if got.code != http.StatusOK || w.server.acceptsRequests() {
		t.Errorf("in a drain by hand: %+v", got)
	}
	w.stop()
	w.await("the end of service", w.server.draining)
	w.reload(func(s map[string]any) {
		s["classes"] = []any{map[string]any{"name": "find", "repeat": "side_effect", "target": 1, "give-up": 1}}
	})
	if got := w.send(w.request("find", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("after SIGTERM: %+v", got)
	}
}
