package main

import (
	"fmt"
	"syscall"
	"time"
)

// caseStorm: new configurations come in quick succession while discovery is slow, and an endpoint drains.
func caseStorm(w *world) (int, string) {
	const (
		reloads  = 6
		interval = 1900 * time.Millisecond
		slow     = 2 * time.Second
		told     = 6 * time.Second        // after discovery had the change and could be reached
		grace    = 2*time.Second + 50*1e6 // drain-grace, and 50 ms for sockets
	)
	a, b := w.startEndpoint("s-1", nil), w.startEndpoint("s-2", nil)
	a.quiet, b.quiet = true, true
	hosts := []host{a.host(1), b.host(2)}
	d := w.startDiscovery("discovery", 41, hosts)
	addresses := []string{d.listenAlso(), d.address}
	spec := w.newSpec(newSettings(osloClasses()), d, hosts)
	p := w.startSidecar(spec)
	w.awaitReady(spec, p)
	u := w.startUsers(4, 10, spec.listen, "POST", "settle", 600)
	time.Sleep(3 * time.Second)
	if w.trouble {
		d.setDelay(slow)
		w.log("discovery: each call waits %v for its turn from now on", slow)
		time.Sleep(3 * time.Second)
	}
	go func() {
		for i := 0; w.trouble && i < reloads; i++ {
			spec.configText["discovery"] = addresses[i%2]
			w.writeConfig(spec)
			w.log("platform: new configuration: discovery is at %s", addresses[i%2])
			p.signal(syscall.SIGHUP)
			time.Sleep(interval)
		}
	}()
	time.Sleep(300 * time.Millisecond)
	drainsAt := time.Now()
	d.set("s-1", func(h *host) { h.Health = "Terminating" })
	time.Sleep(time.Until(drainsAt.Add(13 * time.Second)))
	u.end()
	if p.hasEnded() {
		return couldNot, "the sidecar has ended"
	}
	late, last := 0, time.Duration(0)
	for _, r := range a.requests() {
		after := r.firstByte.Sub(drainsAt)
		if after > told+grace {
			late++
			w.log("s-1: request %s came %d ms after discovery had the change", r.id, after.Milliseconds())
		}
		last = max(last, after)
	}
	seen := fmt.Sprintf("%d requests came to the draining endpoint later than %d ms after discovery had the change, the "+
		"last one after %d ms; %d requests in all, %d to the other endpoint", late, (told + grace).Milliseconds(),
		last.Milliseconds(), len(a.requests()), len(b.requests()))
	if late > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
