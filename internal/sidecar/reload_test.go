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

// withoutClass returns a change that removes a class from the settings.
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

// reload applies changed settings to the sidecar and returns what it logs.
func (w *harness) reload(alter func(settings map[string]any)) string {
	w.t.Helper()
	next := newConfig(w.t, w.discovery.address, alter)
	return w.captureLog(func() { w.loop.reload(next) })
}

// captureLog runs f in the loop and returns what the loop logs during f.
func (w *harness) captureLog(f func()) string {
	w.t.Helper()
	var text bytes.Buffer
	w.runInLoop(func() {
		previous, captured := w.loop.log, slog.New(slog.NewTextHandler(&text, nil))
		w.loop.log, w.loop.watcher.log, w.loop.stats.log = captured, captured, captured
		f()
		w.loop.log, w.loop.watcher.log, w.loop.stats.log = previous, previous, previous
	})
	return text.String()
}

// A class is served once a reload has added it and rejected once one has removed it, and so are tenants. Other classes
// keep their rules, whatever their position in the list.
func TestReloadedClassesAndTenants(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	check := func(state string, want map[string]int) {
		t.Helper()
		for name, code := range want {
			r := w.request(name, "x", time.Minute)
			r.Header.Set("X-Account", "acme")
			if got := w.send(r); got.code != code {
				t.Errorf("%s: class %s: got %+v, want %d", state, name, got, code)
			}
		}
	}
	check("at startup", map[string]int{"search": 400, "read": 200, "pay": 200, "order": 200})
	if log := w.reload(withSearchClass); !strings.Contains(log, `msg="configuration in force" generation=2 hash=`) ||
		!strings.Contains(log, "changed=[classes]") || strings.Count(log, "\n") != 1 {
		t.Errorf("got log %q, want one line on generation 2 with changed classes", log)
	}
	check("with an added class", map[string]int{"search": 200, "read": 200, "pay": 200, "order": 200})
	w.reload(func(s map[string]any) { withoutClass("pay")(s); slices.Reverse(classes(s)) })
	check(
		"without two classes, the others reversed",
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

// A request in flight keeps the class that it started with while a reload moves, changes or removes that class: its
// retry is sent, and its late outcome is reported.
func TestRequestStartedBeforeAReloadIsServed(t *testing.T) {
	for name, alter := range map[string]func(map[string]any){
		"class moved":     func(s map[string]any) { slices.Reverse(classes(s)) },
		"class removed":   withoutClass("pay"),
		"class added":     withSearchClass,
		"shorter timeout": func(s map[string]any) { class(s, "pay")["give-up"] = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			answer := make(chan struct{})
			var seen atomic.Int32
			serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.ReadRequest(in) != nil {
					if seen.Add(1) > 1 {
						io.WriteString(conn, sidecartest.ServedResponse)
						continue
					}
					<-answer
					io.WriteString(conn, sidecartest.FailedResponse)
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
				t.Errorf("got %+v, want 200", got)
			}
			for _, e := range []*sidecartest.Endpoint{first, second} {
				if n, _ := e.Counts(); n != 1 || e.Request(0).URL.Path != "/pay/x/y" {
					t.Errorf("an endpoint got %d requests, want 1 of class pay", n)
				}
			}
			w.await("no request in flight", func() (none bool) {
				w.runInLoop(func() { none = len(w.loop.requests.byID) == 0 })
				return none
			})
		})
	}
}

// A request that is read before a reload and reaches the loop after it keeps the class that it was read with: it is
// retried by the rules of that class, not of the one that is now at its position, which is not idempotent.
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
		"class moved":    {order("read", "order", "close", "pay"), http.StatusOK, 2},
		"class removed":  {order("read", "order", "close"), http.StatusOK, 2},
		"not idempotent": {func(s map[string]any) { class(s, "pay")["repeat"] = "side_effect" }, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, sidecartest.RespondFirstThen(sidecartest.FailedResponse, sidecartest.ServedResponse))
			w := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
			next := newConfig(t, w.discovery.address, c.alter)
			busy := make(chan struct{})
			w.loop.events.post(func(balancer.Micros) { <-busy })
			pending := make(chan reply)
			go func() { pending <- w.send(w.request("pay", "x", time.Minute)) }()
			w.await("the request to be read", func() bool { return w.server.inFlight.count() == 1 })
			go w.loop.events.runUrgent(func(balancer.Micros) { w.loop.reload(next) })
			w.await("the reload to wait", func() bool { return len(w.loop.events.urgent) == 1 })
			close(busy)
			if got := <-pending; got.code != c.code {
				t.Errorf("got %+v, want %d", got, c.code)
			}
			if n, _ := e.Counts(); n != c.attempts || w.loop.current.Load().Generation != 2 {
				t.Errorf("got %d attempts in generation %d, want %d in 2", n, w.loop.current.Load().Generation, c.attempts)
			}
		})
	}
}

