package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/olekukonko/tablewriter"

	"github.com/coltsfootcleat/coltsfootcleat/bench/experiment"
	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/deployments"
)

// Values of the flag -size.
const (
	sizeToday = "today"
	sizePlan  = "plan"
)

// benchCommand measures a deployment under load, or the control paths of many
// entries.
type benchCommand struct {
	console
	planFlags
	size       string
	deployment string
	policies   string
	schedules  string
	seed       uint64
	duration   time.Duration
	load       float64
	network    int
	json       bool
	requests   string
	log        string
}

// Name implements subcommands.Command.
func (*benchCommand) Name() string { return "bench" }

// Synopsis implements subcommands.Command.
func (*benchCommand) Synopsis() string {
	return "measure policies under load and faults, and compare them with baselines"
}

// Usage implements subcommands.Command.
func (*benchCommand) Usage() string {
	return `bench [-deployment NAME] [-policy LIST] [-schedule LIST] [-seed N] [-duration D] [-load X] [-json]
bench -size plan [-members LIST] [-replicas N] [-seconds N] [-seed N] [-json]:
  Runs the real code of three entries against stand-ins on loopback addresses,
  once for each policy and schedule, with open-loop load, and prints a table or
  JSON. Exits 1 if a guarantee was violated in any run.

  Policies:  ` + joinNames(experiment.Policies()) + `
  Schedules: ` + joinNames(experiment.Schedules()) + `

  Example:
    coltsfootcleat bench -deployment agencia-nordestina -policy coltsfootcleat,round-robin -schedule calm -duration 30s
    coltsfootcleat bench -size plan -members 25,50,100 -seconds 20

`
}

// joinNames returns the names as a comma-separated list.
func joinNames[T ~string](names []T) string {
	out := make([]string, len(names))
	for i, n := range names {
		out[i] = string(n)
	}
	return strings.Join(out, ", ")
}

// SetFlags implements subcommands.Command.
func (c *benchCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.size, "size", sizeToday, "`size`: "+sizeToday+" for a deployment under load, "+sizePlan+" for the control paths of many entries")
	c.planFlags.set(f)
	f.StringVar(&c.deployment, "deployment", deployments.KarooWick, "shipped `deployment` whose request mix is run")
	f.StringVar(&c.policies, "policy", string(experiment.PolicyDefault), "comma-separated `policies`")
	f.StringVar(&c.schedules, "schedule", string(experiment.ScheduleCalm), "comma-separated fault `schedules`")
	f.Uint64Var(&c.seed, "seed", 1, "`seed` of load and faults")
	f.DurationVar(&c.duration, "duration", 30*time.Second, "how long requests arrive, with its unit")
	f.Float64Var(&c.load, "load", 1, "factor applied to today's arrival rates")
	f.IntVar(&c.network, "network", 40, "second octet N of the loopback `network` 127.N to use")
	f.BoolVar(&c.json, "json", false, "print JSON")
	f.StringVar(&c.log, "log", "", "`file` to write the entries' log lines to")
	f.StringVar(&c.requests, "requests", "", "`file` to write a JSON line for each request to")
}

// Execute implements subcommands.Command.
func (c *benchCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		return c.exit(usageError{"bench: takes flags only"})
	}
	switch c.size {
	case sizePlan:
		return c.planFlags.run(ctx, c.seed, c.json)
	case sizeToday:
	default:
		return c.exit(usageError{fmt.Sprintf("bench: unknown size %q", c.size)})
	}
	reports, err := c.runAll(ctx)
	if err != nil {
		return c.exit(err)
	}
	if err := printReports(c.console, reports, c.json); err != nil {
		return c.exit(err)
	}
	if err := c.writeRequests(reports); err != nil {
		return c.exit(err)
	}
	for _, r := range reports {
		if !r.GuaranteesMet() {
			return c.exit(fmt.Errorf("bench: %s under %s violated guarantees: %s", r.Policy, r.Schedule, strings.Join(r.Violations, "; ")))
		}
	}
	return subcommands.ExitSuccess
}

