package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// templateEdit records a file as a draft.
type templateEdit struct {
	operatorFlags
	base   uint64
	author string
}

// Name implements subcommands.Command.
func (*templateEdit) Name() string { return "edit" }

// Synopsis implements subcommands.Command.
func (*templateEdit) Synopsis() string { return "record a file as a draft of the next version" }

// Usage implements subcommands.Command.
func (*templateEdit) Usage() string {
	return `template edit -base N -author NAME [flags] NAME FILE
  Records a draft and shows what it changes. It takes effect only by "approve".
  Exits 1 and shows what others changed if the version in force is not -base.

  Example:
    coltsfootcleat template edit -key-file operator.key -base 3 -author ana karoo-wick karoo-wick.toml

`
}

// SetFlags implements subcommands.Command.
func (c *templateEdit) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.Uint64Var(&c.base, "base", 0, "version `number` that the edit is based on; 0 for the first version")
	f.StringVar(&c.author, "author", "", "`name` to record with the draft")
}

// Execute implements subcommands.Command.
func (c *templateEdit) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME", "FILE")
	if err == nil && c.author == "" {
		err = usageError{"template edit: -author is missing"}
	}
	if err != nil {
		return c.exit(err)
	}
	data, err := os.ReadFile(args[1])
	if err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		reply, err := client.Edit(ctx, args[0], operatorapi.EditRequest{
			Base: c.base, Author: c.author, File: args[1], TOML: string(data),
		})
		if err != nil {
			return withDiffs(err)
		}
		if c.json {
			return printJSON(c.out, reply)
		}
		_, err = fmt.Fprintf(c.out, "draft %s on version %d\n%s", reply.DraftID, reply.Base, reply.Diff)
		return err
	})
}

// templateApprove puts a draft in force.
type templateApprove struct {
	operatorFlags
	author string
}

// Name implements subcommands.Command.
func (*templateApprove) Name() string { return "approve" }

// Synopsis implements subcommands.Command.
func (*templateApprove) Synopsis() string { return "put a draft in force" }

// Usage implements subcommands.Command.
func (*templateApprove) Usage() string {
	return `template approve -author NAME [flags] NAME DRAFT
  Puts the draft in force on every entry. Repeating it has no effect.

  Example:
    coltsfootcleat template approve -key-file operator.key -author ana karoo-wick DRAFT

`
}

// SetFlags implements subcommands.Command.
func (c *templateApprove) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.StringVar(&c.author, "author", "", "`name` to record with the version")
}

// Execute implements subcommands.Command.
func (c *templateApprove) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME", "DRAFT")
	if err == nil && c.author == "" {
		err = usageError{"template approve: -author is missing"}
	}
	if err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		reply, err := client.Approve(ctx, args[0], operatorapi.ApproveRequest{DraftID: args[1], Author: c.author})
		if err != nil {
			return withDiffs(err)
		}
		if c.json {
			return printJSON(c.out, reply)
		}
		_, err = fmt.Fprintf(c.out, "version %d is approved\n", reply.Version)
		return err
	})
}

// withDiffs adds to the text of a conflict the changes since the base version
// and those of the refused edit. It returns any other error unchanged.
func withDiffs(err error) error {
	var conflict *template.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	return fmt.Errorf("%w\nchanged since version %d:\n%sthe refused edit:\n%s",
		err, conflict.Base, conflict.Theirs, conflict.Ours)
}
