package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// command returns a command that runs the program with a configuration file that contains config.
func command(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "SIDECAR_TEST_RUN=1", "BALANCER_CONFIG="+path)
	return cmd
}

// freeAddress returns a loopback address with a port that was free at the time of the call. Another process may take
// it.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// configJSON returns a configuration with the given listen address. It has one class, and one endpoint that refuses
// connections.
func configJSON(listen string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},
"known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]},
"settings":{"areas":["a"],"skus":["m"],"discovery":"subscribe","limits":{"keepalive":5000000,"dial-timeout":250000},
"classes":[{"name":"read","repeat":"pure","target":600000,"give-up":1000000}]}}`, listen)
}

// logBuffer collects the log output of a program. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// count returns how often text occurs in the output.
func (l *logBuffer) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// waitFor waits until condition returns true. After 20 s it fails the test with a message that contains the text what.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 20 s waiting for %s", what)
		}
	}
}

// passedSocket is a listening socket that the processes of one sidecar inherit.
type passedSocket struct {
	address string   // address that the socket listens at
	file    *os.File // descriptor to pass to the processes
	folder  string   // directory that the processes share
}

func newPassedSocket(t *testing.T) *passedSocket {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	return &passedSocket{listener.Addr().String(), file, t.TempDir()}
}

// launch starts a process that inherits the socket. env holds additional environment variables as "name=value".
func (s *passedSocket) launch(t *testing.T, config string, env ...string) *program {
	t.Helper()
	admin := freeAddress(t)
	cmd := command(t, config)
	cmd.ExtraFiles = []*os.File{s.file}
	cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3", "BALANCER_ADMIN_ADDR="+admin, "TMPDIR="+s.folder)
	cmd.Env = append(cmd.Env, env...)
	p := launch(t, cmd)
	p.admin = admin
	return p
}

// launchOnOwnSocket starts a program that inherits a socket of its own, and waits until it is ready. Unlike with freeAddress,
// no other process can take the address, so tests may do this in parallel.
func launchOnOwnSocket(t *testing.T, config string) (address string) {
	t.Helper()
	socket := newPassedSocket(t)
	cmd := command(t, config)
	cmd.ExtraFiles = []*os.File{socket.file}
	cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3", "TMPDIR="+socket.folder)
	launch(t, cmd)
	awaitReady(t, socket.address)
	return socket.address
}

// getStatus sends a GET request on a new connection and returns the status of the response; 0 means no response.
func getStatus(url string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// readinessStatus sends the readiness check that clients use to the program that listens at an address. It returns the
// status of the response; 0 means no response.
func readinessStatus(address string) int { return getStatus("http://" + address + "/health/ready") }

// awaitReady waits until the program that listens at an address is ready.
func awaitReady(t *testing.T, address string) {
	t.Helper()
	waitFor(t, "the program to be ready", func() bool { return readinessStatus(address) == http.StatusOK })
}

// withEndpoint starts an endpoint that responds with status 200. It returns the configuration text with the address of
// that endpoint in place of the address that refuses connections.
func withEndpoint(t *testing.T, text string) string {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, "done")
	}))
	t.Cleanup(endpoint.Close)
	return strings.Replace(text, `"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, endpoint.Listener.Addr()), 1)
}

// withSearchClass returns the configuration text with the additional class "search".
func withSearchClass(text string) string {
	return strings.Replace(text, `"classes":[`,
		`"classes":[{"name":"search","repeat":"pure","target":600000,"give-up":1000000},`, 1)
}

// lastRequestID is the number in the latest request id of this test process.
var lastRequestID atomic.Int32

// requestStatus sends a request of a class on a new connection and returns the status of the response; 0 means no
// response.
func requestStatus(t *testing.T, address, class string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+class, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint(lastRequestID.Add(1)))
	r.Header.Set("X-Service-Class", class)
	r.Header.Set("X-Time-Left-Ms", "20000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// program is a running process of the sidecar program.
type program struct {
	*exec.Cmd
	t          *testing.T
	configPath string
	admin      string // admin address; empty unless passedSocket.launch started the program
	log        *logBuffer
}

// launch starts a program. When the test ends, the program is killed if it is still running.
func launch(t *testing.T, cmd *exec.Cmd) *program {
	t.Helper()
	p := &program{Cmd: cmd, t: t, log: &logBuffer{}}
	for _, variable := range cmd.Env {
		if path, ok := strings.CutPrefix(variable, "BALANCER_CONFIG="); ok {
			p.configPath = path
		}
	}
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return p
}

// health returns the status of the health check at the program's admin address; 0 means no response.
func (p *program) health() int { return getStatus("http://" + p.admin + "/admin/health") }

func (p *program) healthy() bool { return p.health() == http.StatusOK }

// replaceConfig replaces the configuration file atomically.
func (p *program) replaceConfig(text string) {
	p.t.Helper()
	next := p.configPath + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(next, p.configPath); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// terminate sends SIGTERM and checks that the program exits without error.
func (p *program) terminate() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		p.t.Errorf("got program exit error %v, want exit code 0", err)
	}
}
