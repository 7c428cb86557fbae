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

// The tests in this file guard against changes of names and keys that other versions and other programs rely on: names
// and keys in stored files, environment variables, admin calls, headers and the deploy file. During a hand-over two
// versions run side by side and read each other's files. The files in testdata/release were written by an earlier
// release, before the names in the code were changed.

// releaseFiles is the folder of the files that the earlier release wrote.
const releaseFiles = "testdata/release"

// releaseHash is the configuration hash that the earlier release logged for testdata/release/config.json. The hash
// covers every setting.
const releaseHash = "51fb5868301e"

// unusedAddress is an address that refuses connections. An endpoint with this address gives the balancer no
// measurements.
const unusedAddress = "127.0.0.1:1"

// releaseConfig returns the configuration of the earlier release with the given addresses in place of its placeholders.
func releaseConfig(t *testing.T, listen, discovery, endpoint string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(releaseFiles, "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.NewReplacer("LISTEN", listen, "DISCOVERY", discovery, "ADMIN", unusedAddress, "ENDPOINT", endpoint).
		Replace(string(text))
}

// uptimeMS returns the machine's uptime in milliseconds, from the same clock that the sidecar reads.
func uptimeMS(t *testing.T) int64 {
	t.Helper()
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		t.Fatal(err)
	}
	return time.Duration(now.Nano()).Milliseconds()
}

// restoreFile copies a file of the earlier release into folder. It sets the times in the file to the present.
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

// readJSON returns the JSON object in the named file of folder, or nil if the file does not exist.
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

// checkKeys fails the test unless object has exactly the keys in want. The parameter what names the object in the
// failure message.
func checkKeys(t *testing.T, what string, object any, want ...string) {
	t.Helper()
	got := slices.Sorted(maps.Keys(object.(map[string]any)))
	if slices.Sort(want); !slices.Equal(got, want) {
		t.Errorf("%s: got keys %q, want %q", what, got, want)
	}
}

// callAdmin makes an admin call on a new connection and returns the status of the response.
func callAdmin(t *testing.T, method, url string) int {
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

// Guards against a version that ignores the files of the earlier release, or stores files that the earlier release
// cannot read. Either happens when a change in the code also changes the name of a file or one of the file's keys.
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
	waitFor(t, "health", func() bool { return getStatus("http://"+admin+"/admin/health") == http.StatusOK })
	// The log has a goroutine of its own, which may write the line after the sidecar is ready.
	waitFor(t, "the hash "+releaseHash+" of the configuration in the log", func() bool {
		return log.count("hash="+releaseHash) > 0
	})
	if got := readinessStatus(socket.address); got != http.StatusServiceUnavailable {
		t.Errorf("readiness of a drained sidecar: got %d, want 503", got)
	}

	for path, want := range map[string]int{"/admin/quiesce": 200, "/admin/resume": 200, "/admin/cordon?name=s-1": 200,
		"/admin/uncordon?name=s-2": 200, "/admin/cordon?name=nobody": 404} {
		if got := callAdmin(t, http.MethodPost, "http://"+admin+path); got != want {
			t.Errorf("%s: got %d, want %d", path, got, want)
		}
	}
	// The loop above calls quiesce and resume in random order. This call ends the drain in either case.
	callAdmin(t, http.MethodPost, "http://"+admin+"/admin/resume")
	restored["drained"] = false // the only change: the restored file already held both overrides that the loop sets
	checkStateFile(t, socket.folder, restored)
	checkLearnedFile(t, socket.folder, learned)
	checkFileNames(t, socket.folder)
	waitFor(t, "the process slot to be marked ready", func() bool {
		text, err := os.ReadFile(filepath.Join(socket.folder, "oakproxy-process.0"))
		return err == nil && string(text) == "ready"
	})
}

// checkStateFile checks that the stored state equals want, and that its keys are those of the earlier release.
func checkStateFile(t *testing.T, folder string, want map[string]any) {
	t.Helper()
	stored := readJSON(t, folder, "oakproxy-state.json")
	if !reflect.DeepEqual(stored, want) {
		t.Errorf("got stored state %v, want %v", stored, want)
	}
	checkKeys(t, "the state", stored, "version", "sidecar", "drained", "hosts")
	for _, host := range stored["hosts"].([]any) {
		checkKeys(t, "a host of the state", host, "host", "out", "since_ms", "up_ms")
	}
}

// checkLearnedFile waits until the program has stored its estimates (the warm-start data) again. It checks that the
// estimates equal those in learned, apart from times, and that the keys in the file are those of the earlier release.
func checkLearnedFile(t *testing.T, folder string, learned map[string]any) {
	t.Helper()
	written := learned
	waitFor(t, "the warm-start data to be stored again", func() bool {
		written = readJSON(t, folder, "oakproxy-learned.json")
		return written["at_ms"] != learned["at_ms"]
	})
	checkKeys(t, "the warm-start data", written, "version", "sidecar", "at_ms", "up_ms", "clock_us", "learned")
	before, after := learned["learned"].(map[string]any), written["learned"].(map[string]any)
	// PaceAt is a time on the clock of the process that wrote it, so it is not compared.
	for _, estimates := range []any{before, after} {
		for _, endpoint := range estimates.(map[string]any)["Endpoints"].([]any) {
			checkKeys(t, "an endpoint", endpoint, "Name", "StartTime", "PaceAt", "Pace", "Mean")
			delete(endpoint.(map[string]any), "PaceAt")
		}
	}
	if !reflect.DeepEqual(after, before) {
		t.Errorf("got stored warm-start data\n%v, want\n%v", after, before)
	}
}

// checkFileNames checks that the names of the files in folder are those of the earlier release. It ignores the
// temporary files that the program writes before it replaces oakproxy-learned.json.
func checkFileNames(t *testing.T, folder string) {
	t.Helper()
	var names []string
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if name := entry.Name(); !entry.IsDir() && !strings.HasPrefix(name, "oakproxy-learned.json.") {
			names = append(names, name)
		}
		return err
	})
	want := []string{"oakproxy-learned.json", "oakproxy-process.0", "oakproxy-requests.1", "oakproxy-state.json",
		"oakproxy-state.lock"}
	if err != nil || !slices.Equal(names, want) {
		t.Errorf("got files %q (%v), want %q", names, err, want)
	}
}

// Guards against a change in the requests to endpoints and to the discovery service, or in the headers that the sidecar
// reads from clients. Endpoints, discovery and clients are other programs, which would no longer understand the
// sidecar.
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

// sendPayment sends a request of class pay with every header that a client may set. It fails the test unless the
// response has status 200.
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

// Guards against a changed, missing or additional top-level key in the deploy file. The platform reads exactly these
// keys.
func TestDeployFileKeepsItsKeys(t *testing.T) {
	var file map[string]any
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &file); err != nil {
		t.Fatal(err)
	}
	checkKeys(t, "deploy/balancer.toml", file, "build", "run", "sim", "policy", "node", "packages")
}
