package main

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// templateCommand groups the commands that read and change service templates.
type templateCommand struct{ console }

// Name implements subcommands.Command.
func (*templateCommand) Name() string { return "template" }

// Synopsis implements subcommands.Command.
func (*templateCommand) Synopsis() string { return "list, edit and approve service templates" }

// Usage implements subcommands.Command.
func (*templateCommand) Usage() string {
	return `template list|show|edit|diff|approve|history|status [flags] [NAME] [FILE]
  Manages service templates. "template help COMMAND" shows the flags of each.

  Example:
    coltsfootcleat template show -key-file operator.key karoo-wick > karoo-wick.toml
    coltsfootcleat template edit -key-file operator.key -base 3 -author ana karoo-wick karoo-wick.toml
    coltsfootcleat template approve -key-file operator.key -author ana karoo-wick DRAFT

`
}

// SetFlags implements subcommands.Command.
func (*templateCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *templateCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	commander := subcommands.NewCommander(f, "coltsfootcleat template")
	commander.Output, commander.Error = c.out, c.err
	commander.Register(commander.HelpCommand(), "")
	for _, command := range templateCommands(operatorFlags{console: c.console}) {
		commander.Register(command, "")
	}
	return commander.Execute(ctx, args...)
}

func templateCommands(flags operatorFlags) []subcommands.Command {
	return []subcommands.Command{
		&templateList{flags},
		&templateShow{operatorFlags: flags},
		&templateEdit{operatorFlags: flags},
		&templateDiff{operatorFlags: flags},
		&templateApprove{operatorFlags: flags},
		&templateHistory{flags},
		&templateStatus{flags},
	}
}
