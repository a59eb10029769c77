package follow_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// pair is a reader of a feed and a follower that reads through it.
type pair struct {
	feed   *feed
	reader *follow.Follower
	// unresponsive makes calls to the reader hang, feedHangs makes the reader's
	// own calls to the feed hang.
	unresponsive bool
	feedHangs    bool
	// feedRefused makes the service refuse the reader's calls.
	feedRefused bool
	// peerCalls counts the calls to the reader.
	peerCalls int
	// direct counts the calls that the follower made to the feed itself.
	direct     *counted
	follower   *follow.Follower
	received   *recorder
	recoveries int
}

// hanging is a feed whose calls hang or fail while a flag is set.
type hanging struct {
	*feed
	hangs, refused *bool
}

func (h *hanging) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	if *h.refused {
		return infra.Update{}, errors.New("refused")
	}
	if *h.hangs {
		<-ctx.Done()
		return infra.Update{}, ctx.Err()
	}
	return h.feed.Changes(ctx, after, wait)
}

// counted counts the calls to a feed, and fails those for changes while down
// is set.
type counted struct {
	*feed
	calls int
	down  bool
}

func (c *counted) Snapshot(ctx context.Context) ([]infra.Row, uint64, error) {
	c.calls++
	return c.feed.Snapshot(ctx)
}

func (c *counted) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	c.calls++
	if c.down {
		return infra.Update{}, errors.New("refused")
	}
	return c.feed.Changes(ctx, after, wait)
}

func newPair(t *testing.T) *pair { return newPairWithLimit(t, 0) }

// newPairWithLimit returns a pair whose reader's history is unavailable when
// the feed has returned nothing for staleAfter.
func newPairWithLimit(t *testing.T, staleAfter time.Duration) *pair {
	p := &pair{feed: &feed{}}
	p.feed.put("a")
	history := follow.NewHistory(staleAfter)
	p.reader, _ = run(t, &hanging{feed: p.feed, hangs: &p.feedHangs, refused: &p.feedRefused}, follow.Options{Wait: 9 * time.Second, History: history})
	p.direct = &counted{feed: p.feed}
	shared := follow.NewShared(p.direct, follow.SharedOptions{
		Name:    "test",
		Readers: func() []string { return []string{"reader"} },
		ChangesFrom: func(ctx context.Context, _ string, after uint64, wait time.Duration) (infra.Update, error) {
			p.peerCalls++
			if p.unresponsive {
				<-ctx.Done()
				return infra.Update{}, ctx.Err()
			}
			return history.Since(ctx, after, wait)
		},
		Log: nolog.Or(nil),
	})
	p.received = &recorder{}
	p.follower = follow.New(shared, p.received, follow.Options{Wait: 9 * time.Second, OnRecovered: func() { p.recoveries++ }, Log: nolog.Or(nil)})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.follower.Run(ctx)
	time.Sleep(time.Second)
	return p
}

func TestChangesComeThroughAPeerWithoutCallsOfTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		for range 30 {
			p.feed.put("x")
			time.Sleep(time.Second)
		}
		qt.Assert(t, p.received.events, qt.HasLen, 31)
		qt.Assert(t, p.direct.calls, qt.Equals, 1) // the first snapshot
		age, _ := p.follower.Age()
		qt.Assert(t, age < 15*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	})
}

func TestFollowerReadsDirectlyWhilePeersAreUnresponsive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.unresponsive = true
		time.Sleep(time.Second)
		p.feed.put("b")
		time.Sleep(2 * time.Second)
		qt.Assert(t, p.received.events, qt.DeepEquals, []string{"all a", "b"})
		p.unresponsive = false
		time.Sleep(20 * time.Second)
		before := p.direct.calls
		p.feed.put("c")
		time.Sleep(10 * time.Second)
		qt.Assert(t, p.received.events, qt.DeepEquals, []string{"all a", "b", "c"})
		qt.Assert(t, p.direct.calls, qt.Equals, before)
		qt.Assert(t, p.recoveries, qt.Equals, 0)
	})
}

func TestFollowerDetectsThatItsReaderLostTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.feed.down = true
		time.Sleep(20 * time.Second)
		age, _ := p.follower.Age()
		qt.Assert(t, age >= 18*time.Second, qt.IsTrue, qt.Commentf("%v", age))
		p.feed.put("b")
		p.feed.down = false
		time.Sleep(5 * time.Second)
		qt.Assert(t, p.received.events, qt.DeepEquals, []string{"all a", "b"})
		qt.Assert(t, p.recoveries, qt.Equals, 1)
	})
}

