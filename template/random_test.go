package template_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Parameters of a randomised run.
const (
	randomEntries   = 5
	randomOperators = 3
	randomTime      = 90 * time.Second
	sampleEvery     = 50 * time.Millisecond
)

// TestRandomised runs several entries and operators with faults drawn from the
// seed: table outages, partitions of single entries, restarts, and commits that
// are lost, delayed or whose answers are lost. To rerun one seed, use -run
// 'TestRandomised/seed_N$'.
func TestRandomised(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(c *qt.C, f *fleet) {
				r := &randomRun{c: c, f: f, rng: rand.New(rand.NewPCG(seed, 1)), outcomes: make(map[string]verdict.Verdict)}
				r.run()
			})
		})
	}
}

// observedApproval is a version and the time at which a sample first found it
// in the table.
type observedApproval struct {
	version uint64
	at      time.Time
}

type randomRun struct {
	c   *qt.C
	f   *fleet
	rng *rand.Rand

	outage bool
	// lastOutage is the last time at which the table was down, so that entries
	// may have differed from the head.
	lastOutage time.Time
	approvals  []observedApproval

	mu sync.Mutex
	// outcomes maps each draft to the verdict that its operator received.
	outcomes map[string]verdict.Verdict
}

func (r *randomRun) run() {
	r.f.publish(0, 1)
	for i := range randomEntries {
		r.f.start(name(i), r.entryFaults())
	}
	ctx, cancel := context.WithTimeout(context.Background(), randomTime)
	defer cancel()
	var operators sync.WaitGroup
	links := make([]*link, randomOperators)
	for i := range links {
		links[i] = newLink(r.f.table, r.rng.Uint64())
		rng := rand.New(rand.NewPCG(r.rng.Uint64(), 2))
		operators.Go(func() { r.operate(ctx, links[i], rng) })
	}
	last := make(map[*entry]uint64)
	nextFault := time.Now()
	for ctx.Err() == nil {
		if !time.Now().Before(nextFault) {
			r.injectFault(links)
			nextFault = time.Now().Add(time.Duration(r.rng.IntN(4000)) * time.Millisecond)
		}
		r.checkInvariants(last)
		time.Sleep(sampleEvery)
	}
	operators.Wait()
	for _, l := range links {
		l.late.Wait()
	}
	r.checkFinalState()
}

// injectFault changes one randomly selected fault.
func (r *randomRun) injectFault(links []*link) {
	id := name(r.rng.IntN(randomEntries))
	switch r.rng.IntN(8) {
	case 0, 1:
		r.outage = !r.outage
		r.updateEntryFaults()
	case 2, 3:
		r.f.isolate(id, !r.f.isolated[id])
		if !r.f.isolated[id] {
			r.f.entries[id].link.set(r.entryFaults())
		}
	case 4, 5:
		r.f.stop(id)
		r.f.start(id, r.entryFaults())
		r.f.isolate(id, false)
		r.f.entries[id].link.set(r.entryFaults())
	default:
		for _, l := range links {
			l.set(r.operatorFaults())
		}
	}
}

// updateEntryFaults applies newly drawn faults to every entry that is not
// isolated.
func (r *randomRun) updateEntryFaults() {
	for i := range randomEntries {
		if id := name(i); !r.f.isolated[id] {
			r.f.entries[id].link.set(r.entryFaults())
		}
	}
}

func (r *randomRun) entryFaults() faults {
	latency := time.Duration(r.rng.IntN(200)) * time.Millisecond
	return faults{down: r.outage, latency: latency}
}

func (r *randomRun) operatorFaults() faults {
	return faults{
		down:        r.outage,
		loseRequest: r.rng.Float64() / 2,
		loseAnswer:  r.rng.Float64() / 2,
		late:        time.Duration(r.rng.IntN(6000)) * time.Millisecond,
		latency:     time.Duration(r.rng.IntN(50)) * time.Millisecond,
	}
}

