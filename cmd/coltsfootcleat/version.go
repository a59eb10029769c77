package main

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

// versionCommand prints the version and revision of the binary and the Go
// version that built it.
type versionCommand struct{ console }

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print what the binary was built from" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string {
	return `version
  Prints the version, the revision and the Go version of the binary.

  Example:
    coltsfootcleat version

`
}

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (c *versionCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if _, err := arguments(f); err != nil {
		return c.exit(err)
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return c.exit(fmt.Errorf("version: the binary has no build information"))
	}
	fmt.Fprintf(c.out, "coltsfootcleat %s, %s\n", buildVersion(info), info.GoVersion)
	return subcommands.ExitSuccess
}

// buildVersion returns the module version, followed by the revision of the
// source if the build information contains it.
func buildVersion(info *debug.BuildInfo) string {
	version := info.Main.Version
	if version == "" || version == "(devel)" {
		version = "devel"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
		if s.Key == "vcs.modified" && s.Value == "true" {
			version += " (modified)"
		}
	}
	return version
}
