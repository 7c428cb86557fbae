package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment is like galeries-rennes: its classes, prices, rules and load reports, on the pages' fleet of 200
// endpoints and 300 sidecars, of which one is real. The others offer more than the endpoints can serve. They keep
// othersDuringOverload of their requests at each endpoint and refuse the rest.
const (
	fleetEndpoints       = 200
	fleetSidecars        = 300
	requestRate          = 80                     // requests per second at this sidecar
	postBody             = 60 << 10               // body of a POST; the protocol allows 64 KiB
	memoryMB             = 32                     // limits.memory_mb
	calmTime             = 10 * time.Second       // time before the overload
	overloadTime         = 55 * time.Second       // longest time of the overload: the length of a day
	othersDuringOverload = 6                      // requests of other sidecars at an endpoint during the overload
	sampleInterval       = 100 * time.Millisecond // time between two looks at the sidecar's memory
)

// fleetClass is a class of the deployment.
type fleetClass struct {
	name, repeat         string
	workMS               int // work at an endpoint without load
	aimMS                int
	worth, late, portion float64
}

// giveUpMS is how long the clients of each class wait in all.
const giveUpMS = 2000

var fleetClasses = []fleetClass{
	{"view-gallery", "pure", 90, 500, 1, 0.25, 0.50},
	{"order-prints", "side_effect", 160, 1000, 2, 0.25, 0.32},
	{"save-selection", "token", 170, 1000, 2, 0.5, 0.18},
}

// fleetSite returns the configuration of one sidecar of that deployment.
func fleetSite(listen, discovery string, known []host) *sidecarConfig {
	cfg := smallSite(listen, discovery, known)
	cfg.Limits = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 256}
	s := cfg.Settings
	var classes []any
	for _, c := range fleetClasses {
		classes = append(classes, map[string]any{"name": c.name, "repeat": c.repeat, "group": "all", "window": 10_000_000,
			"target": c.aimMS * 1000, "give-up": giveUpMS * 1000, "credit": c.worth, "late-value": c.late, "stream": false})
	}
	s["classes"], s["peers-total"] = classes, fleetSidecars
	delete(s, "tenants")
	delete(s, "family-info")
	s["prices"] = map[string]any{"cross-zone": 0, "late-fail": 0.03, "peer": 0, "probe": 0.01, "waste": 0.013,
		"connection": 0.04}
	s["reporting"] = map[string]any{"how": "answers", "fields": []string{"cpu_share", "busy_reqs", "failed_ps"}}
	limits := s["limits"].(map[string]any)
	limits["second-copies"], limits["may-tell"], limits["max-retry-after"] = true, false, 2_000_000
	limits["dial-timeout"], limits["keepalive"] = 250_000, 15_000_000
	contract := s["contract"].(map[string]any)
	contract["drain-grace"], contract["overload-for"] = 500_000, 1_000_000
	return cfg
}

// loadedEndpoint is an endpoint with one core that also serves other sidecars. A request waits for those before it.
type loadedEndpoint struct {
	name     string
	rec      *record
	others   *atomic.Int64 // requests of other sidecars at each endpoint
	inFlight atomic.Int64  // requests of this sidecar
	served   *atomic.Int64
}

func (e *loadedEndpoint) report() string {
	n := e.inFlight.Load()
	if others := e.others.Load(); others > 0 {
		n += others - rand.Int64N(2)
	}
	return fmt.Sprintf("cpu_share=%.2f,busy_reqs=%d,failed_ps=0", min(1, float64(n)), n)
}

// meanWorkMS is the mean work of a request over all classes.
const meanWorkMS = 127

// workMS returns the work of a request.
func workMS(r *http.Request) int64 {
	for _, c := range fleetClasses {
		if c.name == r.Header.Get("X-Service-Class") {
			return int64(c.workMS)
		}
	}
	return meanWorkMS
}

// ServeHTTP answers a probe or a request.
func (e *loadedEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stats" {
		io.WriteString(w, e.report())
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	io.Copy(io.Discard, r.Body)
	before := e.inFlight.Load() - 1 + e.others.Load()
	select {
	case <-time.After(time.Duration(before*meanWorkMS+workMS(r)) * time.Millisecond):
	case <-r.Context().Done(): // the work of a cancelled request stops
		return
	}
	e.served.Add(1)
	e.rec.line(e.name, "%s: ran %s, %d requests were before it", r.Header.Get("X-Correlation-Id"), r.URL.Path, before)
	w.Header().Set("X-Backend-Load", e.report())
	io.WriteString(w, "served")
}

