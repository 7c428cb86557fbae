package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"oakproxy/internal/emulator/result"
	"oakproxy/internal/emulator/spec"
)

const defaultMetricsNote = "(default: a selection for each scenario)"

// outputFlags are the flags of the commands that write a table and a plot.
type outputFlags struct {
	table   string
	plot    string
	metrics []string
}

// register adds the flags to a command.
func (o *outputFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&o.table, "table", "", "file to which the Markdown table is written (default: standard output)")
	flags.StringVar(&o.plot, "plot", "", "file to which the SVG plot is written (default: none)")
	flags.StringArrayVar(&o.metrics, "metric", nil,
		"metric to plot, by its name in the table; may be repeated "+defaultMetricsNote)
}

// writeFiles writes the table, and the plot if there is a file for it.
func (o *outputFlags) writeFiles(runs []*result.Run) error {
	if err := o.writeTable(runs); err != nil {
		return err
	}
	if o.plot == "" {
		return nil
	}
	return o.writePlot(runs)
}

// writeTable writes the table to its file or to standard output.
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

// writePlot writes the plot. If no metrics were requested and no usable run has any of the default metrics, it only
// prints a message.
func (o *outputFlags) writePlot(runs []*result.Run) error {
	metrics := o.metrics
	if len(metrics) == 0 {
		metrics = result.DefaultPlotMetrics
	}
	err := result.WritePlot(o.plot, runs, metrics)
	if errors.Is(err, result.ErrNothingToPlot) && len(o.metrics) == 0 {
		fmt.Fprintln(os.Stderr, err) // not an error: all runs may be unusable, and the table says how many it omits
		return nil
	}
	return err
}

func newReportCommand() *cobra.Command {
	var o outputFlags
	command := &cobra.Command{
		Use:   "report FILE...",
		Short: "Write the table and the plot of the runs in result files",
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
				return spec.InputErrorf("%s: the result files contain no runs", fmt.Sprint(paths))
			}
			return o.writeFiles(runs)
		},
	}
	o.register(command)
	return command
}
