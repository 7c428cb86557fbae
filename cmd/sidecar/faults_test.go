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

// faultyWorld is a running program whose endpoints are behind a bad network, with traffic.
type faultyWorld struct {
	t       *testing.T
	socket  *passedSocket
	text    string // of the configuration
	orders  string // file of the orders for its shims
	ledger  *ledger
	program *program
	admin   string
}

// backends is how many endpoints such a program has.
const backends = 12

func newFaultyWorld(t *testing.T) *faultyWorld {
	t.Helper()
	w := &faultyWorld{t: t, socket: newPassedSocket(t), ledger: &ledger{arrivals: map[string]arrival{}}}
	w.orders = filepath.Join(t.TempDir(), "orders")
	hosts := make([]string, backends)
	for i := range hosts {
		address := newBackend(t, w.ledger)
		if i%3 == 0 {
			address = brokenNetwork(t, address)
		}
		hosts[i] = fmt.Sprintf(`{"host":"s-%d","dial":%q,"site":"a","health":"Ready","share":1}`, i, address)
	}
	list := fmt.Sprintf(`{"seq":1,"whole":true,"hosts":[%s]}`, strings.Join(hosts, ","))
	discovery := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		if in.FormValue("wait_ms") != "" {
			time.Sleep(50 * time.Millisecond)
		}
		fmt.Fprint(out, list)
	}))
	t.Cleanup(discovery.Close)
	text := terminationConfig("127.0.0.1:1", "", 0)
	from, to := strings.Index(text, `"known":`), strings.Index(text, `"settings":`)
	text = text[:from] + `"known":` + list + "," + text[to:]
	w.text = strings.Replace(text, `"discovery":"127.0.0.1:1"`, fmt.Sprintf(`"discovery":%q`, discovery.Listener.Addr()), 1)
	w.program, w.admin = w.launch()
	return w
}

// launch starts a process of this sidecar and waits until it is ready.
func (w *faultyWorld) launch() (p *program, admin string) {
	w.t.Helper()
	admin = freeAddress(w.t)
	cmd := command(w.t, w.text)
	cmd.ExtraFiles = []*os.File{w.socket.file}
	cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3", "BALANCER_ADMIN_ADDR="+admin, "TMPDIR="+w.socket.folder, ordersVar+"="+w.orders)
	p = launch(w.t, cmd)
	await(w.t, "the program to be ready", func() bool { return code("http://"+admin+"/admin/health") == http.StatusOK })
	return p, admin
}

