package standin_test

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

const small = `
[[failure_domains]]
name = "a"
network = "127.2.0.0/30"
[[failure_domains.hosts]]
count = 1
class = "gpu"
model = "m"
version = "1"
`

func TestLoadSettingsReportsFaults(t *testing.T) {
	for _, test := range []struct {
		name, text, want string
	}{
		{"good", small, ""},
		{"no failure domain", `listen = "127.0.0.1:1"`, `(?s).*FailureDomains.*required.*`},
		{"unknown key", "sead = 1\n" + small, `(?s).*unknown keys.*sead.*`},
		{"no TOML", "seed = ", `(?s).*line 1, column \d+.*`},
		{"bad duration", "[platform]\ntable_latency = \"soon\"\n" + small, `(?s).*line 2.*`},
		{"bad address", "listen = \"here\"\n" + small, `(?s).*Listen.*`},
		{"negative rate", "[engine]\nprefill_rate = -1\n" + small, `(?s).*PrefillRate.*`},
		{"host without endpoints", small + "[[failure_domains.hosts]]\ncount = 1\nclass = \"cpu\"\n", `(?s).*Model.*`},
		{"too many hosts", small + "[[failure_domains.hosts]]\ncount = 9\nclass = \"cpu\"\nservices = [\"s\"]\n", `(?s).*10 hosts in a network of 2 addresses.*`},
		{"the same name twice", small + small, `(?s).*FailureDomains.*unique.*`},
		{"shared addresses", small + "[[failure_domains]]\nname = \"b\"\nnetwork = \"127.2.0.0/16\"\n", `(?s).*"a" and "b" share addresses.*`},
		{"two faults at once", "listen = \"here\"\n[engine]\nprefill_rate = -1\n" + small, `(?s).*Listen.*PrefillRate.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			path := filepath.Join(t.TempDir(), "standin.toml")
			c.Assert(os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
			s, err := standin.LoadSettings(path)
			if test.want == "" {
				c.Assert(err, qt.IsNil)
				c.Assert(s.FailureDomains[0].Hosts[0].Model, qt.Equals, "m")
				c.Assert(s.Engine.Port, qt.Equals, 8000)
				return
			}
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

func TestLoadSettingsOfNoFile(t *testing.T) {
	_, err := standin.LoadSettings(filepath.Join(t.TempDir(), "none.toml"))
	qt.Assert(t, err, qt.ErrorIs, os.ErrNotExist)
}