// A retry that waits for its connection is not sent if its class is no longer idempotent, and the client is not told
// that the request has not run. A first attempt is sent.
func TestReloadToUnsafeClassAppliesToUnsentAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		blocked int32 // number of the dial that waits, from 1
		code    int
	}{"retry": {2, http.StatusBadGateway}, "first attempt": {1, http.StatusOK}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var dials, seen atomic.Int32
			serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.ReadRequest(in) != nil {
					seen.Add(1)
					if c.code == http.StatusOK {
						io.WriteString(conn, sidecartest.ServedResponse)
					} else {
						io.WriteString(conn, sidecartest.FailedResponse)
					}
				}
			}
			first, second := sidecartest.NewEndpoint(t, serve), sidecartest.NewEndpoint(t, serve)
			w := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
			dialing, unblock := make(chan struct{}), make(chan struct{})
			w.runInLoop(func() {
				w.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
					if dials.Add(1) == c.blocked {
						close(dialing)
						<-unblock
					}
					return nil
				}
			})
			answer := make(chan reply)
			go func() { answer <- w.send(w.request("read", "", time.Minute)) }()
			<-dialing
			w.reload(func(s map[string]any) { class(s, "read")["repeat"] = "side_effect" })
			close(unblock)
			if got := <-answer; got.code != c.code {
				t.Errorf("got %+v, want %d", got, c.code)
			}
			if seen.Load() != 1 {
				t.Errorf("got %d attempts at the endpoints, want 1", seen.Load())
			}
		})
	}
}