// The service refuses the calls of the follower but not those of its reader.
func TestFollowerRefusedByTheServiceReadsThroughItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.direct.down = true
		p.feed.put("b")
		time.Sleep(5 * time.Second)
		age, _ := p.follower.Age()
		qt.Assert(t, age < 15*time.Second, qt.IsTrue, qt.Commentf("%v", age))
		qt.Assert(t, p.received.events, qt.DeepEquals, []string{"all a", "b"})
	})
}

// After a reader had to take a new snapshot, its history must still return the
// changes made in between.
func TestHistoryContinuesAfterASnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.feed.down = true
		time.Sleep(2 * time.Second)
		p.feed.put("b")
		p.feed.compacted, p.feed.down = p.feed.version, false
		time.Sleep(10 * time.Second)
		got := p.received.events
		qt.Assert(t, got[len(got)-1] == "b" || got[len(got)-1] == "all a,b", qt.IsTrue, qt.Commentf("%v", got))
	})
}

func TestReaderThatIsTooFarBehindMustReadEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.put("a")
		history := follow.NewHistory(0)
		_, err := history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, follow.ErrUnavailable)
		run(t, f, follow.Options{History: history})
		_, err = history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, infra.ErrCompacted)
		for i := range 3000 {
			f.put(fmt.Sprint("x", i))
		}
		time.Sleep(time.Second)
		_, err = history.Since(t.Context(), 1, time.Second)
		qt.Assert(t, err, qt.ErrorIs, infra.ErrCompacted)
		u, err := history.Since(t.Context(), 2000, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, u.Version, qt.Equals, uint64(3001))
		qt.Assert(t, u.Changes, qt.HasLen, 1001)
	})
}

// The service still answers the follower, but the reader's pending call hangs.
// The follower must not conclude from the missing response that there are no
// changes.
func TestFollowerBypassesAReaderWhoseFeedHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const staleAfter = 1500 * time.Millisecond
		p := newPairWithLimit(t, staleAfter)
		beat := func() {
			for range 20 {
				p.feed.put("beat")
				time.Sleep(500 * time.Millisecond)
			}
		}
		beat()
		before := p.direct.calls
		beat()
		qt.Assert(t, p.direct.calls, qt.Equals, before)
		p.feedHangs = true
		p.feed.put("last before")
		time.Sleep(100 * time.Millisecond)
		p.feed.put("leaves")
		time.Sleep(staleAfter + 500*time.Millisecond)
		qt.Assert(t, p.received.events[len(p.received.events)-1], qt.Equals, "leaves")
	})
}

// When only the reader fails to read the feed, the follower must not treat it
// as an outage of the service: it reads the next change directly, and
// OnRecovered is not called.
func TestReaderThatLostTheFeedIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.feedRefused = true
		p.feed.put("wakes the reader")
		time.Sleep(2 * time.Second)
		p.feed.put("gone")
		time.Sleep(2 * time.Second)
		qt.Assert(t, p.received.events[len(p.received.events)-1], qt.Equals, "gone")
		qt.Assert(t, p.recoveries, qt.Equals, 0)
	})
}

// Guards against the calls of readers, and of followers whose readers are
// unavailable, that meet an outage of the service and hang long after its end.
func TestDirectCallThatMeetsAnOutageEndsSoon(t *testing.T) {
	for name, readers := range map[string][]string{"reader": nil, "follower without an available reader": {"reader"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				hangs, refused := true, false
				s := follow.NewShared(&hanging{feed: &feed{}, hangs: &hangs, refused: &refused}, follow.SharedOptions{
					Readers:    func() []string { return readers },
					ReaderWait: func() time.Duration { return time.Second },
					ChangesFrom: func(context.Context, string, uint64, time.Duration) (infra.Update, error) {
						return infra.Update{}, follow.ErrUnavailable
					},
					Log: nolog.Or(nil),
				})
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, err := s.Changes(ctx, 0, 9*time.Second)
				qt.Assert(t, err, qt.IsNotNil)
				qt.Assert(t, time.Since(began) <= 3*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			})
		})
	}
}
