package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"oakproxy/internal/faults"
)

// floodDuration is how long a client floods the sidecar.
const floodDuration = 1500 * time.Millisecond

// floods are what one client sends at full speed on a connection, by request number. If waits is set, the client reads the
// response to each request before it sends the next one; otherwise it writes without reading.
var floods = []struct {
	name  string
	waits bool
	text  func(number int) string
}{
	{"readiness checks", true, func(int) string { return "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" }},
	{"readiness checks, unread", false, func(int) string { return "GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n" }},
	{"sound requests", true, func(n int) string { return soundRequest(fmt.Sprintf("flood-%d", n), n%2 == 0) }},
	{"requests without time", true, func(n int) string {
		return strings.Replace(soundRequest(fmt.Sprintf("flood-%d", n), n%2 == 0), "Left-Ms: 1000", "Left-Ms: 0", 1)
	}},
	{"requests, unread", false, func(n int) string { return soundRequest(fmt.Sprintf("flood-%d", n), n%2 == 0) }},
	{"unknown classes", true, func(n int) string {
		return strings.Replace(soundRequest(fmt.Sprintf("flood-%d", n), false), "Class: read", fmt.Sprintf("Class: c%d", n), 1)
	}},
	{"new session keys", true, func(n int) string {
		return strings.Replace(soundRequest(fmt.Sprintf("flood-%d", n), false), "Host: api",
			fmt.Sprintf("Host: api-%d\r\nX-Session-Key: key-%d\r\nX-New-%d: 1", n, n, n), 1)
	}},
	{"empty lines", false, func(int) string { return strings.Repeat("\r\n", 1000) }},
	{"endless head", false, func(n int) string {
		if n == 0 {
			return "GET /read HTTP/1.1\r\n"
		}
		return shortFields(8 << 10)
	}},
	{"tiny chunks", false, func(n int) string {
		if n == 0 {
			return peerHead(n) + "Transfer-Encoding: chunked\r\n\r\n"
		}
		return strings.Repeat("1\r\nx\r\n", 1000)
	}},
	{"no HTTP", false, func(int) string { return strings.Repeat("nonsense\r\n", 1000) }},
}

// Guards against a client that sends small or unsound requests at full speed and keeps others from their answers, or makes
// memory grow.
func TestFloodOfOneClientHarmsNoOther(t *testing.T) {
	program := buildProgram(t)
	for _, flood := range floods {
		t.Run(flood.name, func(t *testing.T) {
			listen := freeAddress(t)
			config := strings.Replace(effectsConfig(listen, newLongEndpoint(t)), `"memory_mb":192,"sockets":1024`,
				fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, minMemoryMB, minSockets), 1)
			cmd := command(t, config)
			cmd.Path = program
			cmd.Env = append(cmd.Env, "GOMAXPROCS=1")
			p := launch(t, cmd)
			awaitReady(t, listen)
			sound := startSoundClients(t, listen, 8)
			waitFor(t, "the sound clients to be served", func() bool { return sound.served.Load() > 40 })
			done := make(chan struct{})
			go limitProcessor(p.Process, done)
			go func() {
				defer close(done)
				sent, connections := 0, 0
				for end := time.Now().Add(floodDuration); time.Now().Before(end); connections++ {
					sent += floodConnection(listen, end, flood.waits, sent, flood.text)
				}
				t.Logf("%d requests on %d connections", sent, connections)
			}()
			highest := highestMemoryKB(t, p.Process.Pid, done)
			sound.stop(t)
			t.Logf("at most %d KB", highest)
			if highest > minMemoryMB<<10 {
				t.Errorf("the process has up to %d KB, want at most %d MB", highest, minMemoryMB)
			}
		})
	}
}

// The processor time of a sidecar that is flooded: running of each running + paused.
const (
	running = 4 * time.Millisecond
	paused  = 16 * time.Millisecond
)

// limitProcessor gives a process a part of a processor, as the platform does, until done is closed.
func limitProcessor(process *os.Process, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(running):
		}
		if faults.Pause(process, paused) != nil {
			return // the process has ended
		}
	}
}

// floodConnection opens a connection and sends requests on it, from the given number on, until it is closed or the time
// end. It returns how many it has sent.
func floodConnection(address string, end time.Time, waits bool, number int, text func(number int) string) (sent int) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	conn.SetDeadline(end)
	reader := bufio.NewReader(conn)
	for {
		if _, err := io.WriteString(conn, text(number+sent)); err != nil {
			return sent
		}
		sent++
		if !waits {
			continue
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return sent
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return sent
		}
	}
}
