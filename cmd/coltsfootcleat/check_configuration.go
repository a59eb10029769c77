package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/google/subcommands"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config/check"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// Exit codes of check -configuration.
const (
	exitWarnings subcommands.ExitStatus = 1
	exitErrors   subcommands.ExitStatus = 2
)

// configurationReport is what check -configuration prints.
type configurationReport struct {
	File        string             `json:"file"`
	InForce     string             `json:"in_force,omitempty"`
	Errors      int                `json:"errors"`
	Warnings    int                `json:"warnings"`
	Findings    []check.Finding    `json:"findings"`
	Differences []check.Difference `json:"differences"`
}

// checkConfiguration checks a configuration before it is sent.
func (c *checkCommand) checkConfiguration() subcommands.ExitStatus {
	r, err := newConfigurationReport(c.configuration, c.inForce)
	if err != nil {
		fmt.Fprintln(c.err, "check:", err)
		return exitErrors
	}
	if c.json {
		encoder := json.NewEncoder(c.out)
		encoder.SetEscapeHTML(false)
		encoder.SetIndent("", "  ")
		err = encoder.Encode(r)
	} else {
		err = c.printReport(r)
	}
	switch {
	case err != nil:
		fmt.Fprintln(c.err, "check: write report:", err)
		return exitErrors
	case r.Errors > 0:
		return exitErrors
	case r.Warnings > 0:
		return exitWarnings
	}
	return subcommands.ExitSuccess
}

func newConfigurationReport(file, inForce string) (*configurationReport, error) {
	// Programs get empty lists rather than null.
	r := &configurationReport{File: file, InForce: inForce, Findings: []check.Finding{}, Differences: []check.Difference{}}
	next, findings, err := readConfiguration(file)
	if err != nil {
		return nil, err
	}
	r.Findings = append(r.Findings, findings...)
	if next != nil {
		r.Findings = append(r.Findings, check.Configuration(next)...)
	}
	if inForce != "" {
		// Faults of the configuration in force matter only if it can't be decoded.
		old, faults, err := readConfiguration(inForce)
		switch {
		case err != nil:
			return nil, err
		case old == nil:
			for _, f := range faults {
				f.Subject = inForce + ": " + f.Subject
				r.Findings = append(r.Findings, f)
			}
		case next != nil:
			r.Findings = append(r.Findings, check.Succession(old, next)...)
			r.Differences = append(r.Differences, check.Differences(old, next)...)
		}
	}
	r.Errors, r.Warnings = check.Count(r.Findings, check.Error), check.Count(r.Findings, check.Warning)
	return r, nil
}

func readConfiguration(file string) (*config.Configuration, []check.Finding, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, err
	}
	c, findings := platform.CheckConfiguration(text)
	return c, findings, nil
}

func (c *checkCommand) printReport(r *configurationReport) error {
	for _, f := range r.Findings {
		position := ""
		if f.Line > 0 {
			position = fmt.Sprintf("%d:%d: ", f.Line, f.Column)
		}
		fmt.Fprintf(c.out, "%s: %s%s: %s\n", f.Severity, position, printable(f.Subject), printable(f.Text))
	}
	for _, d := range r.Differences {
		switch d.Change {
		case check.Added:
			fmt.Fprintf(c.out, "added: %s: %s\n", printable(d.Subject), printable(d.New))
		case check.Removed:
			fmt.Fprintf(c.out, "removed: %s: %s\n", printable(d.Subject), printable(d.Old))
		default:
			fmt.Fprintf(c.out, "changed: %s: %s: %s -> %s\n", printable(d.Subject), d.Field, printable(d.Old), printable(d.New))
		}
	}
	differences := ""
	if r.InForce != "" {
		differences = fmt.Sprintf(", differences from %s: %d", r.InForce, len(r.Differences))
	}
	_, err := fmt.Fprintf(c.out, "%s: errors: %d, warnings: %d%s\n", r.File, r.Errors, r.Warnings, differences)
	return err
}

// printable escapes what isn't printable. Names come from the file, and could otherwise
// forge lines or control the terminal.
func printable(text string) string {
	var b strings.Builder
	for _, r := range text {
		if strconv.IsPrint(r) {
			b.WriteRune(r)
			continue
		}
		b.WriteString(strings.Trim(strconv.QuoteRune(r), "'"))
	}
	return b.String()
}
