package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answerLimit is how long after a request's time its final answer may come: half a second, and 50 ms by which every
// limit is longer on sockets, and the settings' answer-slack of 8 ms.
const answerLimit = 558 * time.Millisecond

// caseSlowRead: clients send long bodies, and the endpoint is slow to read them.
func caseSlowRead(w *world) (int, string) {
	const (
		size     = 8_000_000
		timeLeft = 1600 // ms; a client tries for 50 to 80% of the class's 2000 ms
		requests = 2
	)
	e := w.startEndpoint("s-1", nil)
	if w.trouble {
		e.readRate = 1_000_000
	}
	hosts := []host{e.host(1)}
	d := w.startDiscovery("discovery", 41, hosts)
	spec := w.newSpec(newSettings(rennesClasses()), d, hosts)
	p := w.startSidecar(spec)
	w.awaitReady(spec, p)
	time.Sleep(1500 * time.Millisecond)
	late, seen := 0, ""
	for i := range requests {
		conn, err := net.Dial("tcp", spec.listen)
		check(err)
		id := fmt.Sprintf("9b1f03aa5c7e2d4%d", i)
		began := time.Now()
		text := head("POST", "order-prints", id, timeLeft) + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
		_, err = conn.Write(append([]byte(text), make([]byte, size)...))
		last := time.Now()
		w.log("client: request %s, order-prints, X-Time-Left-Ms %d, body of %d bytes: the last byte is written after %v (%v)",
			id, timeLeft, size, last.Sub(began).Round(time.Millisecond), err)
		conn.SetReadDeadline(last.Add(15 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		took := time.Since(last)
		result := fmt.Sprint(err)
		if err == nil {
			io.Copy(io.Discard, response.Body)
			took = time.Since(last)
			result = response.Status
		}
		w.log("client: request %s: %s, %d ms after its last byte", id, result, took.Milliseconds())
		if took > timeLeft*time.Millisecond+answerLimit {
			late++
		}
		seen += fmt.Sprintf("%s after %d ms; ", result, took.Milliseconds())
		conn.Close()
		time.Sleep(time.Second)
	}
	seen += fmt.Sprintf("%d of %d answers later than %d ms", late, requests, timeLeft+answerLimit.Milliseconds())
	time.Sleep(time.Second)
	if p.hasEnded() {
		return couldNot, "the sidecar has ended"
	}
	if late > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
