package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/faults"
)

// faultyFleet is a running program with endpoints, some of which are behind a fault proxy.
type faultyFleet struct {
	t         *testing.T
	socket    *passedSocket
	config    string // JSON
	injection string // path of the faults that are injected into it
	ledger    *ledger
	program   *program
}

// faultyFleetSize is the number of endpoints of a faultyFleet.
const faultyFleetSize = 12

func newFaultyFleet(t *testing.T) *faultyFleet {
	t.Helper()
	w := &faultyFleet{t: t, socket: newPassedSocket(t), ledger: &ledger{arrivals: map[string]arrival{}}}
	w.injection = filepath.Join(t.TempDir(), "injection")
	entries := make([]string, faultyFleetSize)
	for i := range entries {
		address := newEndpoint(t, w.ledger)
		if i%3 == 0 {
			address = newFaultProxy(t, address)
		}
		entries[i] = fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","health":"Ready","share":1}`, i, address)
	}
	list := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(entries, ","))
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.FormValue("wait_ms") != "" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(w, list)
	}))
	t.Cleanup(discovery.Close)
	text := terminationConfig("127.0.0.1:1", "", 0)
	from, to := strings.Index(text, `"known":`), strings.Index(text, `"settings":`)
	text = text[:from] + `"known":` + list + "," + text[to:]
	address := fmt.Sprintf(`"discovery":%q`, discovery.Listener.Addr())
	w.config = strings.Replace(text, `"discovery":"127.0.0.1:1"`, address, 1)
	w.program = w.launch()
	return w
}

// launch starts a process of this sidecar and waits until it is ready.
func (w *faultyFleet) launch() *program {
	w.t.Helper()
	p := w.socket.launch(w.t, w.config, injectionVar+"="+w.injection)
	waitFor(w.t, "the program to be ready", p.healthy)
	return p
}

// replaceProgram launches a process of this sidecar beside the running one, and returns the latter.
func (w *faultyFleet) replaceProgram() (old *program) {
	w.t.Helper()
	old, w.program = w.program, w.launch()
	return old
}

// waitForExit waits until a process that was replaced exits, without error and without aborted requests.
func (w *faultyFleet) waitForExit(old *program) {
	w.t.Helper()
	if err := old.Wait(); err != nil {
		w.t.Errorf("the replaced process ended with %v, want exit code 0", err)
	}
	if n := old.log.count("aborted by shutdown"); n > 0 {
		w.t.Errorf("got %d requests aborted by shutdown, want none", n)
	}
}

