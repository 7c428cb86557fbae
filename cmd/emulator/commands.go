package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"oakproxy/internal/emulator/play"
	"oakproxy/internal/emulator/spec"
	"oakproxy/internal/emulator/worker"
)

const (
	defaultFile     = "deploy/emulator.toml"
	sidecarProgram  = "sidecar"
	workerCommand   = "worker"
	defaultSidecars = 54
	defaultReal     = 8
	defaultSeed     = 1
	unknownCommit   = "unknown"
	modifiedSuffix  = "+" // suffix of the commit of a modified work tree
)

// rootCommand is the root of the command line.
type rootCommand struct {
	*cobra.Command
	parsed bool // the arguments have been parsed without error
}

func newRootCommand() *rootCommand {
	root := &rootCommand{Command: &cobra.Command{
		Use:           "emulator",
		Short:         "Plays a fleet of sidecars and endpoints on this machine and reports what each role spends",
		SilenceUsage:  true,
		SilenceErrors: true,
	}}
	root.PersistentPreRun = func(*cobra.Command, []string) { root.parsed = true }
	root.AddCommand(newRunCommand(), newSweepCommand(), newReportCommand(), newListCommand(), newWorkerCommand())
	return root
}

// commonFlags are the flags of the commands that play a scenario.
type commonFlags struct {
	file     string
	scenario string
	sidecar  string
	out      string
	commit   string
	seed     uint64
}

// register adds the flags to a command.
func (c *commonFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&c.file, "file", defaultFile, "scenario file")
	flags.StringVar(&c.scenario, "scenario", "steady", "name of the scenario")
	flags.StringVar(&c.sidecar, "sidecar", "",
		"program of a real sidecar (default: "+sidecarProgram+" beside this program)")
	flags.StringVar(&c.out, "out", "", "result file that runs are added to, as JSON lines")
	flags.StringVar(&c.commit, "commit", "", "commit that the results name (default: that of the work tree)")
	flags.Uint64Var(&c.seed, "seed", defaultSeed, "seed of all random choices")
}

// options reads the scenario file and locates the programs.
func (c *commonFlags) options() (play.Options, error) {
	file, err := spec.Read(c.file)
	if err != nil {
		return play.Options{}, err
	}
	scenario, err := file.Scenario(c.scenario)
	if err != nil {
		return play.Options{}, err
	}
	executable, err := os.Executable()
	if err != nil {
		return play.Options{}, err
	}
	program := c.sidecar
	if program == "" {
		program = filepath.Join(filepath.Dir(executable), sidecarProgram)
	}
	commit := c.commit
	if commit == "" {
		commit = workTreeCommit()
	}
	return play.Options{
		File:     file,
		Name:     c.scenario,
		Scenario: scenario,
		Seed:     c.seed,
		Commit:   commit,
		Emulator: play.Program{Path: executable, Arguments: []string{workerCommand}},
		Sidecar:  play.Program{Path: program},
		Progress: os.Stderr,
	}, nil
}

// workTreeCommit returns the commit of the work tree, with a suffix if that is modified.
func workTreeCommit() string {
	head, err := exec.Command("git", "rev-parse", "--short", "HEAD").Output()
	if err != nil {
		return unknownCommit
	}
	commit := strings.TrimSpace(string(head))
	changes, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output()
	if err != nil || len(changes) > 0 {
		commit += modifiedSuffix
	}
	return commit
}

func newListCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "list",
		Short: "List the scenarios",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			file, err := spec.Read(path)
			if err != nil {
				return err
			}
			table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
			for _, name := range file.Names() {
				fmt.Fprintf(table, "%s\t%s\n", name, file.Scenarios[name].Description)
			}
			return table.Flush()
		},
	}
	command.Flags().StringVar(&path, "file", defaultFile, "scenario file")
	return command
}

// newWorkerCommand returns the hidden command by which the emulator starts its workers.
func newWorkerCommand() *cobra.Command {
	return &cobra.Command{
		Use:    workerCommand + " ROLE",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, arguments []string) error {
			return worker.Run(command.Context(), worker.Role(arguments[0]), os.Stdin, os.Stdout)
		},
	}
}
