package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/schollz/progressbar/v3"

	"github.com/coltsfootcleat/coltsfootcleat/bench/experiment"
	"github.com/coltsfootcleat/coltsfootcleat/deployments"
)

const (
	// demoDuration is the default time during which requests arrive.
	demoDuration = 20 * time.Second
	// demoNetwork is the lowest loopback network (127.N) that demonstrations
	// use. Up to demoNetworks demonstrations can run on a machine at the same
	// time; each uses one network per deployment.
	demoNetwork  = 60
	demoNetworks = 16
	// claimAddress is the rest of the address, after "127.N.", on which a
	// demonstration listens while it uses network N.
	claimAddress = "255.254:7000"
	// progressBarSteps is the number of steps of the progress bar.
	progressBarSteps = 100
)

// demoCommand runs both shipped deployments under load and faults.
type demoCommand struct {
	console
	hold     bool
	json     bool
	seed     uint64
	duration time.Duration
	// network is the loopback network of the first deployment.
	network int
}

// Name implements subcommands.Command.
func (*demoCommand) Name() string { return "demo" }

// Synopsis implements subcommands.Command.
func (*demoCommand) Synopsis() string {
	return "run both shipped deployments under load and faults, in one process"
}

// Usage implements subcommands.Command.
func (*demoCommand) Usage() string {
	return `demo [-duration D] [-seed N] [-json]
demo -hold:
  Runs stand-ins and three entries for each shipped deployment in one process
  on loopback addresses, with a mixed load. During the run an entry is stopped
  gracefully, a failure domain's endpoint hosts are reclaimed, and the table
  service is down for a while. Exits 0 only if every guarantee was met.

  With -hold it serves without load until SIGINT, and prints URLs, keys and
  curl lines.

  Example:
    coltsfootcleat demo -duration 20s

`
}

// SetFlags implements subcommands.Command.
func (c *demoCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.hold, "hold", false, "serve until SIGINT instead of driving load")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.Uint64Var(&c.seed, "seed", 1, "`seed` of load and faults")
	f.DurationVar(&c.duration, "duration", demoDuration, "how long requests arrive, with its unit")
}

// Execute implements subcommands.Command.
func (c *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.exit(usageError{"demo: takes flags only"})
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	release, err := c.claimNetworks()
	if err != nil {
		return c.exit(err)
	}
	defer release()
	if c.hold {
		return c.exit(c.serveIdle(ctx))
	}
	return c.exit(c.drive(ctx))
}

// claimNetworks reserves loopback networks that no other demonstration on this
// machine uses, until release is called. The reservation is a listener on
// claimAddress, so it ends with the process at the latest.
func (c *demoCommand) claimNetworks() (release func(), err error) {
	for n := range demoNetworks {
		c.network = demoNetwork + n*len(deployments.Names())
		var claim net.Listener
		claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.%s", c.network, claimAddress))
		if err == nil {
			return func() { _ = claim.Close() }, nil
		}
	}
	return nil, fmt.Errorf("demo: no loopback network is free: %w", err)
}

func (c *demoCommand) config(i int) experiment.Config {
	return experiment.Config{
		Deployment: deployments.Names()[i],
		Policy:     experiment.PolicyDefault,
		Schedule:   experiment.ScheduleDemo,
		Seed:       c.seed,
		Duration:   c.duration,
		Load:       1,
		Network:    c.network + i,
	}
}

// drive runs both deployments concurrently and prints their reports.
func (c *demoCommand) drive(ctx context.Context) error {
	bar := progressbar.NewOptions(progressBarSteps,
		progressbar.OptionSetWriter(c.err),
		progressbar.OptionSetDescription("load"),
		progressbar.OptionSetVisibility(isTerminal(c.err)),
	)
	var (
		work    sync.WaitGroup
		reports = make([]experiment.Report, len(deployments.Names()))
		errs    = make([]error, len(reports))
	)
	for i := range reports {
		config := c.config(i)
		if i == 0 {
			config.Progress = func(done float64) { _ = bar.Set(int(done * progressBarSteps)) }
		}
		work.Go(func() { reports[i], errs[i] = experiment.Run(ctx, config) })
	}
	work.Wait()
	_ = bar.Finish()
	fmt.Fprintln(c.err)
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	if err := printReports(c.console, reports, c.json); err != nil {
		return err
	}
	return checkGuarantees(reports)
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// checkGuarantees returns an error with the violations of the first report that
// has any, or nil if every guarantee was met.
func checkGuarantees(reports []experiment.Report) error {
	for _, r := range reports {
		if !r.GuaranteesMet() {
			return fmt.Errorf("%s violated guarantees: %q", r.Deployment, r.Violations)
		}
	}
	return nil
}

// serveIdle serves both deployments without load until ctx is done.
func (c *demoCommand) serveIdle(ctx context.Context) error {
	for i := range deployments.Names() {
		idle, err := experiment.StartIdle(ctx, c.config(i))
		if err != nil {
			return err
		}
		defer idle.Close()
		c.describe(deployments.Names()[i], idle)
	}
	fmt.Fprintln(c.out, "\nserving until SIGINT.")
	<-ctx.Done()
	return nil
}

// describe prints the addresses, keys and curl lines of a deployment that
// holdAll serves.
func (c *demoCommand) describe(name string, idle *experiment.IdleDeployment) {
	fmt.Fprintf(c.out, "\n== %s\n", name)
	entries := idle.Entries()
	for _, e := range entries {
		fmt.Fprintf(c.out, "%s: callers http://%s operators http://%s\n", e.ID, e.Listen.Caller, e.Listen.Operator)
	}
	mix := idle.Mix()
	for _, customer := range mix.Customers {
		fmt.Fprintf(c.out, "key of %s: %s\n", customer.Name, customer.Key)
	}
	fmt.Fprintf(c.out, "key of operators: dev-%s-operator\n", name)
	key := mix.Customers[0].Key
	for _, class := range mix.Classes {
		fmt.Fprintln(c.out, curlLine(entries[0].Listen.Caller, key, class))
	}
	fmt.Fprintf(c.out, "curl http://%s/status -H 'Authorization: Bearer dev-%s-operator'\n", entries[0].Listen.Operator, name)
}
