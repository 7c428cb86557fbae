// Command simhost runs balancers for the simulator: it reads batches of events from standard input and writes one reply
// to each batch to standard output, in the binary protocol of package wire.
//
// One process hosts any number of balancer instances. They share only the decoder, with its cache of endpoint lists,
// and the reply buffer, so their decisions do not depend on how the simulator distributes them over processes. A
// malformed frame ends the process, because the input after it cannot be decoded reliably. Invalid settings and panics
// are reported in an exception record. They stop only the instance concerned: the process and its other instances
// continue.
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

const inputBufferSize = 1 << 18 // size of the read buffer for standard input, in bytes

// gcPercent is the target percentage of the garbage collector (GOGC). The high value makes collections rare. They would
// free little, because in the steady state nothing is allocated.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(bufio.NewReaderSize(os.Stdin, inputBufferSize), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run reads batches from in until the input ends and writes a reply to each batch to out, with one call of Write. It
// returns an error, without a reply, at the first malformed batch. Reports of unknown events are written to stderr.
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
			return fmt.Errorf("write the reply to standard output: %w", err)
		}
	}
}
