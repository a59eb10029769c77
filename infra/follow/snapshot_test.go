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

// slowFeed is a feed whose snapshots arrive in pieces, one a second. The first one
// stalls after two.
type slowFeed struct {
	feed
	pieces    int
	snapshots int
}

func (f *slowFeed) Snapshot(ctx context.Context) ([]infra.Row, uint64, error) {
	f.snapshots++
	for i := range f.pieces {
		if f.snapshots == 1 && i == 2 {
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		if !ctxtime.Sleep(ctx, time.Second) {
			return nil, 0, ctx.Err()
		}
		infra.ProgressOf(ctx)(int64(i+1), -1)
	}
	return nil, 1, nil
}

// Guards against a configuration that never loads because its transfer takes longer
// than 2 s, and against a transfer that stalls and isn't repeated.
func TestSnapshotThatArrivesSlowlyIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		pieces   int
		loaded   time.Duration
		attempts int
	}{{2, 2 * time.Second, 1}, {7, 11 * time.Second, 2}, {16, 0, 3}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := &slowFeed{pieces: test.pieces}
			follower := follow.New(f, &recorder{}, follow.Options{Log: nolog.Or(nil)})
			began := time.Now()
			go follower.Run(ctx)
			select {
			case <-follower.Loaded():
				qt.Check(t, time.Since(began).Round(500*time.Millisecond), qt.Equals, test.loaded)
			case <-time.After(25 * time.Second):
				qt.Check(t, test.loaded, qt.Equals, time.Duration(0))
			}
			cancel()
			synctest.Wait()
			qt.Check(t, f.snapshots, qt.Equals, test.attempts)
		})
	}
}
