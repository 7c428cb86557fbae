package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// world is everything that one case starts. Its methods may be called concurrently.
type world struct {
	began   time.Time
	folder  string // temporary folder, removed at the end
	root    string // root of the project
	trouble bool   // whether the disruption takes place

	starts  atomic.Uint64 // number of sidecars whose configuration was written, for their seeds
	mu      sync.Mutex
	record  *os.File
	running []*process
}

// firstSeed and the number of the sidecar in the case add up to its seed.
const firstSeed uint64 = 0x8c1f30d27a5be964

// fatal ends the case with the exit code for a case that could not run.
type fatal struct{ err error }

func check(err error) {
	if err != nil {
		panic(fatal{err})
	}
}

// log writes one line to the record, with the milliseconds since the start of the case.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.1f ms  %s\n", w.ms(time.Now()), fmt.Sprintf(format, args...))
}

func (w *world) ms(at time.Time) float64 { return float64(at.Sub(w.began).Microseconds()) / 1000 }

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	defer l.Close()
	return l.Addr().String()
}

// ---- Discovery ----

// host is an endpoint in discovery's list.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`

	changedAt uint64 // version of the list that changed the entry last
}

type hostList struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []host `json:"hosts"`
}

// discovery is a stand-in for the service that lists endpoints. It answers each call at once, or, for a watch, when
// something has changed or the wait is over.
type discovery struct {
	w       *world
	name    string
	address string

	mu      sync.Mutex
	seq     uint64
	hosts   []host
	changed chan struct{}
	server  *http.Server
	calls   int
}

func (w *world) startDiscovery(name string, seq uint64, hosts []host) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &discovery{w: w, name: name, address: l.Addr().String(), seq: seq, hosts: append([]host(nil), hosts...),
		changed: make(chan struct{})}
	d.server = &http.Server{Handler: http.HandlerFunc(d.serve)}
	go d.server.Serve(l)
	return d
}

