package settings_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

const hash = "5f0c4f1c2e0c8b9e0cf7a5d8e3f4b6a798c1d2e3f405162738495a6b7c8d9e0f"

// minimal sets only the keys that have no default.
const minimal = `id = "entry-1"
deployment = "karoo-wick"
failure_domain = "midrand"
operator_key_sha256 = "` + hash + `"
[listen]
caller = "127.0.0.1:8080"
operator = "127.0.0.1:8081"
peer = "127.0.0.1:8082"
[platform]
url = "http://127.0.0.9:7000"
`

func TestDefaultsFillWhatTheFileLeavesOut(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(t.TempDir(), "entry.toml")
	c.Assert(os.WriteFile(file, []byte(minimal), 0o600), qt.IsNil)
	e, err := settings.Load(file)
	c.Assert(err, qt.IsNil)
	c.Assert(e.Platform.Timeout.Std(), qt.Equals, time.Second)
	c.Assert(e.Log, qt.Equals, settings.Log{Level: "info", Format: "text"})
	c.Assert(e.Limits, qt.Equals, settings.Default().Limits)
	c.Assert(e.Listen.Peer, qt.Equals, "127.0.0.1:8082")
}

func TestMissingFile(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.toml"))
	qt.Assert(t, errors.Is(err, os.ErrNotExist), qt.IsTrue)
}

func TestFaults(t *testing.T) {
	// Each edit of the minimal file must give exactly these faults.
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown key", `id = "entry-1"`, "id = \"entry-1\"\nname = \"x\"", []string{"2: name: unknown key"}},
		{"unknown table", "[platform]", "[plattform]", []string{
			"1: platform.url: is missing", "9: plattform: unknown key"}},
		{"unknown key in a table", "[platform]", "[platform]\nurls = 1", []string{"10: platform.urls: unknown key"}},
		{"missing key", `id = "entry-1"`, "", []string{"1: id: is missing"}},
		{"missing key of a table", `caller = "127.0.0.1:8080"`, "", []string{"5: listen.caller: is missing"}},
		{"wrong type", `id = "entry-1"`, "id = 7", []string{"1: id: "}},
		{"bad id", "entry-1", "entry 1", []string{"1: id: must be 1 to 64"}},
		{"host name for an IP", "127.0.0.1:8080", "localhost:8080", []string{`6: listen.caller: must be ip:port, not "localhost:8080"`}},
		{"port 0", "127.0.0.1:8080", "127.0.0.1:0", []string{"6: listen.caller: must be ip:port"}},
		{"same listener twice", "127.0.0.1:8082", "127.0.0.1:8080", []string{"8: listen.peer: is the same address as listen.caller"}},
		{"platform by name", "http://127.0.0.9:7000", "http://platform:7000", []string{"10: platform.url: must name its host by IP"}},
		{"platform without scheme", "http://127.0.0.9:7000", "127.0.0.9:7000", []string{"10: platform.url: "}},
		{"platform over ftp", "http://", "ftp://", []string{"10: platform.url: must begin with http"}},
		{"short hash", hash, hash[1:], []string{"4: operator_key_sha256: must be the SHA-256"}},
		{"upper-case hash", hash, strings.ToUpper(hash), []string{"4: operator_key_sha256: must be the SHA-256"}},
		{"hash of the empty key", hash, "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", []string{"4: operator_key_sha256: "}},
		{"timeout without a unit", "[platform]", "[platform]\ntimeout = \"1\"", []string{"10: platform.timeout: "}},
		{"timeout as a number", "[platform]", "[platform]\ntimeout = 1", []string{"10: platform.timeout: must be text in quotes"}},
		{"zero timeout", "[platform]", "[platform]\ntimeout = \"0s\"", []string{"10: platform.timeout: must be more than 0"}},
		{"negative timeout", "[platform]", "[platform]\ntimeout = \"-1s\"", []string{"10: platform.timeout: must be more than 0"}},
		{"infinite rate", "[platform]", "[platform]\nwrites_per_second = inf", []string{"10: platform.writes_per_second: must be a finite number"}},
		{"rate that is not a number", "[platform]", "[platform]\nwrites_per_second = nan", []string{"10: platform.writes_per_second: must be more than 0"}},
		{"unknown level", "[platform]", "[log]\nlevel = \"loud\"\n[platform]", []string{"10: log.level: must be one of: debug, info, warning, error"}},
		{"body limit of 0", "[platform]", "[limits]\nbody_bytes = 0\n[platform]", []string{"10: limits.body_bytes: must be more than 0"}},
		{"key twice", `id = "entry-1"`, "id = \"entry-1\"\nid = \"entry-2\"", []string{"2: id: "}},
		{"table twice", "[platform]", "[listen]\n[platform]", []string{"9: "}},
		{"not TOML", `id = "entry-1"`, `id = "entry-1`, []string{"1: "}},
		{"dotted keys", "[listen]\ncaller =", "listen.caller =", []string{
			"5: listen.operator: is missing", "5: listen.peer: is missing", "6: operator: unknown key", "7: peer: unknown key"}},
		{"several at once", `id = "entry-1"`, "id = 7\nfoo = 1\nregion = 3", []string{"1: id: ", "2: foo: unknown key", "3: region: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(minimal, test.old, test.new, 1)
			c.Assert(text, qt.Not(qt.Equals), minimal)
			_, err := settings.Parse("f.toml", []byte(text))
			var faults settings.Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(faults, qt.HasLen, len(test.want), qt.Commentf("%v", err))
			for i, f := range faults {
				got := fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text)
				c.Check(strings.HasPrefix(got, test.want[i]), qt.IsTrue, qt.Commentf("got %q, want %q", got, test.want[i]))
				c.Check(f.File, qt.Equals, "f.toml")
			}
		})
	}
}
