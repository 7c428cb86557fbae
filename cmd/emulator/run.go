package main

import (
	"cmp"
	"os"

	"github.com/spf13/cobra"

	"oakproxy/internal/emulator/play"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
)

func newRunCommand() *cobra.Command {
	var c commonFlags
	var size spec.Size
	command := &cobra.Command{
		Use:   "run",
		Short: "Play a scenario once",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			options, err := c.options()
			if err != nil {
				return err
			}
			if size.Endpoints == 0 {
				size.Endpoints = size.Sidecars
			}
			options.Size, options.Play = size, 1
			run, err := play.Run(command.Context(), options)
			return cmp.Or(err, c.record(run))
		},
	}
	c.register(command)
	flags := command.Flags()
	flags.IntVar(&size.Sidecars, "sidecars", defaultSidecars, "number of sidecars, including real ones")
	flags.IntVar(&size.Endpoints, "endpoints", 0, "number of endpoints (default: as many as sidecars)")
	flags.IntVar(&size.Real, "real", defaultReal, "number of real sidecars, which have a process of their own")
	return command
}

// record prints the summary of a run and appends the run to the result file, if one is set. It does nothing for a nil
// run.
func (c *commonFlags) record(run *result.Run) error {
	if run == nil {
		return nil
	}
	if err := result.WriteSummary(os.Stdout, run); err != nil {
		return err
	}
	if c.out == "" {
		return nil
	}
	return result.Append(c.out, run)
}