// set changes the entry of a host and returns when the list has the change.
func (d *discovery) set(name string, edit func(*host)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for i := range d.hosts {
		if d.hosts[i].Host == name {
			edit(&d.hosts[i])
			d.hosts[i].changedAt = d.seq
			d.w.log("%s: version %d, %s is %s", d.name, d.seq, name, d.hosts[i].Health)
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discovery) serve(out http.ResponseWriter, in *http.Request) {
	d.mu.Lock()
	d.calls++
	call := d.calls
	d.mu.Unlock()
	query := in.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	whole := err != nil
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(waitMS, 60_000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := !whole && waitMS > 0; waiting; {
		d.mu.Lock()
		newer, changed := d.seq > after, d.changed
		d.mu.Unlock()
		if newer {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-in.Context().Done():
			return
		}
	}
	d.mu.Lock()
	list := hostList{Seq: d.seq, Whole: whole, Hosts: []host{}}
	for _, h := range d.hosts {
		if whole || h.changedAt > after {
			list.Hosts = append(list.Hosts, h)
		}
	}
	d.mu.Unlock()
	text, _ := json.Marshal(list)
	out.Header().Set("Content-Type", "application/json")
	out.Write(text)
	d.w.log("%s: call %d %q answered with version %d, whole %v, %d hosts", d.name, call, in.URL.RawQuery, list.Seq,
		list.Whole, len(list.Hosts))
}

// ---- Endpoints ----

// arrival is a request whose last byte has come to an endpoint.
type arrival struct {
	endpoint  string
	id        string
	key       string
	method    string
	path      string
	timeLeft  string
	bytes     int
	firstByte time.Time
	lastByte  time.Time
}

// endpoint is a stand-in for a server. It begins a request once the last byte has come.
type endpoint struct {
	w       *world
	name    string
	address string
	// answer writes the response to a request; it returns false to close the connection. It may be nil.
	answer func(conn net.Conn, a arrival) bool
	// readRate is the number of bytes of a body that the endpoint reads in a second; 0 sets no limit.
	readRate int

	mu       sync.Mutex
	arrivals []arrival // every request whose last byte has come
	working  int       // requests that are in work
}

func (e *endpoint) inWork() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.working
}

func (w *world) startEndpoint(name string, answer func(net.Conn, arrival) bool) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	e := &endpoint{w: w, name: name, address: l.Addr().String(), answer: answer}
	if e.answer == nil {
		e.answer = answerAfter(10*time.Millisecond, "done")
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *endpoint) host(block int) host {
	return host{Host: e.name, Dial: e.address, Site: "oslo-1", Class: "std-1", Block: block, Health: "Ready", Share: 1}
}

func (e *endpoint) requests() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := arrival{endpoint: e.name, firstByte: time.Now()}
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(&pacedReader{request.Body, e.readRate})
		if err != nil {
			e.w.log("%s: request %s broke off after %d bytes of its body: %v", e.name,
				request.Header.Get("X-Correlation-Id"), len(body), err)
			return
		}
		a.lastByte, a.bytes, a.method, a.path = time.Now(), len(body), request.Method, request.URL.RequestURI()
		a.id, a.key = request.Header.Get("X-Correlation-Id"), request.Header.Get("Idempotency-Key")
		a.timeLeft = request.Header.Get("X-Time-Left-Ms")
		switch request.URL.Path {
		case "/stats":
			text := fmt.Sprintf("busy_reqs=%d", e.inWork())
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		case "/health/live":
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		e.mu.Lock()
		e.arrivals = append(e.arrivals, a)
		e.working++
		e.mu.Unlock()
		e.w.log("%s: request %s %s %s has come whole, body %d bytes, X-Time-Left-Ms %s; it runs", e.name, a.id,
			a.method, a.path, a.bytes, a.timeLeft)
		goOn := e.answer(conn, a)
		e.mu.Lock()
		e.working--
		e.mu.Unlock()
		if !goOn {
			return
		}
	}
}

// answerAfter answers with 200 after a time.
func answerAfter(d time.Duration, body string) func(net.Conn, arrival) bool {
	return func(conn net.Conn, a arrival) bool {
		time.Sleep(d)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
}

// ---- Sidecars ----

// process is one process that the case has started.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	signal func(os.Signal)
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// runCommand returns the command by which the platform starts a sidecar, from the deploy file.
func (w *world) runCommand() string {
	text, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	check(err)
	found := regexp.MustCompile(`(?m)^run = "(.*?)"`).FindSubmatch(text)
	if found == nil {
		check(fmt.Errorf("deploy/balancer.toml names no command `run`"))
	}
	return string(found[1])
}

// sidecarSpec says how a sidecar is started.
type sidecarSpec struct {
	name       string
	config     string // path of the configuration file
	listen     string
	discovery  string
	admin      string
	temporary  string   // $TMPDIR
	socket     *os.File // listening socket to inherit; may be nil
	configText map[string]any
}

// newSpec writes the configuration of a sidecar and returns how to start it.
func (w *world) newSpec(settings map[string]any, d *discovery, known []host) *sidecarSpec {
	s := &sidecarSpec{name: "n1", listen: freeAddress(), discovery: d.address, admin: freeAddress(),
		config: filepath.Join(w.folder, "config.json"), temporary: filepath.Join(w.folder, "tmp")}
	check(os.MkdirAll(s.temporary, 0o700))
	s.configText = map[string]any{"name": s.name, "listen": s.listen, "discovery": s.discovery, "admin_addr": s.admin,
		"seed":   fmt.Sprintf("%016x", firstSeed+w.starts.Add(1)),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"known":  hostList{Seq: d.seq, Whole: true, Hosts: known}, "settings": settings}
	w.writeConfig(s)
	return s
}

// writeConfig replaces the configuration file atomically.
func (w *world) writeConfig(s *sidecarSpec) {
	text, err := json.MarshalIndent(s.configText, "", " ")
	check(err)
	check(os.WriteFile(s.config+".new", text, 0o600))
	check(os.Rename(s.config+".new", s.config))
}

// startSidecar starts a sidecar by the command of the deploy file.
func (w *world) startSidecar(s *sidecarSpec) *process {
	cmd := exec.Command("/bin/sh", "-c", w.runCommand())
	cmd.Dir = w.root
	cmd.Env = append(os.Environ(), "BALANCER_NAME="+s.name, "BALANCER_LISTEN="+s.listen,
		"BALANCER_DISCOVERY="+s.discovery, "BALANCER_CONFIG="+s.config, "BALANCER_ADMIN_ADDR="+s.admin,
		"TMPDIR="+s.temporary)
	if s.socket != nil {
		cmd.ExtraFiles = []*os.File{s.socket} // descriptor 3
		cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3")
	}
	logFile, err := os.OpenFile(filepath.Join(w.folder, "sidecar.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer logFile.Close()
	cmd.Stdout, cmd.Stderr = logFile, logFile
	check(cmd.Start())
	p := &process{cmd: cmd, ended: make(chan struct{})}
	p.signal = func(signal os.Signal) {
		w.log("platform: %v to the sidecar's process %d", signal, cmd.Process.Pid)
		cmd.Process.Signal(signal)
	}
	go func() {
		err := cmd.Wait()
		w.log("platform: the sidecar's process %d has ended: %v", cmd.Process.Pid, err)
		close(p.ended)
	}()
	w.mu.Lock()
	w.running = append(w.running, p)
	w.mu.Unlock()
	w.log("platform: started a sidecar, process %d", cmd.Process.Pid)
	return p
}

// awaitReady waits until the sidecar says that it is ready.
func (w *world) awaitReady(s *sidecarSpec, p *process) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.hasEnded() {
			break
		}
		if status, _, err := get(s.listen, "/health/ready"); err == nil && status == http.StatusOK {
			w.log("platform: the sidecar is ready")
			return
		}
	}
	check(fmt.Errorf("the sidecar did not become ready"))
}

// get sends one GET on a connection of its own.
func get(address, path string) (status int, body string, err error) {
	return call(address, "GET "+path+" HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n\r\n", 2*time.Second)
}

// call sends a request on a connection of its own and reads the response.
func call(address, request string, limit time.Duration) (status int, body string, err error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// end kills what still runs and copies the sidecar's log to the record.
func (w *world) end() {
	w.mu.Lock()
	running := w.running
	w.mu.Unlock()
	for _, p := range running {
		if !p.hasEnded() {
			p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.ended
		}
	}
	if text, err := os.ReadFile(filepath.Join(w.folder, "sidecar.log")); err == nil {
		w.mu.Lock()
		fmt.Fprintf(w.record, "\nThe log of the sidecar (its end):\n%s", tail(text, 20_000))
		w.mu.Unlock()
	}
	os.RemoveAll(w.folder)
}

func tail(text []byte, most int) []byte {
	if len(text) <= most {
		return text
	}
	return text[len(text)-most:]
}

// ---- Settings ----

// class returns a class of the settings. Times are in milliseconds.
func class(name, repeat, group string, targetMS, giveUpMS, windowMS int) map[string]any {
	return map[string]any{"name": name, "repeat": repeat, "group": group, "target": targetMS * 1000,
		"give-up": giveUpMS * 1000, "window": windowMS * 1000, "credit": 2.0, "late-value": 0.0, "stream": false}
}

// osloClasses are the classes of the deployment lade-oslo.
func osloClasses() []any {
	return []any{class("status-read", "pure", "all", 150, 300, 5000),
		class("meter-post", "token", "cell", 150, 500, 2500), class("settle", "side_effect", "all", 150, 750, 5000)}
}

// rennesClasses are the classes of the deployment galeries-rennes.
func rennesClasses() []any {
	return []any{class("view-gallery", "pure", "all", 500, 2000, 5000),
		class("order-prints", "side_effect", "all", 1000, 2000, 5000),
		class("save-selection", "token", "all", 1000, 2000, 10_000)}
}

// newSettings returns the settings of a small deployment, as the wire page shows them.
func newSettings(classes []any) map[string]any {
	return map[string]any{
		"areas": []string{"oslo-1", "bergen-1", "trondheim-1"}, "skus": []string{"std-1", "eco-1"},
		"stages": []string{"okt-api"}, "tenants": []any{
			map[string]any{"name": "fjordlading", "allowance-per-s": 92.0, "share": 0.39},
			map[string]any{"name": "vegkraft", "allowance-per-s": 64.0, "share": 0.27}},
		"discovery": "subscribe", "classes": classes, "kind-of-service": "mesh", "callers": map[string]any{"marks-retry": false},
		"contract": map[string]any{"answer-slack": 8000, "ask-within": 10_000_000, "cold-from": 0.13,
			"drain-grace": 2_000_000, "fall-multiple": 3.0, "overload-for": 1_500_000, "ramp-time": 22_000_000},
		"goal": map[string]any{"whole": 0.55, "worst-class": 0.05, "worst-tenant": 0.25, "worst-window": 0.15},
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 69220, "dial-timeout": 75_000,
			"keepalive": 60_000_000, "max-retry-after": 400_000, "may-tell": true, "most-held": 27688, "most-tries": 4,
			"multiplex": 1, "probes": true, "retry-after": true, "second-copies": false},
		"over-share-worth": 0.05, "peers-total": 3, "position": 0,
		"prices":    map[string]any{"cross-zone": 0.03, "late-fail": 0.055, "peer": 0.013, "probe": 0.05, "waste": 0.062},
		"reporting": map[string]any{"fields": []string{"busy_reqs"}, "how": "probe"}, "tick": 2000, "tier": 0,
		"value-by": "request", "weight-kind": "rough", "zone": 0, "family-info": map[string]any{"warm-keys": true},
	}
}

// head returns the head of a client's request, without the lines that tell its length.
func head(method, class, id string, timeLeftMS int) string {
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\n"+
		"X-Account: fjordlading\r\nX-Time-Left-Ms: %d\r\n", method, class, id, class, timeLeftMS)
	if class == "meter-post" || class == "save-selection" {
		text += "Idempotency-Key: key-" + id + "\r\n"
	}
	return text
}

// pacedReader reads at most rate bytes a second; a rate of 0 sets no limit.
type pacedReader struct {
	source io.Reader
	rate   int
}

func (r *pacedReader) Read(p []byte) (int, error) {
	if r.rate == 0 {
		return r.source.Read(p)
	}
	n, err := r.source.Read(p[:min(len(p), 16<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.rate))
	return n, err
}
