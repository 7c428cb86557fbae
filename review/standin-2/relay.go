package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// caseRelay: a long answer is being passed on when a planned restart begins. The platform sends SIGKILL later than it has
// to.
func caseRelay(w *world) (int, string) {
	const (
		timeLeft  = 600
		piece     = 16 << 10
		pieces    = 64 // 1 MiB in all
		pieceGap  = time.Second / 8
		killAfter = 20 * time.Second
	)
	e := w.startEndpoint("s-1", func(conn net.Conn, a arrival) bool {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", piece*pieces)
		for i := range pieces {
			if _, err := io.WriteString(conn, strings.Repeat("x", piece)); err != nil {
				w.log("s-1: the sidecar has closed the connection after %d of %d pieces: %v", i, pieces, err)
				return false
			}
			time.Sleep(pieceGap)
		}
		w.log("s-1: the answer is written to its last byte")
		return true
	})
	d := w.startDiscovery("discovery", 41, []host{e.host(1)})
	spec := w.newSpec(newSettings(osloClasses()), d, []host{e.host(1)})
	p := w.startSidecar(spec)
	w.awaitReady(spec, p)
	time.Sleep(1500 * time.Millisecond)

	conn, err := net.Dial("tcp", spec.listen)
	check(err)
	defer conn.Close()
	id := "9b1f03aa5c7e2d41"
	io.WriteString(conn, head("POST", "settle", id, timeLeft)+"Content-Length: 5\r\n\r\nhello")
	w.log("client: request %s, settle, X-Time-Left-Ms %d", id, timeLeft)
	conn.SetReadDeadline(time.Now().Add(60 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	check(err)
	w.log("client: the answer has begun: %d, Content-Length %d", response.StatusCode, response.ContentLength)
	if w.trouble {
		go func() {
			time.Sleep(time.Second)
			p.signal(syscall.SIGTERM)
			time.Sleep(killAfter)
			if !p.hasEnded() {
				p.signal(syscall.SIGKILL)
			}
		}()
	}
	n, err := io.Copy(io.Discard, response.Body)
	w.log("client: %d bytes of the answer's body, %v", n, err)
	if err != nil {
		time.Sleep(300 * time.Millisecond)
		if !p.hasEnded() {
			return couldNot, "the sidecar has not ended"
		}
		return ruleBroken, fmt.Sprintf("the sidecar ended by itself, before SIGKILL; %d of %d bytes were passed on: %v",
			n, piece*pieces, err)
	}
	return ruleHeld, fmt.Sprintf("the whole answer has come, %d bytes", n)
}
