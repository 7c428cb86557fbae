// Command review-2 plays the cases of the second review. Its argument names the folder of the case.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases are the cases by the name of their folder. Each returns an exit code and what was seen.
var cases = map[string]func(w *world) (int, string){
	"heads":    caseHeads,
	"slowread": caseSlowRead,
	"ready":    caseReady,
	"scope":    caseScope,
	"stale":    caseStale,
}

// longest is the time after which a case is given up.
const longest = 100 * time.Second

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return couldNot
	}
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer record.Close()
	w := &world{began: time.Now(), record: record, trouble: os.Getenv("TROUBLE") != "0"}
	w.folder, err = os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w.root, _ = os.Getwd()
	defer w.end()
	defer func() {
		if failure := recover(); failure != nil {
			f, ok := failure.(fatal)
			if !ok {
				panic(failure)
			}
			w.log("the case could not run: %v", f.err)
			fmt.Println("could not run:", f.err)
			code = couldNot
		}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(longest):
		}
		w.log("the case is given up")
		w.end()
		os.Exit(couldNot)
	}()
	w.log("case %s, disruption: %v", os.Args[1], w.trouble)
	code, seen := cases[os.Args[1]](w)
	w.log("exit code %d: %s", code, seen)
	fmt.Printf("exit code %d: %s\n", code, seen)
	return code
}
