package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"oakproxy/internal/config"
	"oakproxy/internal/httpmsg"
	"oakproxy/internal/sidecartest"
)

// The least memory and the most descriptors that a sidecar may be given.
const (
	leastMemoryMB          = 32
	mostSockets            = 1024
	longestHeadBytes       = 31 << 10
	memorySamplingInterval = 20 * time.Millisecond
)

// shortLines returns header lines of at least size bytes in all, each with another name. Of all heads of this size,
// such a head takes net/http most memory.
func shortLines(size int) string {
	var b strings.Builder
	for i := 36 * 36; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s:\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// shortNames returns a list of names separated by commas, of at least size bytes.
func shortNames(size int) string {
	var b strings.Builder
	for i := 36 * 36; b.Len() < size; i++ {
		b.WriteString(strconv.FormatInt(int64(i), 36) + ",")
	}
	return b.String() + "end"
}

// Guards against a sidecar that is killed for its memory because of what peers, clients and endpoints make it keep: as
// many as can connect send what takes most memory and wait until they are answered or closed. The sidecar has the least
// memory that it may be given.
func TestPeersStayWithinTheMemoryLimit(t *testing.T) {
	largeRequest := func(i int) string {
		return fmt.Sprintf("%sX-Correlation-Id: %d\r\n%s", strings.Replace(sidecartest.PayHead, "3000", "2500", 1), i,
			shortLines(longestHeadBytes-(1<<10)))
	}
	relayed := func(headLines string) sidecartest.Handler {
		return func(e *sidecartest.Endpoint, conn net.Conn, in *bufio.Reader) {
			e.ReadRequest(in)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n%s\r\nbeginning", largeBodyBytes, headLines)
			io.Copy(io.Discard, in) // until the sidecar closes the connection
		}
	}
	smallRequest := func(i int) string { return fmt.Sprintf("%sX-Correlation-Id: %d\r\n\r\n", sidecartest.ReadHead, i) }
	for _, c := range []struct {
		name  string
		text  func(i int) string // what peer i sends
		leave bool               // whether each peer disconnects at once
		serve sidecartest.Handler
	}{
		{name: "half heads", text: func(int) string { return "GET / HTTP/1.1\r\n" + shortLines(longestHeadBytes) }},
		{name: "one long line", text: func(int) string { return "GET / HTTP/1.1\r\nA:" + strings.Repeat("x", longestHeadBytes) }},
		{name: "half bodies", text: func(i int) string { return largeRequest(i) + "Content-Length: 10\r\n\r\nhalf" }},
		{name: "trailer names", text: func(i int) string {
			return fmt.Sprintf("%sX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\nTrailer: %s\r\n\r\n4\r\nhalf",
				sidecartest.PayHead, i, shortNames(longestHeadBytes-(1<<10)))
		}},
		{name: "trailers", text: func(i int) string {
			return strings.Replace(fmt.Sprintf("%sX-Correlation-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n%s\r\n",
				sidecartest.PayHead, i, shortLines(3<<10)), "3000", "2500", 1)
		}},
		{name: "open requests", text: func(i int) string { return largeRequest(i) + "Content-Length: 0\r\n\r\n" }},
		{name: "abandoned requests", leave: true,
			text: func(i int) string { return largeRequest(i) + "Content-Length: 0\r\n\r\n" }},
		{name: "long bodies", text: func(i int) string {
			return fmt.Sprintf("%sX-Correlation-Id: %d\r\nContent-Length: %d\r\n\r\n%s", sidecartest.PayHead, i,
				largeBodyBytes, strings.Repeat("x", httpmsg.MaxBufferedBytes+1))
		}},
		{name: "rejected bodies", text: func(i int) string {
			return fmt.Sprintf("POST / HTTP/1.1\r\nHost: api\r\nContent-Length: %d\r\n\r\n", largeBodyBytes)
		}},
		{name: "relayed responses", serve: relayed(""), text: smallRequest},
		{name: "heads of responses", serve: relayed(shortLines(7 << 10)), text: smallRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			serve := c.serve
			if serve == nil {
				serve = sidecartest.NeverRespond
			}
			e := sidecartest.NewEndpoint(t, serve)
			doNotCancel := func(settings map[string]any) { settings["limits"].(map[string]any)["cancel"] = false }
			h := startWithConfig(t, doNotCancel, func(cfg *config.Config) {
				cfg.Limits.MemoryMB, cfg.Limits.Sockets = leastMemoryMB, mostSockets
			}, ready("s-1", e.Address))
			before := collectedHeapBytes()
			highest := h.highestHeapWith(maxConnections(h.loop.cfg), c.text, c.leave)
			t.Logf("%d KB before, %d KB at most", before>>10, highest>>10)
			if highest > leastMemoryMB<<20 {
				t.Errorf("the heap has up to %d KB, want at most %d MB", highest>>10, leastMemoryMB)
			}
			h.await("the memory to be released", func() bool {
				memory := h.loop.upstream.Memory
				return memory.Heads.Used.Load() == 0 && memory.Bodies.Used.Load() == 0 && memory.Chunks.Used.Load() == 0
			})
		})
	}
}

// collectedHeapBytes returns the bytes of heap objects that a garbage collection has found to be in use. Unlike heapBytes,
// it counts no garbage that other goroutines leave between the collection and the call.
func collectedHeapBytes() int64 {
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	return int64(sample[0].Value.Uint64())
}

