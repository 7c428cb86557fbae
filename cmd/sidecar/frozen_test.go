package main

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"golang.org/x/sys/unix"
)

// These tests pin what other versions and other programs rely on: the names and keys of stored files, environment
// variables, admin calls, headers and the deploy file. During a hand-over two versions run side by side and read each
// other's files. The files in testdata/release were written by the release before the names in the code changed.

// releaseFiles is the folder of what that release wrote.
const releaseFiles = "testdata/release"

// releaseHash is the hash that it logged with testdata/release/config.json in force. It covers every setting.
const releaseHash = "51fb5868301e"

// unusedAddress refuses connections: nothing is learned from endpoints there.
const unusedAddress = "127.0.0.1:1"

// releaseConfig returns the release's configuration with the addresses of this test.
func releaseConfig(t *testing.T, listen, discovery, endpoint string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(releaseFiles, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("LISTEN", listen, "DISCOVERY", discovery, "ADMIN", unusedAddress, "ENDPOINT", endpoint).
		Replace(string(text))
}

// uptimeMS is the machine's uptime as the sidecar reads it, in milliseconds.
func uptimeMS(t *testing.T) int64 {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano()).Milliseconds()
}

// restoreFile copies a file of the release into folder as if it had been written just now.
func restoreFile(t *testing.T, folder, name string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(releaseFiles, name))
	if err != nil {
		t.Fatal(err)
	}
	unixMS, upMS := time.Now().UnixMilli(), uptimeMS(t)
	text = regexp.MustCompile(`"(at_ms|since_ms)":\d+`).ReplaceAll(text, fmt.Appendf(nil, `"$1":%d`, unixMS))
	text = regexp.MustCompile(`"up_ms":\d+`).ReplaceAll(text, fmt.Appendf(nil, `"up_ms":%d`, upMS))
	if err := os.WriteFile(filepath.Join(folder, name), text, 0o600); err != nil {
		t.Fatal(err)
	}
}

// readJSON returns the object in a file of folder, or nil if there is no such file.
func readJSON(t *testing.T, folder, name string) map[string]any {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(folder, name))
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]any
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return object
}

// wantKeys fails the test unless an object has exactly the given keys.
func wantKeys(t *testing.T, what string, object any, want ...string) {
	t.Helper()
	got := slices.Sorted(maps.Keys(object.(map[string]any)))
	if slices.Sort(want); !slices.Equal(got, want) {
		t.Errorf("%s: got keys %q, want %q", what, got, want)
	}
}

// call makes an admin call and returns its status.
func call(t *testing.T, method, url string) int {
	t.Helper()
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// The program reads what the previous release stored, and stores it under the same names and keys.
func TestReadsAndWritesFilesOfThePreviousRelease(t *testing.T) {
	socket := newPassedSocket(t)
	for _, name := range []string{"oakproxy-state.json", "oakproxy-learned.json"} {
		restoreFile(t, socket.folder, name)
	}
	restored := readJSON(t, socket.folder, "oakproxy-state.json")
	learned := readJSON(t, socket.folder, "oakproxy-learned.json")
	admin := freeAddress(t)
	cmd := command(t, releaseConfig(t, socket.address, unusedAddress, unusedAddress))
	cmd.ExtraFiles = []*os.File{socket.file}
	cmd.Env = append(cmd.Env, "BALANCER_PASSED_SOCKET=3", "BALANCER_ADMIN_ADDR="+admin, "BALANCER_LOG_LEVEL=debug",
		"TMPDIR="+socket.folder)
	var log logBuffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	waitFor(t, "health", func() bool { return statusOf("http://"+admin+"/admin/health") == http.StatusOK })
	if log.count("hash="+releaseHash) == 0 {
		t.Errorf("the logged hash of the configuration is not %s", releaseHash)
	}
	if got := readiness(socket.address); got != http.StatusServiceUnavailable {
		t.Errorf("readiness of a drained sidecar: got %d, want 503", got)
	}

	for path, want := range map[string]int{"/admin/quiesce": 200, "/admin/resume": 200, "/admin/cordon?name=s-1": 200,
		"/admin/uncordon?name=s-2": 200, "/admin/cordon?name=nobody": 404} {
		if got := call(t, http.MethodPost, "http://"+admin+path); got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
	}
	call(t, http.MethodPost, "http://"+admin+"/admin/resume")
	restored["drained"] = false // the other calls repeated what was set
	checkStateFile(t, socket.folder, restored)
	checkLearnedFile(t, socket.folder, learned)
	checkFileNames(t, socket.folder)
	waitFor(t, "the process slot to be marked ready", func() bool {
		text, err := os.ReadFile(filepath.Join(socket.folder, "oakproxy-process.0"))
		return err == nil && string(text) == "ready"
	})
}

// checkStateFile compares the stored state with an object, and its keys with those of the previous release.
func checkStateFile(t *testing.T, folder string, want map[string]any) {
	t.Helper()
	stored := readJSON(t, folder, "oakproxy-state.json")
	if !reflect.DeepEqual(stored, want) {
		t.Errorf("got stored state %v, want %v", stored, want)
	}
	wantKeys(t, "the state", stored, "version", "sidecar", "drained", "hosts")
	for _, host := range stored["hosts"].([]any) {
		wantKeys(t, "a host of the state", host, "host", "out", "since_ms", "up_ms")
	}
}

// checkLearnedFile waits until the warm-start data is stored again, and compares it with what was stored before.
func checkLearnedFile(t *testing.T, folder string, learned map[string]any) {
	t.Helper()
	written := learned
	waitFor(t, "the warm-start data to be stored again", func() bool {
		written = readJSON(t, folder, "oakproxy-learned.json")
		return written["at_ms"] != learned["at_ms"]
	})
	wantKeys(t, "the warm-start data", written, "version", "sidecar", "at_ms", "up_ms", "clock_us", "learned")
	before, after := learned["learned"].(map[string]any), written["learned"].(map[string]any)
	for _, known := range []any{before, after} { // times by the clock of the process that wrote them
		for _, endpoint := range known.(map[string]any)["Endpoints"].([]any) {
			wantKeys(t, "an endpoint", endpoint, "Name", "StartTime", "PaceAt", "Pace", "Mean")
			delete(endpoint.(map[string]any), "PaceAt")
		}
	}
	if !reflect.DeepEqual(after, before) {
		t.Errorf("got stored warm-start data\n%v, want\n%v", after, before)
	}
}

// checkFileNames compares the names of all files in a folder with those of the previous release.
func checkFileNames(t *testing.T, folder string) {
	t.Helper()
	var names []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if name := entry.Name(); !entry.IsDir() && !strings.HasPrefix(name, "oakproxy-learned.json.") {
			names = append(names, name)
		}
		return err
	})
	want := []string{"oakproxy-learned.json", "oakproxy-process.0", "oakproxy-state.json", "oakproxy-state.lock"}
	if err != nil || !slices.Equal(names, want) {
		t.Errorf("got files %q (%v), want %q", names, err, want)
	}
}

