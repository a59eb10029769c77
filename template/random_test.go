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

// Sizes of a randomised run.
const (
	randomEntries   = 5
	randomOperators = 3
	randomTime      = 90 * time.Second
	sampleEvery     = 50 * time.Millisecond
)

// Several entries and operators, with faults drawn from the seed: outages,
// partitions of single entries, restarts, and commits that are lost, late or
// whose answers are lost. A failing seed is run alone with
// -run 'TestRandomised/seed_N$'.
func TestRandomised(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, func(c *qt.C, f *fleet) {
				r := &randomRun{c: c, f: f, rng: rand.New(rand.NewPCG(seed, 1)), drafts: make(map[string]verdict.Verdict)}
				r.run()
			})
		})
	}
}

// approvalSeen is when a sample first showed a version in the table.
type approvalSeen struct {
	version uint64
	at      time.Time
}

type randomRun struct {
	c   *qt.C
	f   *fleet
	rng *rand.Rand

	outage bool
	// disturbed is when entries last may have had a reason to differ from the
	// head: an outage of the table.
	disturbed time.Time
	seen      []approvalSeen

	mu sync.Mutex
	// drafts holds what the operators were told of each draft.
	drafts map[string]verdict.Verdict
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
	next := time.Now()
	for ctx.Err() == nil {
		if !time.Now().Before(next) {
			r.disturb(links)
			next = time.Now().Add(time.Duration(r.rng.IntN(4000)) * time.Millisecond)
		}
		r.sample(last)
		time.Sleep(sampleEvery)
	}
	operators.Wait()
	for _, l := range links {
		l.late.Wait()
	}
	r.settle()
}

// disturb changes one fault.
func (r *randomRun) disturb(links []*link) {
	id := name(r.rng.IntN(randomEntries))
	switch r.rng.IntN(8) {
	case 0, 1:
		r.outage = !r.outage
		r.heal()
	case 2, 3:
		r.f.isolate(id, !r.f.alone[id])
		if !r.f.alone[id] {
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

// heal gives every entry that is not isolated the faults of the moment.
func (r *randomRun) heal() {
	for i := range randomEntries {
		if id := name(i); !r.f.alone[id] {
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
		told := verdict.Ran
		if err != nil {
			told = verdict.Of(err)
		} else if version != head.Version+1 {
			r.c.Errorf("draft on version %d approved as %d", head.Version, version)
		}
		r.mu.Lock()
		r.drafts[d.ID] = told
		r.mu.Unlock()
	}
}

// sample checks what must hold at every moment.
func (r *randomRun) sample(last map[*entry]uint64) {
	now := time.Now()
	head := r.head()
	if n := len(r.seen); n == 0 || r.seen[n-1].version < head {
		r.seen = append(r.seen, approvalSeen{head, now})
	}
	if r.outage {
		r.disturbed = now
	}
	r.f.mu.Lock()
	defer r.f.mu.Unlock()
	for id, e := range r.f.entries {
		version := e.w.Version()
		if version < last[e] {
			r.c.Errorf("%s went back from %d to %d", id, last[e], version)
		}
		if version > head {
			r.c.Errorf("%s runs %d, approved is %d", id, version, head)
		}
		last[e] = version
		if e.w.Fresh() && version < r.due(now) {
			r.c.Errorf("%s takes new work with version %d, due is %d", id, version, r.due(now))
		}
	}
}

// due is the version that must be in force wherever new work is taken. During
// an outage of the table, and until entries had time to read it after, no
// entry can know what was approved just before.
func (r *randomRun) due(now time.Time) uint64 {
	if now.Sub(r.disturbed) <= template.ConvergenceBound {
		return 0
	}
	due := uint64(0)
	for _, s := range r.seen {
		if now.Sub(s.at) > template.ConvergenceBound {
			due = s.version
		}
	}
	return due
}

// settle ends all faults, and checks what must hold in the end.
func (r *randomRun) settle() {
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
	for id, told := range r.drafts {
		c.Check(told == verdict.NotRun && inForce[id], qt.IsFalse, qt.Commentf("draft %s: told not_run, but came into force", id))
		c.Check(told == verdict.Ran && !inForce[id], qt.IsFalse, qt.Commentf("draft %s: told approved, but is not in the history", id))
	}
}

// head returns the version in force, past all faults.
func (r *randomRun) head() uint64 {
	head, err := template.NewStore(r.f.table, template.StoreOptions{}).Head(context.Background(), "agencia")
	r.c.Assert(err, qt.IsNil)
	return head.Version
}

func name(i int) string { return fmt.Sprintf("entry-%d", i) }
