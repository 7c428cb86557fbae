package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// startFleet starts endpoints and discovery in this process, and a sidecar that knows them. It returns when the sidecar
// is ready.
func startFleet(p *platform, names []string, work time.Duration) (*process, *sidecarConfig, *discovery, error) {
	var hosts []host
	for _, name := range names {
		e := &endpoint{name: name, rec: p.rec, work: work}
		address, err := e.listen()
		if err != nil {
			return nil, nil, nil, err
		}
		hosts = append(hosts, readyHost(name, address))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	d := newDiscovery(p.rec, hosts)
	d.serve(l)
	listen, err := freeAddress()
	if err != nil {
		return nil, nil, nil, err
	}
	cfg := smallSite(listen, l.Addr().String(), hosts)
	sidecar, err := p.startSidecar(cfg)
	if err != nil {
		return nil, nil, nil, err
	}
	return sidecar, cfg, d, p.awaitReady(listen)
}

// shutdownStream sends SIGTERM while long answers are on their way from endpoints that give them at a steady rate.
func shutdownStream(p *platform) (bool, string, error) {
	const (
		clients   = 4
		size      = 1 << 20
		duration  = 1200 * time.Millisecond
		timeLeft  = 240 * time.Millisecond // four fifths of the class's 300 ms
		longest   = 750 * time.Millisecond // longest deadline in the settings
		killAfter = longest + 700*time.Millisecond
	)
	sidecar, cfg, _, err := startFleet(p, []string{"s-1", "s-2", "s-3"}, 10*time.Millisecond)
	if err != nil {
		return false, "", err
	}
	time.Sleep(1500 * time.Millisecond) // a few seconds of life, so that the sidecar is in normal service
	answers := make([]answer, clients)
	var pending sync.WaitGroup
	for i := range answers {
		pending.Go(func() {
			r := request{id: newID(), class: "status-read", method: "GET", timeLeft: timeLeft,
				path: fmt.Sprintf("/status-read/long-%d-%d", size, duration.Milliseconds())}
			p.rec.line("client", "%s: sends %s, time left %v", r.id, r.path, timeLeft)
			answers[i] = do(cfg.Listen, &r, 10*time.Second)
			p.rec.line("client", "%s: %s", r.id, answers[i].text())
		})
	}
	time.Sleep(150 * time.Millisecond)
	terminated := time.Now()
	if p.trouble {
		p.rec.line("platform", "SIGTERM; SIGKILL would follow after %v", killAfter)
		if err := sidecar.signal(syscall.SIGTERM); err != nil {
			return false, "", err
		}
	}
	pending.Wait()
	if p.trouble {
		select {
		case <-sidecar.done:
		case <-time.After(time.Until(terminated.Add(killAfter))):
		}
	}
	lost := 0
	for i := range answers {
		a := &answers[i]
		switch {
		case a.whole() && a.status == 200:
		case !a.whole() && a.ended.Before(terminated.Add(killAfter)):
			lost++
		default:
			return false, "", fmt.Errorf("an answer that the case doesn't judge: %s", a.text())
		}
	}
	return lost > 0, fmt.Sprintf("%d of %d long answers were cut off, the first %v after SIGTERM; SIGKILL was not due "+
		"before %v", lost, clients, firstEnd(answers).Sub(terminated).Round(time.Millisecond), killAfter), nil
}

// firstEnd returns when the first answer that is not whole ended, or the first answer if all are.
func firstEnd(answers []answer) (first time.Time) {
	for i := range answers {
		if a := &answers[i]; !a.whole() && (first.IsZero() || a.ended.Before(first)) {
			first = a.ended
		}
	}
	if first.IsZero() {
		return answers[0].ended
	}
	return first
}
