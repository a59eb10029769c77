package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// epochClient is the client of a table that compares only the numbers of versions,
// and states its epoch in its answers.
type epochClient struct {
	infra.Table
	table *standin.Table
	epoch *infra.Epoch
}

// observe records the epoch of an answer, and fails if a later one is known.
func (c *epochClient) observe(epoch uint64) error {
	c.epoch.Observe(epoch)
	if c.epoch.Current() > epoch {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "table: %w", errors.New("answer of an earlier epoch"))
	}
	return nil
}

func (c *epochClient) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	epoch := c.table.Epoch().Current()
	row, ok, err := c.Table.Get(ctx, key)
	if err != nil {
		return infra.Row{}, false, err
	}
	if ok {
		epoch = infra.EpochOf(row.Version)
	}
	return row, ok, c.observe(epoch)
}

func (c *epochClient) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	known, now := c.epoch.Current(), c.table.Epoch().Current()
	compared := false
	for i, w := range writes {
		if w.Expect == infra.ExpectAbsent || w.Expect == infra.ExpectAny {
			continue
		}
		if infra.EpochOf(w.Expect) != known {
			return 0, infra.Conflict(w.Key, w.Expect, infra.ExpectAbsent)
		}
		compared = true
		writes[i].Expect = infra.NewVersion(now, infra.CounterOf(w.Expect))
	}
	version, err := c.Table.Commit(ctx, writes...)
	if err != nil {
		c.epoch.Observe(now)
		return 0, err
	}
	if err := c.observe(infra.EpochOf(version)); err != nil {
		return 0, err
	}
	if compared && infra.EpochOf(version) != known {
		return 0, verdict.New(verdict.MayHaveRun, verdict.CodeConflict, "table: %w", errors.New("compared in a later epoch"))
	}
	return version, nil
}

// newRestoredContenders returns contenders for a lease of a table in epoch 1.
func newRestoredContenders(t testing.TB, seed uint64, size int) *contenders {
	cs := newContenders(t, seed, 0)
	cs.table.Restore(cs.table.Copy())
	ctx, cancel := context.WithCancel(context.Background())
	stop := cs.cancel
	cs.cancel = func() { stop(); cancel() }
	for i := range size {
		gate := standin.NewGate(cs.table)
		client := &epochClient{Table: gate, table: cs.table, epoch: infra.NewEpoch()}
		l := New(client, Options{
			Name: "placement", Owner: fmt.Sprintf("e%d", i), Incarnation: "1",
			Duration: testDuration, Margin: testMargin, SuccessorWait: testSuccessorWait, Epoch: client.epoch,
		})
		cs.mu.Lock()
		cs.gates, cs.leases = append(cs.gates, gate), append(cs.leases, l)
		cs.mu.Unlock()
		cs.running.Go(func() { l.Run(ctx) })
	}
	return cs
}

// Guards against two holders of one lease, or of one fencing token, after the table
// has lost a takeover.
func TestTakeoverThatARestoreLosesIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		// first is what becomes of the first holder before the restore, after the copy.
		first, second func(*contenders, int)
	}{
		{"holder runs", func(cs *contenders, h int) { cs.leases[h].Release() }, func(*contenders, int) {}},
		{"holder is paused", func(cs *contenders, h int) { cs.leases[h].Release() }, func(cs *contenders, h int) { cs.gates[h].Pause() }},
		{"holder is killed", func(cs *contenders, h int) { cs.leases[h].Release() }, func(cs *contenders, h int) { cs.gates[h].Kill() }},
		{"its predecessor is back", func(cs *contenders, h int) {
			cs.gates[h].Pause()
			time.Sleep(2 * maxTakeoverTime)
			cs.gates[h].Resume()
		}, func(*contenders, int) {}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cs := newRestoredContenders(t, 1, 3)
				defer cs.close()
				time.Sleep(2 * maxTakeoverTime)
				first := cs.currentHolder()
				qt.Assert(t, first, qt.Not(qt.Equals), -1)
				taken := cs.table.Copy()
				test.first(cs, first)
				time.Sleep(testDuration)
				second := cs.currentHolder()
				qt.Assert(t, second != first && second >= 0, qt.IsTrue)
				fence, _ := cs.leases[second].Held()
				cs.table.Restore(taken)
				test.second(cs, second)
				time.Sleep(2 * maxTakeoverTime)
				after := cs.currentHolder()
				qt.Assert(t, after, qt.Not(qt.Equals), -1)
				next, _ := cs.leases[after].Held()
				qt.Check(t, next > fence, qt.IsTrue, qt.Commentf("fence %d after %d", next, fence))
			})
		})
	}
}

// Guards against a holder that loses its lease to a restore although it runs.
func TestHolderTakesItsLeaseAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cs := newRestoredContenders(t, 1, 3)
		defer cs.close()
		empty := cs.table.Copy()
		time.Sleep(2 * maxTakeoverTime)
		holder := cs.currentHolder()
		qt.Assert(t, holder, qt.Not(qt.Equals), -1)
		cs.table.Restore(empty)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			qt.Check(t, cs.currentHolder(), qt.Equals, holder)
		}
	})
}

// TestRandomRestores injects random faults and restores while observe checks the
// holds.
func TestRandomRestores(t *testing.T) {
	changes, restores := 0, 0
	for seed := range *seeds {
		synctest.Test(t, func(t *testing.T) {
			cs := newRestoredContenders(t, uint64(seed), 4)
			defer cs.close()
			rng := rand.New(rand.NewPCG(uint64(seed), 4))
			taken := cs.table.Copy()
			for range 60 {
				time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				switch rng.IntN(6) {
				case 0, 1:
					taken = cs.table.Copy()
				case 2:
					cs.table.Restore(taken)
					taken = cs.table.Copy()
					restores++
				default:
					injectRandomFault(cs, rng)
				}
			}
			cs.table.SetFaults(standin.TableFaults{})
			for _, gate := range cs.gates {
				gate.Resume()
			}
			time.Sleep(3 * maxTakeoverTime)
			if cs.currentHolder() < 0 {
				t.Errorf("seed %d: nobody holds the lease after all faults", seed)
			}
			cs.mu.Lock()
			defer cs.mu.Unlock()
			changes += cs.holderChanges
		})
	}
	t.Logf("%d seeds: %d restores, %d changes of holder", *seeds, restores, changes)
}
