package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
)

// pollInterval is the time between two requests for the progress of a drain.
const pollInterval = time.Second

// drainCommand starts a drain and waits for its end.
type drainCommand struct {
	operatorFlags
	target operatorapi.DrainTarget
	wait   time.Duration
}

// Name implements subcommands.Command.
func (*drainCommand) Name() string { return "drain" }

// Synopsis implements subcommands.Command.
func (*drainCommand) Synopsis() string {
	return "drain a host or a failure domain and show progress"
}

// Usage implements subcommands.Command.
func (*drainCommand) Usage() string {
	return `drain (-host ID | -failure-domain NAME) [flags]
  The target gets no new requests, and those in progress finish. Exits 0 once
  none is in progress, 1 if that takes longer than -wait.

  Example:
    coltsfootcleat drain -url http://127.0.10.1:8081 -key-file operator.key -failure-domain midrand

`
}

// SetFlags implements subcommands.Command.
func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.StringVar(&c.target.Host, "host", "", "`ID` of the host to drain")
	f.StringVar(&c.target.FailureDomain, "failure-domain", "", "`name` of the failure domain to drain")
	f.DurationVar(&c.wait, "wait", 10*time.Minute, "longest time to wait for the end of the drain, with its unit; 0s returns at once")
}

// Execute implements subcommands.Command.
func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := arguments(f); err != nil {
		return c.exit(err)
	}
	if (c.target.Host == "") == (c.target.FailureDomain == "") {
		return c.exit(usageError{"drain: set exactly one of -host and -failure-domain"})
	}
	return c.run(ctx, c.drain)
}

func (c *drainCommand) drain(ctx context.Context, client *operatorapi.Client) error {
	drains, err := client.Drain(ctx, c.target)
	if err != nil {
		return err
	}
	if c.wait <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if c.progress(drains) {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("drain: not complete after %s: %w", c.wait, ctx.Err())
		}
		if drains, err = client.Drains(ctx); err != nil {
			return err
		}
	}
}

// progress prints the progress of the drain, and reports whether it is
// complete.
func (c *drainCommand) progress(drains []operatorapi.DrainStatus) bool {
	for _, d := range drains {
		if d.Target != c.target {
			continue
		}
		fmt.Fprintf(c.out, "%s: %d in progress\n", targetName(d.Target), d.InFlight)
		return d.Done
	}
	fmt.Fprintf(c.out, "%s: not shown yet\n", targetName(c.target))
	return false
}

func targetName(t operatorapi.DrainTarget) string {
	if t.Host != "" {
		return "host " + t.Host
	}
	return "failure domain " + t.FailureDomain
}
