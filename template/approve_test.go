package template_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// approval is the result of one call of Approve.
type approval struct {
	version uint64
	err     error
}

func (a approval) conflict() *template.ConflictError {
	var conflict *template.ConflictError
	errors.As(a.err, &conflict)
	return conflict
}

func TestOnlyOneOfTwoConcurrentApprovalsSucceeds(t *testing.T) {
	// The latency of the second operator decides which commit arrives first, or
	// whether both arrive together.
	for _, latency := range []time.Duration{0, 5 * time.Millisecond, 10 * time.Millisecond, 15 * time.Millisecond} {
		t.Run(latency.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx := context.Background()
				table := standin.NewTable(1)
				shares := []float64{2, 3}
				links := []*link{newLink(table, 1), newLink(table, 2)}
				results := make(chan approval, len(links))
				_, err := template.NewStore(table, template.StoreOptions{}).Publish(ctx, 0, "ana", small(1))
				c.Assert(err, qt.IsNil)
				drafts := make([]template.Draft, len(links))
				for i, l := range links {
					drafts[i], err = template.NewStore(l, template.StoreOptions{}).Edit(ctx, 1, "ana", small(shares[i]))
					c.Assert(err, qt.IsNil)
				}
				links[0].set(faults{latency: 10 * time.Millisecond})
				links[1].set(faults{latency: latency})
				for i, l := range links {
					go func() {
						version, err := template.NewStore(l, template.StoreOptions{}).Approve(ctx, "agencia", drafts[i].ID, "ana")
						results <- approval{version, err}
					}()
				}
				won, lost := <-results, <-results
				if won.err != nil {
					won, lost = lost, won
				}
				c.Assert(won.err, qt.IsNil)
				c.Assert(won.version, qt.Equals, uint64(2))
				c.Assert(lost.conflict(), qt.IsNotNil, qt.Commentf("%v", lost.err))
				c.Assert(verdict.Of(lost.err), qt.Equals, verdict.NotRun)
				c.Assert(lost.conflict().Theirs, qt.Matches, `~ customers\[kitchen\]\.share: 1 -> [23]\n`)
				c.Assert(lost.conflict().Ours, qt.Not(qt.Equals), lost.conflict().Theirs)
			})
		})
	}
}

func TestSameDraftApprovedTwiceIsOneVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		table := standin.NewTable(1)
		l := newLink(table, 1)
		store := template.NewStore(l, template.StoreOptions{})
		d, err := store.Edit(ctx, 0, "ana", small(1))
		c.Assert(err, qt.IsNil)
		l.set(faults{latency: 5 * time.Millisecond})
		results := make(chan approval, 2)
		for range 2 {
			go func() {
				version, err := store.Approve(ctx, "agencia", d.ID, "ana")
				results <- approval{version, err}
			}()
		}
		c.Assert(<-results, qt.Equals, approval{1, nil})
		c.Assert(<-results, qt.Equals, approval{1, nil})
		version, err := store.Approve(ctx, "agencia", d.ID, "ana")
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))
		history, err := store.History(ctx, "agencia")
		c.Assert(err, qt.IsNil)
		c.Assert(history, qt.HasLen, 1)
	})
}

