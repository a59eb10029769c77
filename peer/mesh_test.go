package peer_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

func bubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, f)
}

func notice(host string) drain.Notice {
	return drain.Notice{HostID: host, Incarnation: "1", FailureDomain: "domain-0", Reason: drain.ReasonReclaim}
}

func TestMeshPropagates(t *testing.T) {
	for _, size := range []int{3, 9, 40} {
		inBubble(t, size, func(cl *cluster) {
			first, last := cl.nodes[0], cl.nodes[size-1]

			first.mesh.BroadcastNotice(notice("host-1"))
			cl.within(2*time.Second, "notice", func() bool { return cl.allHaveNotice("host-1", "1") })

			last.apply("karoo", 7)
			cl.within(4*time.Second, "template version", func() bool {
				for _, n := range cl.nodes {
					if n.version("karoo") != 7 {
						return false
					}
				}
				return true
			})

			first.mesh.Publish(peer.EntryState{Demand: map[string]peer.Demand{"dealer": {TokensPerSecond: 120, SpendPerHour: 3}}})
			cl.within(60*time.Second, "demand", func() bool {
				for _, n := range cl.nodes[1:] {
					if n.demandOf(first.id, "dealer").TokensPerSecond != 120 {
						return false
					}
				}
				return true
			})
		})
	}
}

func TestNoticesAndVersionsDontWaitForTheStateUpdate(t *testing.T) {
	for _, size := range []int{9, 60} {
		inBubble(t, size, func(cl *cluster) {
			for i := range 5 {
				time.Sleep(3 * time.Second)
				host := fmt.Sprint("host-", i)
				cl.nodes[i].mesh.BroadcastNotice(notice(host))
				cl.within(400*time.Millisecond, "notice", func() bool { return cl.allHaveNotice(host, "1") })
				cl.nodes[i].apply("karoo", uint64(i+1))
				cl.within(400*time.Millisecond, "version", func() bool {
					for _, n := range cl.nodes {
						if n.version("karoo") != uint64(i+1) {
							return false
						}
					}
					return true
				})
			}
		})
	}
}

func TestBurstOfNoticesGoesInFewMessages(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		sent := func() (sum uint64) {
			for _, n := range cl.nodes {
				sum += n.mesh.Traffic().SentMessages
			}
			return sum
		}
		before := sent()
		for i := range 240 {
			cl.nodes[0].mesh.BroadcastNotice(notice(fmt.Sprint("host-", i)))
			time.Sleep(2 * time.Millisecond)
		}
		cl.within(time.Second, "last notice", func() bool { return cl.allHaveNotice("host-239", "1") })
		cl.c.Assert(sent()-before < 9*8*15, qt.IsTrue, qt.Commentf("%d messages", sent()-before))
	})
}

func TestCallsToPeers(t *testing.T) {
	inBubble(t, 20, func(cl *cluster) {
		c, first := cl.c, cl.nodes[0]
		first.apply("karoo", 3)
		for _, n := range cl.nodes[1:] {
			cl.within(4*time.Second, "template version", func() bool { return n.version("karoo") == 3 })
			body, ok, err := first.mesh.FetchTemplate(context.Background(), n.id, "karoo", 3)
			c.Assert(err, qt.IsNil)
			c.Assert(ok, qt.IsTrue)
			c.Assert(string(body), qt.Equals, `{"name":"karoo"}`)
			_, ok, err = first.mesh.FetchTemplate(context.Background(), n.id, "karoo", 9)
			c.Assert(err, qt.IsNil)
			c.Assert(ok, qt.IsFalse)
			c.Assert(first.mesh.Handoff(context.Background(), n.id, "job-1"), qt.IsNil)
			c.Assert(n.handoffs, qt.DeepEquals, []string{"job-1"})
		}
	})
}

// Requests make reservations at a peer before they proceed. If the peer has
// failed, they must not wait beyond their timeout, even while the connection is
// still being set up.
func TestReserveNeverWaitsForAConnection(t *testing.T) {
	inBubble(t, 20, func(cl *cluster) {
		c, first := cl.c, cl.nodes[0]
		reserve := func(n *node, units float64) (bool, error) {
			ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
			defer cancel()
			began := time.Now()
			_, isOwner, err := first.mesh.Reserve(ctx, n.id, "a", units, 0)
			c.Assert(time.Since(began) <= 60*time.Millisecond, qt.IsTrue, qt.Commentf("took %v", time.Since(began)))
			return isOwner, err
		}
		for _, n := range cl.nodes[1:] {
			cl.within(time.Second, "answer of "+n.id, func() bool {
				isOwner, err := reserve(n, 5)
				return isOwner && err == nil
			})
			isOwner, err := reserve(n, 0)
			c.Assert(err, qt.IsNil)
			c.Assert(isOwner, qt.IsFalse)
		}
		failed := cl.nodes[7]
		cl.network.SetCut(first.host, failed.host, true)
		for range 50 {
			_, err := reserve(failed, 5)
			c.Assert(err, qt.IsNotNil)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// shortWait is the delay that a node returns for a reservation of shortUnits
// units.
const (
	shortWait  = 300 * time.Microsecond
	shortUnits = 7
)

func reserveForTest(_ string, units float64, _ time.Duration) (rate.Reservation, bool) {
	if units == shortUnits {
		return rate.Reservation{Delay: shortWait}, true
	}
	return rate.Reservation{OK: true}, units > 0
}

// A refusal with a delay below a millisecond must not be rounded down to a
// delay of 0, which would mean that the units were reserved.
func TestShortDelayOfARefusalIsNotRoundedToZero(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		var r rate.Reservation
		cl.within(4*time.Second, "answer", func() bool {
			var err error
			r, _, err = cl.nodes[0].mesh.Reserve(context.Background(), cl.nodes[1].id, "a", shortUnits, 0)
			return err == nil
		})
		cl.c.Assert(r.Delay >= shortWait && !r.OK, qt.IsTrue, qt.Commentf("%v", r))
	})
}
