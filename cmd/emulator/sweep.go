package main

import (
	"cmp"
	"context"
	"time"

	"github.com/spf13/cobra"

	"oakproxy/internal/emulator/play"
	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
)

const (
	defaultPlays = 2
	maxPlays     = 20
	sweepPause   = 2 * time.Second // time for the system to settle after a run
)

// defaultSizes are the default numbers of sidecars of a sweep.
var defaultSizes = []int{54, 108, 215, 430, 860}

// sweep holds the flags of the command that plays a scenario at several sizes.
type sweep struct {
	commonFlags
	outputFlags
	sizes []int // numbers of sidecars
	plays int   // number of plays of each size
	real  int   // number of real sidecars at each size
}

func newSweepCommand() *cobra.Command {
	var s sweep
	command := &cobra.Command{
		Use:   "sweep",
		Short: "Play a scenario several times at each of several sizes, and fit a line to each metric",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return s.run(command.Context()) },
	}
	s.commonFlags.register(command)
	s.outputFlags.register(command)
	flags := command.Flags()
	flags.IntSliceVar(&s.sizes, "sizes", defaultSizes, "numbers of sidecars, each with the same number of endpoints")
	flags.IntVar(&s.plays, "plays", defaultPlays, "number of plays of each size")
	flags.IntVar(&s.real, "real", defaultReal, "number of real sidecars, which have a process of their own")
	return command
}

// run plays the scenario once at each size, in order, and repeats this until each size has been played s.plays times.
// Then it writes the table and the plot. The first play of each size uses s.seed; the seed increases by 1 with each
// further play.
func (s *sweep) run(ctx context.Context) error {
	options, err := s.options()
	if err != nil {
		return err
	}
	if err := s.validate(options); err != nil {
		return err
	}
	var runs []*result.Run
	for playIndex := range s.plays {
		for _, size := range s.sizes {
			options.Play = playIndex + 1
			options.Seed = s.seed + uint64(playIndex)
			options.Size = s.fleetSize(size)
			run, err := play.Run(ctx, options)
			if err := cmp.Or(err, s.record(run)); err != nil {
				return err
			}
			runs = append(runs, run)
			time.Sleep(sweepPause)
		}
	}
	return s.writeFiles(runs)
}

// fleetSize returns the size of a fleet with as many endpoints as sidecars.
func (s *sweep) fleetSize(sidecars int) spec.Size {
	return spec.Size{Sidecars: sidecars, Endpoints: sidecars, Real: s.real}
}

// validate returns an error if the number of plays or one of the sizes is invalid. It is called before the first play.
func (s *sweep) validate(options play.Options) error {
	if s.plays < 1 || s.plays > maxPlays {
		return spec.InputErrorf("plays: %d is out of range, 1 to %d", s.plays, maxPlays)
	}
	if len(s.sizes) == 0 {
		return spec.InputErrorf("sizes: at least one size is required")
	}
	for _, size := range s.sizes {
		options.Size = s.fleetSize(size)
		if err := options.Validate(); err != nil {
			return err
		}
	}
	return nil
}
