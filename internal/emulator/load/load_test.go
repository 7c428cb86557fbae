package load

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oakproxy/internal/emulator/endpoint"
)

// startTarget starts an HTTP server with this handler and returns its address.
func startTarget(t *testing.T, handle http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func mustRun(ctx context.Context, t *testing.T, plan Plan) *Report {
	t.Helper()
	report, err := Run(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// scheduledRequests returns all requests of a plan's schedule.
func scheduledRequests(t *testing.T, plan Plan) []request {
	t.Helper()
	plan, err := plan.withDefaults()
	if err != nil {
		t.Fatal(err)
	}
	var all []request
	schedule := newSchedule(plan)
	for next, more := schedule.next(); more; next, more = schedule.next() {
		all = append(all, next)
	}
	return all
}

func TestScheduleMatchesThePlanAndItsSeed(t *testing.T) {
	plan := Plan{Targets: []string{"a", "b"}, Rate: 1000, Duration: 10 * time.Second, Seed: 7,
		Tenants: []string{"t1", "t2"},
		Classes: []Class{{Name: "search", Weight: 3}, {Name: "checkout", HasIdempotencyKey: true, Weight: 1}}}
	all := scheduledRequests(t, plan)
	if len(all) < 9500 || len(all) > 10500 {
		t.Errorf("got %d requests, want 9500 to 10500", len(all))
	}
	counts := map[string]int{}
	for _, r := range all {
		counts[r.target]++
		counts[r.tenant]++
		counts[r.class.Name]++
		hasKey := r.class.Name == "checkout"
		if (r.idempotencyKey != "") != hasKey || (r.class.Method == http.MethodPost) != hasKey {
			t.Fatalf("got request %+v, want POST with an idempotency key for class checkout only", r)
		}
	}
	if fraction := float64(counts["search"]) / float64(len(all)); fraction < 0.72 || fraction > 0.78 {
		t.Errorf("class search has 3 of 4 parts of the weight: got fraction %.3f of the requests, want 0.72 to 0.78",
			fraction)
	}
	if counts["a"] == 0 || counts["b"] == 0 || counts["t1"] == 0 || counts["t2"] == 0 {
		t.Errorf("got request counts %v, want requests for each target and each tenant", counts)
	}
	if !reflect.DeepEqual(all, scheduledRequests(t, plan)) {
		t.Error("two schedules with the same seed differ")
	}
	plan.Arrivals, plan.MaxRequests = Fixed, 3
	if fixed := scheduledRequests(t, plan); len(fixed) != 3 || fixed[2].startOffset != 3*time.Millisecond {
		t.Errorf("fixed arrivals: got %+v, want 3 requests, the last one 3ms after the start", fixed)
	}
}

func TestInvalidPlansAreRejected(t *testing.T) {
	for name, plan := range map[string]Plan{
		"no target":       {Rate: 1, MaxRequests: 1},
		"no rate":         {Targets: []string{"a"}, MaxRequests: 1},
		"no limit":        {Targets: []string{"a"}, Rate: 1},
		"unnamed class":   {Targets: []string{"a"}, Rate: 1, MaxRequests: 1, Classes: []Class{{Weight: 1}}},
		"zero weight":     {Targets: []string{"a"}, Rate: 1, MaxRequests: 1, Classes: []Class{{Name: "x"}}},
		"negative weight": {Targets: []string{"a"}, Rate: 1, MaxRequests: 1, Classes: []Class{{Name: "x", Weight: -1}}},
	} {
		if report, err := Run(context.Background(), plan); err == nil {
			t.Errorf("%s: got report %+v, want an error", name, report)
		}
	}
}

// respondByClass responds to the requests of TestOutcomesAreCounted. The class of a request determines the response,
// and thus the outcome that the test expects.
func respondByClass(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/full":
		w.WriteHeader(http.StatusServiceUnavailable)
	case "/bad":
		w.WriteHeader(http.StatusInternalServerError)
	case "/other":
		_, _ = io.WriteString(w, "a response to another request")
	case "/slow":
		<-r.Context().Done()
	case "/cut":
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}
}

func TestOutcomesAreCounted(t *testing.T) {
	address := startTarget(t, respondByClass)
	for name, want := range map[string]Counts{
		"served": {Planned: 4, Served: 4},
		"full":   {Planned: 4, Rejected: 4},
		"bad":    {Planned: 4, Failed: 4},
		"other":  {Planned: 4, Mismatched: 4},
		"slow":   {Planned: 4, TimedOut: 4},
		"cut":    {Planned: 4, Broken: 4},
	} {
		class := Class{Name: name, Weight: 1}
		if name == "slow" {
			class.Timeout = 20 * time.Millisecond
		}
		plan := Plan{Targets: []string{address}, Rate: 10000, MaxRequests: 4, Classes: []Class{class}}
		report := mustRun(context.Background(), t, plan)
		got := report.Counts
		if got.Connections == 0 || got.BytesOut == 0 || uint64(report.Latency.Count()) != want.Served ||
			report.AllLatency.Count() != 4 {
			t.Errorf("%s: got report %+v, want connections and bytes sent, %d latencies of served requests and 4 of all",
				name, report, want.Served)
		}
		got.Connections, got.BytesIn, got.BytesOut = 0, 0, 0
		if got != want || got.Lost() != want.TimedOut+want.Broken {
			t.Errorf("%s: got counts %+v, want %+v", name, got, want)
		}
	}
}

func TestLatencyIsMeasuredFromTheIntendedStart(t *testing.T) {
	const serviceTime = 10 * time.Millisecond
	address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	})
	report := mustRun(context.Background(), t,
		Plan{Targets: []string{address}, Rate: 1000, MaxRequests: 5, MaxInFlight: 1, Arrivals: Fixed})
	const minLatency = 5*serviceTime - 4*time.Millisecond
	if report.Counts.Served != 5 || report.Latency.Max() < minLatency || report.SendDelay.Max() < minLatency-serviceTime {
		t.Errorf("got counts %+v, want 5 served; got maximum latency %v, want at least %v; "+
			"got maximum send delay %v, want at least %v", report.Counts, report.Latency.Max(), minLatency,
			report.SendDelay.Max(), minLatency-serviceTime)
	}
}

