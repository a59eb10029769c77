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
	// mute makes the reader's process answer nobody.
	mute  bool
	asked int
	// direct counts the calls of the follower that went to the feed itself.
	direct   *counted
	follower *follow.Follower
	told     *story
	backs    int
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

func newPair(t *testing.T) *pair {
	p := &pair{feed: &feed{}}
	p.feed.put("a")
	history := follow.NewHistory()
	p.reader, _ = run(t, p.feed, follow.Options{Wait: 9 * time.Second, History: history})
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
		history := follow.NewHistory()
		_, err := history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, follow.ErrLost)
		run(t, f, follow.Options{History: history})
		_, err = history.Since(t.Context(), 0, time.Second)
		qt.Assert(t, err, qt.ErrorIs, infra.ErrHistoryGone)
		for range 3000 {
			f.put("x")
		}
		time.Sleep(time.Second)
		_, err = history.Since(t.Context(), 1, time.Second)
		qt.Assert(t, err, qt.ErrorIs, infra.ErrHistoryGone)
		u, err := history.Since(t.Context(), 2000, time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, u.Version, qt.Equals, uint64(3001))
		qt.Assert(t, u.Changes, qt.HasLen, 1001)
	})
}
