package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

const (
	// State changes of the entry and the replica of a request are shown from
	// explainBefore before its start until explainAfter after its end.
	explainBefore = 3 * time.Second
	explainAfter  = time.Second
	// maxLogLineBytes limits the length of a log line.
	maxLogLineBytes = 1 << 20
)

// explainCommand prints the log lines about one request and the state changes
// around it.
type explainCommand struct {
	console console
	all     bool
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "print the log lines about one request, in order" }

func (*explainCommand) Usage() string {
	return `explain [-all] ID FILE...:
  Reads the JSON logs of any number of processes, and prints the lines about a
  request in order of time, with the state changes of its entry and its replica
  shortly before, during and after it. -all shows the state changes of all
  entries. A FILE of "-" is the standard input. Text before the first brace of a
  line is ignored.

  Example: coltsfootcleat explain 66d356c1cad8e56b entry-1.log entry-2.log

`
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.all, "all", false, "show state changes of all entries")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() < 2 {
		fmt.Fprint(c.console.err, c.Usage())
		return subcommands.ExitUsageError
	}
	var lines []logLine
	for _, name := range f.Args()[1:] {
		read, err := readLog(name)
		if err != nil {
			fmt.Fprintln(c.console.err, err)
			return subcommands.ExitFailure
		}
		lines = append(lines, read...)
	}
	selected := explain(lines, f.Arg(0), c.all)
	if len(selected) == 0 {
		fmt.Fprintf(c.console.err, "no line about request %q\n", f.Arg(0))
		return subcommands.ExitFailure
	}
	for _, l := range selected {
		fmt.Fprintln(c.console.out, l)
	}
	return subcommands.ExitSuccess
}

// logLine is one line of a JSON log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

func (l logLine) text(field string) string {
	s, _ := l.fields[field].(string)
	return s
}

// String returns the line in readable form: time, entry, message, and then the
// other fields in order of their names.
func (l logLine) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-20s %s", l.at.Format("15:04:05.000"), l.text("entry"), l.text("msg"))
	for _, name := range slices.Sorted(maps.Keys(l.fields)) {
		switch name {
		case "time", "entry", "msg", "level":
		default:
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}

func readLog(name string) ([]logLine, error) {
	if name == "-" {
		return parseLog(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := parseLog(file)
	if err != nil {
		return nil, fmt.Errorf("log %q: %w", name, err)
	}
	return lines, nil
}

// parseLog returns the lines of a log that are JSON objects with a valid time.
// It skips all other lines.
func parseLog(r io.Reader) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal(scanner.Bytes()[start:], &l.fields) != nil {
			continue
		}
		at, err := time.Parse(time.RFC3339Nano, l.text("time"))
		if err != nil {
			continue
		}
		l.at = at
		out = append(out, l)
	}
	return out, scanner.Err()
}

// lastStatements returns, for each replica of a request, the last line before a
// time in which an entry of the request recorded a limit, a pause or a leaving of
// the replica, and the last one with its speed, as these hold until the next one.
func lastStatements(lines []logLine, before time.Time, entries, replicas map[string]bool) []logLine {
	type kind struct {
		replica string
		speed   bool
	}
	last := make(map[kind]logLine)
	for _, l := range lines {
		r := l.text("replica")
		speed := strings.HasPrefix(l.text("msg"), "speed: ")
		states := speed || strings.HasPrefix(l.text("msg"), "throttle: ") || l.text("msg") == "replica: leaves."
		k := kind{r, speed}
		if states && r != "" && replicas[r] && entries[l.text("entry")] && l.at.Before(before) && !l.at.Before(last[k].at) {
			last[k] = l
		}
	}
	return slices.Collect(maps.Values(last))
}

// explain returns the lines about a request and the state changes around it, in
// order of time, with the last statements of its replicas before them. A line without a request ID is a state change. It is included
// if it was written between explainBefore before the start and explainAfter
// after the end of the request, by an entry of the request, and names either no
// replica or a replica of the request. If all is set, the entry and the replica
// don't matter.
func explain(lines []logLine, id string, all bool) []logLine {
	entries, replicas := make(map[string]bool), make(map[string]bool)
	var first, last time.Time
	for _, l := range lines {
		if l.text("request") != id {
			continue
		}
		entries[l.text("entry")] = true
		replicas[l.text("replica")] = true
		began := l.at
		if ms, ok := l.fields["ms"].(float64); ok {
			began = l.at.Add(-time.Duration(ms) * time.Millisecond)
		}
		if first.IsZero() || began.Before(first) {
			first = began
		}
		if l.at.After(last) {
			last = l.at
		}
	}
	if first.IsZero() {
		return nil
	}
	out := lastStatements(lines, first.Add(-explainBefore), entries, replicas)
	for _, l := range lines {
		matches := l.text("request") == id
		_, hasRequest := l.fields["request"]
		inWindow := !l.at.Before(first.Add(-explainBefore)) && !l.at.After(last.Add(explainAfter))
		relevant := all || entries[l.text("entry")] && (l.text("replica") == "" || replicas[l.text("replica")])
		if matches || !hasRequest && inWindow && relevant {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(x, y logLine) int { return x.at.Compare(y.at) })
	return out
}
