package app

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// largeView returns the view of an entry with many peers, and a function that
// receives a state update of a peer.
func largeView(peers int) (view *peerView, receive func(peer int)) {
	registry := member.New(nil, member.Options{ID: "self", Incarnation: "1", UpdatePeriod: gatewayUpdatePeriod, Log: nolog.Or(nil)})
	view = newPeerView(gateway.Settings{ID: "self"}, registry, usage.NewCounter(5*time.Second, usage.NewClock()), "1")
	return view, func(i int) {
		id := fmt.Sprintf("e%d", i)
		registry.Merge(member.Member{ID: id, Incarnation: "1", Epoch: 1, State: member.Live}, 0)
		view.receive(id, peer.EntryState{Incarnation: "1"})
	}
}

// TestAllPeersOfALargeDeploymentShareLimits guards against the states of sound
// peers that expire before their next update. The owner of a limit withholds
// the shares of the peers that it doesn't hear of, so at 195 entries it handed
// out two thirds of each limit, and at 410 a third.
func TestAllPeersOfALargeDeploymentShareLimits(t *testing.T) {
	for _, peers := range []int{8, 68, 194, 409} {
		t.Run(fmt.Sprintf("peers=%d", peers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				view, receive := largeView(peers)
				period := gatewayUpdatePeriod(peers + 1)
				for range 3 {
					for i := range peers {
						receive(i)
						time.Sleep(period / time.Duration(peers))
					}
				}
				qt.Check(t, len(view.sharingStates(period)), qt.Equals, peers)
				// A peer that sends nothing any more stops sharing.
				for range 4 {
					for i := range peers - 1 {
						receive(i)
						time.Sleep(period / time.Duration(peers))
					}
				}
				time.Sleep(max(0, maxLoadAge-4*period) + time.Second)
				for i := range peers - 1 {
					receive(i)
				}
				qt.Check(t, len(view.sharingStates(period)), qt.Equals, peers-1)
			})
		})
	}
}

// TestSuspectedPeerIsNoOwner guards against owners that are known to be
// unreachable but keep their limits until their last state update is old, which
// is 24 s at 195 entries.
func TestSuspectedPeerIsNoOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 194
		view, receive := largeView(peers)
		for i := range peers {
			receive(i)
		}
		period := gatewayUpdatePeriod(peers + 1)
		qt.Assert(t, view.reachable(period), qt.HasLen, peers+1)
		view.registry.Suspect("e7", "1")
		time.Sleep(reachableTTL)
		qt.Assert(t, slices.Contains(view.reachable(period), "e7"), qt.IsFalse)
		// A later update refutes the suspicion.
		time.Sleep(time.Second)
		receive(7)
		time.Sleep(reachableTTL)
		qt.Assert(t, slices.Contains(view.reachable(period), "e7"), qt.IsTrue)
	})
}

// TestLimitsAreNotReducedWhileTheTableIsDown guards against a process that starts while
// the table is down: its members never settle, and it would grant half of each limit.
func TestLimitsAreNotReducedWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view, receive := largeView(4)
		for i := range 4 {
			receive(i)
		}
		qt.Check(t, view.isSettled(), qt.IsFalse)
		qt.Check(t, view.replicatesLimits(), qt.IsTrue)
		time.Sleep(unsettledPeriod + time.Second)
		qt.Check(t, view.isSettled(), qt.IsTrue)
		qt.Check(t, view.replicatesLimits(), qt.IsFalse)
	})
}

// TestLiveMembersOwnLimitsBeforeTheirFirstState guards against a process that takes
// itself for the owner of all limits until its peers' states arrive, which takes 2 s at
// 58 entries.
func TestLiveMembersOwnLimitsBeforeTheirFirstState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers = 57
		view, _ := largeView(peers)
		for i := range peers {
			view.registry.Merge(member.Member{ID: fmt.Sprintf("e%d", i), Incarnation: "1", Epoch: 1, State: member.Live}, 0)
		}
		period := gatewayUpdatePeriod(peers + 1)
		qt.Check(t, view.reachable(period), qt.HasLen, 1)
		qt.Check(t, view.limitMembers(period), qt.HasLen, peers+1)
		time.Sleep(listedPeriod + time.Second)
		qt.Check(t, view.limitMembers(period), qt.HasLen, 1)
	})
}
