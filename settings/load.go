package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/tomlfile"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Fault is one fault of a settings file, with its file, line and key.
type Fault = tomlfile.Fault

// Faults lists all faults of a settings file. It implements error.
type Faults = tomlfile.Faults

// Default returns the default settings, which apply to keys that a file omits.
func Default() Entry {
	return Entry{
		Platform: Platform{
			Timeout:         template.Duration(time.Second),
			WritesPerSecond: 40,
		},
		KV:  KV{BytesPerToken: 128 << 10, Bandwidth: 1 << 30},
		Log: Log{Level: "info", Format: "text"},
		Limits: Limits{
			BodyBytes:   4 << 20,
			BodyTimeout: template.Duration(10 * time.Second),
		},
	}
}

// Load reads the settings file of an entry host. The error is of type Faults if
// the file could be read but has faults.
func Load(path string) (Entry, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads settings from TOML; file is the name that faults are reported
// under. The error is of type Faults.
func Parse(file string, data []byte) (Entry, error) {
	e := Default()
	doc := tomlfile.Decode(file, data, &e)
	doc.Check(append(tomlfile.Validate(e), e.check()...))
	if err := doc.Err(); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// check returns the problems that concern several values or the platform URL.
func (e Entry) check() []tomlfile.Problem {
	var problems []tomlfile.Problem
	keyByAddr := make(map[string]string)
	listeners := []struct{ key, addr string }{
		{"listen.caller", e.Listen.Caller},
		{"listen.operator", e.Listen.Operator},
		{"listen.peer", e.Listen.Peer},
	}
	for _, l := range listeners {
		other, inUse := keyByAddr[l.addr]
		if inUse && l.addr != "" {
			problems = append(problems, tomlfile.Problem{Key: l.key, Text: "is the same address as " + other})
		}
		keyByAddr[l.addr] = l.key
	}
	if text := e.Platform.urlProblem(); text != "" {
		problems = append(problems, tomlfile.Problem{Key: "platform.url", Text: text})
	}
	return problems
}

func (p Platform) urlProblem() string {
	if p.URL == "" {
		return ""
	}
	u, err := url.Parse(p.URL)
	if err != nil {
		return "is not a URL"
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return "must begin with http:// or https://"
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Sprintf("must name its host by IP number, not %q", u.Hostname())
	}
	return ""
}
