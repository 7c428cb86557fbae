package main

import (
	"fmt"
	"strings"
	"time"
)

// caseReady: a peer sends the readiness check with a long body.
func caseReady(w *world) (int, string) {
	const size = 100 << 10
	var hosts []host
	var endpoints []*endpoint
	for i := range 3 {
		e := w.startEndpoint(fmt.Sprintf("s-%d", i+1), nil)
		endpoints = append(endpoints, e)
		hosts = append(hosts, e.host(i))
	}
	d := w.startDiscovery("discovery", 41, hosts)
	spec := w.newSpec(newSettings(osloClasses()), d, hosts)
	p := w.startSidecar(spec)
	w.awaitReady(spec, p)
	u := w.startUsers(2, 5, spec.listen, "POST", "settle", 600)
	time.Sleep(3 * time.Second)
	answers := ""
	for i := 0; w.trouble && i < 4; i++ {
		text := fmt.Sprintf("POST /health/ready HTTP/1.1\r\nHost: api.internal\r\nContent-Length: %d\r\n\r\n%s", size,
			strings.Repeat("x", size))
		w.log("peer: POST /health/ready with a body of %d bytes, no X-Correlation-Id", size)
		status, _, err := call(spec.listen, text, 3*time.Second)
		w.log("peer: answer %d, %v", status, err)
		answers += fmt.Sprint(status, " ")
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Second)
	u.end()
	if u.served.Load() == 0 || p.hasEnded() {
		return couldNot, "the clients were not served"
	}
	foreign := 0
	for _, e := range endpoints {
		for _, a := range e.requests() {
			if a.path != "/settle" || a.id == "" {
				foreign++
				w.log("%s: got %s %s, id %q, %d bytes, X-Time-Left-Ms %s, which no client has sent", e.name, a.method,
					a.path, a.id, a.bytes, a.timeLeft)
			}
		}
	}
	seen := fmt.Sprintf("endpoints got %d requests that no client had sent; answers to the peer: %s; clients: %d served, "+
		"%d failed or refused", foreign, answers, u.served.Load(), u.failed.Load())
	if foreign > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
