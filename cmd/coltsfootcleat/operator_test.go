package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const testKey = "the-operators-key"

// result is the exit code and the output of a command.
type result struct {
	code     subcommands.ExitStatus
	out, err string
}

// execute runs a command line in this process.
func execute(args ...string) result {
	var out, errs bytes.Buffer
	flags := flag.NewFlagSet("coltsfootcleat", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "coltsfootcleat")
	commander.Output, commander.Error = &out, &errs
	for _, command := range operatorCommandsOn(console{out: &out, err: &errs}) {
		commander.Register(command, "")
	}
	if err := flags.Parse(args); err != nil {
		return result{subcommands.ExitUsageError, "", err.Error()}
	}
	code := commander.Execute(context.Background())
	return result{code, out.String(), errs.String()}
}

// fakeDeployment is a StatusSource and Drainer with fixed status. A drain is
// complete at the second call of Drains.
type fakeDeployment struct {
	polls        int
	drainStarted bool
}

func (f *fakeDeployment) Status(context.Context) (operatorapi.Status, error) {
	return operatorapi.Status{
		Entry:      "entry-1",
		Deployment: "karoo-wick",
		Entries:    []operatorapi.EntryStatus{{ID: "entry-1", FailureDomain: "midrand", TemplateVersion: 1, Ready: true}},
		Endpoints:  []operatorapi.EndpointStatus{{ID: "engine-1", HostID: "host-1", Name: "karoo-lm", State: "leaving", Reason: "notice"}},
		Customers:  []operatorapi.CustomerStatus{{Name: "church-supply-guild", SpendPerHour: 2, CeilingPerHour: 8}},
		Leases:     []operatorapi.LeaseStatus{{Name: "placement", Owner: "entry-1", Fence: 4}},
	}, nil
}

func (f *fakeDeployment) Drain(context.Context, operatorapi.DrainTarget) error {
	f.drainStarted = true
	return nil
}

func (f *fakeDeployment) Drains(context.Context) ([]operatorapi.DrainStatus, error) {
	f.polls++
	remaining := max(0, 2-f.polls)
	return []operatorapi.DrainStatus{{
		Target: operatorapi.DrainTarget{FailureDomain: "midrand"}, InFlight: remaining, Done: remaining == 0,
	}}, nil
}

// startOperatorAPI starts a server of the operators' interface and returns the
// flags that make commands connect to it.
func startOperatorAPI(t *testing.T, f *fakeDeployment) []string {
	t.Helper()
	sum := sha256.Sum256([]byte(testKey))
	server := httptest.NewServer(operatorapi.New(operatorapi.Deps{
		KeySHA256: hex.EncodeToString(sum[:]),
		Templates: template.NewStore(standin.NewTable(1), template.StoreOptions{}),
		Status:    f,
		Drains:    f,
	}).Handler())
	t.Cleanup(server.Close)
	return []string{"-url", server.URL, "-key-file", writeFile(t, "operator.key", testKey+"\n")}
}

// writeFile writes text to a new temporary file and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func appendArgs(flags []string, args ...string) []string {
	return append(append([]string(nil), flags...), args...)
}

func TestCheckDetectsKindOfEveryShippedFile(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("../../deployments/*/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(files, qt.HasLen, 10)
	r := execute(append([]string{"check"}, files...)...)
	c.Assert(r.code, qt.Equals, subcommands.ExitSuccess, qt.Commentf("%s", r.err))
	c.Assert(strings.Count(r.out, ": settings ok\n"), qt.Equals, 6)
	c.Assert(strings.Count(r.out, ": template ok\n"), qt.Equals, 2)
}

func TestCheckReportsEveryFault(t *testing.T) {
	c := qt.New(t)
	valid, err := os.ReadFile("../../deployments/karoo-wick/entry-midrand.toml")
	c.Assert(err, qt.IsNil)
	text := strings.NewReplacer(`level = "info"`, `level = "loud"`, `timeout = "1s"`, `timeout = "soon"`, "body_bytes", "body_byte").Replace(string(valid))
	file := writeFile(t, "entry.toml", text)
	r := execute("check", file)
	c.Assert(r.code, qt.Equals, subcommands.ExitFailure)
	c.Assert(r.out, qt.Equals, "")
	for _, fault := range []string{"level: must be one of", "platform.timeout: ", "limits.body_byte: unknown key"} {
		c.Check(regexp.MustCompile(`entry\.toml:[0-9]+: .*`+fault).MatchString(r.err), qt.IsTrue, qt.Commentf("%s in %s", fault, r.err))
	}
}

func TestExitCodes(t *testing.T) {
	t.Setenv(keyVariable, "")
	tests := []struct {
		name string
		args []string
		want subcommands.ExitStatus
	}{
		{"no such command", []string{"wait"}, subcommands.ExitUsageError},
		{"check without a file", []string{"check"}, subcommands.ExitUsageError},
		{"check of an unknown kind", []string{"check", "-kind", "poem", "x"}, subcommands.ExitUsageError},
		{"check of a missing file", []string{"check", "/nonexistent.toml"}, subcommands.ExitFailure},
		{"check of a file of undetectable kind", []string{"check", os.DevNull}, subcommands.ExitFailure},
		{"unknown flag", []string{"status", "-loud"}, subcommands.ExitUsageError},
		{"status with an argument", []string{"status", "now"}, subcommands.ExitUsageError},
		{"no key", []string{"status"}, subcommands.ExitUsageError},
		{"missing key file", []string{"status", "-key-file", "/nonexistent"}, subcommands.ExitUsageError},
		{"drain of nothing", []string{"drain"}, subcommands.ExitUsageError},
		{"drain of two", []string{"drain", "-host", "h", "-failure-domain", "f"}, subcommands.ExitUsageError},
		{"no such template command", []string{"template", "burn"}, subcommands.ExitUsageError},
		{"edit without an author", []string{"template", "edit", "karoo-wick", "f"}, subcommands.ExitUsageError},
		{"approve without a draft", []string{"template", "approve", "-author", "ana", "karoo-wick"}, subcommands.ExitUsageError},
		{"diff of nothing", []string{"template", "diff", "karoo-wick"}, subcommands.ExitUsageError},
		{"version", []string{"version"}, subcommands.ExitSuccess},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := execute(test.args...)
			qt.Assert(t, r.code, qt.Equals, test.want, qt.Commentf("%s", r.err))
		})
	}
}

