package template_test

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// valid is a small valid template. The tests below refer to its line numbers.
const valid = `name = "agencia"
[weights]
cost = 1.0
recomputed = 3.0
[[models]]
name = "triage"
version = "1"
min_replicas = 2
max_replicas = 4
[[services]]
name = "market"
[[services.routes]]
method = "POST"
path = "/reservations"
kind = "reservation"
[[kinds]]
name = "summary"
urgency = "normal"
deadline = "10s"
delivery = "durable"
outage = "refuse"
model = "triage"
max_tokens = 100
[[kinds]]
name = "reservation"
urgency = "normal"
deadline = "2s"
delivery = "attached"
[[customers]]
name = "kitchen"
key_sha256 = "` + kitchenKey + `"
share = 1.0
tokens_per_second = 100.0
burst_tokens = 1000.0
cost_per_hour = 1.0
kinds = ["summary", "reservation"]
model_versions = { triage = "2" }
`

// secondCustomer is another customer, which starts at line 38 of
// valid+secondCustomer.
const secondCustomer = `[[customers]]
name = "market"
key_sha256 = "` + marketKey + `"
share = 1.0
tokens_per_second = 100.0
burst_tokens = 1000.0
`

func TestParseFaults(t *testing.T) {
	// Each edit of the valid template must give exactly these faults.
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown key", "share = 1.0", "share = 1.0\nshares = 2.0", []string{"33: customers[0].shares: unknown key"}},
		{"unknown table", "[weights]", "[weighs]", []string{"2: weighs: unknown key"}},
		{"unknown key of an inline table", `model_versions = { triage = "2" }`, `models = { triage = "2" }`, []string{"37: customers[0].models: unknown key"}},
		{"no name", `name = "agencia"`, "", []string{"1: name: is missing"}},
		{"name with a slash", "agencia", "a/b", []string{"1: name: must be 1 to 64"}},
		{"negative weight", "cost = 1.0", "cost = -1.0", []string{"3: weights.cost: must be at least 0"}},
		{"infinite weight", "cost = 1.0", "cost = inf", []string{"3: weights.cost: must be a finite number"}},
		{"fewer replicas at most than at least", "max_replicas = 4", "max_replicas = 1", []string{"9: models[0].max_replicas: must be at least min_replicas"}},
		{"model twice", "[[services]]", "[[models]]\nname = \"triage\"\nversion = \"1\"\n[[services]]", []string{`11: models[1].name: "triage" stands twice`}},
		{"route in lower case", "POST", "post", []string{"13: services[0].routes[0].method: must be in upper case"}},
		{"route without slash", "/reservations", "reservations", []string{"14: services[0].routes[0].path: must begin with /"}},
		{"route with a star inside", "/reservations", "/*/reservations", []string{"14: services[0].routes[0].path: may have * at its end only"}},
		{"route of an unknown kind", `kind = "reservation"`, `kind = "booking"`, []string{`15: services[0].routes[0].kind: unknown kind "booking"`}},
		{"route of a model's kind", `kind = "reservation"`, `kind = "summary"`, []string{`15: services[0].routes[0].kind: kind "summary" is answered by a model`}},
		{"route twice", "[[kinds]]", "[[services.routes]]\nmethod = \"POST\"\npath = \"/reservations\"\n[[kinds]]", []string{`18: services[0].routes[1].path: "POST /reservations" stands twice`}},
		{"service twice", "[[kinds]]", "[[services]]\nname = \"market\"\n[[kinds]]", []string{`17: services[1].name: "market" stands twice`}},
		{"unknown urgency", `urgency = "normal"`, `urgency = "soon"`, []string{"18: kinds[0].urgency: must be one of: urgent, normal, patient"}},
		{"no deadline", `deadline = "10s"`, "", []string{"16: kinds[0].deadline: must be more than 0"}},
		{"deadline without a unit", `deadline = "10s"`, `deadline = "10"`, []string{"19: kinds[0].deadline: "}},
		{"deadline as a number", `deadline = "10s"`, `deadline = 10`, []string{"19: kinds[0].deadline: must be text in quotes"}},
		{"unknown delivery", `delivery = "durable"`, `delivery = "mail"`, []string{
			"20: kinds[0].delivery: must be one of: attached, durable", "21: kinds[0].outage: applies to durable kinds only"}},
		{"durable without outage policy", `outage = "refuse"`, "", []string{"16: kinds[0].outage: a durable kind needs an outage policy"}},
		{"unknown outage policy", `outage = "refuse"`, `outage = "wait"`, []string{"21: kinds[0].outage: must be one of: refuse, attached"}},
		{"attached with outage policy", `delivery = "attached"`, "delivery = \"attached\"\noutage = \"refuse\"", []string{"29: kinds[1].outage: applies to durable kinds only"}},
		{"durable without a model", `delivery = "attached"`, "delivery = \"durable\"\noutage = \"refuse\"", []string{"28: kinds[1].delivery: a durable kind needs a model"}},
		{"unknown model", `model = "triage"`, `model = "other"`, []string{`22: kinds[0].model: unknown model "other"`}},
		{"model without tokens", "max_tokens = 100", "", []string{"16: kinds[0].max_tokens: a kind with a model needs at least 1"}},
		{"tokens without a model", `delivery = "attached"`, "delivery = \"attached\"\nmax_tokens = 1", []string{"29: kinds[1].max_tokens: a kind without a model has no tokens"}},
		{"too many retries", "max_tokens = 100", "max_tokens = 100\nretries = 11", []string{"24: kinds[0].retries: must be at most 10"}},
		{"kind twice", `name = "reservation"`, `name = "summary"`, []string{
			`15: services[0].routes[0].kind: unknown kind "reservation"`, `25: kinds[1].name: "summary" stands twice`, `36: customers[0].kinds[1]: unknown kind "reservation"`}},
		{"short hash", kitchenKey, kitchenKey[1:], []string{"31: customers[0].key_sha256: must be the SHA-256"}},
		{"no share", "share = 1.0", "share = 0.0", []string{"32: customers[0].share: must be more than 0"}},
		{"share not a number", "share = 1.0", "share = nan", []string{"32: customers[0].share: must be more than 0"}},
		{"unknown kind of a customer", `["summary", "reservation"]`, `["summary", "booking"]`, []string{`36: customers[0].kinds[1]: unknown kind "booking"`}},
		{"unknown kind on a line of its own", `["summary", "reservation"]`, "[\n\"summary\",\n\"booking\",\n]", []string{`38: customers[0].kinds[1]: unknown kind "booking"`}},
		{"kind of a customer twice", `["summary", "reservation"]`, `["summary", "summary"]`, []string{`36: customers[0].kinds[1]: "summary" stands twice`}},
		{"version of an unknown model", `{ triage = "2" }`, `{ other = "2" }`, []string{`37: customers[0].model_versions.other: unknown model "other"`}},
		{"empty version of a model", `{ triage = "2" }`, `{ triage = "" }`, []string{`37: customers[0].model_versions.triage: is empty`}},
		{"customer twice", secondCustomer, strings.Replace(secondCustomer, `"market"`, `"kitchen"`, 1), []string{`39: customers[1].name: "kitchen" stands twice`}},
		{"two customers with one key", secondCustomer, strings.Replace(secondCustomer, marketKey, kitchenKey, 1), []string{`40: customers[1].key_sha256: is also the key of "kitchen"`}},
		{"several at once", "share = 1.0", "share = \"much\"\ntokens = 1", []string{"32: customers[0].share: ", "33: customers[0].tokens: unknown key"}},
		{"not TOML", "[weights]", "[weights", []string{"2: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(valid+secondCustomer, test.old, test.new, 1)
			c.Assert(text, qt.Not(qt.Equals), valid+secondCustomer)
			_, err := template.Parse("f.toml", []byte(text))
			var faults template.Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(faults, qt.HasLen, len(test.want), qt.Commentf("%v", err))
			for i, f := range faults {
				got := fmt.Sprintf("%d: %s: %s", f.Line, f.Key, f.Text)
				c.Check(strings.HasPrefix(got, test.want[i]), qt.IsTrue, qt.Commentf("got %q, want %q", got, test.want[i]))
			}
		})
	}
}

