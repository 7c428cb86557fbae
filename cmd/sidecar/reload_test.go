package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// withEndpoint has the configuration know an endpoint that answers 200.
func withEndpoint(t *testing.T, text string) string {
	t.Helper()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "done") }))
	t.Cleanup(endpoint.Close)
	return strings.Replace(text, `"dial":"127.0.0.1:1"`, fmt.Sprintf(`"dial":%q`, endpoint.Listener.Addr()), 1)
}

// withSearch adds a class to the configuration.
func withSearch(text string) string {
	return strings.Replace(text, `"classes":[`, `"classes":[{"name":"search","repeat":"pure","target":600000,"give-up":1000000},`, 1)
}

var lastID atomic.Int32

// ask makes a request of a class and returns its status; 0 is no answer.
func ask(t *testing.T, address, class string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+address+"/"+class, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", fmt.Sprint(lastID.Add(1)))
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

// program is a running one.
type program struct {
	*exec.Cmd
	t    *testing.T
	path string // of its configuration
	log  *lines
}

func launch(t *testing.T, cmd *exec.Cmd) *program {
	t.Helper()
	p := &program{Cmd: cmd, t: t, log: &lines{}}
	for _, variable := range cmd.Env {
		if path, ok := strings.CutPrefix(variable, "BALANCER_CONFIG="); ok {
			p.path = path
		}
	}
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	return p
}

// replace puts another configuration in place of the file, whole.
func (p *program) replace(text string) {
	p.t.Helper()
	next := p.path + ".next"
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(next, p.path); err != nil {
		p.t.Fatal(err)
	}
}

func (p *program) signal(s os.Signal) {
	p.t.Helper()
	if err := p.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

// ends sends SIGTERM and waits for the end without error.
func (p *program) ends() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	if err := p.Wait(); err != nil {
		p.t.Errorf("the program ended with %v, want exit code 0", err)
	}
}

// A class that is added to the file is answered after SIGHUP; a file cut short changes nothing.
func TestReloadedClassIsAnswered(t *testing.T) {
	listen := freeAddress(t)
	text := withEndpoint(t, configText(listen))
	p := launch(t, command(t, text))
	await(t, "the program to be ready", func() bool { return code("http://"+listen+"/health/ready") == http.StatusOK })
	if n := p.log.count("generation=1"); n != 1 || ask(t, listen, "search") != http.StatusBadRequest {
		t.Errorf("%d lines on the first configuration, or the class is there", n)
	}
	p.replace(withSearch(text)[:300])
	p.signal(syscall.SIGHUP)
	await(t, "the refusal", func() bool { return p.log.count("reloads_rejected=1") == 1 })
	p.replace(withSearch(text))
	p.signal(syscall.SIGHUP)
	await(t, "the change", func() bool { return p.log.count("generation=2") == 1 })
	if got := ask(t, listen, "search"); got != http.StatusOK {
		t.Errorf("the new class is answered %d", got)
	}
	if got := ask(t, listen, "read"); got != http.StatusOK {
		t.Errorf("the old class is answered %d", got)
	}
	p.ends()
}

// SIGHUP during the start leads to the file as it is by then.
func TestSignalDuringTheStart(t *testing.T) {
	listen := freeAddress(t)
	text := withEndpoint(t, configText(listen))
	cmd := command(t, text)
	path := filepath.Join(t.TempDir(), "pipe")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd.Env = append(cmd.Env, "BALANCER_CONFIG="+path)
	p := launch(t, cmd)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // returns when the program has begun to read
	if err != nil {
		t.Fatal(err)
	}
	p.replace(withSearch(text))
	p.signal(syscall.SIGHUP)
	io.WriteString(pipe, text)
	pipe.Close()
	await(t, "the change", func() bool { return p.log.count("generation=2") == 1 })
	await(t, "the new class", func() bool { return ask(t, listen, "search") == http.StatusOK })
	p.ends()
}

// While one process replaces the other both take up the file, and none of their clients meets the old one's rules.
func TestSignalDuringAHandOver(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	file, err := held.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	shared, text := t.TempDir(), withEndpoint(t, configText("127.0.0.1:1"))
	begin := func() *program {
		second := freeAddress(t)
		cmd := command(t, text)
		cmd.ExtraFiles = []*os.File{file}
		cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3", "BALANCER_ADMIN_ADDR="+second, "TMPDIR="+shared)
		p := launch(t, cmd)
		await(t, "the process to be ready", func() bool { return code("http://"+second+"/admin/health") == http.StatusOK })
		return p
	}
	first := begin()
	second := begin()
	for _, p := range []*program{first, second} {
		p.replace(withSearch(text))
		p.signal(syscall.SIGHUP)
		await(t, "the change", func() bool { return p.log.count("generation=2") == 1 })
	}
	for i := range 100 {
		if i == 50 {
			first.ends()
		}
		if got := ask(t, held.Addr().String(), "search"); got != http.StatusOK {
			t.Fatalf("request %d of the new class is answered %d", i, got)
		}
	}
	second.ends()
}
