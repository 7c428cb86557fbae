package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
)

// setPipeSize is Linux's F_SETPIPE_SZ, and pipeSize the least that it sets.
const (
	setPipeSize = 1031
	pipeSize    = 4096
)

// A log whose reader stalls or is gone neither blocks a request nor ends the process.
func TestServesWithoutLogReader(t *testing.T) {
	for what, gone := range map[string]bool{"stalled": false, "gone": true} {
		t.Run(what, func(t *testing.T) {
			listen := freeAddress(t)
			cmd := command(t, withEndpoint(t, configJSON(listen)))
			cmd.Env = append(cmd.Env, logLevelVar+"=debug")
			in, out, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			defer in.Close()
			defer out.Close()
			if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, out.Fd(), setPipeSize, pipeSize); errno != 0 {
				t.Fatal(errno)
			}
			cmd.Stderr = out
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			defer cmd.Process.Kill()
			if gone {
				in.Close()
			}
			waitFor(t, "the program to be ready", func() bool { return statusOf("http://"+listen+"/health/ready") == http.StatusOK })
			for i := range 100 { // each leaves lines of over 200 bytes together
				if got := requestStatus(t, listen, "read"); got != http.StatusOK {
					t.Fatalf("request %d: %d", i, got)
				}
			}
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("the program ended with %v, want exit code 0", err)
			}
		})
	}
}
