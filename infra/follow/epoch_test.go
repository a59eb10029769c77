package follow_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// restoredFeed is a feed of one row, whose table is restored when epoch rises. While
// unaware is set, its calls end without a change instead of the news.
type restoredFeed struct {
	epoch   uint64
	unaware bool
}

func (f *restoredFeed) Snapshot(context.Context) ([]infra.Row, uint64, error) {
	version := infra.NewVersion(f.epoch, 5)
	return []infra.Row{{Key: "a", Version: version}}, version, nil
}

func (f *restoredFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	if !ctxtime.Sleep(ctx, wait) {
		return infra.Update{}, ctx.Err()
	}
	if infra.EpochOf(after) < f.epoch && !f.unaware {
		return infra.Update{}, infra.ErrRestored
	}
	return infra.Update{Version: after}, nil
}

// Guards against a peer that serves the history of an earlier epoch to a reader that
// knows the later one, and against one that serves a reader of an earlier epoch changes.
func TestHistoryServesItsOwnEpochOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFeed{epoch: 1}
		h := follow.NewHistory(0)
		_, s := run(t, f, follow.Options{History: h, Wait: 100 * time.Millisecond})
		since := func(epoch, counter uint64) error {
			_, err := h.Since(context.Background(), infra.NewVersion(epoch, counter), 0)
			return err
		}
		qt.Check(t, since(1, 5), qt.IsNil)
		f.epoch, f.unaware = 2, true
		time.Sleep(time.Second)
		qt.Check(t, since(2, 3), qt.ErrorIs, follow.ErrUnavailable)
		f.unaware = false
		time.Sleep(time.Second)
		qt.Check(t, s.events, qt.DeepEquals, []string{"all a", "all a"})
		u, err := h.Since(context.Background(), infra.NewVersion(1, 900), time.Second)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, u.Complete, qt.IsTrue)
		qt.Check(t, u.Changes, qt.HasLen, 1)
		qt.Check(t, u.Version, qt.Equals, infra.NewVersion(2, 5))
		qt.Check(t, since(2, 3), qt.ErrorIs, infra.ErrCompacted)
		qt.Check(t, since(2, 5), qt.IsNil)
	})
}

// Guards against an entry that can't reach the service and reads nothing new through
// its peers once the table was restored.
func TestRestoredRowsAreReadThroughAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &restoredFeed{epoch: 1}
		h := follow.NewHistory(0)
		run(t, f, follow.Options{History: h, Wait: 100 * time.Millisecond})
		cutOff := &feed{}
		cutOff.version = infra.NewVersion(1, 900)
		cutOff.changes = []infra.Change{{Row: infra.Row{Key: "lost", Version: cutOff.version}}}
		recoveries := 0
		_, s := run(t, follow.NewShared(cutOff, follow.SharedOptions{
			Readers: func() []string { return []string{"peer"} },
			ChangesFrom: func(ctx context.Context, _ string, after uint64, wait time.Duration) (infra.Update, error) {
				return h.Since(ctx, after, wait)
			},
			Log: nolog.Or(nil),
		}), follow.Options{OnRecovered: func() { recoveries++ }})
		cutOff.down = true
		f.epoch = 2
		time.Sleep(5 * time.Second)
		qt.Check(t, s.events, qt.DeepEquals, []string{"all lost", "all a"})
		qt.Check(t, recoveries, qt.Equals, 1)
	})
}
