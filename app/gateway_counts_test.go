package app

import (
	"context"
	"fmt"
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

// TestCountsOfAWindowArriveBeforeItsReport guards against reports that lack the
// counts of entries whose state hasn't come since the end of the window: at 195
// entries states are up to nine seconds old, and a report is due after ten.
func TestCountsOfAWindowArriveBeforeItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			peers  = 194
			window = 5 * time.Second
			// settle is the time after the end of a window at which a complete
			// window is reported.
			settle = 2500 * time.Millisecond
			// killed is an entry that is killed shortly before the end of a window.
			killed = 3
		)
		view, receive := largeView(peers)
		view.setInheritDone()
		for i := range peers {
			receive(i)
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		started := time.Now()
		ran := func(until time.Time) map[int64]map[string]int {
			out := make(map[int64]map[string]int)
			for at := started; at.Before(until); at = at.Add(100 * time.Millisecond) {
				k := at.UnixNano() / int64(window)
				if out[k] == nil {
					out[k] = make(map[string]int)
				}
				out[k]["house"]++
			}
			return out
		}
		killCtx, kill := context.WithCancel(ctx)
		defer kill()
		for i := range peers {
			id := fmt.Sprintf("e%d", i)
			registry := member.New(nil, member.Options{ID: id, Log: nolog.Or(nil)})
			for j := range peers {
				if i != j {
					registry.Merge(member.Member{ID: fmt.Sprintf("e%d", j), Incarnation: "1", State: member.Live}, 0)
				}
			}
			p := &countsPusher{
				id: id, incarnation: "1", window: window, registry: registry, log: nolog.Or(nil), now: time.Now,
				recent: func(age time.Duration) map[int64]map[string]int {
					all := ran(time.Now())
					for k := range all {
						if k < time.Now().Add(-age).UnixNano()/int64(window) {
							delete(all, k)
						}
					}
					return all
				},
				push: func(_ context.Context, _ string, c peer.IncarnationCounts) error {
					view.receiveCounts(c.Member, c)
					return nil
				},
			}
			if i == killed {
				go p.run(killCtx)
			} else {
				go p.run(ctx)
			}
		}
		first := started.UnixNano()/int64(window) + 1
		for k := first; k < first+3; k++ {
			end := time.Unix(0, (k+1)*int64(window))
			if k == first+2 {
				time.Sleep(time.Until(end) - 10*time.Millisecond)
				kill()
			}
			time.Sleep(time.Until(end.Add(settle)))
			counts, complete := view.usage(k, end)
			want := peers * ran(end)[k]["house"]
			if k < first+2 {
				qt.Check(t, complete, qt.IsTrue)
				qt.Check(t, counts["house"], qt.Equals, want)
				continue
			}
			// What is lost with an entry is less than half of its window.
			lost := want - counts["house"]
			qt.Check(t, lost > 0 && lost <= ran(end)[k]["house"]/2+10, qt.IsTrue, qt.Commentf("%d lost", lost))
		}
	})
}
