package check_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config/check"
)

const testKey = "banfqasnmgkcuyj8pjbv"

// sound returns a configuration without findings.
func sound() *config.Configuration {
	return &config.Configuration{
		Version: 7,
		Routes: []config.Route{{
			Name: "r", Host: "ficu95.example", Prefix: "/a/", Kind: config.Once, Timeout: 12 * time.Second,
			Objective: time.Second, Attempts: 1, Targets: []config.Target{{Service: "s", Weight: 1}},
		}},
		Services: map[string]config.Service{"s": {
			Name: "s", Engine: &config.Engine{Slots: 16}, Scaling: &config.Scaling{Min: 1, Max: 48, Boot: time.Second},
		}},
		Customers: []config.Customer{{
			Name: "c", Keys: []string{testKey}, PerSecond: 1000, Burst: 2000, CountTokens: true, DefaultTokens: 200,
		}},
		Limits: config.Limits{BodyBytes: 4096},
	}
}

// text returns findings as lines.
func text(all []check.Finding) string {
	var lines []string
	for _, f := range all {
		lines = append(lines, fmt.Sprintf("%s: %s: %s", f.Severity, f.Subject, f.Text))
	}
	return strings.Join(lines, "\n")
}

// Guards against faults that are not reported, with the wrong severity, or
// together with findings that are none.
func TestFaultsAreFound(t *testing.T) {
	type c = config.Configuration
	for _, test := range []struct {
		name   string
		change func(*c)
		want   string
	}{
		{"sound", func(*c) {}, ""},
		{"no limits", func(c *c) { c.Customers[0] = config.Customer{Name: "c"}; c.Routes[0].Timeout = 0 }, ""},
		{"missing service", func(c *c) { c.Routes[0].Targets = append(c.Routes[0].Targets, config.Target{Service: "t", Weight: 1}) },
			`error: route r: service "t" is missing`},
		{"no service", func(c *c) { c.Routes[0].Targets = nil },
			"error: route r: has no service\nwarning: service s: no route reaches it"},
		{"weights", func(c *c) { c.Routes[0].Targets[0].Weight = 0 },
			"error: route r: weights sum to 0\nwarning: service s: no route reaches it"},
		{"negative weight", func(c *c) {
			c.Routes[0].Targets = append(c.Routes[0].Targets, config.Target{Service: "s", Weight: -1})
		}, "error: route r: weight -1 of service s is negative"},
		{"negative timeout", func(c *c) { c.Routes[0].Timeout = -1 }, "error: route r: timeout is negative or too large"},
		{"negative objective", func(c *c) { c.Routes[0].Objective = -1 }, "error: route r: latency objective is negative or too large"},
		{"negative start", func(c *c) { c.Services["s"].Scaling.Boot = -1 }, "error: service s: time to start a replica is negative or too large"},
		{"negative attempts", func(c *c) { c.Routes[0].Attempts = -1 }, "error: route r: number of attempts -1 is negative"},
		{"negative slots", func(c *c) { c.Services["s"].Engine.Slots = -1 }, "error: service s: number of slots -1 is negative"},
		{"negative minimum", func(c *c) { c.Services["s"].Scaling.Min = -1 }, "error: service s: bounds of replicas -1 to 48 are negative"},
		{"negative price", func(c *c) { c.Services["s"].Scaling.SpotPrice = -1 }, "error: service s: a price of replicas is negative"},
		{"negative price of a domain", func(c *c) { c.Services["s"].Scaling.DomainPrices = map[string]float64{"a": 1, "b": -1} },
			"error: service s: a price of replicas is negative"},
		{"no name of a route", func(c *c) { c.Routes[0].Name = "" }, "warning: route : has no name"},
		{"no name of a customer", func(c *c) { c.Customers[0].Name = "" }, "warning: customer : has no name"},
		{"negative body size", func(c *c) { c.Limits.BodyBytes = -1 }, "error: limits: body size -1 is negative"},
		{"negative rate", func(c *c) { c.Customers[0].PerSecond = -1 },
			"error: customer c: limit -1 a second, burst 2000 or tokens of a plain request 200 is negative"},
		{"same host and prefix, and name", func(c *c) { c.Routes = append(c.Routes, c.Routes[0]) },
			"warning: route r: another route has the same name\nwarning: route r: never matches: route r has the same host and prefix"},
		{"no first slash", func(c *c) { c.Routes[0].Prefix = "a/" }, `warning: route r: never matches: prefix "a/" doesn't begin with a slash`},
		{"no last slash", func(c *c) { c.Routes[0].Prefix = "/a" }, `warning: route r: prefix "/a" doesn't end with a slash, so it also matches longer names`},
		{"query in the prefix", func(c *c) { c.Routes[0].Prefix = "/a?b/" }, `warning: route r: never matches: prefix "/a?b/" has a character that no path contains`},
		{"upper case", func(c *c) { c.Routes[0].Host = "A.example" },
			`warning: route r: host "A.example" has upper case; clients that send it in lower case don't match`},
		{"unreached service", func(c *c) { c.Services["t"] = config.Service{Name: "t"} }, "warning: service t: no route reaches it"},
		{"key of two customers", func(c *c) { c.Customers = append(c.Customers, config.Customer{Name: "d", Keys: []string{testKey}}) },
			"warning: customer d: API key " + check.KeyHash(testKey) + " is also held by customer c; its requests count for d"},
		{"key given twice", func(c *c) { c.Customers[0].Keys = []string{testKey, testKey} },
			"warning: customer c: API key " + check.KeyHash(testKey) + " is given twice"},
		{"customer given twice", func(c *c) { c.Customers = append(c.Customers, config.Customer{Name: "c"}) },
			"warning: customer c: another customer has the same name"},
		{"empty key", func(c *c) { c.Customers[0].Keys = []string{""} },
			"error: customer c: has an empty API key, so requests without a key count for it"},
		{"timeout under objective", func(c *c) { c.Routes[0].Timeout = time.Millisecond },
			"warning: route r: timeout 1ms is below the latency objective 1s"},
		{"attempts", func(c *c) { c.Routes[0].Attempts = 2 }, "warning: route r: 2 attempts, but its requests may run only once"},
		{"attempts of a resumable stream", func(c *c) {
			c.Routes[0].Kind, c.Routes[0].Resumable, c.Routes[0].Attempts = config.Stream, true, 2
		}, ""},
		{"burst in tokens", func(c *c) { c.Customers[0].Burst = 199 },
			"warning: customer c: burst 199 is below the 200 tokens of a request that doesn't state them"},
		{"burst in requests", func(c *c) { c.Customers[0].CountTokens, c.Customers[0].Burst = false, 0.5 },
			"error: customer c: burst 0.5 is below one request, so no request is admitted"},
		{"min above max", func(c *c) { c.Services["s"].Scaling.Min = 49 }, "warning: service s: minimum of replicas 49 is above the maximum 48"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := sound()
			test.change(c)
			qt.Assert(t, text(check.Configuration(c.Compile())), qt.Equals, test.want)
		})
	}
}

