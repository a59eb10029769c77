package app

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const countedWindow = 77

// countsView returns the view of one incarnation without other members.
func countsView(id, incarnation string) *peerView {
	registry := member.New(nil, member.Options{ID: id, Incarnation: incarnation})
	counter := usage.NewCounter(5*time.Second, usage.NewClock())
	return newPeerView(gateway.Settings{ID: id}, registry, counter, Incarnation(incarnation))
}

func stateWithCount(incarnation string, n int) peer.EntryState {
	return peer.EntryState{Incarnation: incarnation, Started: map[int64]map[string]int{countedWindow: {"house": n}}}
}

// All entries restart in turn, so the entry that reports a window may have
// started after that window. Its report must include the counts of incarnations
// from which it never received a state update.
func TestCountsOfEarlierIncarnationsAreInherited(t *testing.T) {
	old := countsView("b", "b1")
	old.receive("a", stateWithCount("a1", 30))
	old.receive("c", stateWithCount("c1", 20))

	first := countsView("a", "a2")
	first.mergeInherited(old.counts())
	first.receive("b", stateWithCount("b1", 4))
	first.receive("b", stateWithCount("b1", 10))
	first.receive("c", stateWithCount("c1", 25))

	// A peer passes on the counts that it inherited, and an older count does
	// not replace a newer one.
	reporter := countsView("c", "c2")
	reporter.mergeInherited(first.counts())
	reporter.mergeInherited(old.counts())
	counts, _ := reporter.usage(countedWindow, time.Now())
	qt.Assert(t, counts, qt.DeepEquals, usage.Counts{"house": 30 + 10 + 25})
}

func TestOwnCountsAreNotCountedTwice(t *testing.T) {
	v := countsView("a", "a1")
	v.mergeInherited([]peer.IncarnationCounts{
		{Member: "a", Incarnation: "a1", Started: map[int64]map[string]int{countedWindow: {"house": 3}}},
		{Member: "a", Incarnation: "a0", Started: map[int64]map[string]int{countedWindow: {"house": 5}}},
	})
	counts, complete := v.usage(countedWindow, time.Now())
	qt.Assert(t, counts, qt.DeepEquals, usage.Counts{"house": 5})
	// Peers were not queried yet, so counts may be missing.
	qt.Assert(t, complete, qt.IsFalse)
}