// memoryLimit overloads the fleet and watches the sidecar's memory as the platform does.
func memoryLimit(p *platform) (bool, string, error) {
	var others, served, answered, refused, failed, unanswered atomic.Int64
	var hosts []host
	for i := range fleetEndpoints {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return false, "", err
		}
		e := &loadedEndpoint{name: fmt.Sprintf("s-%d", i+1), rec: p.rec, others: &others, served: &served}
		go (&http.Server{Handler: e}).Serve(l)
		hosts = append(hosts, readyHost(e.name, l.Addr().String()))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, "", err
	}
	newDiscovery(p.rec, hosts).serve(l)
	listen, err := freeAddress()
	if err != nil {
		return false, "", err
	}
	sidecar, err := p.startSidecar(fleetSite(listen, l.Addr().String(), hosts))
	if err != nil {
		return false, "", err
	}
	if err := p.awaitReady(listen); err != nil {
		return false, "", err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for tick := time.NewTicker(time.Second / requestRate); ; {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			clients.Go(func() {
				a := fleetRequest(p, listen)
				switch {
				case a.whole() && a.status == 200:
					answered.Add(1)
				case a.whole() && (a.status == 429 || a.status == 503):
					refused.Add(1)
				case a.whole():
					failed.Add(1)
				default:
					unanswered.Add(1)
				}
			})
		}
	})
	defer clients.Wait()
	defer close(stop)
	start := time.Now()
	highest, lastLine := 0, start
	for time.Since(start) < calmTime+overloadTime {
		time.Sleep(sampleInterval)
		if p.trouble && time.Since(start) > calmTime && others.Swap(othersDuringOverload) == 0 {
			p.rec.line("platform", "the fleet is overloaded: %d requests of other sidecars at each endpoint", othersDuringOverload)
		}
		select {
		case <-sidecar.done:
			return true, "the sidecar ended by itself", nil
		default:
		}
		kb, err := residentKB(sidecar.pid())
		if err != nil {
			return false, "", err
		}
		highest = max(highest, kb)
		if time.Since(lastLine) > 2*time.Second || kb > memoryMB<<10 {
			lastLine = time.Now()
			p.rec.line("platform", "the sidecar has %d KiB; answers so far: %d served, %d refused, %d failed, %d none; "+
				"endpoints served %d", kb, answered.Load(), refused.Load(), failed.Load(), unanswered.Load(), served.Load())
		}
		if kb > memoryMB<<10 {
			p.rec.line("platform", "over memory_mb: the platform kills the sidecar")
			sidecar.cmd.Process.Kill()
			return true, fmt.Sprintf("the sidecar went over its %d MB after %v and was killed", memoryMB,
				time.Since(start).Round(time.Second)), nil
		}
	}
	return false, fmt.Sprintf("the sidecar had %d of %d KiB at most", highest, memoryMB<<10), nil
}

// fleetRequest sends one request of a random class.
func fleetRequest(p *platform, listen string) answer {
	class, x := fleetClasses[len(fleetClasses)-1], rand.Float64()
	for _, c := range fleetClasses {
		if x -= c.portion; x < 0 {
			class = c
			break
		}
	}
	r := request{id: newID(), class: class.name, path: "/" + class.name + "/a",
		timeLeft: giveUpMS * time.Millisecond * 11 / 20} // 0.55 of it
	switch class.repeat {
	case "pure":
		r.method = "GET"
	case "token":
		r.key, r.body = r.id, postBody
	default:
		r.body = postBody
	}
	a := do(listen, &r, r.timeLeft+time.Second)
	p.rec.line("client", "%s: sent %s, body %d bytes: %s", r.id, r.path, r.body, a.text())
	return a
}

// residentKB returns how much memory of its own a process has, in KiB. Pages of its program file are left out.
func residentKB(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "RssAnon:" {
			return strconv.Atoi(fields[1])
		}
	}
	return 0, errors.New("no RssAnon")
}