func TestRequestOnAStaleConnectionIsResentOnce(t *testing.T) {
	address := startTarget(t, func(w http.ResponseWriter, r *http.Request) {
		socket, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		_, _ = io.WriteString(socket, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n"+r.Header.Get("X-Correlation-Id"))
		_ = socket.Close()
	})
	plan := Plan{Targets: []string{address}, Rate: 10000, MaxRequests: 3, MaxInFlight: 1}
	if got := mustRun(context.Background(), t, plan).Counts; got.Served != 3 || got.Resent != 2 || got.Connections != 3 {
		t.Errorf("got counts %+v, want 3 served, 2 resent and 3 connections", got)
	}
	plan.Direct = true
	if got := mustRun(context.Background(), t, plan).Counts; got.Served != 2 || got.Broken != 1 || got.Resent != 0 {
		t.Errorf("direct: got counts %+v, want 2 served, 1 broken and 0 resent", got)
	}
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address := startTarget(t, func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	report := mustRun(ctx, t, Plan{Targets: []string{address}, Rate: 100, Duration: time.Hour,
		Classes: []Class{{Name: "x", Weight: 1, Timeout: time.Hour}}})
	if got := report.Counts; got.Cancelled == 0 || got.Cancelled != got.Planned {
		t.Errorf("got counts %+v, want at least 1 planned request and all of them cancelled", got)
	}
}

func TestAwaitReadyPollsUntilReady(t *testing.T) {
	var polls atomic.Int32
	address := startTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		if polls.Add(1) < 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if err := AwaitReady(context.Background(), []string{address}); err != nil || polls.Load() != 3 {
		t.Errorf("got %d polls and error %v, want 3 polls and no error", polls.Load(), err)
	}
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if err := AwaitReady(cancelled, []string{address}); !errors.Is(err, context.Canceled) {
		t.Errorf("with a cancelled context: got error %v, want %v", err, context.Canceled)
	}
}

func TestDirectLoadMatchesTheEndpointsCounts(t *testing.T) {
	e, err := endpoint.Start(endpoint.Config{Name: "s-1", Address: "127.0.0.1:0", Cores: 8, QueueLimit: 100})
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	report := mustRun(context.Background(), t, Plan{Targets: []string{e.Address()}, Rate: 2000, MaxRequests: 50,
		Direct: true, Seed: 1,
		Classes: []Class{{Name: "search", Weight: 1}, {Name: "checkout", HasIdempotencyKey: true, Weight: 1}}})
	if got := e.Counts(); report.Counts.Served != 50 || got.Requests != 50 || got.Duplicates != 0 ||
		report.Counts.BytesOut != got.BytesIn || !report.Direct {
		t.Errorf("got counts %+v of the generator (direct: %v) and %+v of the endpoint, want 50 requests served directly, "+
			"no duplicates, and as many bytes received as sent", report.Counts, report.Direct, got)
	}
}

func TestReportsMergeAfterEncoding(t *testing.T) {
	first, second := NewReport(), NewReport()
	first.Counts = Counts{Planned: 2, Served: 2}
	first.Latency.Record(time.Millisecond)
	second.Counts = Counts{Planned: 3, TimedOut: 3}
	second.Latency.Record(time.Second)
	encoded, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	var received Report
	if err := json.Unmarshal(encoded, &received); err != nil {
		t.Fatal(err)
	}
	first.Merge(&received)
	if got := first.Counts; got.Planned != 5 || got.Served != 2 || got.Lost() != 3 {
		t.Errorf("got merged counts %+v, want 5 planned, 2 served and 3 lost", got)
	}
	if got := first.Latency; got.Count() != 2 || got.Quantile(0.5) != time.Millisecond ||
		got.Max().Round(time.Millisecond) != time.Second {
		t.Errorf("got merged latency with %d values, median %v and maximum %v, want 2 values, 1ms and about 1s",
			got.Count(), got.Quantile(0.5), got.Max())
	}
	if err := json.Unmarshal([]byte(`{"latency":"`+strings.Repeat("x", 9)+`"}`), &received); err == nil {
		t.Error("decoding an invalid histogram: got no error, want one")
	}
}
