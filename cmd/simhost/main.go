// Command simhost runs balancers behind the simulator's wire: it reads batches of events on standard input and writes
// one reply to each on standard output.
//
// One process hosts any number of balancer instances. They share nothing but the buffers of the wire, so that their
// decisions do not depend on how the simulator spreads them over processes. A malformed frame ends the process, since
// nothing after it can be trusted. Bad settings and a panic are reported on the wire and end their instance alone.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"oakproxy/internal/wire"
)

const inputBufferSize = 1 << 18 // bytes

// gcPercent makes collections rare: in the steady state nothing is allocated.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(bufio.NewReaderSize(os.Stdin, inputBufferSize), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run replies to the batches on in until its end. Each reply is one write, and none comes for a malformed batch.
func run(in io.Reader, out, stderr io.Writer) error {
	h := newHost(stderr)
	var frame []byte
	for {
		next, err := wire.ReadFrame(in, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame = next
		reply, err := h.handleBatch(frame)
		if err != nil {
			return err
		}
		if _, err := out.Write(reply); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}