func TestApproveUnderTableFaults(t *testing.T) {
	const approved = verdict.Ran
	lost := faults{loseRequest: 1}
	tests := []struct {
		name string
		// first holds the faults of the first commit of Approve, and then the
		// faults of all later calls.
		first, then faults
		want        verdict.Verdict
		// head is the version in force 20 s later.
		head uint64
	}{
		{"answer lost, took effect", faults{loseAnswer: 1}, faults{}, approved, 1},
		{"all answers lost", faults{loseAnswer: 1}, faults{loseAnswer: 1}, approved, 1},
		{"request lost once", lost, faults{}, approved, 1},
		{"all requests lost", lost, lost, verdict.MayHaveRun, 0},
		{"delayed by less than the retry delay", faults{loseRequest: 1, late: 50 * time.Millisecond}, lost, approved, 1},
		{"delayed, retry succeeds", faults{loseRequest: 1, late: 10 * time.Second}, faults{}, approved, 1},
		{"delayed, all retries lost", faults{loseRequest: 1, late: 10 * time.Second}, lost, verdict.MayHaveRun, 1},
		{"delayed, then down", faults{loseRequest: 1, late: 10 * time.Second}, faults{down: true}, verdict.MayHaveRun, 1},
		{"lost, then down", lost, faults{down: true}, verdict.MayHaveRun, 0},
		{"took effect, then down", faults{loseAnswer: 1}, faults{down: true}, verdict.MayHaveRun, 1},
		{"took effect, then cut off", faults{loseAnswer: 1}, faults{cut: true}, verdict.MayHaveRun, 1},
		{"down", faults{down: true}, faults{down: true}, verdict.NotRun, 0},
		{"down once", faults{down: true}, faults{}, approved, 1},
		{"cut off", faults{cut: true}, faults{cut: true}, verdict.MayHaveRun, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx := context.Background()
				table := standin.NewTable(1)
				l := newLink(table, 1)
				store := template.NewStore(l, template.StoreOptions{})
				d, err := store.Edit(ctx, 0, "ana", small(1))
				c.Assert(err, qt.IsNil)
				edits := l.commits
				l.onCommit = func(n int) {
					if n == edits+1 {
						l.set(test.first)
					}
				}
				l.afterCommit = func(int) { l.set(test.then) }
				version, err := store.Approve(ctx, "agencia", d.ID, "ana")
				if test.want == approved {
					c.Assert(err, qt.IsNil)
					c.Assert(version, qt.Equals, uint64(1))
				} else {
					c.Assert(err, qt.IsNotNil)
					c.Assert(verdict.Of(err), qt.Equals, test.want, qt.Commentf("%v", err))
				}
				time.Sleep(20 * time.Second)
				l.late.Wait()
				l.onCommit, l.afterCommit = nil, nil
				l.set(faults{})
				head, err := store.Head(ctx, "agencia")
				c.Assert(err, qt.IsNil)
				c.Assert(head.Version, qt.Equals, test.head)
				// A repeated approval must not create a second version.
				version, err = store.Approve(ctx, "agencia", d.ID, "ana")
				c.Assert(err, qt.IsNil)
				c.Assert(version, qt.Equals, uint64(1))
				history, err := store.History(ctx, "agencia")
				c.Assert(err, qt.IsNil)
				c.Assert(history, qt.HasLen, 1)
			})
		})
	}
}

// A commit that arrives after the approval of another operator must have no
// effect.
func TestDelayedApprovalLosesToALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		table := standin.NewTable(1)
		slow := newLink(table, 1)
		first := template.NewStore(slow, template.StoreOptions{})
		second := template.NewStore(table, template.StoreOptions{})
		d, err := first.Edit(ctx, 0, "ana", small(1))
		c.Assert(err, qt.IsNil)
		slow.set(faults{loseRequest: 1, late: 10 * time.Second})
		_, err = first.Approve(ctx, "agencia", d.ID, "ana")
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
		version, err := second.Publish(ctx, 0, "bento", small(2))
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))
		time.Sleep(20 * time.Second)
		slow.late.Wait()
		inForce, err := second.Get(ctx, "agencia", 0)
		c.Assert(err, qt.IsNil)
		c.Assert(inForce.Version, qt.Equals, uint64(1))
		c.Assert(inForce.Customers[0].Share, qt.Equals, 2.0)
	})
}

// refuseBriefly loses the answer of the first commit and makes the table refuse
// calls for the next 50 ms, so that the result of the commit cannot be read
// back immediately.
func refuseBriefly(l *link) {
	l.set(faults{loseAnswer: 1})
	l.afterCommit = func(int) {
		l.afterCommit = nil
		l.set(faults{down: true})
		time.AfterFunc(50*time.Millisecond, func() { l.set(faults{}) })
	}
}

func TestLostAnswerThatCannotBeReadBackAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		l := newLink(standin.NewTable(1), 1)
		store := template.NewStore(l, template.StoreOptions{})
		refuseBriefly(l)
		d, err := store.Edit(ctx, 0, "ana", small(1))
		c.Assert(err, qt.IsNil)
		refuseBriefly(l)
		version, err := store.Approve(ctx, "agencia", d.ID, "ana")
		c.Assert(err, qt.IsNil)
		c.Assert(version, qt.Equals, uint64(1))
	})
}

func TestEditUnderTableFaults(t *testing.T) {
	tests := []struct {
		name string
		f    faults
		ok   bool
		want verdict.Verdict
	}{
		{"answer lost", faults{loseAnswer: 1}, true, verdict.Ran},
		{"request lost", faults{loseRequest: 1}, false, verdict.MayHaveRun},
		{"down", faults{down: true}, false, verdict.NotRun},
		// The head cannot be read, so nothing was written.
		{"cut off", faults{cut: true}, false, verdict.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := newLink(standin.NewTable(1), 1)
				store := template.NewStore(l, template.StoreOptions{})
				l.set(test.f)
				_, err := store.Edit(context.Background(), 0, "ana", small(1))
				c.Assert(err == nil, qt.Equals, test.ok)
				if err != nil {
					c.Assert(verdict.Of(err), qt.Equals, test.want)
				}
			})
		})
	}
}
