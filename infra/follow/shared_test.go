package follow_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// pair is a reader of a feed and a follower that asks it.
type pair struct {
	feed   *feed
	reader *follow.Follower
	// mute makes the reader's process answer nobody, hangs its calls of the
	// feed get no answer.
	mute  bool
	hangs bool
	// refused says that the service turns the reader away.
	refused bool
	asked   int
	// direct counts the calls of the follower that went to the feed itself.
	direct   *counted
	follower *follow.Follower
	told     *story
	backs    int
}

// hanging is a feed whose calls get no answer for a while.
type hanging struct {
	*feed
	hangs, refused *bool
}

func (h *hanging) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	if *h.refused {
		return infra.Update{}, errors.New("turned away")
	}
	if *h.hangs {
		<-ctx.Done()
		return infra.Update{}, ctx.Err()
	}
	return h.feed.Changes(ctx, after, wait)
}

// counted counts the calls of a feed.
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
		return infra.Update{}, errors.New("turned away")
	}
	return c.feed.Changes(ctx, after, wait)
}

func newPair(t *testing.T) *pair { return newPairOf(t, 0) }

// newPairOf returns a pair whose reader's history may be quiet for so long.
func newPairOf(t *testing.T, quiet time.Duration) *pair {
	p := &pair{feed: &feed{}}
	p.feed.put("a")
	history := follow.NewHistory(quiet)
	p.reader, _ = run(t, &hanging{feed: p.feed, hangs: &p.hangs, refused: &p.refused}, follow.Options{Wait: 9 * time.Second, History: history})
	p.direct = &counted{feed: p.feed}
	shared := follow.NewShared(p.direct, follow.SharedOptions{
		Name:    "test",
		Readers: func() []string { return []string{"reader"} },
		Ask: func(ctx context.Context, _ string, after uint64, wait time.Duration) (infra.Update, error) {
			p.asked++
			if p.mute {
				<-ctx.Done()
				return infra.Update{}, ctx.Err()
			}
			return history.Since(ctx, after, wait)
		},
		Log: nolog.Or(nil),
	})
	p.told = &story{}
	p.follower = follow.New(shared, p.told, follow.Options{Wait: 9 * time.Second, OnBack: func() { p.backs++ }, Log: nolog.Or(nil)})
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
		qt.Assert(t, p.told.told, qt.HasLen, 31)
		qt.Assert(t, p.direct.calls, qt.Equals, 1) // the first read
		age, _ := p.follower.Age()
		qt.Assert(t, age < 15*time.Second, qt.IsTrue, qt.Commentf("%v", age))
	})
}

func TestFollowerReadsByItselfWhilePeersAreSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.mute = true
		time.Sleep(time.Second)
		p.feed.put("b")
		time.Sleep(2 * time.Second)
		qt.Assert(t, p.told.told, qt.DeepEquals, []string{"all a", "b"})
		p.mute = false
		time.Sleep(20 * time.Second)
		before := p.direct.calls
		p.feed.put("c")
		time.Sleep(10 * time.Second)
		qt.Assert(t, p.told.told, qt.DeepEquals, []string{"all a", "b", "c"})
		qt.Assert(t, p.direct.calls, qt.Equals, before)
		qt.Assert(t, p.backs, qt.Equals, 0)
	})
}

func TestFollowerLearnsThatItsReaderLostTheFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.feed.down = true
		time.Sleep(20 * time.Second)
		age, _ := p.follower.Age()
		qt.Assert(t, age >= 18*time.Second, qt.IsTrue, qt.Commentf("%v", age))
		p.feed.put("b")
		p.feed.down = false
		time.Sleep(5 * time.Second)
		qt.Assert(t, p.told.told, qt.DeepEquals, []string{"all a", "b"})
		qt.Assert(t, p.backs, qt.Equals, 1)
	})
}

// The service turns the follower away, and not its reader.
func TestFollowerThatTheServiceTurnsAwayFollowsThroughItsPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.direct.down = true
		p.feed.put("b")
		time.Sleep(5 * time.Second)
		age, _ := p.follower.Age()
		qt.Assert(t, age < 15*time.Second, qt.IsTrue, qt.Commentf("%v", age))
		qt.Assert(t, p.told.told, qt.DeepEquals, []string{"all a", "b"})
	})
}

// A reader that had to read everything again tells what changed meanwhile.
func TestHistoryGoesOnAfterAFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.feed.down = true
		time.Sleep(2 * time.Second)
		p.feed.put("b")
		p.feed.gone, p.feed.down = p.feed.version, false
		time.Sleep(10 * time.Second)
		got := p.told.told
		qt.Assert(t, got[len(got)-1] == "b" || got[len(got)-1] == "all a,b", qt.IsTrue, qt.Commentf("%v", got))
	})
}

func TestReaderThatIsTooFarBehindMustReadEverything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.put("a")
		history := follow.NewHistory(0)
		_, err := history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, follow.ErrLost)
		run(t, f, follow.Options{History: history})
		_, err = history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, infra.ErrCompacted)
		for range 3000 {
			f.put("x")
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

// The service goes on answering the follower, and no longer its reader, whose
// call waits in vain: silence must not be taken for there being no change.
func TestFollowerDoesNotTrustAReaderThatHearsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quiet = 1500 * time.Millisecond
		p := newPairOf(t, quiet)
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
		p.hangs = true
		p.feed.put("last before")
		time.Sleep(100 * time.Millisecond)
		p.feed.put("leaves")
		time.Sleep(quiet + 500*time.Millisecond)
		qt.Assert(t, p.told.told[len(p.told.told)-1], qt.Equals, "leaves")
	})
}

// A reader that lost the feed while the service answers the follower is no
// outage of the service: what the service removed is gone at once.
func TestReaderThatLostTheFeedIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t)
		p.refused = true
		p.feed.put("wakes the reader")
		time.Sleep(2 * time.Second)
		p.feed.put("gone")
		time.Sleep(2 * time.Second)
		qt.Assert(t, p.told.told[len(p.told.told)-1], qt.Equals, "gone")
		qt.Assert(t, p.backs, qt.Equals, 0)
	})
}
