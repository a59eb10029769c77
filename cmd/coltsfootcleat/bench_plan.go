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

// planFlags are the flags of "bench -size plan", which measures the control
// paths at the planned number of entries.
type planFlags struct {
	members  string
	replicas int
	seconds  int
}

func (p *planFlags) set(f *flag.FlagSet) {
	f.StringVar(&p.members, "members", "25,50,100,200,410", "numbers of entries to measure with")
	f.IntVar(&p.replicas, "replicas", plan.PlannedReplicas, "number of replicas")
	f.IntVar(&p.seconds, "seconds", 20, "length of the calm period in seconds")
}

// run measures the control paths and prints the report.
func (p *planFlags) run(ctx context.Context, seed uint64, asJSON bool) subcommands.ExitStatus {
	cfg := plan.Config{Replicas: p.replicas, Seconds: p.seconds, Seed: seed, Log: logrus.NewEntry(logrus.StandardLogger())}
	for _, text := range strings.Split(p.members, ",") {
		members, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || members < 2 {
			fmt.Fprintf(os.Stderr, "bench: %q is not a number of entries\n", text)
			return subcommands.ExitUsageError
		}
		cfg.Members = append(cfg.Members, members)
	}
	report, err := plan.Run(ctx, cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		return subcommands.ExitFailure
	}
	if !asJSON {
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
