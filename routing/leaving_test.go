package routing

import (
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

// TestNoNewWorkAfterMark checks that a choice that starts after a host was
// marked as draining is never on that host. Several goroutines choose while the
// hosts are marked and the host list still shows them as live.
func TestNoNewWorkAfterMark(t *testing.T) {
	invariant.SetFatal(true)
	defer invariant.SetFatal(false)
	for _, policy := range []Policy{PolicyDefault, PolicyRoundRobin, PolicyLeastInFlight, PolicyAffinityOnly} {
		t.Run(string(policy), func(t *testing.T) {
			c := qt.New(t)
			f := NewFleet(Options{Policy: policy})
			f.SetHosts(testHosts(30))
			// marked counts the hosts h0, h1, ... that were marked.
			var marked atomic.Int64
			var wg sync.WaitGroup
			for w := range 4 {
				wg.Go(func() {
					req := testRequest()
					req.Hashes = promptHashes(uint64(w), 10)
					for marked.Load() < 20 {
						before := int(marked.Load())
						choice, err := f.Choose(req)
						if err != nil {
							t.Error(err)
							return
						}
						if hostNumber(choice.HostID) < before {
							t.Errorf("chose %s after %d hosts were marked as draining", choice.HostID, before)
						}
						f.Done(choice, Outcome{})
					}
				})
			}
			for i := range 20 {
				c.Check(f.MarkLeaving(testHost(i, "").ID, "1", "notice"), qt.IsTrue)
				marked.Add(1)
				// The list lags and still shows all hosts as live.
				f.SetHosts(testHosts(30))
			}
			wg.Wait()
		})
	}
}

func hostNumber(id string) int {
	n := 0
	for _, digit := range id[1:] {
		n = n*10 + int(digit-'0')
	}
	return n
}

func TestMarkBeforeListed(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	c.Assert(f.MarkLeaving("h0", "1", "peer"), qt.IsTrue)
	f.SetHosts(testHosts(2))
	for range 10 {
		choice, err := f.Choose(testRequest())
		c.Assert(err, qt.IsNil)
		c.Assert(choice.HostID, qt.Equals, "h1")
	}
}

func TestHostListMarksLeaving(t *testing.T) {
	c := qt.New(t)
	notifications := 0
	f := NewFleet(Options{OnLeaving: func(_, _, _ string) { notifications++ }})
	hosts := testHosts(2)
	hosts[0].State = infra.HostLeaving
	f.SetHosts(hosts)
	f.SetHosts(hosts)
	c.Assert(notifications, qt.Equals, 1)
	c.Assert(f.Leaving("h0"), qt.IsTrue)
	c.Assert(f.Endpoints()[0].Leaving, qt.IsTrue)
	c.Assert(f.Endpoints()[0].LeavingReason, qt.Equals, ReasonHostList)
	// A list that still shows the host as live does not remove the mark.
	f.SetHosts(testHosts(2))
	c.Assert(f.Leaving("h0"), qt.IsTrue)
}

func TestLeavingMarkExpiresAfterRetention(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	f := NewFleet(Options{Now: clock.now})
	f.SetHosts(testHosts(2))
	f.MarkLeaving("h0", "", "notice")
	f.SetHosts(testHosts(2)[1:])
	clock.advance(leavingRetention)
	f.SetHosts(testHosts(2))
	c.Assert(f.Leaving("h0"), qt.IsTrue)
	f.SetHosts(testHosts(2)[1:])
	clock.advance(leavingRetention + 1)
	f.SetHosts(testHosts(2)[1:])
	c.Assert(len(f.leavingMarks), qt.Equals, 0)
}