// adminCall repeats an admin call until it succeeds.
func (w *faultyFleet) adminCall(path string) {
	w.t.Helper()
	waitFor(w.t, path, func() bool {
		response, err := http.Post("http://"+w.program.admin+path, "", nil)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// inject replaces the faults that are injected into the program.
func (w *faultyFleet) inject(i faults.Injection) {
	w.t.Helper()
	if err := i.Store(w.injection); err != nil {
		w.t.Fatal(err)
	}
}

// processFault is a fault, or an operation, under which a faultyFleet must keep serving.
type processFault struct {
	inject   func(w *faultyFleet)
	maxEnded int // limit of requests on connections that ended
}

// maxCrossing limits the requests that cross the end of a drained connection; each client has one connection.
const maxCrossing = 40

var processFaults = map[string]processFault{
	"none":                    {func(*faultyFleet) {}, 0},
	"shortage of descriptors": {(*faultyFleet).exhaustDescriptors, 0},
	"paused":                  {(*faultyFleet).pauseRepeatedly, 0},
	"wall clock steps":        {(*faultyFleet).stepWallClock, 0},
	"disk errors":             {(*faultyFleet).failDisk, 0},
	"configuration reloads":   {(*faultyFleet).reloadRepeatedly, 0},
	"drained and resumed":     {(*faultyFleet).drainRepeatedly, maxCrossing},
	"hand-over":               {(*faultyFleet).handOver, maxCrossing},
	"hand-over, shortage of descriptors, repeated signals": {(*faultyFleet).handOverUnderFaults, maxCrossing},
}

func (w *faultyFleet) exhaustDescriptors() {
	w.t.Helper()
	before, err := faults.LimitDescriptors(w.program.Process, 8)
	if err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	if _, err := faults.LimitDescriptors(w.program.Process, before); err != nil {
		w.t.Fatal(err)
	}
}

func (w *faultyFleet) pauseRepeatedly() {
	w.t.Helper()
	for range 3 {
		if err := faults.Pause(w.program.Process, 150*time.Millisecond); err != nil {
			w.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (w *faultyFleet) stepWallClock() {
	w.t.Helper()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, 0} {
		w.inject(faults.Injection{WallClockStep: step})
		w.adminCall("/admin/cordon?name=s-1")
		w.adminCall("/admin/uncordon?name=s-1")
		time.Sleep(50 * time.Millisecond)
	}
}

func (w *faultyFleet) failDisk() {
	w.t.Helper()
	for _, operation := range []faults.FileOperation{faults.Write, faults.Sync, faults.Rename, faults.Read} {
		w.inject(faults.Injection{FailOperation: operation, Errno: syscall.EIO})
		time.Sleep(100 * time.Millisecond)
	}
	w.inject(faults.Injection{})
	w.adminCall("/admin/cordon?name=s-1")
}

func (w *faultyFleet) reloadRepeatedly() {
	w.t.Helper()
	for i := range 20 {
		target := fmt.Sprintf(`"target":%d`, 300000+i)
		w.program.replaceConfig(strings.Replace(w.config, `"target":300000`, target, 1))
		w.program.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
}

func (w *faultyFleet) drainRepeatedly() {
	w.t.Helper()
	for range 3 {
		w.adminCall("/admin/quiesce")
		time.Sleep(300 * time.Millisecond)
		w.adminCall("/admin/resume")
	}
}

func (w *faultyFleet) handOver() {
	w.t.Helper()
	old := w.replaceProgram()
	old.signal(syscall.SIGTERM)
	w.waitForExit(old)
}

func (w *faultyFleet) handOverUnderFaults() {
	w.t.Helper()
	old := w.replaceProgram()
	if _, err := faults.LimitDescriptors(old.Process, 8); err != nil {
		w.t.Fatal(err)
	}
	old.signal(syscall.SIGTERM)
	old.signal(syscall.SIGHUP)
	old.signal(syscall.SIGTERM)
	if err := faults.Pause(old.Process, 100*time.Millisecond); err != nil {
		w.t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		w.t.Errorf("the replaced process ended with %v, want exit code 0", err)
	}
}

// Under each fault the process keeps running, each request that it forwards has exactly one response, and it serves
// once the fault is over. No connection may end under a request except where clients are drained.
func TestServesThroughFaults(t *testing.T) {
	for name, fault := range processFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newFaultyFleet(t)
			f := startTraffic(w.socket.address, w.ledger, 24)
			waitFor(t, "the first responses", func() bool { return f.served.Load() > 20 })
			fault.inject(w)
			before := f.served.Load()
			waitFor(t, "responses after the fault", func() bool { return f.served.Load() > before+20 })
			f.stop()
			f.check(t, fault.maxEnded)
			w.program.terminate()
		})
	}
}

// Whenever a process is shut down, the process that replaces it serves, and each request that either forwards has
// exactly one response.
func TestHandOverAtAnyMomentLosesNoRequest(t *testing.T) {
	w := newFaultyFleet(t)
	f := startTraffic(w.socket.address, w.ledger, 24)
	for delay := time.Duration(0); delay <= 120*time.Millisecond; delay += 20 * time.Millisecond {
		old := w.replaceProgram()
		time.Sleep(delay)
		old.signal(syscall.SIGTERM)
		w.waitForExit(old)
	}
	f.stop()
	f.check(t, 100)
}

// After a pause the process forwards no more remaining time than the clients have.
func TestPausedProcessForwardsRemainingTime(t *testing.T) {
	const pause, slack = 500 * time.Millisecond, 350 * time.Millisecond // slack for a busy machine
	w := newFaultyFleet(t)
	w.program.signal(syscall.SIGSTOP)
	var ids []string
	written := time.Now()
	for i := range 20 {
		conn, err := net.Dial("tcp", w.socket.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		id := fmt.Sprintf("paused-%d", i)
		f := &traffic{ledger: w.ledger}
		if err := f.writeRequest(conn, id, true); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
		go http.ReadResponse(bufio.NewReader(conn), nil)
	}
	time.Sleep(pause)
	w.program.signal(syscall.SIGCONT)
	time.Sleep(trafficTimeLeft)
	for _, id := range ids {
		a := w.ledger.of(id)
		if remaining := trafficTimeLeft - a.at.Sub(written); a.count > 0 && a.timeLeft > remaining+slack {
			t.Errorf("%s: got %v of remaining time forwarded, want at most its client's %v", id, a.timeLeft, remaining)
		}
	}
	w.program.terminate()
}

// Overrides whose admin calls succeeded are in force in the next process, whenever the previous one is killed.
func TestKilledProcessKeepsConfirmedOverrides(t *testing.T) {
	w := newFaultyFleet(t)
	expected := map[string]bool{}
	for round := range 12 {
		cordon, path := round%2 == 0, "/admin/uncordon?name="
		if cordon {
			path = "/admin/cordon?name="
		}
		killed := make(chan error, 1)
		time.AfterFunc(time.Duration(round)*500*time.Microsecond, func() { killed <- w.program.Process.Kill() })
		for i := range faultyFleetSize {
			name := fmt.Sprintf("s-%d", i)
			delete(expected, name) // an interrupted call may or may not have taken effect
			response, err := http.Post("http://"+w.program.admin+path+name, "", nil)
			if err != nil {
				break
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				expected[name] = cordon
			}
		}
		if err := <-killed; err != nil {
			t.Fatal(err)
		}
		w.program.Wait()
		w.program = w.launch()
		if n := w.program.log.count("operator state ignored"); n > 0 {
			t.Errorf("got %d log lines on an ignored state, want none", n)
		}
		checkOverrides(t, filepath.Join(w.socket.folder, "oakproxy-state.json"), expected)
	}
}

// checkOverrides compares the cordoned endpoints in a state file with the admin calls that succeeded.
func checkOverrides(t *testing.T, path string, expected map[string]bool) {
	t.Helper()
	var stored struct {
		Hosts []struct {
			Host string
			Out  bool
		}
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &stored)
	}
	if err != nil && len(expected) > 0 {
		t.Fatal(err)
	}
	cordoned := map[string]bool{}
	for _, host := range stored.Hosts {
		cordoned[host.Host] = host.Out
	}
	for name, want := range expected {
		if cordoned[name] != want {
			t.Errorf("%s: got cordoned %v, want %v", name, cordoned[name], want)
		}
	}
}