// The hash depends on the settings, not on the format of the file or on the sidecar that reads it. A file with equal
// settings changes nothing; changed keys that need a restart are logged.
func TestEqualConfigurationChangesNothing(t *testing.T) {
	e := newServingEndpoint(t)
	w := start(t, nil, ready("s-1", e.Address))
	first := w.loop.current.Load()
	if log := w.reload(nil); log != "" || w.loop.current.Load() != first {
		t.Errorf("got log %q and generation %d, want none and the first", log, w.loop.current.Load().Generation)
	}
	log := w.captureLog(func() {
		next := *newConfig(t, w.discovery.address, nil)
		next.Name, next.ListenAddress, next.Seed, next.Limits.MemoryMB = "n1", "127.0.0.1:1", 7, 64
		w.loop.reload(&next)
	})
	if !strings.Contains(log, `needs_restart="[name listen seed limits.memory_mb]"`) ||
		w.loop.current.Load() != first ||
		strings.Count(log, "\n") != 1 {
		t.Errorf("got log %q, want one line with the keys that need a restart", log)
	}
	text := func(settings string) string {
		return `{"settings":` + settings + `,"seed":"1","discovery":"127.0.0.1:2","listen":"127.0.0.1:1",` +
			`"limits":{"sockets":256,"memory_mb":9}}`
	}
	for name, c := range map[string]struct {
		old, new string
		same     bool
	}{
		"white space": {`{"name":"pay",`, "{ \"name\" :\t\"pay\",\n", true},
		"area order":  {`"areas":["a","b"]`, `"areas":["b","a"]`, true},
		"key order":   {`{"name":"read","repeat":"pure",`, `{"repeat":"pure","name":"read",`, true},
		"position":    {`"position":0,"zone":0`, `"position":3,"zone":1`, true},
		"class":       {`"target":600000`, `"target":600001`, false},
		"limit":       {`"keepalive":5000000`, `"keepalive":5000001`, false},
	} {
		cfg, err := config.Parse([]byte(text(strings.Replace(sidecartest.SettingsText, c.old, c.new, 1))))
		if err != nil || (cfg.Hash() == first.FileHash) != c.same || len(cfg.Hash()) != 2*config.HashBytes {
			t.Errorf("%s: got hash %s (%v), want it equal to %s: %v", name, cfg.Hash(), err, first.FileHash, c.same)
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
	t.Cleanup(func() { close(signals) })
	configs := config.ReloadOnSignal(path, signals)
	valid := `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + w.discovery.address + `","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":256},"settings":` + sidecartest.SettingsText + `}`
	reloads := 0
	for _, c := range []struct{ old, new, key string }{
		{valid, "", "config.json"},
		{valid, valid[:200], "JSON"},
		{valid, "[" + valid + "]", "array into Go value of type config.configFile"},
		{`"sockets":256`, `"sockets":1`, "limits.sockets"},
		{`"sockets":256`, `"sockets":"x"`, "limits.sockets"},
		{`"seed":"8`, `"seed":"x`, "seed"},
		{`"name":"pay"`, `"name":"read"`, "classes.1.name"},
		{`"target":600000`, `"target":0`, "Classes[0].LatencyObjective"},
		{`"window":5000000`, `"window":-1`, "DeduplicationWindow"},
		{`"target":600000`, `"target":1e400`, "classes.0.target"},
		{`"most-tries":3`, `"most-tries":0`, "MaxAttempts"},
		{`"cold-from":0.3`, `"cold-from":2`, "SlowStartInitialFraction"},
		{`"tenants":[]`, `"tenants":[{"name":"a"},{"name":"a"}]`, "tenants.1.name"},
		{`"dial-timeout":2000000`, `"dial-timeout":0`, "limits.dial-timeout"},
		{sidecartest.SettingsText, "{}", "classes"},
	} {
		text := strings.Replace(valid, c.old, c.new, 1)
		if text == valid {
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
		reloads++
		log := w.captureLog(func() { w.loop.reload(next) })
		if strings.Count(log, "\n") != 1 || !strings.Contains(log, `msg="configuration not reloaded"`) ||
			!strings.Contains(log, c.key) || !strings.Contains(log, fmt.Sprintf("reloads_rejected=%d", reloads)) {
			t.Errorf("%s: got log %q, want one line with %q and the count %d", c.new, log, c.key, reloads)
		}
	}
	if now := w.loop.current.Load(); now != first || w.loop.cfg != first.Config {
		t.Errorf("got generation %d, want the first", now.Generation)
	}
	if got := w.send(w.request("pay", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	counts := w.captureLog(func() { w.loop.logStats(w.loop.clock.now()) })
	want := fmt.Sprintf("generation=1 hash=%s reloads=0 reloads_rejected=%d", first.FileHash, reloads)
	if !strings.Contains(counts, want) {
		t.Errorf("got counts %q, want %q", counts, want)
	}
}

// Overrides by operators and attributes from discovery survive a change of settings, which does not call discovery
// again. Limits apply at once, also to connections.
func TestReloadKeepsEndpointsAndAppliesLimits(t *testing.T) {
	e := newServingEndpoint(t)
	w := startWithConfig(t, nil, longWaits, ready("s-1", e.Address), ready("s-2", e.Address))
	w.await("the watch", func() bool { return w.discovery.callCount() == 2 })
	var before, after map[uint32]endpoint
	var watchBefore, watchAfter *discovery.Client
	endpoints := func() map[uint32]endpoint {
		all := map[uint32]endpoint{}
		for id, m := range w.loop.endpoints.byID {
			all[id] = *m
		}
		return all
	}
	w.runInLoop(func() {
		now := w.loop.clock.now()
		drained := discovery.List{Entries: []discovery.Entry{drainingEntry("s-1", e.Address)}}
		w.loop.updateEndpoints(now, balancer.ListDelta, drained)
		w.loop.applyOverrides(now, []operatorstate.Override{{Name: "s-2", Cordoned: true}})
		before, watchBefore = endpoints(), w.loop.watcher.client
	})
	next := *newConfig(t, w.discovery.address, func(s map[string]any) {
		limits := s["limits"].(map[string]any)
		limits["dial-timeout"], limits["keepalive"], limits["most-held"] = 7000, 4000, 9
		s["reporting"] = map[string]any{"how": "probe", "fields": []string{"pending"}}
	})
	next.Limits.Sockets = 128
	var previous, current upstream.Result
	previous.Load, previous.ReportFormat = w.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
	w.runInLoop(func() {
		w.loop.reload(&next)
		after, watchAfter = endpoints(), w.loop.watcher.client
		current.Load, current.ReportFormat = w.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
		if load := w.loop.currentLoadReport(current); len(load) != 1 || load[0] != 2 {
			t.Errorf("a report that was parsed by the new fields: got %v, want [2]", load)
		}
		if load := w.loop.currentLoadReport(previous); load != nil {
			t.Errorf("a report that was parsed by the previous fields: got %v, want none", load)
		}
	})
	if len(before) != 2 || before[1] != after[1] || before[2] != after[2] ||
		!w.loop.endpoints.overrides["s-2"].Cordoned {
		t.Errorf("got endpoints %+v, want %+v and s-2 cordoned", after, before)
	}
	if watchBefore != watchAfter || w.discovery.callCount() != 2 {
		t.Error("a change of settings calls discovery, want the same watch")
	}
	want := upstream.ConnectionLimits{
		DialTimeout:    7 * time.Millisecond,
		MaxIdleTime:    3 * time.Millisecond,
		MaxConnections: maxConnections(&next),
	}
	if got := w.loop.upstream.Limits(); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
	if connections, used := w.server.clients.Limits(); connections != maxConnections(&next) ||
		used != 128/usedConnectionsDivisor {
		t.Errorf("got limits of %d client connections and %d used ones, want %d and %d",
			connections, used, maxConnections(&next), 128/usedConnectionsDivisor)
	}
}

// A reload before the first event, during a drain by operators or after SIGTERM applies as at any other time.
func TestReloadBeforeTheStartAndWhileDraining(t *testing.T) {
	e := newServingEndpoint(t)
	w := &harness{t: t, discovery: newFakeDiscovery(t, ready("s-1", e.Address))}
	cfg := newConfig(t, w.discovery.address, nil, ready("s-1", e.Address))
	l, err := newLoop(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	reloaded := make(chan struct{})
	go func() {
		l.events.runUrgent(func(balancer.Micros) { l.reload(newConfig(t, w.discovery.address, withSearchClass)) })
		close(reloaded)
	}()
	sidecartest.Await(t, "the reload to wait", func() bool { return len(l.events.urgent) == 1 })
	go l.run()
	<-reloaded
	if now := l.current.Load(); now.Generation != 2 || len(now.Classes) != 5 {
		t.Errorf("during startup: got generation %d and classes %v, want 2 and 5 classes", now.Generation, now.Classes)
	}

	w = start(t, nil, ready("s-1", e.Address))
	w.server.drainPeriod = sidecartest.WaitTimeout
	w.server.drainedByOperator.Store(true)
	w.reload(withSearchClass)
	got := w.send(w.request("search", "x", time.Minute))
	if got.code != http.StatusOK || w.server.acceptsRequests() {
		t.Errorf("during a drain by operators: got %+v, want 200 and the drain to last", got)
	}
	w.stop()
	w.await("the end of service", w.server.draining)
	w.reload(func(s map[string]any) {
		s["classes"] = []any{map[string]any{"name": "find", "repeat": "side_effect", "target": 1, "give-up": 1}}
	})
	if got := w.send(w.request("find", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("after SIGTERM: got %+v, want 200", got)
	}
}
