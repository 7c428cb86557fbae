package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// memoryUse is the resident memory of a process in kB: all of it, and without the pages of its program file.
type memoryUse struct{ all, anonymous int }

func readMemory(pid int) memoryUse {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	find := func(name string) int {
		if m := regexp.MustCompile(name + `:\s+(\d+) kB`).FindSubmatch(text); m != nil {
			n, _ := strconv.Atoi(string(m[1]))
			return n
		}
		return 0
	}
	return memoryUse{find("VmRSS"), find("RssAnon")}
}

// memoryLimit plays the part of the platform that kills a sidecar over its memory.
type memoryLimit struct {
	killed atomic.Bool
	mu     sync.Mutex
	peak   memoryUse
}

// enforce watches a sidecar until it ends. measure says which figure is held against the limit.
func (l *memoryLimit) enforce(w *world, p *process, limitMB int, measure func(memoryUse) int) {
	for !p.hasEnded() {
		use := readMemory(p.cmd.Process.Pid)
		l.mu.Lock()
		l.peak = memoryUse{max(l.peak.all, use.all), max(l.peak.anonymous, use.anonymous)}
		l.mu.Unlock()
		if measure(use) > limitMB<<10 {
			w.log("platform: the sidecar uses %d kB, %d kB without its program file; its limit is %d kB", use.all,
				use.anonymous, limitMB<<10)
			l.killed.Store(true)
			p.signal(syscall.SIGKILL)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *memoryLimit) highest() memoryUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peak
}

// users are clients that send one request after another until they are told to stop.
type users struct {
	served, failed, unanswered atomic.Int64
	stop                       chan struct{}
	done                       sync.WaitGroup
}

// startUsers starts n clients, each with one connection and about rate requests a second.
func (w *world) startUsers(n, rate int, address, method, class string, timeLeftMS int) *users {
	u := &users{stop: make(chan struct{})}
	for c := range n {
		u.done.Add(1)
		go func() {
			defer u.done.Done()
			u.run(w, c, rate, address, method, class, timeLeftMS)
		}()
	}
	return u
}

func (u *users) run(w *world, c, rate int, address, method, class string, timeLeftMS int) {
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-u.stop:
			return
		case <-time.After(time.Second / time.Duration(rate)):
		}
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", address, time.Second); err != nil {
				conn = nil
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%08x%08x", c, i)
		text := head(method, class, id, timeLeftMS)
		if method == "POST" {
			text += "Content-Length: 0\r\n"
		}
		fmt.Fprintf(conn, "%s\r\n", text)
		w.log("client %d: request %s, %s, X-Time-Left-Ms %d", c, id, class, timeLeftMS)
		conn.SetReadDeadline(time.Now().Add(time.Duration(timeLeftMS+600) * time.Millisecond))
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			u.unanswered.Add(1)
			w.log("client %d: request %s got no answer: %v", c, id, err)
			conn.Close()
			conn = nil
			continue
		}
		if response.StatusCode == http.StatusOK {
			u.served.Add(1)
		} else {
			u.failed.Add(1)
		}
		io.Copy(io.Discard, response.Body)
		w.log("client %d: request %s: %s", c, id, response.Status)
		if response.Close {
			conn.Close()
			conn = nil
		}
	}
}

func (u *users) end() {
	close(u.stop)
	u.done.Wait()
}

// halfHead is the beginning of a request, which never goes on: a head of 31 KiB without its end.
func halfHead() string {
	var b strings.Builder
	b.WriteString("GET /status-read HTTP/1.1\r\nHost: api.internal\r\n")
	for i := 36 * 36; b.Len() < 31<<10; i++ {
		fmt.Fprintf(&b, "%s:1\r\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// caseHeads: peers connect, send a part of a request and stay.
func caseHeads(w *world) (int, string) {
	const (
		memoryMB, sockets = 64, 384
		peers             = 165
		lasts             = 12 * time.Second
	)
	var hosts []host
	for i := range 3 {
		e := w.startEndpoint(fmt.Sprintf("s-%d", i+1), nil)
		hosts = append(hosts, e.host(i))
	}
	d := w.startDiscovery("discovery", 41, hosts)
	spec := w.newSpec(newSettings(osloClasses()), d, hosts)
	spec.configText["limits"] = map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}
	w.writeConfig(spec)
	p := w.startSidecar(spec)
	w.awaitReady(spec, p)
	var limit memoryLimit
	go limit.enforce(w, p, memoryMB, func(use memoryUse) int { return use.anonymous })
	u := w.startUsers(10, 5, spec.listen, "POST", "settle", 600)
	time.Sleep(3 * time.Second)
	if u.served.Load() == 0 || p.hasEnded() {
		return couldNot, "no request was served before the disruption"
	}
	w.log("clients: %d requests served; memory %+v kB", u.served.Load(), limit.highest())
	var connections atomic.Int64
	text := halfHead()
	stop := time.Now().Add(lasts)
	if w.trouble {
		w.log("peers: %d peers connect; each sends %d bytes of a head and waits for the close", peers, len(text))
		for i := range peers {
			go func() {
				for time.Now().Before(stop) && !p.hasEnded() {
					conn, err := net.DialTimeout("tcp", spec.listen, time.Second)
					if err != nil {
						return
					}
					connections.Add(1)
					w.log("peer %d: connected, sends half a head", i)
					conn.SetDeadline(time.Now().Add(5 * time.Second))
					io.WriteString(conn, text)
					n, err := io.Copy(io.Discard, conn)
					w.log("peer %d: closed after an answer of %d bytes, %v", i, n, err)
					conn.Close()
				}
			}()
			time.Sleep(5 * time.Millisecond)
		}
	}
	for time.Now().Before(stop) && !p.hasEnded() {
		time.Sleep(50 * time.Millisecond)
	}
	u.end()
	use := limit.highest()
	seen := fmt.Sprintf("peak memory %d kB, %d kB without the program file, limit %d kB; %d connections of peers; "+
		"requests of clients: %d served, %d failed or refused, %d without an answer", use.all, use.anonymous, memoryMB<<10,
		connections.Load(), u.served.Load(), u.failed.Load(), u.unanswered.Load())
	if limit.killed.Load() || p.hasEnded() {
		return ruleBroken, "the sidecar was killed for its memory: " + seen
	}
	return ruleHeld, seen
}
