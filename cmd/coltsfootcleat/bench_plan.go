package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/bench/plan"
)

// benchCommand measures the system.
type benchCommand struct {
	size string
	planFlags
}

// planCommand returns the command that measures the control paths.
func planCommand() subcommands.Command { return &benchCommand{} }

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string { return "measure the system" }

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench -size plan [flags]
  Measures the control paths of many entries in one process and draws a line
  through the points of each figure.

  Example:
    coltsfootcleat bench -size plan -members 25,50,100 -seconds 20

`
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.size, "size", "plan", `size of the deployment: "plan"`)
	f.Uint64Var(&c.seed, "seed", 1, "seed of the run")
	f.BoolVar(&c.json, "json", false, "print the report as JSON")
	c.set(f)
}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.size != "plan" {
		fmt.Fprintf(os.Stderr, "bench: unknown size %q\n", c.size)
		return subcommands.ExitUsageError
	}
	return c.run(ctx)
}

// planFlags are the flags of a measurement at the planned size.
type planFlags struct {
	members  string
	replicas int
	seconds  int
	seed     uint64
	json     bool
}

func (p *planFlags) set(f *flag.FlagSet) {
	f.StringVar(&p.members, "members", "25,50,100,200,410", "numbers of entries to measure with")
	f.IntVar(&p.replicas, "replicas", plan.PlannedReplicas, "number of replicas")
	f.IntVar(&p.seconds, "seconds", 20, "length of the calm period in seconds")
}

// run measures and prints the report.
func (p *planFlags) run(ctx context.Context) subcommands.ExitStatus {
	cfg := plan.Config{Replicas: p.replicas, Seconds: p.seconds, Seed: p.seed, Log: logrus.NewEntry(logrus.StandardLogger())}
	for _, text := range strings.Split(p.members, ",") {
		members, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || members < 2 {
			fmt.Fprintf(os.Stderr, "bench: %q is no number of entries\n", text)
			return subcommands.ExitUsageError
		}
		cfg.Members = append(cfg.Members, members)
	}
	report, err := plan.Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitFailure
	}
	if !p.json {
		fmt.Print(report.Table())
		return subcommands.ExitSuccess
	}
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(report); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
