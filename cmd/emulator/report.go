package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
)

const defaultMetricsNote = "(a choice for each scenario)"

// outputFlags are the flags for a sweep's table and plot.
type outputFlags struct {
	table   string
	plot    string
	metrics []string
}

// register adds the flags to a command.
func (o *outputFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.table, "table", "", "file for the Markdown table (default: standard output)")
	flags.StringVar(&o.plot, "plot", "", "file for the SVG plot (default: none)")
	flags.StringArrayVar(&o.metrics, "metric", nil,
		"metric to plot, as the table names it; may be repeated "+defaultMetricsNote)
}

// writeFiles writes the table and the plot.
func (o *outputFlags) writeFiles(runs []*result.Run) error {
	if err := o.writeTable(runs); err != nil {
		return err
	}
	if o.plot == "" {
		return nil
	}
	return o.writePlot(runs)
}

func (o *outputFlags) writeTable(runs []*result.Run) error {
	table := os.Stdout
	if o.table != "" {
		file, err := os.Create(o.table)
		if err != nil {
			return err
		}
		defer file.Close()
		table = file
	}
	return result.WriteTable(table, runs)
}

func (o *outputFlags) writePlot(runs []*result.Run) error {
	metrics := o.metrics
	if len(metrics) == 0 {
		metrics = result.DefaultPlotMetrics
	}
	err := result.WritePlot(o.plot, runs, metrics)
	if errors.Is(err, result.ErrNothingToPlot) && len(o.metrics) == 0 {
		fmt.Fprintln(os.Stderr, err) // all runs may have been omitted: the table says so
		return nil
	}
	return err
}

func newReportCommand() *cobra.Command {
	var o outputFlags
	command := &cobra.Command{
		Use:   "report FILE...",
		Short: "Make the table and the plot of result files again",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, paths []string) error {
			var runs []*result.Run
			for _, path := range paths {
				fileRuns, err := result.Read(path)
				if err != nil {
					return spec.InputErrorf("%w", err)
				}
				runs = append(runs, fileRuns...)
			}
			if len(runs) == 0 {
				return spec.InputErrorf("%s: no runs", fmt.Sprint(paths))
			}
			return o.writeFiles(runs)
		},
	}
	o.register(command)
	return command
}
