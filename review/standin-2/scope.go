package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// caseScope: a request with an idempotency key is at work when a new configuration says that only the endpoints of one
// cell drop a repeat. Then the endpoint resets the connection.
func caseScope(w *world) (int, string) {
	const timeLeft = 1600 // ms; a client tries for 50 to 80% of the class's 2000 ms
	var mu sync.Mutex
	var ran []string
	effects := map[string]bool{} // what each cell has run, by cell and key: a cell drops the repeat of a key
	applied := 0
	answer := func(name string, cell int) func(net.Conn, arrival) bool {
		return func(conn net.Conn, a arrival) bool {
			mu.Lock()
			ran = append(ran, name)
			first := len(ran) == 1
			if key := fmt.Sprint(cell, a.key); !effects[key] {
				effects[key] = true
				applied++
				w.log("%s: key %s is new in cell %d: applied", name, a.key, cell)
			} else {
				w.log("%s: key %s is known in cell %d: dropped", name, a.key, cell)
			}
			mu.Unlock()
			if first && w.trouble {
				time.Sleep(1200 * time.Millisecond)
				w.log("%s: resets the connection under request %s", name, a.id)
				conn.(*net.TCPConn).SetLinger(0)
				return false
			}
			return answerAfter(20*time.Millisecond, "done")(conn, a)
		}
	}
	var hosts []host
	for i := range 4 { // two cells of two endpoints
		name, cell := fmt.Sprintf("s-%d", i+1), i/2+1
		hosts = append(hosts, w.startEndpoint(name, answer(name, cell)).host(cell))
	}
	const requests = 6
	d := w.startDiscovery("discovery", 41, hosts)
	broken, seen := 0, ""
	for i := range requests {
		spec := w.newSpec(newSettings(rennesClasses()), d, hosts)
		p := w.startSidecar(spec)
		w.awaitReady(spec, p)
		time.Sleep(1500 * time.Millisecond)
		mu.Lock()
		ran, applied = nil, 0
		mu.Unlock()
		conn, err := net.Dial("tcp", spec.listen)
		check(err)
		id := fmt.Sprintf("9b1f03aa5c7e2d4%d", i)
		io.WriteString(conn, head("POST", "save-selection", id, timeLeft)+"Content-Length: 5\r\n\r\nhello")
		w.log("client: request %s, save-selection, key-%s, X-Time-Left-Ms %d", id, id, timeLeft)
		time.Sleep(200 * time.Millisecond)
		if w.trouble {
			settings := newSettings(rennesClasses())
			settings["classes"].([]any)[2].(map[string]any)["group"] = "cell"
			spec.configText["settings"] = settings
			w.writeConfig(spec)
			w.log("platform: the new configuration gives save-selection the group `cell` in place of `all`")
			p.signal(syscall.SIGHUP)
			time.Sleep(500 * time.Millisecond)
			text, _ := os.ReadFile(filepath.Join(w.folder, "sidecar.log"))
			if strings.Count(string(text), `msg="configuration in force" sidecar=n1 generation=2 `) != i+1 || p.hasEnded() {
				return couldNot, "the new configuration is not in force"
			}
		}
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		check(err)
		conn.Close()
		mu.Lock()
		w.log("client: request %s: %s; it ran at %v and was applied %d times", id, response.Status, ran, applied)
		seen += fmt.Sprintf("%s, ran at %v, applied %d times; ", response.Status, ran, applied)
		if applied > 1 {
			broken++
		}
		mu.Unlock()
		p.signal(syscall.SIGTERM)
		<-p.ended
	}
	seen += fmt.Sprintf("%d of %d requests were applied twice", broken, requests)
	if broken > 0 {
		return ruleBroken, seen
	}
	return ruleHeld, seen
}
