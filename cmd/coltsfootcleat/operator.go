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

// keyVariable is the environment variable that holds the operators' key where
// no file is named.
const keyVariable = "COLTSFOOTCLEAT_OPERATOR_KEY"

// operatorCommands returns the commands of operators.
func operatorCommands() []subcommands.Command {
	return operatorCommandsOn(console{out: os.Stdout, err: os.Stderr})
}

func operatorCommandsOn(c console) []subcommands.Command {
	return []subcommands.Command{
		&checkCommand{console: c},
		&templateCommand{console: c},
		&statusCommand{operatorFlags{console: c}},
		&drainCommand{operatorFlags: operatorFlags{console: c}},
		&versionCommand{console: c},
	}
}

// console is where a command prints its results and its errors.
type console struct {
	out, err io.Writer
}

// operatorFlags are the flags of commands that talk to an entry host.
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

// client returns a client with the operators' key.
func (o *operatorFlags) client() (*operatorapi.Client, error) {
	key := os.Getenv(keyVariable)
	if o.keyFile != "" {
		data, err := os.ReadFile(o.keyFile)
		if err != nil {
			return nil, fmt.Errorf("key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	if key == "" {
		return nil, fmt.Errorf("no operators' key: name a -key-file or set %s", keyVariable)
	}
	return operatorapi.NewClient(o.url, key, &http.Client{Timeout: o.timeout}), nil
}

// usageError is a wrong use of a command.
type usageError struct{ text string }

func (e usageError) Error() string { return e.text }

// exit prints an error and returns the exit code: 0 done, 1 failed, 2 wrong
// use.
func (c console) exit(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	var wrong usageError
	if errors.As(err, &wrong) {
		fmt.Fprintln(c.err, wrong.text)
		return subcommands.ExitUsageError
	}
	fmt.Fprintln(c.err, err)
	var classified *verdict.Error
	if errors.As(err, &classified) && classified.Verdict == verdict.MayHaveRun {
		fmt.Fprintln(c.err, "The request may have taken effect: look before you try again.")
	}
	return subcommands.ExitFailure
}

// arguments returns the positional arguments, of which there must be as many
// as names.
func arguments(f *flag.FlagSet, names ...string) ([]string, error) {
	if f.NArg() != len(names) {
		return nil, usageError{fmt.Sprintf("%s: want %d arguments: %s", f.Name(), len(names), strings.Join(names, " "))}
	}
	return f.Args(), nil
}

// run is the body of a command that talks to an entry host.
func (o *operatorFlags) run(ctx context.Context, body func(context.Context, *operatorapi.Client) error) subcommands.ExitStatus {
	client, err := o.client()
	if err != nil {
		return o.exit(usageError{err.Error()})
	}
	return o.exit(body(ctx, client))
}