func TestUnreachableEntryFails(t *testing.T) {
	t.Setenv(keyVariable, testKey)
	r := execute("status", "-url", "http://127.0.0.1:1", "-timeout", "2s")
	qt.Assert(t, r.code, qt.Equals, subcommands.ExitFailure)
}

func TestTemplateCommandsFromEditToStatus(t *testing.T) {
	c := qt.New(t)
	flags := startOperatorAPI(t, &fakeDeployment{})
	run := func(command string, args ...string) result {
		return execute(append([]string{"template", command}, appendArgs(flags, args...)...)...)
	}
	edit := func(base, file string) result {
		return run("edit", "-base", base, "-author", "ana", "karoo-wick", file)
	}
	approve := func(r result) result {
		c.Assert(r.code, qt.Equals, subcommands.ExitSuccess, qt.Commentf("%s", r.err))
		return run("approve", "-author", "bento", "karoo-wick", strings.Fields(r.out)[1])
	}
	first := approve(edit("0", "../../deployments/karoo-wick/template.toml"))
	c.Assert(first.out, qt.Equals, "version 1 is approved\n")

	shown := run("show", "karoo-wick")
	c.Assert(shown.code, qt.Equals, subcommands.ExitSuccess)
	ana := edit("1", writeFile(t, "ana.toml", strings.Replace(shown.out, "share = 8.0", "share = 9.0", 1)))
	bento := edit("1", writeFile(t, "bento.toml", strings.Replace(shown.out, "share = 2.0", "share = 4.0", 1)))
	c.Assert(approve(ana).code, qt.Equals, subcommands.ExitSuccess)
	refused := approve(bento)
	c.Assert(refused.code, qt.Equals, subcommands.ExitFailure)
	c.Assert(refused.err, qt.Contains, "share: 8 -> 9")
	c.Assert(refused.err, qt.Contains, "share: 2 -> 4")

	c.Assert(run("diff", "-from", "1", "karoo-wick").out, qt.Equals, "~ customers[karoo-candle-house].share: 8 -> 9\n")
	c.Assert(run("list").out, qt.Matches, `(?s)TEMPLATE +VERSION\nkaroo-wick +2\n`)
	c.Assert(strings.Count(run("history", "karoo-wick").out, "ana"), qt.Equals, 2)
	status := run("status", "karoo-wick")
	c.Assert(status.out, qt.Contains, "version 2 approved")
	c.Assert(status.out, qt.Contains, "entry-1")
	c.Assert(run("show", "none").code, qt.Equals, subcommands.ExitFailure)
}

func TestDrainWaitsForCompletion(t *testing.T) {
	c := qt.New(t)
	f := &fakeDeployment{}
	r := execute(append([]string{"drain"}, appendArgs(startOperatorAPI(t, f), "-failure-domain", "midrand")...)...)
	c.Assert(r.code, qt.Equals, subcommands.ExitSuccess, qt.Commentf("%s", r.err))
	c.Assert(f.drainStarted, qt.IsTrue)
	c.Assert(r.out, qt.Equals, "failure domain midrand: 1 in progress\nfailure domain midrand: 0 in progress\n")
}

func TestStatusShowsEverySection(t *testing.T) {
	c := qt.New(t)
	r := execute(append([]string{"status"}, startOperatorAPI(t, &fakeDeployment{})...)...)
	c.Assert(r.code, qt.Equals, subcommands.ExitSuccess, qt.Commentf("%s", r.err))
	for _, part := range []string{"entry-1", "engine-1", "notice", "church-supply-guild", "placement"} {
		c.Check(r.out, qt.Contains, part)
	}
}

func TestEveryCommandHasSynopsisAndExample(t *testing.T) {
	commands := append(operatorCommands(), templateCommands(operatorFlags{})...)
	for _, command := range commands {
		t.Run(command.Name(), func(t *testing.T) {
			qt.Assert(t, command.Synopsis(), qt.Not(qt.Equals), "")
			qt.Assert(t, command.Usage(), qt.Contains, "Example:\n    coltsfootcleat ")
		})
	}
}
