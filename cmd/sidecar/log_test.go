package main

import (
	"net/http"
	"os"
	"syscall"
	"testing"
)

// setPipeSize is F_SETPIPE_SZ on Linux, and pipeSize is the smallest pipe size in bytes that it can set.
const (
	setPipeSize = 1031
	pipeSize    = 4096
)

// Guards against requests that block because the reader of the log has stalled and the pipe is full, and against the
// end of the process by SIGPIPE because the reader has exited.
func TestServesWithoutLogReader(t *testing.T) {
	for name, closed := range map[string]bool{"stalled": false, "closed": true} {
		t.Run(name, func(t *testing.T) {
			listen := freeAddress(t)
			cmd := command(t, withEndpoint(t, configJSON(listen)))
			cmd.Env = append(cmd.Env, logLevelVar+"=debug")
			reader, writer, err := os.Pipe()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() {
				reader.Close()
				writer.Close()
			})
			if _, _, errno := syscall.Syscall(syscall.SYS_FCNTL, writer.Fd(), setPipeSize, pipeSize); errno != 0 {
				t.Fatal(errno)
			}
			cmd.Stderr = writer
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { cmd.Process.Kill() })
			if closed {
				reader.Close()
			}
			awaitReady(t, listen)
			for i := range 100 { // each request logs over 200 bytes, so that the pipe fills up
				if got := requestStatus(t, listen, "read"); got != http.StatusOK {
					t.Fatalf("request %d: got status %d, want 200", i, got)
				}
			}
			if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			if err := cmd.Wait(); err != nil {
				t.Errorf("got program exit error %v, want exit code 0", err)
			}
		})
	}
}
