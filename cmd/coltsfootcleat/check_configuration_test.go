package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/subcommands"
)

const smallConfiguration = `{"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/a/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`

// Guards against exit codes that let a faulty configuration pass, and against
// output that programs can't read.
func TestCheckOfConfigurationExitsBySeverity(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
		return path
	}
	sound := file("sound", smallConfiguration)
	next := file("next", strings.NewReplacer(`"version":7`, `"version":8`, "safe", "unsafe").Replace(smallConfiguration))
	warning := file("warning", strings.Replace(smallConfiguration, `"/a/"`, `"a/"`, 1))
	forged := file("forged", strings.Replace(smallConfiguration, `"name":"r"`, `"name":"r\nerror: \u001b[2J"`, 1))
	broken := file("broken", smallConfiguration+"}")
	for _, test := range []struct {
		args []string
		code subcommands.ExitStatus
		want string
	}{
		{[]string{sound}, 0, "sound: errors: 0, warnings: 0\n"},
		{[]string{warning}, 1, `warning: route r: never matches: prefix "a/" doesn't begin with a slash`},
		{[]string{forged, "-in-force", sound}, 2, "added: route r\\nerror: \\x1b[2J: host"},
		{[]string{broken}, 2, "error: 1:126: syntax: "},
		{[]string{next, "-in-force", sound}, 0, "changed: route r: kind: repeatable -> once\n"},
		{[]string{sound, "-in-force", next}, 2, "error: configuration: never takes force: version 7 is not above version 8 in force\n"},
		{[]string{next, "-in-force", broken}, 2, "broken: syntax: "},
		{[]string{filepath.Join(dir, "none")}, 2, "no such file"},
		{[]string{sound, "-kind", "settings"}, 2, "no -kind"},
		{[]string{sound, sound}, 2, "no further files"},
	} {
		got := execute(append([]string{"check", "-configuration"}, test.args...)...)
		qt.Check(t, got.code, qt.Equals, test.code, qt.Commentf("%v", test.args))
		qt.Check(t, got.out+got.err, qt.Contains, test.want)
	}
	qt.Check(t, execute("check", "-json", sound).code, qt.Equals, subcommands.ExitUsageError)
	var report configurationReport
	got := execute("check", "-json", "-in-force", sound, "-configuration", next)
	qt.Assert(t, json.Unmarshal([]byte(got.out), &report), qt.IsNil)
	qt.Assert(t, report.Differences, qt.HasLen, 1)
	qt.Assert(t, got.out, qt.Contains, `"findings": []`)
}
