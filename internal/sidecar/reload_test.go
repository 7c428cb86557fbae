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

// withoutClass returns a function that removes a class from the settings.
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

// reload reloads the configuration with the changes that alter makes to the settings, and returns what the loop logs
// meanwhile. alter may be nil.
func (h *harness) reload(alter func(settings map[string]any)) string {
	h.t.Helper()
	next := newConfig(h.t, h.discovery.address, alter)
	return h.captureLog(func() { h.loop.reload(next) })
}

// captureLog runs f in the loop and returns what the loop logs during f.
func (h *harness) captureLog(f func()) string {
	h.t.Helper()
	var text bytes.Buffer
	h.runInLoop(func() {
		previous, captured := h.loop.log, slog.New(slog.NewTextHandler(&text, nil))
		h.loop.log, h.loop.watcher.log, h.loop.stats.log = captured, captured, captured
		f()
		h.loop.log, h.loop.watcher.log, h.loop.stats.log = previous, previous, previous
	})
	return text.String()
}

// Requests of a class are served once a reload has added the class, and rejected once a reload has removed it. Tenants
// are added and removed in the same way. The other classes keep their rules, even if their position in the list
// changes.
func TestReloadAddsAndRemovesClassesAndTenants(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	check := func(state string, want map[string]int) {
		t.Helper()
		for name, code := range want {
			r := h.request(name, "x", time.Minute)
			r.Header.Set("X-Account", "acme")
			if got := h.send(r); got.code != code {
				t.Errorf("%s: class %s: got %+v, want %d", state, name, got, code)
			}
		}
	}
	check("at startup", map[string]int{"search": 400, "read": 200, "pay": 200, "order": 200})
	if log := h.reload(withSearchClass); !strings.Contains(log, `msg="configuration in force" generation=2 hash=`) ||
		!strings.Contains(log, "changed=[classes]") || strings.Count(log, "\n") != 1 {
		t.Errorf("got log %q, want one line with generation 2 and changed=[classes]", log)
	}
	check("with an added class", map[string]int{"search": 200, "read": 200, "pay": 200, "order": 200})
	h.reload(func(s map[string]any) { withoutClass("pay")(s); slices.Reverse(classes(s)) })
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
	h.reload(tenants("other"))
	check("without the tenant", map[string]int{"read": 400})
	h.reload(tenants("other", "acme"))
	check("with the tenant", map[string]int{"read": 200})
}

// A request in flight keeps the class that it started with if a reload moves, changes or removes that class. The
// request's retry is still sent. Its late outcome is reported, so that the loop has no request left in the end.
func TestRequestStartedBeforeAReloadIsServed(t *testing.T) {
	for name, alter := range map[string]func(map[string]any){
		"class moved":     func(s map[string]any) { slices.Reverse(classes(s)) },
		"class removed":   withoutClass("pay"),
		"class added":     withSearchClass,
		"shorter timeout": func(s map[string]any) { class(s, "pay")["give-up"] = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			var seen atomic.Int32
			serve := func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
				for e.ReadRequest(in) != nil {
					if seen.Add(1) > 1 {
						io.WriteString(conn, sidecartest.ServedResponse)
						continue
					}
					<-release
					io.WriteString(conn, sidecartest.FailedResponse)
				}
			}
			first, second := sidecartest.NewEndpoint(t, serve), sidecartest.NewEndpoint(t, serve)
			h := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
			pending := make(chan reply)
			go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
			h.await("the request in flight", func() bool { return seen.Load() == 1 })
			h.reload(alter)
			close(release)
			if got := <-pending; got.code != http.StatusOK || got.body != "done" {
				t.Errorf("got %+v, want 200", got)
			}
			for _, e := range []*sidecartest.Endpoint{first, second} {
				if n, _ := e.Counts(); n != 1 || e.Request(0).URL.Path != "/pay/x/y" {
					t.Errorf("an endpoint got %d requests, want 1 with the path /pay/x/y", n)
				}
			}
			h.await("no request in flight", func() (none bool) {
				h.runInLoop(func() { none = len(h.loop.requests.byID) == 0 })
				return none
			})
		})
	}
}

