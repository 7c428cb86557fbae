package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseStale: a process is replaced, and the new process gets a planned restart while the old one still answers a request.
func caseStale(w *world) (int, string) {
	const (
		timeLeft    = 600 // ms; 80% of the 750 ms of settle
		reportLeft  = 3000
		reportTakes = 2500 * time.Millisecond
		requests    = 4
	)
	e := w.startEndpoint("s-1", func(conn net.Conn, a arrival) bool {
		if strings.HasPrefix(a.path, "/report") {
			return answerAfter(reportTakes, "report")(conn, a)
		}
		return answerAfter(10*time.Millisecond, "done")(conn, a)
	})
	hosts := []host{e.host(1)}
	d := w.startDiscovery("discovery", 41, hosts)
	spec := w.newSpec(newSettings(append(osloClasses(), class("report", "pure", "all", 1000, reportLeft, 5000))), d, hosts)
	l, err := net.Listen("tcp", spec.listen)
	check(err)
	spec.socket, err = l.(*net.TCPListener).File() // the platform holds the clients' socket
	check(err)
	l.Close()
	first := w.startSidecar(spec)
	w.awaitReady(spec, first)
	time.Sleep(1500 * time.Millisecond)

	var mu sync.Mutex
	late, seen := 0, ""
	var done sync.WaitGroup
	send := func(method, class, id string, left int) {
		done.Add(1)
		go func() {
			defer done.Done()
			result := ""
			conn, err := net.DialTimeout("tcp", spec.listen, time.Second)
			began := time.Now()
			if err == nil {
				defer conn.Close()
				text := head(method, class, id, left)
				if method == "POST" {
					text += "Content-Length: 0\r\n"
				}
				io.WriteString(conn, text+"\r\n")
				began = time.Now()
				w.log("client: request %s, %s, X-Time-Left-Ms %d, is written on a new connection", id, class, left)
				conn.SetReadDeadline(began.Add(6 * time.Second))
				var response *http.Response
				if response, err = http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
					result = response.Status
				}
			}
			if err != nil {
				result = err.Error()
			}
			took := time.Since(began)
			w.log("client: request %s: %s, after %d ms", id, result, took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			if took > time.Duration(left)*time.Millisecond+answerLimit {
				late++
			}
			if class != "report" {
				seen += fmt.Sprintf("%s after %d ms; ", result, took.Milliseconds())
			}
		}()
	}
	second := first
	if w.trouble {
		began := time.Now()
		send("GET", "report", "00000000000000a0", reportLeft)
		time.Sleep(100 * time.Millisecond)
		next := *spec
		next.admin = freeAddress()
		second = w.startSidecar(&next)
		for end := time.Now().Add(6 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if status, _, err := get(next.admin, "/admin/health"); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				return couldNot, "the new process did not become ready"
			}
		}
		w.log("platform: the new process says yes")
		first.signal(syscall.SIGTERM)
		time.Sleep(time.Until(began.Add(reportTakes - 200*time.Millisecond)))
		send("GET", "report", "00000000000000b0", reportLeft)
		time.Sleep(100 * time.Millisecond)
		if first.hasEnded() {
			return couldNot, "the old process has ended too early"
		}
		w.log("platform: planned restart of the sidecar")
		terminated := time.Now()
		second.signal(syscall.SIGTERM)
		<-first.ended // the replacement is over
		if time.Since(terminated) > 250*time.Millisecond {
			return couldNot, "the old process has ended too late"
		}
	}
	for i := range requests { // within 0.4 s of SIGTERM
		send("POST", "settle", fmt.Sprintf("00000000000000c%d", i), timeLeft)
		time.Sleep(30 * time.Millisecond)
	}
	if w.trouble {
		<-second.ended
		third := w.startSidecar(spec)
		w.awaitReady(spec, third)
	}
	done.Wait()
	seen += fmt.Sprintf("%d of %d answers later than %d ms", late, requests, timeLeft+answerLimit.Milliseconds())
	if late > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