func TestFormatIsReadBack(t *testing.T) {
	for _, file := range []string{"../deployments/karoo-wick/template.toml", "../deployments/agencia-nordestina/template.toml"} {
		c := qt.New(t)
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		first, err := template.Parse(file, data)
		c.Assert(err, qt.IsNil)
		text, err := template.Format(first)
		c.Assert(err, qt.IsNil)
		again, err := template.Parse("formatted", text)
		c.Assert(err, qt.IsNil)
		c.Assert(template.Diff(first, again), qt.Equals, "")
	}
}

func TestDiffNamesWhatChanged(t *testing.T) {
	c := qt.New(t)
	before, err := template.Parse("f.toml", []byte(valid))
	c.Assert(err, qt.IsNil)
	edited := strings.NewReplacer(`deadline = "10s"`, `deadline = "9s"`, `"summary", "reservation"`, `"summary"`,
		"path = \"/reservations\"", "path = \"/reservations\"\nrepeatable = true", `{ triage = "2" }`, `{}`).Replace(valid) + secondCustomer
	after, err := template.Parse("f.toml", []byte(edited))
	c.Assert(err, qt.IsNil)
	c.Assert(template.Diff(before, after), qt.Equals, `- customers[kitchen].kinds[reservation]: listed
- customers[kitchen].model_versions.triage: "2"
+ customers[market].burst_tokens: 1000
+ customers[market].cost_per_hour: 0
+ customers[market].key_sha256: "`+marketKey+`"
+ customers[market].name: "market"
+ customers[market].share: 1
+ customers[market].tokens_per_second: 100
~ kinds[summary].deadline: 10s -> 9s
~ services[market].routes[POST /reservations].repeatable: false -> true
`)
	c.Assert(template.Diff(after, after), qt.Equals, "")
}

