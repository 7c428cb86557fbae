package main

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"
)

// caseUpgrade: an endpoint drains, and the sidecar knows it. Discovery goes down, and the sidecar's process is replaced.
func caseUpgrade(w *world) (int, string) {
	const (
		outage = 8 * time.Second            // of discovery
		binds  = 2 * time.Second            // after the yes: news of discovery binds
		grace  = 2*time.Second + 50*1000000 // drain-grace, and 50 ms for sockets
	)
	a, b := w.startEndpoint("s-1", nil), w.startEndpoint("s-2", nil)
	a.quiet, b.quiet = true, true
	hosts := []host{a.host(1), b.host(2)}
	d := w.startDiscovery("discovery", 41, hosts)
	spec := w.newSpec(newSettings(osloClasses()), d, hosts)
	l, err := net.Listen("tcp", spec.listen)
	check(err)
	spec.socket, err = l.(*net.TCPListener).File() // the platform holds the clients' socket
	check(err)
	l.Close()
	old := w.startSidecar(spec)
	w.awaitReady(spec, old)
	u := w.startUsers(4, 10, spec.listen, "POST", "settle", 600)
	time.Sleep(2 * time.Second)
	d.set("s-1", func(h *host) { h.Health = "Terminating" })
	drained := time.Now()
	time.Sleep(5 * time.Second)
	before := len(a.requests())
	for _, r := range a.requests() {
		if r.firstByte.Sub(drained) > grace {
			return couldNot, "the old process sends to the draining endpoint"
		}
	}
	w.log("the endpoint s-1 has drained for 5 s; it got %d requests before", before)
	yes := time.Now()
	back := yes.Add(outage)
	if w.trouble {
		d.goDown()
		time.Sleep(500 * time.Millisecond)
		next := *spec
		next.admin = freeAddress()
		w.startSidecar(&next)
		for end := time.Now().Add(6 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			if status, _, err := get(next.admin, "/admin/health"); err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				u.end()
				return ruleHeld, "the new process said no"
			}
		}
		yes = time.Now()
		w.log("platform: the new process says yes")
		old.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(1450 * time.Millisecond)
			if !old.hasEnded() {
				old.signal(syscall.SIGKILL)
			}
		}()
	}
	time.Sleep(time.Until(back))
	if w.trouble {
		d.comeBack()
	}
	time.Sleep(2 * time.Second)
	u.end()
	late, last := 0, time.Duration(0)
	for _, r := range a.requests()[before:] {
		after := r.firstByte.Sub(yes)
		if after > binds+grace {
			late++
		}
		last = max(last, after)
	}
	seen := fmt.Sprintf("%d requests came to the draining endpoint after the yes of the new process, %d of them later than "+
		"%d ms, the last one after %d ms; %d to the other endpoint", len(a.requests())-before, late,
		(binds + grace).Milliseconds(), last.Milliseconds(), len(b.requests()))
	if late > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
