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

// TestMain runs the program instead of the tests if SIDECAR_TEST_RUN is set. Tests start the program by running
// the test binary with this variable.
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

// injectionVar is the environment variable that holds the path of the stored faults.Injection of a program.
const injectionVar = "SIDECAR_TEST_INJECTION"

// runWithInjection does what main does, with injected faults of the disk and the wall clock. See faults.Inject.
func runWithInjection(injection string) {
	if err := run(func(host *config.Host) { faults.Inject(host, injection) }); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
	os.Exit(0)
}

// isReadyKeepAlive reports whether the program that listens at an address is ready. Unlike readinessStatus, it may
// reuse an open connection.
func isReadyKeepAlive(address string) bool {
	response, err := http.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Guards against a program that starts in spite of an invalid or missing configuration, or that exits without telling
// the operator which key is wrong. The program must exit with code 1 and one line that names the key.
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

// Guards against a SIGHUP that ends the program, which is the signal's default action. SIGHUP must reload the file, and
// an invalid file must change nothing. SIGTERM must shut the program down gracefully even if SIGHUP follows at once.
func TestSIGHUPReloadsAndSIGTERMShutsDown(t *testing.T) {
	listen := freeAddress(t)
	p := launch(t, command(t, configJSON(listen)))
	ready := func() bool { return isReadyKeepAlive(listen) }
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
			t.Errorf("got first call %s at the new discovery address, want /registry/instances", call)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("got no call at the new discovery address in 20 s, want one")
	}
	if !ready() {
		t.Error("after SIGHUP: got a program that is not ready, want it ready")
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	if err := p.Wait(); err != nil {
		t.Errorf("got program exit error %v, want exit code 0", err)
	}
}

// Guards against an interruption of service while one process replaces another on the same inherited socket. Both
// processes must become ready at their own admin addresses, and the second must serve alone after the first is shut
// down.
func TestHandOverOnPassedSocket(t *testing.T) {
	socket := newPassedSocket(t)
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	// The listen address of the configuration is not used, because the socket is inherited.
	launch := func() *program { return socket.launch(t, configJSON("127.0.0.1:1")) }
	clientsReady := func() bool { return isReadyKeepAlive(socket.address) }
	first := launch()
	waitFor(t, "the first process to be ready", first.healthy)
	waitFor(t, "readiness for clients", clientsReady)
	second := launch()
	waitFor(t, "the second process to be ready", second.healthy)
	first.terminate()
	if !second.healthy() || !clientsReady() {
		t.Error("after the end of the first process: got a second process that is not ready, want it ready")
	}
	second.terminate()
}

// Guards against a process that accepts connections of clients before it is ready, and then rejects their requests. The
// second process here knows no endpoint and so never becomes ready; the first must get every connection.
func TestUnreadyProcessAcceptsNoClient(t *testing.T) {
	socket := newPassedSocket(t)
	first := socket.launch(t, configJSON("127.0.0.1:1"))
	waitFor(t, "the first process to be ready", first.healthy)
	config := configJSON("127.0.0.1:1")
	from, to := strings.Index(config, `[{"host"`), strings.Index(config, `]},`)
	second := socket.launch(t, config[:from+1]+config[to:]) // the list of known endpoints is empty
	waitFor(t, "the second process to answer", func() bool { return second.health() == http.StatusServiceUnavailable })
	ended := make(chan error, 1)
	for i := range 400 {
		if i == 200 { // as in a rollback, end the second process
			second.signal(syscall.SIGTERM)
			go func() { ended <- second.Wait() }()
		}
		if got := readinessStatus(socket.address); got != http.StatusOK {
			t.Fatalf("connection %d: got status %d, want 200", i, got)
		}
	}
	if err := <-ended; err != nil {
		t.Errorf("got exit error %v of the second process, want exit code 0", err)
	}
}
