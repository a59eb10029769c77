package standin_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/standin"
)

const minimalSettings = `
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
		{"good", minimalSettings, ""},
		{"no failure domain", `listen = "127.0.0.1:1"`, `.*:1: failure_domains: is missing`},
		{"unknown key", "sead = 1\n" + minimalSettings, `.*:1: sead: unknown key`},
		{"no TOML", "seed = ", `.*:1: .*`},
		{"bad duration", "[platform]\ntable_latency = \"soon\"\n" + minimalSettings, `.*:2: platform\.table_latency: .*`},
		{"duration without a unit", "[platform]\ntable_latency = 5\n" + minimalSettings, `.*:2: platform\.table_latency: must be text in quotes`},
		{"bad address", "listen = \"here\"\n" + minimalSettings, `.*:1: listen: must be ip:port, not "here"`},
		{"address by name", "listen = \"localhost:1\"\n" + minimalSettings, `.*:1: listen: must be ip:port, not "localhost:1"`},
		{"negative rate", "[engine]\nprefill_rate = -1\n" + minimalSettings, `.*:2: engine\.prefill_rate: must be at least 0`},
		{"bad network", strings.Replace(minimalSettings, "127.2.0.0/30", "here", 1), `.*:4: failure_domains\[0\]\.network: must be a network of IPv4 addresses, not "here"`},
		{"host without endpoints", minimalSettings + "[[failure_domains.hosts]]\ncount = 1\nclass = \"cpu\"\n", `.*:10: failure_domains\[0\]\.hosts\[1\]\.model: is missing, and so is services`},
		{"model without version", strings.Replace(minimalSettings, "version = \"1\"\n", "", 1), `.*:5: failure_domains\[0\]\.hosts\[0\]\.version: is missing beside model`},
		{"too many hosts", minimalSettings + "[[failure_domains.hosts]]\ncount = 9\nclass = \"cpu\"\nservices = [\"s\"]\n", `.*:4: failure_domains\[0\]\.network: has 2 addresses for 10 hosts`},
		{"the same name twice", minimalSettings + strings.Replace(minimalSettings, "127.2.", "127.3.", 1), `.*:12: failure_domains\[1\]\.name: "a" stands twice`},
		{"shared addresses", minimalSettings + "[[failure_domains]]\nname = \"b\"\nnetwork = \"127.2.0.0/16\"\n", `.*:12: failure_domains\[1\]\.network: shares addresses with "a"`},
		{"two faults at once", "listen = \"here\"\n[engine]\nprefill_rate = -1\n" + minimalSettings, `.*:1: listen: .*\n.*:3: engine\.prefill_rate: .*`},
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

func TestLoadSettingsWithoutFile(t *testing.T) {
	_, err := standin.LoadSettings(filepath.Join(t.TempDir(), "none.toml"))
	qt.Assert(t, err, qt.ErrorIs, os.ErrNotExist)
}