// A request may be read before a reload and reach the loop after it. It keeps the class that it was read with and is
// retried by the rules of that class. In the reloaded list of classes, another class, which is not idempotent, is at
// the same position; its rules do not apply. If the reload makes the request's own class non-idempotent, the request is
// not retried.
func TestRequestReadBeforeAReloadKeepsItsClass(t *testing.T) {
	withClasses := func(names ...string) func(map[string]any) {
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
		"class moved":    {withClasses("read", "order", "close", "pay"), http.StatusOK, 2},
		"class removed":  {withClasses("read", "order", "close"), http.StatusOK, 2},
		"not idempotent": {func(s map[string]any) { class(s, "pay")["repeat"] = "side_effect" }, http.StatusBadGateway, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := sidecartest.NewEndpoint(t, sidecartest.RespondFirstThen(sidecartest.FailedResponse, sidecartest.ServedResponse))
			h := start(t, nil, ready("s-1", e.Address), ready("s-2", e.Address))
			next := newConfig(t, h.discovery.address, c.alter)
			unblockLoop := make(chan struct{})
			h.loop.events.post(func(balancer.Micros) { <-unblockLoop })
			pending := make(chan reply)
			go func() { pending <- h.send(h.request("pay", "x", time.Minute)) }()
			h.await("the request to be read", func() bool { return h.server.inFlight.count() == 1 })
			go h.loop.events.runUrgent(func(balancer.Micros) { h.loop.reload(next) })
			h.await("the reload to wait", func() bool { return len(h.loop.events.urgent) == 1 })
			close(unblockLoop)
			if got := <-pending; got.code != c.code {
				t.Errorf("got %+v, want %d", got, c.code)
			}
			if n, _ := e.Counts(); n != c.attempts || h.loop.current.Load().Generation != 2 {
				t.Errorf("got %d attempts in generation %d, want %d in 2", n, h.loop.current.Load().Generation, c.attempts)
			}
		})
	}
}

// A retry may wait for its connection while a reload makes its class non-idempotent. The retry is not sent. The client
// gets 502 and not 503, which would claim that the request has not run. A first attempt that waits is still sent.
func TestReloadToNonIdempotentClassAppliesToUnsentAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		blocked int32 // number of the dial that waits for the reload, counted from 1
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
			h := start(t, nil, ready("s-1", first.Address), ready("s-2", second.Address))
			dialing, unblock := make(chan struct{}), make(chan struct{})
			h.runInLoop(func() {
				h.loop.upstream.Dialer.Control = func(string, string, syscall.RawConn) error {
					if dials.Add(1) == c.blocked {
						close(dialing)
						<-unblock
					}
					return nil
				}
			})
			answer := make(chan reply)
			go func() { answer <- h.send(h.request("read", "", time.Minute)) }()
			<-dialing
			h.reload(func(s map[string]any) { class(s, "read")["repeat"] = "side_effect" })
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

