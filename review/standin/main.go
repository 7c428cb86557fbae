// Command standin holds the stand-ins of the review's cases: clients, endpoints, discovery and the platform. Its first
// argument names a case, or a stand-in that a case starts as a process of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The results of a case, which are its exit codes.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// timeLimit is the longest time that a case may take.
const timeLimit = 115 * time.Second

// cases are the cases by name. Each returns whether the rule was broken, and a sentence for the record.
var cases = map[string]func(p *platform) (broken bool, verdict string, err error){
	"memory":   memoryLimit,
	"shutdown": shutdownStream,
	"upload":   uploadHang,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "endpoint" {
		os.Exit(endpointProcess(os.Args[2:]))
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(cannot)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase runs a case and returns its exit code.
func runCase(name, root, recordPath string) int {
	rec, err := newRecord(recordPath, time.Now(), true)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	recordPath, err = filepath.Abs(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	p := &platform{root: root, dir: dir, rec: rec, trouble: os.Getenv("TROUBLE") != "0", recordPath: recordPath}
	defer p.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(timeLimit):
		}
		rec.line("judge", "the case was ended before its verdict")
		p.stop()
		os.Exit(cannot)
	}()
	rec.line("platform", "case %s, with the disruption: %v", name, p.trouble)
	isBroken, verdict, err := cases[name](p)
	code := held
	switch {
	case err != nil:
		code, verdict = cannot, "the case could not run: "+err.Error()
	case isBroken:
		code, verdict = broken, "RULE BROKEN: "+verdict
	default:
		verdict = "rule held: " + verdict
	}
	rec.line("judge", "%s", verdict)
	fmt.Println(verdict)
	return code
}