// call makes one call of staff, until it is a yes.
func (w *faultyWorld) call(path string) {
	w.t.Helper()
	await(w.t, path, func() bool {
		response, err := http.Post("http://"+w.admin+path, "", nil)
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

func (w *faultyWorld) order(i faults.Injection) {
	w.t.Helper()
	if err := i.Store(w.orders); err != nil {
		w.t.Fatal(err)
	}
}

// Whatever is done to a running process, it stays, each request that it passes on has its one answer, and it serves
// when the trouble is over. No connection may end under a request but where clients are made to leave.
func TestFaultsOfARunningProcess(t *testing.T) {
	const crossing = 40 // at most: a client has one connection, and it is ended for good reason
	for what, c := range map[string]struct {
		do       func(w *faultyWorld)
		maxEnded int
	}{
		"nothing": {func(w *faultyWorld) {}, 0},
		"no descriptors for a moment": {func(w *faultyWorld) {
			before, err := faults.LimitDescriptors(w.program.Process, 8)
			if err != nil {
				w.t.Fatal(err)
			}
			time.Sleep(400 * time.Millisecond)
			if _, err := faults.LimitDescriptors(w.program.Process, before); err != nil {
				w.t.Fatal(err)
			}
		}, 0},
		"held up": {func(w *faultyWorld) {
			for range 3 {
				if err := faults.Pause(w.program.Process, 150*time.Millisecond); err != nil {
					w.t.Fatal(err)
				}
				time.Sleep(100 * time.Millisecond)
			}
		}, 0},
		"steps of the wall clock": {func(w *faultyWorld) {
			for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second, -3 * time.Second, 0} {
				w.order(faults.Injection{WallClockStep: step})
				w.call("/admin/cordon?name=s-1")
				w.call("/admin/uncordon?name=s-1")
				time.Sleep(50 * time.Millisecond)
			}
		}, 0},
		"a disk with errors": {func(w *faultyWorld) {
			for _, operation := range []faults.FileOperation{faults.Write, faults.Sync, faults.Rename, faults.Read} {
				w.order(faults.Injection{FailOperation: operation, Errno: syscall.EIO})
				time.Sleep(100 * time.Millisecond)
			}
			w.order(faults.Injection{})
			w.call("/admin/cordon?name=s-1")
		}, 0},
		"new configurations in a row": {func(w *faultyWorld) {
			for i := range 20 {
				w.program.replace(strings.Replace(w.text, `"target":300000`, fmt.Sprintf(`"target":%d`, 300000+i), 1))
				w.program.signal(syscall.SIGHUP)
				time.Sleep(10 * time.Millisecond)
			}
		}, 0},
		"drained and resumed": {func(w *faultyWorld) {
			for range 3 {
				w.call("/admin/quiesce")
				time.Sleep(300 * time.Millisecond)
				w.call("/admin/resume")
			}
		}, crossing},
		"handed over": {func(w *faultyWorld) {
			next, admin := w.launch()
			old := w.program
			w.program, w.admin = next, admin
			old.signal(syscall.SIGTERM)
			if err := old.Wait(); err != nil {
				w.t.Errorf("the old process ended with %v", err)
			}
			if n := old.log.count("aborted by shutdown"); n > 0 {
				w.t.Errorf("%d requests cut off", n)
			}
		}, crossing},
		"handed over, no descriptors, a signal on its heels": {func(w *faultyWorld) {
			next, admin := w.launch()
			old := w.program
			w.program, w.admin = next, admin
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
				w.t.Errorf("the old process ended with %v", err)
			}
		}, crossing},
	} {
		t.Run(what, func(t *testing.T) {
			t.Parallel()
			w := newFaultyWorld(t)
			f := begin(w.socket.address, w.ledger, 24)
			await(t, "the first answers", func() bool { return f.served.Load() > 20 })
			c.do(w)
			before := f.served.Load()
			await(t, "answers afterwards", func() bool { return f.served.Load() > before+20 })
			f.stop()
			f.check(t, c.maxEnded)
			w.program.signal(syscall.SIGTERM)
			if err := w.program.Wait(); err != nil {
				t.Errorf("the program ended with %v", err)
			}
		})
	}
}

// Whenever a process of a sidecar is ended, and whatever its clients have under way just then, the one that takes over
// serves, and what either passes on has its one answer.
func TestHandOverAtEveryMoment(t *testing.T) {
	w := newFaultyWorld(t)
	f := begin(w.socket.address, w.ledger, 24)
	for moment := time.Duration(0); moment <= 120*time.Millisecond; moment += 20 * time.Millisecond {
		next, admin := w.launch()
		old := w.program
		w.program, w.admin = next, admin
		time.Sleep(moment)
		old.signal(syscall.SIGTERM)
		if err := old.Wait(); err != nil {
			t.Errorf("the old process ended with %v", err)
		}
		if n := old.log.count("aborted by shutdown"); n > 0 {
			t.Errorf("%d requests cut off", n)
		}
	}
	f.stop()
	f.check(t, 100)
}

// A process that stands still for a while tells endpoints no more time than clients have left once it goes on.
func TestHeldUpProcessTellsWhatIsLeft(t *testing.T) {
	const held, slack = 500 * time.Millisecond, 350 * time.Millisecond // more than 0.15 s: the machine may be busy
	w := newFaultyWorld(t)
	w.program.signal(syscall.SIGSTOP)
	var ids []string
	written := time.Now()
	for i := range 20 {
		conn, err := net.Dial("tcp", w.socket.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		id := fmt.Sprintf("held-%d", i)
		f := &traffic{ledger: w.ledger}
		if err := f.write(conn, id, true); err != nil {
			t.Fatal(err)
		}
		ids = append(ids, id)
		go http.ReadResponse(bufio.NewReader(conn), nil)
	}
	time.Sleep(held)
	w.program.signal(syscall.SIGCONT)
	time.Sleep(trafficTimeLeft)
	for _, id := range ids {
		a := w.ledger.of(id)
		if left := trafficTimeLeft - a.at.Sub(written); a.times > 0 && a.told > left+slack {
			t.Errorf("%s: the endpoint is told %v, its client has %v", id, a.told, left)
		}
	}
	w.program.signal(syscall.SIGTERM)
	if err := w.program.Wait(); err != nil {
		t.Errorf("the program ended with %v", err)
	}
}

// What staff were told yes to holds in the next process, whenever the one before is killed.
func TestKilledWhileItStores(t *testing.T) {
	w := newFaultyWorld(t)
	expected := map[string]bool{}
	for round := range 12 {
		out, path := round%2 == 0, "/admin/uncordon?name="
		if out {
			path = "/admin/cordon?name="
		}
		killed := make(chan error, 1)
		time.AfterFunc(time.Duration(round)*500*time.Microsecond, func() { killed <- w.program.Process.Kill() })
		for i := range backends {
			name := fmt.Sprintf("s-%d", i)
			delete(expected, name) // a call that is killed may have been taken or not
			response, err := http.Post("http://"+w.admin+path+name, "", nil)
			if err != nil {
				break
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				expected[name] = out
			}
		}
		if err := <-killed; err != nil {
			t.Fatal(err)
		}
		w.program.Wait()
		w.program, w.admin = w.launch()
		if n := w.program.log.count("operator state ignored"); n > 0 {
			t.Error("the next process can't read the state")
		}
		checkStored(t, filepath.Join(w.socket.folder, "oakproxy-state.json"), expected)
	}
}

// checkStored compares the endpoints that are left out in a state file with what staff were told.
func checkStored(t *testing.T, path string, expected map[string]bool) {
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
	out := map[string]bool{}
	for _, host := range stored.Hosts {
		out[host.Host] = host.Out
	}
	for name, want := range expected {
		if out[name] != want {
			t.Errorf("%s: out %v, staff were told %v", name, out[name], want)
		}
	}
}
