package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
	"unsafe"
)

// endpointProcess runs one endpoint as a process of its own, which the platform can stop. Its arguments are its name,
// its address, the record's path, the start of the record in nanoseconds, and the address to which it sends its name
// when the head of a request has come.
func endpointProcess(args []string) int {
	if len(args) != 5 {
		return cannot
	}
	start, err := strconv.ParseInt(args[3], 10, 64)
	if err != nil {
		return cannot
	}
	rec, err := newRecord(args[2], time.Unix(0, start), false)
	if err != nil {
		return cannot
	}
	notify, err := net.Dial("udp", args[4])
	if err != nil {
		return cannot
	}
	l, err := net.Listen("tcp", args[1])
	if err != nil {
		rec.line(args[0], "%v", err)
		return cannot
	}
	e := &endpoint{name: args[0], rec: rec, work: 10 * time.Millisecond,
		onHead: func(*http.Request) { notify.Write([]byte(args[0])) }}
	e.serve(l)
	select {}
}

// uploadHang stops the endpoint that gets a long request, as soon as it has the request's head, and lets the client
// finish its request.
func uploadHang(p *platform) (bool, string, error) {
	const (
		endpoints = 4
		size      = 5 << 20
		duration  = 600 * time.Millisecond // time in which the client writes the body
		timeLeft  = 450 * time.Millisecond // three fifths of the class's 750 ms
		late      = 500 * time.Millisecond // up to so much after its time an answer only earns nothing
		slack     = 58 * time.Millisecond  // answer-slack and the 50 ms of the rules on sockets
		patience  = 13 * time.Second
	)
	heads, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return false, "", err
	}
	defer heads.Close()
	self, err := os.Executable()
	if err != nil {
		return false, "", err
	}
	var hosts []host
	processes := map[string]*process{}
	for i := range endpoints {
		name := fmt.Sprintf("s-%d", i+1)
		address, err := freeAddress()
		if err != nil {
			return false, "", err
		}
		if processes[name], err = p.start(name, nil, name+".log", self, "endpoint", name, address, p.recordPath,
			strconv.FormatInt(p.rec.start.UnixNano(), 10), heads.LocalAddr().String()); err != nil {
			return false, "", err
		}
		hosts = append(hosts, readyHost(name, address))
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
	if _, err := p.startSidecar(smallSite(listen, l.Addr().String(), hosts)); err != nil {
		return false, "", err
	}
	if err := p.awaitReady(listen); err != nil {
		return false, "", err
	}
	time.Sleep(1500 * time.Millisecond)
	go func() { // the platform
		name := make([]byte, 64)
		n, _, err := heads.ReadFrom(name)
		if err != nil || !p.trouble {
			return
		}
		p.rec.line("platform", "SIGSTOP to %s, which has the head of a request: 1 of %d endpoints hangs", name[:n], endpoints)
		processes[string(name[:n])].signal(syscall.SIGSTOP)
	}()
	r := request{id: newID(), class: "settle", path: "/settle/long", timeLeft: timeLeft, body: size}
	p.rec.line("client", "%s: sends %s, body %d bytes, time left %v", r.id, r.path, size, timeLeft)
	c, err := net.DialTimeout("tcp", listen, time.Second)
	if err != nil {
		return false, "", err
	}
	defer c.Close()
	if _, err := io.WriteString(c, r.head()); err != nil {
		return false, "", err
	}
	const steps = 30
	for range steps {
		if err := writeBody(c, size/steps); err != nil {
			return false, "", fmt.Errorf("write the body: %w", err)
		}
		time.Sleep(duration / steps)
	}
	if err := writeBody(c, size-size/steps*steps); err != nil {
		return false, "", fmt.Errorf("write the body: %w", err)
	}
	sent := time.Now()
	p.rec.line("client", "%s: has written the last byte; %d bytes wait in its own machine", r.id, unsent(c))
	go func() {
		time.Sleep(time.Until(sent.Add(timeLeft)))
		p.rec.line("client", "%s: its time is over; %d bytes wait in its own machine", r.id, unsent(c))
	}()
	a := readAnswer(c, sent, patience)
	p.rec.line("client", "%s: %s", r.id, a.text())
	due := timeLeft + late + slack
	isLost := !a.whole() || a.ended.Sub(sent) > due
	return isLost, fmt.Sprintf("the answer of a request with %v came %v after its last byte (status %d); lost after %v",
		timeLeft, a.ended.Sub(sent).Round(time.Millisecond), a.status, due), nil
}

// unsent returns how many bytes written to a connection the peer's machine has not acknowledged.
func unsent(c net.Conn) (bytes int32) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return -1
	}
	raw.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&bytes)))
	})
	return bytes
}
