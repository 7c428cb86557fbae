package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// peerHead returns the beginning of the head of a request of class order, whose remaining time is 2.5 s.
func peerHead(number int) string {
	return fmt.Sprintf("POST /order HTTP/1.1\r\nHost: api\r\nX-Service-Class: order\r\nX-Correlation-Id: peer-%d-%d\r\n"+
		"X-Time-Left-Ms: 2500\r\n", number, lastRequestID.Add(1))
}

// shortFields returns fields of a head of at least size bytes in all, each with another short name.
func shortFields(size int) string {
	var b strings.Builder
	for i := 36 * 36; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// manyFields are the fields of the heads of a crowd, made once: hundreds of clients must not keep the test busy.
var manyFields = shortFields(30 << 10)

// trickle writes text in pieces of the given size with a pause between them, until a write fails.
func trickle(conn net.Conn, text string, size int, pause time.Duration) {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		time.Sleep(pause)
	}
}

// crowdPeer is a kind of client that makes the sidecar keep memory or connections. act writes to and reads from the
// connection; number tells the clients apart.
type crowdPeer struct {
	name string
	act  func(conn net.Conn, number int)
}

// longBodyBytes is the length of a long request or answer.
const longBodyBytes = 32 << 20

// bodyPiece is a piece of a long body.
var bodyPiece = strings.Repeat("x", 1<<20)

var crowdPeers = []crowdPeer{
	{"heads of short fields", func(conn net.Conn, number int) {
		io.WriteString(conn, peerHead(number)+manyFields)
		io.Copy(io.Discard, conn)
	}},
	{"whole heads of short fields", func(conn net.Conn, number int) {
		io.WriteString(conn, peerHead(number)+manyFields+"Content-Length: 0\r\n\r\n")
		io.Copy(io.Discard, conn)
	}},
	{"slow heads", func(conn net.Conn, number int) {
		trickle(conn, peerHead(number)+manyFields+"Content-Length: 0\r\n\r\n", 1<<10, 60*time.Millisecond)
		io.Copy(io.Discard, conn)
	}},
	{"half large requests", func(conn net.Conn, number int) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", peerHead(number), longBodyBytes, bodyPiece)
		io.Copy(io.Discard, conn)
	}},
	{"half chunked requests", func(conn net.Conn, number int) {
		fmt.Fprintf(conn, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", peerHead(number), longBodyBytes, bodyPiece)
		io.Copy(io.Discard, conn)
	}},
	{"slow large requests", func(conn net.Conn, number int) {
		fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n", peerHead(number), 400<<10)
		trickle(conn, bodyPiece[:400<<10], 8<<10, 100*time.Millisecond)
		io.Copy(io.Discard, conn)
	}},
	{"long answers read slowly", func(conn net.Conn, number int) {
		io.WriteString(conn, "GET /long"+strings.Replace(strings.TrimPrefix(peerHead(number), "POST /order"),
			"order", "long", 1)+"\r\n")
		buffer := make([]byte, 8<<10)
		for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}},
}

// Guards against a process that is killed for its memory because hundreds of clients write slowly, stop half way, send
// heads of very many fields or read long answers slowly, and against sound clients on open connections that lose their
// answers meanwhile.
func TestCrowdStaysWithinMemory(t *testing.T) {
	program := buildProgram(t)
	for _, sockets := range []int{minSockets, 1024} {
		for _, peer := range crowdPeers {
			t.Run(fmt.Sprintf("%s, %d sockets", peer.name, sockets), func(t *testing.T) { playCrowd(t, program, sockets, peer) })
		}
	}
}

// crowdSize is the number of clients in a crowd.
const crowdSize = 480

// playCrowd lets a crowd connect to a sidecar with the least memory, beside sound clients whose connections are open.
func playCrowd(t *testing.T, program string, sockets int, peer crowdPeer) {
	listen := freeAddress(t)
	config := effectsConfig(listen, newLongEndpoint(t))
	config = strings.Replace(config, `"classes":[`,
		`"classes":[{"name":"long","repeat":"pure","target":150000,"give-up":3000000},`, 1)
	config = strings.Replace(config, `"memory_mb":192,"sockets":1024`,
		fmt.Sprintf(`"memory_mb":%d,"sockets":%d`, minMemoryMB, sockets), 1)
	cmd := command(t, config)
	cmd.Path = program
	p := launch(t, cmd)
	awaitReady(t, listen)
	sound := startSoundClients(t, listen, 8)
	waitFor(t, "the sound clients to be served", func() bool { return sound.served.Load() > 40 })
	var open sync.WaitGroup
	for i := range crowdSize {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		open.Add(1)
		go func() {
			defer open.Done()
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(10 * time.Second))
			peer.act(conn, i)
		}()
	}
	done := make(chan struct{})
	go func() {
		open.Wait()
		close(done)
	}()
	highest := highestMemoryKB(t, p.Process.Pid, done)
	sound.stop(t)
	t.Logf("at most %d KB", highest)
	if highest > minMemoryMB<<10 {
		t.Errorf("the process has up to %d KB, want at most %d MB", highest, minMemoryMB)
	}
}

// newLongEndpoint starts an endpoint that gives a body of longBodyBytes to requests for /long, and a short one to others.
func newLongEndpoint(t *testing.T) (address string) {
	t.Helper()
	return serveConnections(t, func(conn net.Conn) {
		readRequests(conn, func(r *http.Request) {
			if r.URL.Path != "/long" {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longBodyBytes)
			for range longBodyBytes / len(bodyPiece) {
				if _, err := io.WriteString(conn, bodyPiece); err != nil {
					return
				}
			}
		})
	})
}