// For any input, Parse must return either a valid template or Faults with line
// numbers.
func TestParseOfDamagedFiles(t *testing.T) {
	document := valid + secondCustomer
	rapid.Check(t, func(r *rapid.T) {
		from := rapid.IntRange(0, len(document)).Draw(r, "from")
		to := rapid.IntRange(from, min(len(document), from+40)).Draw(r, "to")
		filler := rapid.StringMatching(`[a-z0-9 \[\]{}="',.\n#]{0,12}`).Draw(r, "filler")
		tmpl, err := template.Parse("f.toml", []byte(document[:from]+filler+document[to:]))
		if err == nil {
			if err := template.Validate(tmpl); err != nil {
				r.Fatalf("accepted: %v", err)
			}
			return
		}
		var faults template.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			r.Fatalf("not Faults: %v", err)
		}
		for _, f := range faults {
			if f.Line < 1 {
				r.Fatalf("no line: %v", f)
			}
		}
	})
}

func TestDecodeAcceptsOnlyCompleteTemplates(t *testing.T) {
	c := qt.New(t)
	tmpl, err := template.Parse("f.toml", []byte(valid))
	c.Assert(err, qt.IsNil)
	data, err := template.Encode(tmpl)
	c.Assert(err, qt.IsNil)
	_, err = template.Decode(data)
	c.Assert(err, qt.IsNil)
	for _, damaged := range []string{
		string(data[:len(data)/2]),
		string(data) + "{}",
		strings.Replace(string(data), `"share":1`, `"share":0`, 1),
		strings.Replace(string(data), `"weights"`, `"weighs"`, 1),
		"{}", "null", "",
	} {
		_, err := template.Decode([]byte(damaged))
		c.Check(errors.Is(err, template.ErrInvalid), qt.IsTrue, qt.Commentf("%v of %s", err, damaged))
	}
}
