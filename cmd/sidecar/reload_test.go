package main

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// Guards against a reload that does not take effect, drops the previous classes, or applies a truncated file. Requests
// of a class that was added to the file must be served after SIGHUP.
func TestReloadAddsClass(t *testing.T) {
	listen := freeAddress(t)
	text := withEndpoint(t, configJSON(listen))
	p := launch(t, command(t, text))
	awaitReady(t, listen)
	if n := p.log.count("generation=1"); n != 1 || requestStatus(t, listen, "search") != http.StatusBadRequest {
		t.Errorf("got %d log lines about generation 1, or not status 400 for the unconfigured class, want 1 line and 400", n)
	}
	p.replaceConfig(withSearchClass(text)[:300])
	p.signal(syscall.SIGHUP)
	waitFor(t, "the rejected reload", func() bool { return p.log.count("reloads_rejected=1") == 1 })
	p.replaceConfig(withSearchClass(text))
	p.signal(syscall.SIGHUP)
	waitFor(t, "the reload", func() bool { return p.log.count("generation=2") == 1 })
	if got := requestStatus(t, listen, "search"); got != http.StatusOK {
		t.Errorf("request of the new class: got status %d, want 200", got)
	}
	if got := requestStatus(t, listen, "read"); got != http.StatusOK {
		t.Errorf("request of the previous class: got status %d, want 200", got)
	}
	p.terminate()
}

// Guards against losing a SIGHUP that arrives while the program reads its configuration file for the first time. The
// file changes in that moment, so the program must read it again once startup is complete.
func TestSIGHUPDuringStartup(t *testing.T) {
	listen := freeAddress(t)
	text := withEndpoint(t, configJSON(listen))
	cmd := command(t, text)
	path := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+path)
	p := launch(t, cmd)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the program has opened the pipe for reading
	if err != nil {
		t.Fatal(err)
	}
	p.replaceConfig(withSearchClass(text))
	p.signal(syscall.SIGHUP)
	io.WriteString(pipe, text)
	pipe.Close()
	waitFor(t, "the reload", func() bool { return p.log.count("generation=2") == 1 })
	waitFor(t, "the new class", func() bool { return requestStatus(t, listen, "search") == http.StatusOK })
	p.terminate()
}

// Guards against a process that misses a reload during a hand-over and serves clients with the previous configuration.
// Both processes must reload the file.
func TestSIGHUPDuringHandOver(t *testing.T) {
	socket, text := newPassedSocket(t), withEndpoint(t, configJSON("127.0.0.1:1"))
	start := func() *program {
		p := socket.launch(t, text)
		waitFor(t, "the process to be ready", p.healthy)
		return p
	}
	first := start()
	second := start()
	for _, p := range []*program{first, second} {
		p.replaceConfig(withSearchClass(text))
		p.signal(syscall.SIGHUP)
		waitFor(t, "the reload", func() bool { return p.log.count("generation=2") == 1 })
	}
	for i := range 100 {
		if i == 50 {
			first.terminate()
		}
		if got := requestStatus(t, socket.address, "search"); got != http.StatusOK {
			t.Fatalf("request %d of the new class: got status %d, want 200", i, got)
		}
	}
	second.terminate()
}
