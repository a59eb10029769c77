package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
)

// statusCommand prints the state of a deployment.
type statusCommand struct {
	operatorFlags
	// rollouts is the address of an entry's metrics.
	rollouts string
}

// Name implements subcommands.Command.
func (*statusCommand) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*statusCommand) Synopsis() string {
	return "show entries, endpoints, customers, leases and drains"
}

// Usage implements subcommands.Command.
func (*statusCommand) Usage() string {
	return `status [flags]
  Shows the deployment as the entry at -url sees it. With -rollouts, shows the
  roll-outs to new versions that an entry on the users' platform knows instead,
  and the evidence on them if that entry holds the lease.

  Example:
    coltsfootcleat status -url http://127.0.10.1:8081 -key-file operator.key

`
}

// SetFlags implements subcommands.Command.
func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.StringVar(&c.rollouts, "rollouts", "", "`ip:port` of the metrics of an entry on the users' platform")
}

// Execute implements subcommands.Command.
func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := arguments(f); err != nil {
		return c.exit(err)
	}
	if c.rollouts != "" {
		return c.exit(c.printRollouts(ctx, c.rollouts))
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, status)
		}
		return printStatus(c.out, status)
	})
}

func printStatus(out io.Writer, s operatorapi.Status) error {
	t := newTable(out)
	fmt.Fprintf(t, "deployment %s, seen by %s\n\n", s.Deployment, s.Entry)
	printEntries(t, s.Entries)
	t.row("\nENDPOINT", "HOST", "FAILURE DOMAIN", "SERVES", "STATE", "IN FLIGHT", "REASON")
	for _, e := range s.Endpoints {
		t.row(e.ID, e.HostID, e.FailureDomain, e.Name+" "+e.Version, e.State, e.InFlight, e.Reason)
	}
	t.row("\nCUSTOMER", "TOKENS/S", "SPEND/H", "CEILING/H", "WAITING")
	for _, c := range s.Customers {
		t.row(c.Name, c.TokensPerSecond, c.SpendPerHour, c.CeilingPerHour, c.Waiting)
	}
	t.row("\nLEASE", "OWNER", "FENCE")
	for _, l := range s.Leases {
		t.row(l.Name, l.Owner, l.Fence)
	}
	t.row("\nDRAINING", "REASON", "IN PROGRESS", "DONE")
	for _, d := range s.Drains {
		t.row(targetName(d.Target), d.Reason, d.InFlight, d.Done)
	}
	return t.Flush()
}

func printEntries(t *table, entries []operatorapi.EntryStatus) {
	t.row("ENTRY", "FAILURE DOMAIN", "TEMPLATE", "READY", "DRAINING", "IN FLIGHT", "SEEN AGO")
	for _, e := range entries {
		t.row(e.ID, e.FailureDomain, e.TemplateVersion, e.Ready, e.Draining, e.InFlight, fmt.Sprintf("%.1fs", e.SeenAgoS))
	}
}

// table prints rows with aligned columns.
type table struct {
	*tabwriter.Writer
}

func newTable(out io.Writer) *table {
	return &table{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
}

// row writes one line. Flush returns errors of earlier writes.
func (t *table) row(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(t, "\t")
		}
		fmt.Fprint(t, cell)
	}
	fmt.Fprintln(t)
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
