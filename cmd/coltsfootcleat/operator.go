package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// keyVariable is the environment variable that holds the operators' key. It is
// used if the flag -key-file is not set.
const keyVariable = "COLTSFOOTCLEAT_OPERATOR_KEY"

// operatorCommands returns the commands for operators, with the standard output
// and the standard error of the process as console.
func operatorCommands() []subcommands.Command {
	return operatorCommandsOn(console{out: os.Stdout, err: os.Stderr})
}

// operatorCommandsOn returns the commands for operators with c as console.
func operatorCommandsOn(c console) []subcommands.Command {
	return []subcommands.Command{
		&checkCommand{console: c},
		&templateCommand{console: c},
		&statusCommand{operatorFlags: operatorFlags{console: c}},
		&drainCommand{operatorFlags: operatorFlags{console: c}},
		&versionCommand{console: c},
	}
}

// console holds the writers for the results and the errors of a command.
type console struct {
	out, err io.Writer
}

// operatorFlags are the flags of commands that call the operators' interface of
// an entry host.
type operatorFlags struct {
	console
	url     string
	keyFile string
	timeout time.Duration
	json    bool
}

func (o *operatorFlags) set(f *flag.FlagSet) {
	f.StringVar(&o.url, "url", "http://127.0.0.1:8081", "base `URL` of an entry's operator listener")
	f.StringVar(&o.keyFile, "key-file", "", "`file` with the operators' key (default: the environment variable "+keyVariable+")")
	f.DurationVar(&o.timeout, "timeout", 10*time.Second, "longest time for one request, with its unit (10s, 1m)")
	f.BoolVar(&o.json, "json", false, "print JSON")
}

// client returns a client of the entry host, with the operators' key from the
// key file or the environment.
func (o *operatorFlags) client() (*operatorapi.Client, error) {
	key := os.Getenv(keyVariable)
	if o.keyFile != "" {
		data, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read operators' key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, fmt.Errorf("no operators' key: set -key-file or the environment variable %s", keyVariable)
	}
	return operatorapi.NewClient(o.url, key, &http.Client{Timeout: o.timeout}), nil
}

// usageError reports invalid flags or arguments of a command.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// exit prints err, if it is not nil, and returns the exit code: 0 for success,
// 1 for a failure, 2 for a usageError.
func (c console) exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintln(c.err, usage.text)
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(c.err, err)
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) && verdictErr.Verdict == verdict.MayHaveRun {
		fmt.Fprintln(c.err, "The request may have taken effect: look before you try again.")
	}
	return subcommands.ExitFailure
}

// arguments returns the positional arguments, or a usageError unless there is
// exactly one for each name.
func arguments(f *flag.FlagSet, names ...string) ([]string, error) {
	if f.NArg() != len(names) {
		return nil, usageError{fmt.Sprintf("%s: want %d arguments: %s", f.Name(), len(names), strings.Join(names, " "))}
	}
	return f.Args(), nil
}

// run calls body with a client of the entry host, and returns the exit code of
// the command.
func (o *operatorFlags) run(ctx context.Context, body func(context.Context, *operatorapi.Client) error) subcommands.ExitStatus {
	client, err := o.client()
	if err != nil {
		return o.exit(usageError{err.Error()})
	}
	return o.exit(body(ctx, client))
}