// highestHeapWith lets a number of peers connect, each of which sends its text. It returns the most memory that the heap
// has until all of them were answered or closed.
func (h *harness) highestHeapWith(peers int, text func(i int) string, leave bool) (highest int64) {
	h.t.Helper()
	var open sync.WaitGroup
	for i := range peers {
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		if err != nil {
			h.t.Fatal(err)
		}
		open.Add(1)
		go func() {
			defer open.Done()
			defer conn.Close()
			io.WriteString(conn, text(i))
			if !leave {
				conn.Read(make([]byte, 1))
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		open.Wait()
		if leave {
			h.await("the abandoned requests to end", func() bool { return h.loop.upstream.Counts().Open == 0 })
		}
		close(done)
	}()
	for {
		highest = max(highest, collectedHeapBytes())
		select {
		case <-done:
			return highest
		case <-time.After(memorySamplingInterval):
		}
	}
}

// Guards against a limit that refuses what clients may send: a large head alone, and a small one beside others that have
// used up the memory for heads.
func TestHeadsAreServedWithinTheirMemory(t *testing.T) {
	e := newServingEndpoint(t)
	h := startWithConfig(t, nil, func(cfg *config.Config) {
		cfg.Limits.MemoryMB, cfg.Limits.Sockets = leastMemoryMB, mostSockets
	}, ready("s-1", e.Address))
	large := func(id string) string {
		return sidecartest.PayHead + "X-Correlation-Id: " + id + "\r\nConnection: close\r\nContent-Length: 0\r\n" +
			shortLines(longestHeadBytes-(1<<10)) + "\r\n"
	}
	if got := h.sendRaw(large("1")); !strings.HasPrefix(got, "HTTP/1.1 200") {
		t.Errorf("a large head alone: got %.40q, want 200", got)
	}
	heads := &h.loop.upstream.Memory.Heads
	h.await("the memory of the head to be released", func() bool { return heads.Used.Load() == 0 })
	heads.Used.Store(heads.Limit.Load())
	if got := h.sendRaw(large("2")); !strings.HasPrefix(got, "HTTP/1.1 503") && got != "" { // a reset may discard it
		t.Errorf("a large head beside others: got %.40q, want 503", got)
	}
	if got := h.send(h.request("pay", "body", 3*time.Second)); got.code != http.StatusOK {
		t.Errorf("a small head beside large ones: got %+v, want 200", got)
	}
	if used := heads.Used.Load(); used != heads.Limit.Load() {
		t.Errorf("%d bytes are reserved, want the %d of the others", used, heads.Limit.Load())
	}
	if n, _ := e.Counts(); n != 2 {
		t.Errorf("the endpoint got %d requests, want 2", n)
	}
}

// Guards against large bodies that are not forwarded while the memory for their buffers is used up: they pass through
// smaller buffers.
func TestLargeBodiesPassWithoutMemoryForChunks(t *testing.T) {
	e := newServingEndpoint(t)
	large := sidecartest.NewEndpoint(t, sidecartest.AlwaysRespond(
		fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", largeBodyBytes, strings.Repeat("x", largeBodyBytes))))
	for _, c := range []struct {
		class, body string
		endpoint    *sidecartest.Endpoint
		bodyBytes   int
	}{
		{"order", strings.Repeat("x", largeBodyBytes), e, len("body")},
		{"read", "", large, largeBodyBytes},
	} {
		h := start(t, nil, ready("s-1", c.endpoint.Address))
		chunks := &h.loop.upstream.Memory.Chunks
		chunks.Used.Store(chunks.Limit.Load())
		if got := h.send(h.request(c.class, c.body, 20*time.Second)); got.code != http.StatusOK || len(got.body) != c.bodyBytes {
			t.Errorf("class %s: got status %d, a body of %d bytes, %v, want 200 and %d bytes", c.class, got.code,
				len(got.body), got.err, c.bodyBytes)
		}
	}
}

// Guards against memory that is counted as free while it is in use: the body and the head of a request whose client has
// gone, as long as its attempt goes on.
func TestMemoryOfAnAbandonedRequestStaysReserved(t *testing.T) {
	release := make(chan struct{})
	e := sidecartest.NewEndpoint(t, sidecartest.BlockPay(release))
	h := start(t, func(settings map[string]any) {
		settings["limits"].(map[string]any)["cancel"] = false
	}, ready("s-1", e.Address))
	const reserved = 4
	body := strings.Repeat("x", httpmsg.BodyAllowance+reserved)
	conn := h.dial()
	fmt.Fprintf(conn, "%sX-Correlation-Id: 1\r\nContent-Length: %d\r\n%s\r\n%s", sidecartest.PayHead, len(body),
		shortLines(longestHeadBytes-(1<<10)), body)
	h.awaitRequests(e, 1)
	memory := h.loop.upstream.Memory
	heads := memory.Heads.Used.Load()
	if bodies := memory.Bodies.Used.Load(); heads == 0 || bodies != reserved {
		t.Errorf("%d bytes are reserved for heads and %d for bodies, want some and %d", heads, bodies, reserved)
	}
	conn.Close()
	h.awaitClientGone()
	h.await("the handler and the connection to end", func() bool {
		return h.server.openRequests() == 0 && h.server.clients.Count() == 0
	})
	if got, bodies := memory.Heads.Used.Load(), memory.Bodies.Used.Load(); got != heads || bodies != reserved {
		t.Errorf("%d and %d bytes are reserved while the attempt goes on, want %d and %d", got, bodies, heads, reserved)
	}
	close(release)
	h.await("the memory to be released", func() bool {
		return memory.Heads.Used.Load() == 0 && memory.Bodies.Used.Load() == 0
	})
}
