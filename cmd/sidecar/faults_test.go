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

// faultyFleet is a running sidecar with its discovery service and its endpoints. Every third endpoint is
// behind a fault proxy.
type faultyFleet struct {
	t         *testing.T
	socket    *passedSocket
	config    string // configuration of the sidecar as JSON
	injection string // path of the faults.Injection that all processes of the sidecar read
	recorder  *requestRecorder
	program   *program
}

// faultyFleetSize is the number of endpoints of a faultyFleet.
const faultyFleetSize = 12

func newFaultyFleet(t *testing.T) *faultyFleet {
	t.Helper()
	fleet := &faultyFleet{t: t, socket: newPassedSocket(t),
		recorder: &requestRecorder{arrivals: map[string]arrivalRecord{}}}
	fleet.injection = filepath.Join(t.TempDir(), "injection")
	entries := make([]string, faultyFleetSize)
	for i := range entries {
		address := newEndpoint(t, fleet.recorder)
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
	fleet.config = strings.Replace(text, `"discovery":"127.0.0.1:1"`, address, 1)
	fleet.program = fleet.launch()
	return fleet
}

// launch starts a process of the sidecar and waits until it is ready.
func (fleet *faultyFleet) launch() *program {
	fleet.t.Helper()
	p := fleet.socket.launch(fleet.t, fleet.config, injectionVar+"="+fleet.injection)
	waitFor(fleet.t, "the program to be ready", p.healthy)
	return p
}

// replaceProgram launches a new process of the sidecar, makes it fleet.program, and returns the previous process, which
// is still running.
func (fleet *faultyFleet) replaceProgram() (old *program) {
	fleet.t.Helper()
	old, fleet.program = fleet.program, fleet.launch()
	return old
}

// waitForExit waits until old, the replaced process, exits. It fails the test if the process ended with an error or
// aborted requests.
func (fleet *faultyFleet) waitForExit(old *program) {
	fleet.t.Helper()
	if err := old.Wait(); err != nil {
		fleet.t.Errorf("got exit error %v of the replaced process, want exit code 0", err)
	}
	if n := old.log.count("aborted by shutdown"); n > 0 {
		fleet.t.Errorf("got %d requests aborted by shutdown, want none", n)
	}
}

// adminCall repeats an admin call to the current process until it succeeds.
func (fleet *faultyFleet) adminCall(path string) {
	fleet.t.Helper()
	waitFor(fleet.t, path, func() bool {
		response, err := http.Post("http://"+fleet.program.admin+path, "", nil)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// inject replaces the faults that are injected into the processes of the sidecar.
func (fleet *faultyFleet) inject(i faults.Injection) {
	fleet.t.Helper()
	if err := i.Store(fleet.injection); err != nil {
		fleet.t.Fatal(err)
	}
}

// processFault is a fault, or an operation such as a reload, during which a faultyFleet must continue to serve.
type processFault struct {
	inject        func(fleet *faultyFleet)
	maxUnanswered int // limit on requests whose connection ended without a response
}

// maxUnansweredWhenDrained limits the requests that get no response because a drained sidecar closes an idle connection
// while a request is on its way. A client has at most one open connection and one request on it, so each closed
// connection leaves at most one request unanswered.
const maxUnansweredWhenDrained = 40

var processFaults = map[string]processFault{
	"none":                    {func(*faultyFleet) {}, 0},
	"shortage of descriptors": {(*faultyFleet).exhaustDescriptors, 0},
	"paused":                  {(*faultyFleet).pauseRepeatedly, 0},
	"wall clock steps":        {(*faultyFleet).stepWallClock, 0},
	"disk errors":             {(*faultyFleet).failDisk, 0},
	"configuration reloads":   {(*faultyFleet).reloadRepeatedly, 0},
	"drained and resumed":     {(*faultyFleet).drainRepeatedly, maxUnansweredWhenDrained},
	"hand-over":               {(*faultyFleet).handOver, maxUnansweredWhenDrained},
	"hand-over, shortage of descriptors, repeated signals": {(*faultyFleet).handOverUnderFaults, maxUnansweredWhenDrained},
}

func (fleet *faultyFleet) exhaustDescriptors() {
	fleet.t.Helper()
	before, err := faults.LimitDescriptors(fleet.program.Process, 8)
	if err != nil {
		fleet.t.Fatal(err)
	}
	time.Sleep(400 * time.Millisecond)
	if _, err := faults.LimitDescriptors(fleet.program.Process, before); err != nil {
		fleet.t.Fatal(err)
	}
}

func (fleet *faultyFleet) pauseRepeatedly() {
	fleet.t.Helper()
	for range 3 {
		if err := faults.Pause(fleet.program.Process, 150*time.Millisecond); err != nil {
			fleet.t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (fleet *faultyFleet) stepWallClock() {
	fleet.t.Helper()
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, 0} {
		fleet.inject(faults.Injection{WallClockStep: step})
		fleet.adminCall("/admin/cordon?name=s-1")
		fleet.adminCall("/admin/uncordon?name=s-1")
		time.Sleep(50 * time.Millisecond)
	}
}

func (fleet *faultyFleet) failDisk() {
	fleet.t.Helper()
	for _, operation := range []faults.FileOperation{faults.Write, faults.Sync, faults.Rename, faults.Read} {
		fleet.inject(faults.Injection{FailOperation: operation, Errno: syscall.EIO})
		time.Sleep(100 * time.Millisecond)
	}
	fleet.inject(faults.Injection{})
	fleet.adminCall("/admin/cordon?name=s-1")
}

func (fleet *faultyFleet) reloadRepeatedly() {
	fleet.t.Helper()
	for i := range 20 {
		target := fmt.Sprintf(`"target":%d`, 300000+i)
		fleet.program.replaceConfig(strings.Replace(fleet.config, `"target":300000`, target, 1))
		fleet.program.signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
}

func (fleet *faultyFleet) drainRepeatedly() {
	fleet.t.Helper()
	for range 3 {
		fleet.adminCall("/admin/quiesce")
		time.Sleep(300 * time.Millisecond)
		fleet.adminCall("/admin/resume")
	}
}

func (fleet *faultyFleet) handOver() {
	fleet.t.Helper()
	old := fleet.replaceProgram()
	old.signal(syscall.SIGTERM)
	fleet.waitForExit(old)
}

func (fleet *faultyFleet) handOverUnderFaults() {
	fleet.t.Helper()
	old := fleet.replaceProgram()
	if _, err := faults.LimitDescriptors(old.Process, 8); err != nil {
		fleet.t.Fatal(err)
	}
	old.signal(syscall.SIGTERM)
	old.signal(syscall.SIGHUP)
	old.signal(syscall.SIGTERM)
	if err := faults.Pause(old.Process, 100*time.Millisecond); err != nil {
		fleet.t.Fatal(err)
	}
	if err := old.Wait(); err != nil {
		fleet.t.Errorf("got exit error %v of the replaced process, want exit code 0", err)
	}
}

// Guards against a fault or an operation that ends the process, loses or duplicates a response, or stops the service
// for good. During each fault or operation the process must keep running, and each forwarded request must get exactly
// one response. Requests must be served afterwards. A connection may end without a response to its request only while
// the sidecar is drained or its process is replaced.
func TestServesThroughFaults(t *testing.T) {
	for name, fault := range processFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newFaultyFleet(t)
			clients := startTraffic(fleet.socket.address, fleet.recorder, 24)
			waitFor(t, "the first responses", func() bool { return clients.served.Load() > 20 })
			fault.inject(fleet)
			before := clients.served.Load()
			waitFor(t, "responses after the fault", func() bool { return clients.served.Load() > before+20 })
			clients.stop()
			clients.check(t, fault.maxUnanswered)
			fleet.program.terminate()
		})
	}
}

// Guards against requests lost in a hand-over, when SIGTERM reaches the old process at an unfavourable moment after the
// start of the new one. Each request that either process forwards must get exactly one response.
func TestHandOverAtAnyMomentLosesNoRequest(t *testing.T) {
	fleet := newFaultyFleet(t)
	clients := startTraffic(fleet.socket.address, fleet.recorder, 24)
	for delay := time.Duration(0); delay <= 120*time.Millisecond; delay += 20 * time.Millisecond {
		old := fleet.replaceProgram()
		time.Sleep(delay)
		old.signal(syscall.SIGTERM)
		fleet.waitForExit(old)
	}
	clients.stop()
	clients.check(t, 100)
}

// Guards against forwarding too much remaining time after a pause. This would happen if a process that is stopped while
// requests wait in its socket counted each request's time from the moment when it reads the request.
func TestPausedProcessForwardsRemainingTime(t *testing.T) {
	const pause, slack = 500 * time.Millisecond, 350 * time.Millisecond // slack is for a busy machine
	fleet := newFaultyFleet(t)
	fleet.program.signal(syscall.SIGSTOP)
	var ids []string
	written := time.Now()
	for i := range 20 {
		conn, err := net.Dial("tcp", fleet.socket.address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		id := fmt.Sprintf("paused-%d", i)
		sender := &traffic{recorder: fleet.recorder}
		if err := sender.writeRequest(conn, id, true); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
		go http.ReadResponse(bufio.NewReader(conn), nil)
	}
	time.Sleep(pause)
	fleet.program.signal(syscall.SIGCONT)
	time.Sleep(trafficTimeLeft)
	for _, id := range ids {
		a := fleet.recorder.lookup(id)
		if remaining := trafficTimeLeft - a.at.Sub(written); a.count > 0 && a.timeLeft > remaining+slack {
			t.Errorf("%s: got forwarded remaining time %v, want at most the client's %v plus %v",
				id, a.timeLeft, remaining, slack)
		}
	}
	fleet.program.terminate()
}

// Guards against losing an operator's confirmed override, or storing a damaged state, when a process is killed during
// admin calls. After each kill, the state file that the next process uses must contain every override whose admin
// call succeeded.
func TestKilledProcessKeepsConfirmedOverrides(t *testing.T) {
	fleet := newFaultyFleet(t)
	expected := map[string]bool{}
	for round := range 12 {
		cordon, path := round%2 == 0, "/admin/uncordon?name="
		if cordon {
			path = "/admin/cordon?name="
		}
		killed := make(chan error, 1)
		time.AfterFunc(time.Duration(round)*500*time.Microsecond, func() { killed <- fleet.program.Process.Kill() })
		for i := range faultyFleetSize {
			name := fmt.Sprintf("s-%d", i)
			delete(expected, name) // not expected until the call succeeds: an interrupted call may or may not have taken effect
			response, err := http.Post("http://"+fleet.program.admin+path+name, "", nil)
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
		fleet.program.Wait()
		fleet.program = fleet.launch()
		if n := fleet.program.log.count("operator state ignored"); n > 0 {
			t.Errorf("got %d log lines about an ignored operator state, want none", n)
		}
		checkOverrides(t, filepath.Join(fleet.socket.folder, "oakproxy-state.json"), expected)
	}
}

// checkOverrides checks that the state file at path contains the expected overrides. The keys of expected are endpoint
// names; the values say whether the endpoint is cordoned. checkOverrides ignores endpoints that are not in expected.
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