func (c *benchCommand) runAll(ctx context.Context) ([]experiment.Report, error) {
	log, err := c.openLog()
	if err != nil {
		return nil, err
	}
	defer log.Close()
	var reports []experiment.Report
	for _, schedule := range strings.Split(c.schedules, ",") {
		for _, policy := range strings.Split(c.policies, ",") {
			r, err := experiment.Run(ctx, experiment.Config{
				Deployment: c.deployment,
				Policy:     experiment.Policy(policy),
				Schedule:   experiment.Schedule(schedule),
				Seed:       c.seed,
				Duration:   c.duration,
				Load:       c.load,
				Network:    c.network,
				Log:        log,
			})
			if err != nil {
				return nil, err
			}
			reports = append(reports, r)
		}
	}
	return reports, nil
}

// openLog opens the log file, or the null device if no log file is set.
func (c *benchCommand) openLog() (io.WriteCloser, error) {
	if c.log == "" {
		return os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	}
	return os.Create(c.log)
}

// requestLine is one line of the file that the flag -requests names.
type requestLine struct {
	Policy     experiment.Policy   `json:"policy"`
	Schedule   experiment.Schedule `json:"schedule"`
	Number     int                 `json:"number"`
	Kind       string              `json:"kind"`
	Customer   string              `json:"customer"`
	Arrived    float64             `json:"arrived_s"`
	FirstToken float64             `json:"first_token_s"`
	Ended      float64             `json:"ended_s"`
	Outcome    history.Outcome     `json:"outcome"`
	Attempts   int                 `json:"attempts"`
	Tokens     int                 `json:"tokens"`
	Detail     string              `json:"detail,omitempty"`
}

func (c *benchCommand) writeRequests(reports []experiment.Report) error {
	if c.requests == "" {
		return nil
	}
	var out strings.Builder
	e := json.NewEncoder(&out)
	for _, report := range reports {
		for _, r := range report.Records() {
			err := e.Encode(requestLine{
				Policy: report.Policy, Schedule: report.Schedule, Number: r.Request.Number,
				Kind: r.Request.Class.Kind, Customer: r.Request.Customer.Name,
				Arrived: r.Request.At.Seconds(), FirstToken: r.FirstToken.Seconds(), Ended: r.Ended.Seconds(),
				Outcome: r.Outcome, Attempts: r.Attempts, Tokens: r.Tokens, Detail: r.Detail,
			})
			if err != nil {
				return err
			}
		}
	}
	return os.WriteFile(c.requests, []byte(out.String()), 0o644)
}

// printReports prints reports as JSON, or as a table with a column for each
// report and a row for each figure.
func printReports(c console, reports []experiment.Report, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(c.out)
		e.SetIndent("", "  ")
		return e.Encode(reports)
	}
	table := tablewriter.NewWriter(c.out)
	header := []string{"figure"}
	rows := make(map[string][]string)
	var order []string
	for _, r := range reports {
		header = append(header, fmt.Sprintf("%s %s %s", r.Deployment, r.Policy, r.Schedule))
		figures, err := figuresOf(r)
		if err != nil {
			return err
		}
		for _, figure := range figures {
			if rows[figure.name] == nil {
				order = append(order, figure.name)
			}
			rows[figure.name] = append(rows[figure.name], figure.value)
		}
	}
	table.Header(header)
	for _, name := range order {
		if err := table.Append(append([]string{name}, rows[name]...)); err != nil {
			return err
		}
	}
	return table.Render()
}

// figure is one number of a report.
type figure struct{ name, value string }

// figuresOf returns the figures of a report, which are the numbers at the top
// level of its JSON form, in the same order.
func figuresOf(r experiment.Report) ([]figure, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(strings.NewReader(string(data)))
	var out []figure
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, err
		}
		var value any
		if err := d.Decode(&value); err != nil {
			return nil, err
		}
		if number, ok := value.(float64); ok {
			out = append(out, figure{name: fmt.Sprint(key), value: fmt.Sprintf("%.5g", number)})
		}
	}
	return out, nil
}