// Guards against warnings about hosts that clients can send.
func TestValidHosts(t *testing.T) {
	for host, valid := range map[string]bool{
		"a": true, "a.example:8080": true, "10.0.0.1": true, "[::1]:80": true, "a_b.example.": true,
		"": false, "*.example": false, "a..b": false, "-a": false, "a:0": false, "a:http": false, "a/b": false,
		"[::1": false, "http://a": false, "ä.example": false, strings.Repeat("a", 64): false, strings.Repeat("a.", 127) + "a": false,
	} {
		c := sound()
		c.Routes[0].Host = host
		qt.Check(t, len(check.Configuration(c.Compile())) == 0, qt.Equals, valid, qt.Commentf("%q", host))
	}
}

// Guards against limits and versions that are lowered unnoticed.
func TestSuccessionIsChecked(t *testing.T) {
	type c = config.Configuration
	for _, test := range []struct {
		name   string
		change func(*c)
		want   string
	}{
		{"same", func(c *c) { c.Version = 7 }, ""},
		{"raised", func(c *c) { c.Customers[0].PerSecond, c.Services["s"].Scaling.Max = 0, 0 }, ""},
		{"old version", func(c *c) { c.Version, c.Routes[0].Urgency = 7, 1 },
			"error: configuration: never takes force: version 7 is not above version 7 in force"},
		{"lower limit", func(c *c) { c.Customers[0].PerSecond, c.Customers[0].Burst = 999, 1999 },
			"warning: customer c: limit 999 a second is lower than the one in force, 1000\nwarning: customer c: burst 1999 is lower than the one in force, 2000"},
		{"fewer replicas", func(c *c) { c.Services["s"].Scaling.Max = 47 },
			"warning: service s: maximum of replicas 47 is lower than the one in force, 48"},
		{"smaller bodies", func(c *c) { c.Limits.BodyBytes = 1 }, "warning: limits: body size 1 is lower than the one in force, 4096"},
	} {
		t.Run(test.name, func(t *testing.T) {
			next := sound()
			next.Version = 8
			test.change(next)
			qt.Assert(t, text(check.Succession(sound().Compile(), next.Compile())), qt.Equals, test.want)
		})
	}
	unlimited, next := sound(), sound()
	unlimited.Customers[0].PerSecond, unlimited.Customers[0].Burst, next.Version = 0, 0, 8
	qt.Assert(t, text(check.Succession(unlimited.Compile(), next.Compile())), qt.Equals,
		"warning: customer c: limit 1000 a second is lower than the one in force, no limit")
}