// The form of requests to endpoints and to discovery, and the headers that are read from clients, are fixed.
func TestRequestsKeepTheirForm(t *testing.T) {
	received := make(chan *http.Request, 16)
	probed := make(chan string, 256)
	endpoint := serveConnections(t, func(conn net.Conn) {
		readRequests(conn, func(r *http.Request) {
			if r.URL.Path == "/stats" {
				select {
				case probed <- r.Method + " " + r.URL.Path:
				default:
				}
				fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\nbusy_reqs=1,pending=0")
				return
			}
			received <- r
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Backend-Load: busy_reqs=1\r\nContent-Length: 2\r\n\r\nok")
		})
	})
	polled := make(chan string, 256)
	discovery := serveConnections(t, func(conn net.Conn) {
		readRequests(conn, func(r *http.Request) {
			select {
			case polled <- r.Method + " " + r.URL.RequestURI():
			default:
			}
			fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		})
	})
	listen := freeAddress(t)
	cmd := command(t, releaseConfig(t, listen, discovery, endpoint))
	cmd.Env = append(cmd.Env, "BALANCER_ADMIN_ADDR="+freeAddress(t))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	awaitReady(t, listen)
	sendPayment(t, "http://"+listen+"/pay/1?q=2")
	forwarded := <-received
	header := forwarded.Header
	if forwarded.Method != http.MethodPost || forwarded.RequestURI != "/pay/1?q=2" ||
		header.Get("X-Correlation-Id") != "id-pay" || header.Get("Idempotency-Key") != "key" ||
		header.Get("X-Time-Left-Ms") == "" {
		t.Errorf("the endpoint got %s %s with %v, want the client's POST, path and headers",
			forwarded.Method, forwarded.RequestURI, header)
	}
	if got := <-probed; got != "GET /stats" {
		t.Errorf("got load probe %s, want GET /stats", got)
	}
	got := <-polled
	if got != "GET /registry/instances" && !strings.HasPrefix(got, "GET /registry/instances?after=41&wait_ms=") {
		t.Errorf("got call %s to discovery, want one for the list", got)
	}
}

// sendPayment sends a request of class pay with every header that a client may set. It must be served.
func sendPayment(t *testing.T, url string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{
		"Idempotency-Key":  "key",
		"X-Correlation-Id": "id-pay",
		"X-Service-Class":  "pay",
		"X-Account":        "acme",
		"X-Session-Key":    "k",
		"X-Time-Left-Ms":   "1500",
		"X-Repeat":         "0",
		"X-Weight-Hint":    "1000",
	} {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("got %s, want 200", response.Status)
	}
}

// The platform reads these keys of the deploy file, and no others.
func TestDeployFileKeepsItsKeys(t *testing.T) {
	var file map[string]any
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &file); err != nil {
		t.Fatal(err)
	}
	wantKeys(t, "deploy/balancer.toml", file, "build", "run", "sim", "policy", "node", "packages")
}
