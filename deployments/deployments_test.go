// Package deployments_test checks the shipped settings and templates.
package deployments_test

import (
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"regexp"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

var deployments = []string{"karoo-wick", "agencia-nordestina"}

// urgentTarget is the deadline that urgent kinds must have, which limits the
// time to the first token.
const urgentTarget = 460 * time.Millisecond

func TestEntriesCoverThreeFailureDomains(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			files, err := filepath.Glob(filepath.Join(name, "entry-*.toml"))
			c.Assert(err, qt.IsNil)
			domains := make(map[string]bool)
			addresses := make(map[string]bool)
			for _, file := range files {
				e, err := settings.Load(file)
				c.Assert(err, qt.IsNil)
				c.Assert(e.Deployment, qt.Equals, name)
				c.Assert(filepath.Base(file), qt.Equals, "entry-"+e.FailureDomain+".toml")
				domains[e.FailureDomain] = true
				addresses[e.Listen.Caller] = true
			}
			c.Assert(domains, qt.HasLen, 3)
			c.Assert(addresses, qt.HasLen, 3)
		})
	}
}

func TestTemplatesCoverEachKindOfRequest(t *testing.T) {
	kinds := map[string][]string{
		"karoo-wick":         {"dealer-question", "restock-plan", "refill-order", "stock-query"},
		"agencia-nordestina": {"attendant-question", "report-summary", "reservation", "pickup", "lot-query"},
	}
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tmpl := load(c, name)
			c.Assert(tmpl.Name, qt.Equals, name)
			c.Assert(tmpl.Customers, qt.HasLen, 5)
			c.Assert(tmpl.Kinds, qt.HasLen, len(kinds[name]))
			for _, kind := range kinds[name] {
				_, ok := tmpl.Kind(kind)
				c.Assert(ok, qt.IsTrue, qt.Commentf("%s", kind))
			}
			for _, k := range tmpl.Kinds {
				if k.Urgency == template.UrgencyUrgent {
					c.Assert(k.Deadline.Std(), qt.Equals, urgentTarget)
				}
			}
		})
	}
	c := qt.New(t)
	karoo, agencia := load(c, deployments[0]), load(c, deployments[1])
	c.Assert(karoo.Weights.Cost > karoo.Weights.Recomputed, qt.IsTrue)
	c.Assert(agencia.Weights.Recomputed > agencia.Weights.Cost, qt.IsTrue)
}

// The keys in each README must be those whose hashes are in the shipped files.
func TestReadmeKeysMatchTheHashes(t *testing.T) {
	row := regexp.MustCompile("(?m)^\\| ([a-z-]+) \\| `(dev-[a-z-]+)` \\|$")
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			readme, err := os.ReadFile(filepath.Join(name, "README.md"))
			c.Assert(err, qt.IsNil)
			hashes := make(map[string]string)
			for _, m := range row.FindAllStringSubmatch(string(readme), -1) {
				sum := sha256.Sum256([]byte(m[2]))
				hashes[m[1]] = hex.EncodeToString(sum[:])
			}
			tmpl := load(c, name)
			c.Assert(hashes, qt.HasLen, len(tmpl.Customers)+1)
			for _, customer := range tmpl.Customers {
				c.Assert(hashes[customer.Name], qt.Equals, customer.KeySHA256)
			}
			files, err := filepath.Glob(filepath.Join(name, "entry-*.toml"))
			c.Assert(err, qt.IsNil)
			for _, file := range files {
				e, err := settings.Load(file)
				c.Assert(err, qt.IsNil)
				c.Assert(hashes["operators"], qt.Equals, e.OperatorKeySHA256)
			}
		})
	}
}

func load(c *qt.C, name string) *template.Template {
	file := filepath.Join(name, "template.toml")
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	tmpl, err := template.Parse(file, data)
	c.Assert(err, qt.IsNil)
	return tmpl
}