// A reload of a file with equal settings changes nothing. Changed keys that need a restart are logged. The
// configuration's hash depends on the settings, not on the format of the file or on the sidecar that reads it.
func TestEqualConfigurationChangesNothing(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	first := h.loop.current.Load()
	if log := h.reload(nil); log != "" || h.loop.current.Load() != first {
		t.Errorf("got log %q and generation %d, want no log and the first generation",
			log, h.loop.current.Load().Generation)
	}
	log := h.captureLog(func() {
		next := *newConfig(t, h.discovery.address, nil)
		next.Name, next.ListenAddress, next.Seed, next.Limits.MemoryMB = "n1", "127.0.0.1:1", 7, 64
		h.loop.reload(&next)
	})
	if !strings.Contains(log, `needs_restart="[name listen seed limits.memory_mb]"`) ||
		h.loop.current.Load() != first ||
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

// An invalid configuration changes nothing. One log line names the key at fault, and the rejection is counted.
func TestInvalidConfigurationChangesNothing(t *testing.T) {
	e := newServingEndpoint(t)
	h := start(t, nil, ready("s-1", e.Address))
	first := h.loop.current.Load()
	path := filepath.Join(t.TempDir(), "config.json")
	signals := make(chan os.Signal, 1)
	t.Cleanup(func() { close(signals) })
	configs := config.ReloadOnSignal(path, signals)
	valid := `{"name":"n0","listen":"127.0.0.1:0","discovery":"` + h.discovery.address + `","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":256},"settings":` + sidecartest.SettingsText + `}`
	rejectedReloads := 0
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
		rejectedReloads++
		log := h.captureLog(func() { h.loop.reload(next) })
		if strings.Count(log, "\n") != 1 || !strings.Contains(log, `msg="configuration not reloaded"`) ||
			!strings.Contains(log, c.key) || !strings.Contains(log, fmt.Sprintf("reloads_rejected=%d", rejectedReloads)) {
			t.Errorf("%s: got log %q, want one line with %q and the count %d", c.new, log, c.key, rejectedReloads)
		}
	}
	if inForce := h.loop.current.Load(); inForce != first || h.loop.cfg != first.Config {
		t.Errorf("got generation %d, want the first with its configuration", inForce.Generation)
	}
	if got := h.send(h.request("pay", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("got %+v, want 200", got)
	}
	counts := h.captureLog(func() { h.loop.logStats(h.loop.clock.now()) })
	want := fmt.Sprintf("generation=1 hash=%s reloads=0 reloads_rejected=%d", first.FileHash, rejectedReloads)
	if !strings.Contains(counts, want) {
		t.Errorf("got counts %q, want %q", counts, want)
	}
}

// Overrides by operators and attributes from discovery survive a reload that changes settings. Such a reload does not
// call discovery again. Changed limits apply at once, including those on connections.
func TestReloadKeepsEndpointsAndAppliesLimits(t *testing.T) {
	e := newServingEndpoint(t)
	h := startWithConfig(t, nil, withLongDiscoveryWait, ready("s-1", e.Address), ready("s-2", e.Address))
	h.await("the watch to begin", func() bool { return h.discovery.callCount() == 2 })
	var before, after map[uint32]endpoint
	var watchBefore, watchAfter *discovery.Client
	copyEndpoints := func() map[uint32]endpoint {
		all := map[uint32]endpoint{}
		for id, entry := range h.loop.endpoints.byID {
			all[id] = *entry
		}
		return all
	}
	h.runInLoop(func() {
		now := h.loop.clock.now()
		drained := discovery.List{Entries: []discovery.Entry{drainingEntry("s-1", e.Address)}}
		h.loop.updateEndpoints(now, balancer.ListDelta, drained)
		h.loop.applyOverrides(now, []operatorstate.Override{{Name: "s-2", Cordoned: true}})
		before, watchBefore = copyEndpoints(), h.loop.watcher.client
	})
	next := *newConfig(t, h.discovery.address, func(s map[string]any) {
		limits := s["limits"].(map[string]any)
		limits["dial-timeout"], limits["keepalive"], limits["most-held"] = 7000, 4000, 9
		s["reporting"] = map[string]any{"how": "probe", "fields": []string{"pending"}}
	})
	next.Limits.Sockets = 128
	var previousResult, currentResult upstream.Result
	previousResult.Load, previousResult.ReportFormat = h.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
	h.runInLoop(func() {
		h.loop.reload(&next)
		after, watchAfter = copyEndpoints(), h.loop.watcher.client
		currentResult.Load, currentResult.ReportFormat = h.loop.upstream.ParseLoadReport("failed_ps=1,pending=2")
		if load := h.loop.currentLoadReport(currentResult); len(load) != 1 || load[0] != 2 {
			t.Errorf("a load report parsed with the new fields: got %v, want [2]", load)
		}
		if load := h.loop.currentLoadReport(previousResult); load != nil {
			t.Errorf("a load report parsed with the previous fields: got %v, want none", load)
		}
	})
	if len(before) != 2 || before[1] != after[1] || before[2] != after[2] ||
		!h.loop.endpoints.overrides["s-2"].Cordoned {
		t.Errorf("got endpoints %+v, want %+v and s-2 cordoned", after, before)
	}
	if watchBefore != watchAfter || h.discovery.callCount() != 2 {
		t.Error("a reload with changed settings began a new watch or called discovery, want neither")
	}
	want := upstream.ConnectionLimits{
		DialTimeout:    7 * time.Millisecond,
		MaxIdleTime:    3 * time.Millisecond,
		MaxConnections: maxConnections(&next),
	}
	if got := h.loop.upstream.Limits(); got != want {
		t.Errorf("got limits %+v, want %+v", got, want)
	}
	if connections, used := h.server.clients.Limits(); connections != maxConnections(&next) ||
		used != 128/usedConnectionsDivisor {
		t.Errorf("got limits of %d client connections and %d used ones, want %d and %d",
			connections, used, maxConnections(&next), 128/usedConnectionsDivisor)
	}
}

// A reload may come before the loop handles its first event, during a drain by operators or after SIGTERM. It applies
// as at any other time.
func TestReloadBeforeTheStartAndWhileDraining(t *testing.T) {
	e := newServingEndpoint(t)
	h := &harness{t: t, discovery: newFakeDiscovery(t, ready("s-1", e.Address))}
	cfg := newConfig(t, h.discovery.address, nil, ready("s-1", e.Address))
	l, err := newLoop(t.Context(), cfg, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	reloaded := make(chan struct{})
	go func() {
		l.events.runUrgent(func(balancer.Micros) { l.reload(newConfig(t, h.discovery.address, withSearchClass)) })
		close(reloaded)
	}()
	sidecartest.Await(t, "the reload to wait", func() bool { return len(l.events.urgent) == 1 })
	go l.run()
	<-reloaded
	if inForce := l.current.Load(); inForce.Generation != 2 || len(inForce.Classes) != 5 {
		t.Errorf("during startup: got generation %d and classes %v, want 2 and 5 classes",
			inForce.Generation, inForce.Classes)
	}

	h = start(t, nil, ready("s-1", e.Address))
	h.server.drainPeriod = sidecartest.WaitTimeout
	h.server.drainedByOperator.Store(true)
	h.reload(withSearchClass)
	got := h.send(h.request("search", "x", time.Minute))
	if got.code != http.StatusOK || h.server.acceptsRequests() {
		t.Errorf("during a drain by operators: got %+v, want 200 and the drain to last", got)
	}
	h.stop()
	h.await("the drain period to begin", h.server.draining)
	h.reload(func(s map[string]any) {
		s["classes"] = []any{map[string]any{"name": "find", "repeat": "side_effect", "target": 1, "give-up": 1}}
	})
	if got := h.send(h.request("find", "x", time.Minute)); got.code != http.StatusOK {
		t.Errorf("after SIGTERM: got %+v, want 200", got)
	}
}
