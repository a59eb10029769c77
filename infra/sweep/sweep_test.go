package sweep

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

const testTTL = 8 * time.Hour

func count(t *testing.T, table infra.Table) int {
	rows, err := table.Scan(t.Context(), "row/")
	qt.Assert(t, err, qt.IsNil)
	return len(rows)
}

func put(t *testing.T, table infra.Table, key string) {
	_, err := table.Commit(t.Context(), infra.Write{Key: key, Value: []byte("v"), Expect: infra.ExpectAny})
	qt.Assert(t, err, qt.IsNil)
}

// TestSweep runs two concurrent series of sweepers with different lifetimes
// and faults, and checks that rows are deleted after the TTL and not before.
func TestSweep(t *testing.T) {
	cases := []struct {
		name string
		// life is the time for which each sweeper runs before the next one
		// replaces it.
		life    time.Duration
		faults  standin.TableFaults
		deleted bool
	}{
		{"one sweeper", 100 * testTTL, standin.TableFaults{}, true},
		{"short-lived sweepers", testTTL / 4, standin.TableFaults{}, true},
		{"sweepers too short-lived", testTTL / 100, standin.TableFaults{}, false},
		{"answers lost", 100 * testTTL, standin.TableFaults{LoseAnswer: 0.3, LoseRequest: 0.3}, true},
		{"outage", 100 * testTTL, standin.TableFaults{Outage: true}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				table := standin.NewTable(1)
				ctx, cancel := context.WithCancel(t.Context())
				for i := range 2 {
					go func() {
						time.Sleep(time.Duration(i) * time.Minute)
						for ctx.Err() == nil {
							bounded, end := context.WithTimeout(ctx, tc.life)
							New(table, Options{Name: "test", Prefixes: []string{"row/"}, TTL: testTTL}).Run(bounded)
							end()
						}
					}()
				}
				// A mark exists before the rows are written.
				time.Sleep(testTTL / 2)
				for i := range 250 {
					put(t, table, fmt.Sprintf("row/%d", i))
				}
				put(t, table, "other")
				table.SetFaults(tc.faults)
				time.Sleep(testTTL - time.Second)
				table.SetFaults(standin.TableFaults{})
				c.Assert(count(t, table), qt.Equals, 250)
				put(t, table, "row/7")
				table.SetFaults(tc.faults)
				time.Sleep(testTTL - time.Second)
				table.SetFaults(standin.TableFaults{})
				left := count(t, table)
				if tc.deleted {
					c.Assert(left, qt.Equals, 1)
				} else {
					c.Assert(left, qt.Equals, 250)
				}
				_, ok, _ := table.Get(t.Context(), "other")
				c.Assert(ok, qt.IsTrue)
				cancel()
				synctest.Wait()
			})
		})
	}
}

func TestExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		ctx, cancel := context.WithCancel(t.Context())
		for _, key := range []string{"row/keep", "row/go", "row-extra"} {
			put(t, table, key)
		}
		s := New(table, Options{Name: "test", Prefixes: []string{"row/"}, TTL: testTTL, Expire: func(_ context.Context, row infra.Row) ([]infra.Write, bool) {
			with := infra.Write{Key: "row-extra", Delete: true, Expect: infra.ExpectAny}
			return []infra.Write{with}, row.Key == "row/go"
		}})
		go s.Run(ctx)
		time.Sleep(2 * testTTL)
		for key, want := range map[string]bool{"row/keep": true, "row/go": false, "row-extra": false} {
			_, ok, err := table.Get(t.Context(), key)
			c.Assert(err, qt.IsNil)
			c.Assert(ok, qt.Equals, want, qt.Commentf("%s", key))
		}
		cancel()
		synctest.Wait()
	})
}

func TestShards(t *testing.T) {
	c := qt.New(t)
	all := Shards("row/")
	used := make(map[string]bool)
	for i := range 10_000 {
		shard := Shard("row/", fmt.Sprint(i))
		c.Assert(all, qt.Contains, shard)
		used[shard] = true
	}
	c.Assert(used, qt.HasLen, len(all))
}