// operate edits and approves until ctx ends.
func (r *randomRun) operate(ctx context.Context, l *link, rng *rand.Rand) {
	store := template.NewStore(l, template.StoreOptions{})
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
		head, err := store.Head(ctx, "agencia")
		if err != nil {
			continue
		}
		d, err := store.Edit(ctx, head.Version, "ana", small(1+rng.Float64()))
		if err != nil {
			continue
		}
		time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
		version, err := store.Approve(ctx, "agencia", d.ID, "ana")
		outcome := verdict.Ran
		if err != nil {
			outcome = verdict.Of(err)
		} else if version != head.Version+1 {
			r.c.Errorf("draft on version %d approved as %d", head.Version, version)
		}
		r.mu.Lock()
		r.outcomes[d.ID] = outcome
		r.mu.Unlock()
	}
}

// checkInvariants takes one sample and checks the invariants that hold at all
// times.
func (r *randomRun) checkInvariants(last map[*entry]uint64) {
	now := time.Now()
	head := r.head()
	if n := len(r.approvals); n == 0 || r.approvals[n-1].version < head {
		r.approvals = append(r.approvals, observedApproval{head, now})
	}
	if r.outage {
		r.lastOutage = now
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	for id, e := range r.f.entries {
		version := e.w.Version()
		if version < last[e] {
			r.c.Errorf("%s: version decreased from %d to %d", id, last[e], version)
		}
		if version > head {
			r.c.Errorf("%s: version %d in force, but only %d is approved", id, version, head)
		}
		last[e] = version
		if e.w.Fresh() && version < r.requiredVersion(now) {
			r.c.Errorf("%s: fresh with version %d, want at least %d", id, version, r.requiredVersion(now))
		}
	}
}

// requiredVersion returns the lowest version that an entry may have in force
// while it accepts new work. It returns 0 during an outage of the table and for
// ConvergenceBound afterwards, because no entry can then know which version was
// last approved.
func (r *randomRun) requiredVersion(now time.Time) uint64 {
	if now.Sub(r.lastOutage) <= template.ConvergenceBound {
		return 0
	}
	required := uint64(0)
	for _, s := range r.approvals {
		if now.Sub(s.at) > template.ConvergenceBound {
			required = s.version
		}
	}
	return required
}

// checkFinalState removes all faults, waits for the entries to converge and
// checks their versions and the history.
func (r *randomRun) checkFinalState() {
	c := r.c
	r.outage = false
	for i := range randomEntries {
		r.f.isolate(name(i), false)
	}
	time.Sleep(2 * template.ConvergenceBound)
	head := r.head()
	for id, version := range r.f.versions() {
		c.Check(version, qt.Equals, head, qt.Commentf("%s", id))
		c.Check(r.f.entries[id].w.Fresh(), qt.IsTrue, qt.Commentf("%s", id))
	}
	history, err := template.NewStore(r.f.table, template.StoreOptions{}).History(context.Background(), "agencia")
	c.Assert(err, qt.IsNil)
	c.Assert(history, qt.HasLen, int(head))
	inForce := make(map[string]bool)
	for i, e := range history {
		c.Check(e.Version, qt.Equals, uint64(i+1))
		c.Check(e.Base, qt.Equals, uint64(i))
		c.Check(inForce[e.DraftID], qt.IsFalse)
		inForce[e.DraftID] = true
	}
	for id, outcome := range r.outcomes {
		c.Check(outcome == verdict.NotRun && inForce[id], qt.IsFalse, qt.Commentf("draft %s: verdict is not_run, but it came into force", id))
		c.Check(outcome == verdict.Ran && !inForce[id], qt.IsFalse, qt.Commentf("draft %s: approval succeeded, but it is not in the history", id))
	}
}

// head returns the version in force, read without faults.
func (r *randomRun) head() uint64 {
	head, err := template.NewStore(r.f.table, template.StoreOptions{}).Head(context.Background(), "agencia")
	r.c.Assert(err, qt.IsNil)
	return head.Version
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }
