package main

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
)

// templateList lists the templates.
type templateList struct{ operatorFlags }

// Name implements subcommands.Command.
func (*templateList) Name() string { return "list" }

// Synopsis implements subcommands.Command.
func (*templateList) Synopsis() string { return "list templates and the version in force" }

// Usage implements subcommands.Command.
func (*templateList) Usage() string {
	return `template list [flags]
  Example:
    coltsfootcleat template list -key-file operator.key

`
}

// SetFlags implements subcommands.Command.
func (c *templateList) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute implements subcommands.Command.
func (c *templateList) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := arguments(f); err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		heads, err := client.List(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, heads)
		}
		t := newTable(c.out)
		t.row("TEMPLATE", "VERSION")
		for _, h := range heads {
			t.row(h.Name, h.Version)
		}
		return t.Flush()
	})
}

// templateShow prints a version of a template as a TOML file.
type templateShow struct {
	operatorFlags
	version uint64
}

// Name implements subcommands.Command.
func (*templateShow) Name() string { return "show" }

// Synopsis implements subcommands.Command.
func (*templateShow) Synopsis() string { return "print a version of a template as TOML" }

// Usage implements subcommands.Command.
func (*templateShow) Usage() string {
	return `template show [-version N] [flags] NAME
  Example:
    coltsfootcleat template show -key-file operator.key karoo-wick > karoo-wick.toml

`
}

// SetFlags implements subcommands.Command.
func (c *templateShow) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.Uint64Var(&c.version, "version", 0, "version `number` to show (default: the one in force)")
}

// Execute implements subcommands.Command.
func (c *templateShow) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME")
	if err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		body, err := client.Show(ctx, args[0], c.version)
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, body)
		}
		_, err = fmt.Fprintf(c.out, "# Version %d; name it as -base of an edit.\n%s", body.Version, body.TOML)
		return err
	})
}

// templateDiff compares two versions of a template, or a draft with its base.
type templateDiff struct {
	operatorFlags
	from, to uint64
	draft    string
}

// Name implements subcommands.Command.
func (*templateDiff) Name() string { return "diff" }

// Synopsis implements subcommands.Command.
func (*templateDiff) Synopsis() string { return "compare two versions, or a draft with its base" }

// Usage implements subcommands.Command.
func (*templateDiff) Usage() string {
	return `template diff (-from N [-to N] | -draft ID) [flags] NAME
  Example:
    coltsfootcleat template diff -key-file operator.key -from 3 -to 4 karoo-wick

`
}

// SetFlags implements subcommands.Command.
func (c *templateDiff) SetFlags(f *flag.FlagSet) {
	c.set(f)
	f.Uint64Var(&c.from, "from", 0, "version `number` to compare")
	f.Uint64Var(&c.to, "to", 0, "version `number` to compare it with (default: the one in force)")
	f.StringVar(&c.draft, "draft", "", "`ID` of a draft to compare with its base")
}

// Execute implements subcommands.Command.
func (c *templateDiff) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME")
	if err != nil {
		return c.exit(err)
	}
	if (c.draft == "") == (c.from == 0) {
		return c.exit(usageError{"template diff: set exactly one of -from and -draft"})
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		text, err := c.diff(ctx, client, args[0])
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, operatorapi.DiffReply{Diff: text})
		}
		_, err = fmt.Fprint(c.out, text)
		return err
	})
}

func (c *templateDiff) diff(ctx context.Context, client *operatorapi.Client, name string) (string, error) {
	if c.draft != "" {
		return client.DiffDraft(ctx, name, c.draft)
	}
	return client.Diff(ctx, name, c.from, c.to)
}

// templateHistory lists the versions of a template.
type templateHistory struct{ operatorFlags }

// Name implements subcommands.Command.
func (*templateHistory) Name() string { return "history" }

// Synopsis implements subcommands.Command.
func (*templateHistory) Synopsis() string { return "list the versions of a template" }

// Usage implements subcommands.Command.
func (*templateHistory) Usage() string {
	return `template history [flags] NAME
  Example:
    coltsfootcleat template history -key-file operator.key karoo-wick

`
}

// SetFlags implements subcommands.Command.
func (c *templateHistory) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute implements subcommands.Command.
func (c *templateHistory) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME")
	if err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		entries, err := client.History(ctx, args[0])
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, entries)
		}
		t := newTable(c.out)
		t.row("VERSION", "BASE", "AUTHOR", "APPROVED BY", "APPROVED AT")
		for _, e := range entries {
			t.row(e.Version, e.Base, e.Author, e.ApprovedBy, e.ApprovedAt.Format(time.RFC3339))
		}
		return t.Flush()
	})
}

// templateStatus shows which entries run which version.
type templateStatus struct{ operatorFlags }

// Name implements subcommands.Command.
func (*templateStatus) Name() string { return "status" }

// Synopsis implements subcommands.Command.
func (*templateStatus) Synopsis() string { return "show which entries run which version" }

// Usage implements subcommands.Command.
func (*templateStatus) Usage() string {
	return `template status [flags] NAME
  Example:
    coltsfootcleat template status -key-file operator.key karoo-wick

`
}

// SetFlags implements subcommands.Command.
func (c *templateStatus) SetFlags(f *flag.FlagSet) { c.set(f) }

// Execute implements subcommands.Command.
func (c *templateStatus) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	args, err := arguments(f, "NAME")
	if err != nil {
		return c.exit(err)
	}
	return c.run(ctx, func(ctx context.Context, client *operatorapi.Client) error {
		status, err := client.TemplateStatus(ctx, args[0])
		if err != nil {
			return err
		}
		if c.json {
			return printJSON(c.out, status)
		}
		t := newTable(c.out)
		fmt.Fprintf(t, "%s: version %d approved\n\n", status.Name, status.Head)
		printEntries(t, status.Entries)
		t.row("\nDRAFT", "BASE", "AUTHOR")
		for _, d := range status.Drafts {
			t.row(d.DraftID, d.Base, d.Author)
		}
		return t.Flush()
	})
}
