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

// countsView is the view of one incarnation that knows no member.
func countsView(id, incarnation string) *peerView {
	registry := member.New(nil, member.Options{ID: id, Incarnation: incarnation})
	meter := usage.NewCounter(5*time.Second, usage.NewClock())
	return newPeerView(gateway.Settings{ID: id}, registry, meter, Incarnation(incarnation))
}

func countedDigest(incarnation string, n int) peer.EntryState {
	return peer.EntryState{Incarnation: incarnation, Started: map[int64]map[string]int{countedWindow: {"house": n}}}
}

// All entries are restarted in turn, and the one that reports a window started
// after it: what incarnations counted that it never heard must not be missing.
func TestCountsOfIncarnationsThatEndedBeforeTheReporterStarted(t *testing.T) {
	old := countsView("b", "b1")
	old.take("a", countedDigest("a1", 30))
	old.take("c", countedDigest("c1", 20))

	first := countsView("a", "a2")
	first.takeInherited(old.counts())
	first.take("b", countedDigest("b1", 4))
	first.take("b", countedDigest("b1", 10))
	first.take("c", countedDigest("c1", 25))

	// What a peer inherited is passed on, and an older count is no step back.
	reporter := countsView("c", "c2")
	reporter.takeInherited(first.counts())
	reporter.takeInherited(old.counts())
	counts, _ := reporter.usage(countedWindow, time.Now())
	qt.Assert(t, counts, qt.DeepEquals, usage.Counts{"house": 30 + 10 + 25})
}

func TestOwnCountsAreNotCountedTwice(t *testing.T) {
	v := countsView("a", "a1")
	v.takeInherited([]peer.IncarnationCounts{
		{Member: "a", Incarnation: "a1", Started: map[int64]map[string]int{countedWindow: {"house": 3}}},
		{Member: "a", Incarnation: "a0", Started: map[int64]map[string]int{countedWindow: {"house": 5}}},
	})
	counts, complete := v.usage(countedWindow, time.Now())
	qt.Assert(t, counts, qt.DeepEquals, usage.Counts{"house": 5})
	// Peers weren't asked yet: there may be more.
	qt.Assert(t, complete, qt.IsFalse)
}