// Guards against differences that are left out, and against keys in them.
func TestDifferencesAreListed(t *testing.T) {
	next := sound()
	next.Routes[0].Timeout = time.Second
	next.Routes = append(next.Routes, next.Routes[0])
	next.Services = map[string]config.Service{"t": {Name: "t"}}
	next.Customers[0].Keys = []string{"another-key"}
	got := check.Differences(sound().Compile(), next.Compile())
	qt.Assert(t, strings.Contains(fmt.Sprint(got), testKey), qt.IsFalse)
	qt.Assert(t, strings.Contains(fmt.Sprint(got), "another-key"), qt.IsFalse)
	qt.Assert(t, got, qt.DeepEquals, []check.Difference{
		{Change: check.Changed, Subject: "route r", Field: "timeout", Old: "12s", New: "1s"},
		{Change: check.Removed, Subject: "service s", Old: "engine slots 16; replicas 1 to 48; start 1s; reclaimable price 0; prices []"},
		{Change: check.Changed, Subject: "customer c", Field: "keys", Old: check.KeyHash(testKey), New: check.KeyHash("another-key")},
		{Change: check.Added, Subject: "route r (2)", New: "host ficu95.example; prefix /a/; kind once; services s:1; timeout 1s; " +
			"latency objective 1s; urgency 0; attempts 1; public false; resumable false"},
		{Change: check.Added, Subject: "service t", New: "engine slots none; replicas none; start none; reclaimable price none; prices none"},
	})
}

// Guards against idle connections that are closed while a header arrives.
func TestConnectionTimeoutsAreChecked(t *testing.T) {
	const s = time.Second
	qt.Check(t, text(check.ConnectionTimeouts(3*s, 15*s)), qt.Equals, "")
	qt.Check(t, text(check.ConnectionTimeouts(3*s, 0)), qt.Equals, "")
	qt.Check(t, text(check.ConnectionTimeouts(3*s, s)), qt.Equals, "warning: limits: idle timeout 1s is below the header timeout 3s")
	qt.Check(t, text(check.ConnectionTimeouts(-s, s)), qt.Equals, "error: limits: header timeout or idle timeout is negative or too large")
}
