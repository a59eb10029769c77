package job

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// TestAdoptionIsRateLimited kills the owner of 1000 requests and checks the
// rates of reads and writes while eight entries adopt them.
func TestAdoptionIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const requests = 1000
		table := standin.NewTable(1)
		table.SetFaults(standin.TableFaults{Latency: 5 * time.Millisecond})
		f := newFleet(t, 1)
		f.table = table
		defer f.close()
		owner := f.start()
		owner.acceptMany(c, requests)
		time.Sleep(time.Second)
		for range 8 {
			f.start()
		}
		time.Sleep(5 * time.Second)
		before := table.Counts()
		f.kill(owner)
		var peakReads, peakWrites, seconds uint64
		for adoptedRequests(f) < requests {
			last := table.Counts()
			time.Sleep(time.Second)
			now := table.Counts()
			peakReads = max(peakReads, now.Reads-last.Reads)
			peakWrites = max(peakWrites, now.Writes-last.Writes)
			seconds++
			c.Assert(seconds < 60, qt.IsTrue, qt.Commentf("%d adopted", adoptedRequests(f)))
		}
		after := table.Counts()
		t.Logf("%d requests adopted by 8 entries in %d s, %d reads and %d writes in all, at most %d reads and %d writes in a second",
			requests, seconds, after.Reads-before.Reads, after.Writes-before.Writes, peakReads, peakWrites)
		c.Assert(peakReads <= 2000, qt.IsTrue)
		c.Assert(peakWrites <= 400, qt.IsTrue)
		// Adoption reads each record and each prompt once, besides the scans:
		// different entries do not try to claim the same request.
		c.Assert(after.Reads-before.Reads <= 2*requests+500, qt.IsTrue)
		time.Sleep(maxAdoptionTime)
		rows, err := table.Scan(t.Context(), key(markPrefix, owner.id))
		c.Assert(err, qt.IsNil)
		c.Assert(rows, qt.HasLen, 0, qt.Commentf("mark of the failed owner"))
	})
}

// TestSingleAdopterIsRateLimited checks the rate of claims while a single live
// entry adopts many requests.
func TestSingleAdopterIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			requests  = 600
			perSecond = 50
		)
		f := newFleet(t, 1)
		f.claimsPerSecond = perSecond
		defer f.close()
		owner := f.start()
		owner.acceptMany(c, requests)
		f.start()
		time.Sleep(time.Second)
		f.kill(owner)
		last := 0
		for range 30 {
			time.Sleep(time.Second)
			now := adoptedRequests(f)
			c.Assert(now-last <= perSecond+defaultParallelClaims, qt.IsTrue, qt.Commentf("%d in a second", now-last))
			last = now
		}
		c.Assert(last, qt.Equals, requests)
	})
}

// TestMarkDeletionIsConditional checks that a mark is not deleted if its
// process has accepted a request since the mark was read.
func TestMarkDeletionIsConditional(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		defer f.close()
		owner, other := f.start(), f.start()
		c.Assert(owner.accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
		time.Sleep(maxAdoptionTime)
		mark, _, err := f.table.Get(t.Context(), key(markPrefix, owner.id, "1"))
		c.Assert(err, qt.IsNil)
		c.Assert(owner.accept(t.Context(), newRequest("karoo", "r2")), qt.IsNil)
		NewAdopter(other.store, AdopterOptions{Members: f}).deleteMark(t.Context(), mark)
		f.kill(owner)
		time.Sleep(2 * maxAdoptionTime)
		checkAccepted(c, other.store, "r2", nil)
	})
}

// adoptedRequests returns the number of requests that were claimed.
func adoptedRequests(f *fleet) int {
	rows, err := f.table.Scan(f.t.Context(), jobPrefix)
	if err != nil {
		return 0
	}
	n := 0
	for _, row := range rows {
		var r Record
		if decode(row.Value, &r) == nil && r.Fence > 1 {
			n++
		}
	}
	return n
}

// TestAcceptAfterMarkDeletion checks that an entry which the others considered
// failed, and whose mark they deleted, can accept requests again.
func TestAcceptAfterMarkDeletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(t, 1)
		defer f.close()
		owner, other := f.start(), f.start()
		c.Assert(owner.accept(t.Context(), newRequest("karoo", "r1")), qt.IsNil)
		time.Sleep(maxAdoptionTime)
		f.setSeemsFailed(owner, true)
		time.Sleep(maxAdoptionTime)
		c.Assert(owner.accept(t.Context(), newRequest("karoo", "r2")), qt.IsNil)
		f.kill(owner)
		time.Sleep(maxAdoptionTime)
		checkAccepted(c, other.store, "r2", nil)
	})
}

// acceptMany accepts requests that the entry does not run.
func (e *entry) acceptMany(c *qt.C, requests int) {
	for i := range requests {
		e.running.Go(func() {
			c.Check(e.store.Accept(c.Context(), newRequest("karoo", fmt.Sprint(i))), qt.IsNil)
		})
	}
}
