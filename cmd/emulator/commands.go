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
	modifiedSuffix  = "+" // suffix of the commit hash if tracked files are modified or their state is unknown
)

// rootCommand is the program's root command.
type rootCommand struct {
	*cobra.Command
	parsed bool // whether the arguments have been parsed without an error
}

func newRootCommand() *rootCommand {
	root := &rootCommand{Command: &cobra.Command{
		Use:           "emulator",
		Short:         "Run a fleet of sidecars and endpoints on this machine and report the resource usage of each role",
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
	flags.StringVar(&c.scenario, "scenario", "steady", "name of the scenario to play")
	flags.StringVar(&c.sidecar, "sidecar", "",
		"path of the sidecar program (default: "+sidecarProgram+" in the directory of this program)")
	flags.StringVar(&c.out, "out", "", "result file to which each run is appended as a line of JSON (default: none)")
	flags.StringVar(&c.commit, "commit", "", "commit to record in the results (default: the commit of the work tree)")
	flags.Uint64Var(&c.seed, "seed", defaultSeed, "seed of all random choices")
}

// options reads the scenario file, determines the commit and the paths of the programs, and returns the options of a
// run. The caller sets the size and the number of the play.
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

// workTreeCommit returns the short commit hash of the work tree, with modifiedSuffix if tracked files are modified or
// their state is unknown. It returns unknownCommit if git reports no commit.
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
		Short: "List the scenarios of the scenario file with their descriptions",
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

// newWorkerCommand returns the hidden command that the emulator runs to start a worker process.
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
