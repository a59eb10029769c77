package template_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// withCustomers returns the shipped template with n customers.
func withCustomers(b *testing.B, n int) *template.Template {
	b.Helper()
	data, err := os.ReadFile("../deployments/karoo-wick/template.toml")
	if err != nil {
		b.Fatal(err)
	}
	t, err := template.Parse("template.toml", data)
	if err != nil {
		b.Fatal(err)
	}
	prototype := t.Customers[0]
	t.Customers = nil
	for i := range n {
		c := prototype
		c.Name = fmt.Sprintf("customer-%d", i)
		sum := sha256.Sum256([]byte(c.Name))
		c.KeySHA256 = hex.EncodeToString(sum[:])
		t.Customers = append(t.Customers, c)
	}
	return t
}

func eachSize(b *testing.B, body func(b *testing.B, t *template.Template)) {
	for _, n := range []int{5, 500} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) { body(b, withCustomers(b, n)) })
	}
}

// BenchmarkApply decodes, validates and indexes a version, as an entry does for
// each new one. It reports the size of an encoded version.
func BenchmarkApply(b *testing.B) {
	eachSize(b, func(b *testing.B, t *template.Template) {
		data, err := template.Encode(t)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			decoded, err := template.Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			template.NewIndex(decoded)
		}
		b.ReportMetric(float64(len(data)), "bytes/version")
	})
}

// BenchmarkPoll reads the head once per iteration, as a watcher does in each
// poll.
func BenchmarkPoll(b *testing.B) {
	table := standin.NewTable(1)
	store := template.NewStore(table, template.StoreOptions{})
	ctx := context.Background()
	if _, err := store.Publish(ctx, 0, "ana", withCustomers(b, 5)); err != nil {
		b.Fatal(err)
	}
	row, _, err := table.Get(ctx, "template/head/karoo-wick")
	if err != nil {
		b.Fatal(err)
	}
	before := table.Counts().Reads
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		if _, err := store.Head(ctx, "karoo-wick"); err != nil {
			b.Fatal(err)
		}
		n++
	}
	b.ReportMetric(float64(table.Counts().Reads-before)/float64(n), "reads/poll")
	b.ReportMetric(float64(len(row.Value)), "bytes/head")
}

// BenchmarkLookup finds the last customer by its key, once with an Index and
// once with a linear search of the list.
func BenchmarkLookup(b *testing.B) {
	eachSize(b, func(b *testing.B, t *template.Template) {
		hash := t.Customers[len(t.Customers)-1].KeySHA256
		index := template.NewIndex(t)
		b.Run("index", func(b *testing.B) {
			for b.Loop() {
				if _, ok := index.CustomerByKey(hash); !ok {
					b.Fatal("not found")
				}
			}
		})
		b.Run("list", func(b *testing.B) {
			for b.Loop() {
				if !searchKey(t, hash) {
					b.Fatal("not found")
				}
			}
		})
	})
}

func searchKey(t *template.Template, hash string) bool {
	for i := range t.Customers {
		if t.Customers[i].KeySHA256 == hash {
			return true
		}
	}
	return false
}

// BenchmarkApprove edits and approves with a table that has no latency.
func BenchmarkApprove(b *testing.B) {
	eachSize(b, func(b *testing.B, t *template.Template) {
		table := standin.NewTable(1)
		store := template.NewStore(table, template.StoreOptions{Now: func() time.Time { return time.Time{} }})
		before, n := table.Counts(), uint64(0)
		for b.Loop() {
			if _, err := store.Publish(context.Background(), n, "ana", t); err != nil {
				b.Fatal(err)
			}
			n++
		}
		after := table.Counts()
		b.ReportMetric(float64(after.Writes-before.Writes)/float64(n), "commits/version")
		b.ReportMetric(float64(after.Reads-before.Reads)/float64(n), "reads/version")
	})
}
