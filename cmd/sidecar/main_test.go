package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/faults"
)

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("SIDECAR_TEST_RUN") != "" {
		if injection := os.Getenv(injectionVar); injection != "" {
			runWithInjection(injection)
		}
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// injectionVar names the path of the faults to inject into a program.
const injectionVar = "SIDECAR_TEST_INJECTION"

// runWithInjection is main with faults of the disk and the wall clock, see faults.Inject.
func runWithInjection(injection string) {
	if err := run(func(host *config.Host) { faults.Inject(host, injection) }); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// keepAliveReady reports whether the program that listens at an address is ready. Unlike readiness, it may reuse a
// connection.
func keepAliveReady(address string) bool {
	response, err := http.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func TestInvalidConfigurationFailsWithOneLine(t *testing.T) {
	valid := configJSON("127.0.0.1:0")
	for name, c := range map[string]struct{ text, key string }{
		"no seed":       {strings.Replace(valid, `"seed"`, `"sed"`, 1), "seed"},
		"not JSON":      {valid[:40], "JSON"},
		"missing class": {strings.Replace(valid, `"classes"`, `"glasses"`, 1), "classes"},
	} {
		cmd := command(t, c.text)
		output, err := cmd.CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("%s: got %v, want exit code 1", name, err)
		}
		if bytes.Count(output, []byte("\n")) != 1 || !bytes.Contains(output, []byte(c.key)) {
			t.Errorf("%s: got output %q, want one line with %q", name, output, c.key)
		}
	}
	cmd := command(t, valid)
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG=")
	if output, err := cmd.CombinedOutput(); err == nil || !bytes.Contains(output, []byte("BALANCER_CONFIG")) {
		t.Errorf("without BALANCER_CONFIG: got %v, %q, want an error that names it", err, output)
	}
}

// SIGHUP, whose default action is to end a process, reloads the file; an invalid file changes nothing. SIGTERM shuts
// the program down, also when SIGHUP follows at once.
func TestSIGHUPReloadsAndSIGTERMShutsDown(t *testing.T) {
	listen := freeAddress(t)
	p := launch(t, command(t, configJSON(listen)))
	ready := func() bool { return keepAliveReady(listen) }
	waitFor(t, "the program to be ready", ready)
	p.replaceConfig("{")
	p.signal(syscall.SIGHUP)
	waitFor(t, "the rejected reload", func() bool { return p.log.count("configuration not reloaded") == 1 })
	calls := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		io.WriteString(w, `{"seq":1,"whole":true,`+
			`"hosts":[{"host":"s-1","dial":"127.0.0.1:1","site":"a","health":"Ready","share":1}]}`)
	}))
	t.Cleanup(discovery.Close)
	p.replaceConfig(strings.Replace(configJSON(listen), "127.0.0.1:1", discovery.Listener.Addr().String(), 1))
	p.signal(syscall.SIGHUP)
	select {
	case call := <-calls:
		if call != "/registry/instances" {
			t.Errorf("got first call %s to the new address, want /registry/instances", call)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("got no call to the new address in 20 s")
	}
	if !ready() {
		t.Error("the program is not ready after SIGHUP")
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	if err := p.Wait(); err != nil {
		t.Errorf("the program ended with %v, want exit code 0", err)
	}
}

// While the first process serves, a second one inherits the same socket and reports ready at its own admin address. It
// serves alone after the first is shut down.
func TestHandOverOnPassedSocket(t *testing.T) {
	socket := newPassedSocket(t)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	launch := func() *program { return socket.launch(t, configJSON("127.0.0.1:1")) } // the address is not listened at
	clients := func() bool { return keepAliveReady(socket.address) }
	first := launch()
	waitFor(t, "the first process to be ready", first.healthy)
	waitFor(t, "readiness for clients", clients)
	second := launch()
	waitFor(t, "the second process to be ready", second.healthy)
	first.terminate()
	if !second.healthy() || !clients() {
		t.Error("the second process does not serve alone")
	}
	second.terminate()
}

// A second process that never becomes ready accepts no client's connection.
func TestUnreadyProcessAcceptsNoClient(t *testing.T) {
	socket := newPassedSocket(t)
	first := socket.launch(t, configJSON("127.0.0.1:1"))
	waitFor(t, "the first process to be ready", first.healthy)
	config := configJSON("127.0.0.1:1")
	from, to := strings.Index(config, `[{"host"`), strings.Index(config, `]},`)
	second := socket.launch(t, config[:from+1]+config[to:]) // knows no endpoint
	waitFor(t, "the second process to answer", func() bool { return second.health() == http.StatusServiceUnavailable })
	ended := make(chan error, 1)
	for i := range 400 {
		if i == 200 { // as in a rollback
			second.signal(syscall.SIGTERM)
			go func() { ended <- second.Wait() }()
		}
		if got := readiness(socket.address); got != http.StatusOK {
			t.Fatalf("connection %d: got %d, want 200", i, got)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("the second process ended with %v, want exit code 0", err)
	}
}
