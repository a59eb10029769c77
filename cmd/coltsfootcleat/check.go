package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/internal/tomlfile"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Values of the flag -kind.
const (
	kindAuto     = "auto"
	kindSettings = "settings"
	kindTemplate = "template"
	kindStandin  = "standin"
)

// kinds are the kinds of files, in the order of the usage text.
var kinds = []string{kindSettings, kindTemplate, kindStandin}

// checkCommand validates settings, template and stand-in files, or a
// configuration.
type checkCommand struct {
	console
	kind string
	// configuration is the file of a configuration, inForce that of the one in
	// force. Both are empty if other files are checked.
	configuration, inForce string
	json                   bool
}

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string {
	return "validate settings and template files, or a configuration"
}

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return `check [-kind settings|template|standin] FILE...
  Reports every fault of each file with its line and key. Exits 1 if it finds any.

  Example:
    coltsfootcleat check deployments/karoo-wick/*.toml

check -configuration FILE [-in-force FILE] [-json]
  Reports the faults of a configuration before it is sent, and its differences from
  the one in force. Exits 0 if there is no fault, 1 for warnings only, 2 for errors.

  Example:
    coltsfootcleat check -configuration next.json -in-force current.json

`
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.kind, "kind", kindAuto, "`kind` of the files: settings, template, standin, or auto to detect it from their keys")
	f.StringVar(&c.configuration, "configuration", "", "`file` of a configuration, in the form that operators send")
	f.StringVar(&c.inForce, "in-force", "", "`file` of the configuration in force, to compare with")
	f.BoolVar(&c.json, "json", false, "print JSON (with -configuration)")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.configuration != "" {
		if f.NArg() > 0 || c.kind != kindAuto {
			return c.exit(usageError{"check: -configuration takes no further files and no -kind"})
		}
		return c.checkConfiguration()
	}
	if c.inForce != "" || c.json {
		return c.exit(usageError{"check: -in-force and -json need -configuration"})
	}
	if f.NArg() == 0 {
		return c.exit(usageError{"check: name at least one file"})
	}
	if c.kind != kindAuto && !slices.Contains(kinds, c.kind) {
		return c.exit(usageError{fmt.Sprintf("check: unknown kind %q", c.kind)})
	}
	failed := 0
	for _, file := range f.Args() {
		if err := c.check(file); err != nil {
			fmt.Fprintln(c.err, err)
			failed++
		}
	}
	if failed > 0 {
		return c.exit(fmt.Errorf("check: %d of %d files have faults", failed, f.NArg()))
	}
	return subcommands.ExitSuccess
}

func (c *checkCommand) check(file string) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	kind := c.kind
	if kind == kindAuto {
		kind = kindOf(data)
	}
	switch kind {
	case kindSettings:
		_, err = settings.Parse(file, data)
	case kindTemplate:
		_, err = template.Parse(file, data)
	case kindStandin:
		_, err = standin.LoadSettings(file)
	default:
		err = errors.New(file + ": the kind can't be detected from the keys, set -kind")
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: %s ok\n", file, kind)
	return nil
}

// kindOf detects the kind of a file, which is the one with the most matching
// keys. It returns "" if two kinds match equally well.
func kindOf(data []byte) string {
	matchingKeys := map[string]int{
		kindSettings: tomlfile.CountMatchingKeys(data, settings.Entry{}),
		kindTemplate: tomlfile.CountMatchingKeys(data, template.Template{}),
		kindStandin:  tomlfile.CountMatchingKeys(data, standin.Settings{}),
	}
	best, tied := "", false
	for _, kind := range kinds {
		switch {
		case best == "" || matchingKeys[kind] > matchingKeys[best]:
			best, tied = kind, false
		case matchingKeys[kind] == matchingKeys[best]:
			tied = true
		}
	}
	if tied {
		return ""
	}
	return best
}
