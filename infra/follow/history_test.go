package follow_test

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// rewrites is how often the one row of a rewrittenFeed changes, every
	// rewritePeriod. Its value has rewrittenBytes, those of a configuration with
	// 4,000 routes.
	rewrites       = 2000
	rewritePeriod  = 20 * time.Millisecond
	rewrittenBytes = 1 << 20
	// maxHeldBytes bounds what a history of such a feed may hold.
	maxHeldBytes = 16 << 20
	// historyReaders is the number of entries that read through one history.
	historyReaders = 410
)

// rewrittenFeed has one row, whose value is replaced again and again.
type rewrittenFeed struct{ began time.Time }

func (f *rewrittenFeed) version() uint64 {
	return 1 + uint64(min(rewrites, time.Since(f.began)/rewritePeriod))
}

func (f *rewrittenFeed) row() infra.Row {
	value := make([]byte, rewrittenBytes)
	binary.BigEndian.PutUint64(value, f.version())
	return infra.Row{Key: "config", Value: value, Version: f.version()}
}

func (f *rewrittenFeed) Snapshot(context.Context) ([]infra.Row, uint64, error) {
	return []infra.Row{f.row()}, f.version(), nil
}

func (f *rewrittenFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	for end := time.Now().Add(wait); f.version() <= after; {
		if time.Now().After(end) {
			return infra.Update{Version: after}, nil
		}
		if !ctxtime.Sleep(ctx, rewritePeriod/2) {
			return infra.Update{}, ctx.Err()
		}
	}
	return infra.Update{Changes: []infra.Change{{Row: f.row()}}, Version: f.version()}, nil
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against the memory of an entry growing with each change of a large row, and
// against readers that lag behind missing the last one.
func TestHistoryOfARowThatIsRewrittenHoldsOneValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &rewrittenFeed{began: time.Now()}
		history := follow.NewHistory(0)
		run(t, f, follow.Options{History: history})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var readers sync.WaitGroup
		seen := make([]uint64, historyReaders)
		for i := range seen {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			readers.Go(func() {
				seen[i] = 1
				for ctx.Err() == nil {
					time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Second))))
					u, err := history.Since(ctx, seen[i], time.Second)
					if err != nil {
						continue
					}
					for _, c := range u.Changes {
						qt.Check(t, binary.BigEndian.Uint64(c.Value), qt.Equals, c.Version)
					}
					qt.Check(t, len(u.Changes) <= 1, qt.IsTrue)
					seen[i] = u.Version
				}
			})
		}
		time.Sleep(time.Second)
		before, most := heapBytes(), uint64(0)
		for range 10 {
			time.Sleep(rewrites * rewritePeriod / 10)
			most = max(most, heapBytes())
		}
		qt.Check(t, most < before+maxHeldBytes, qt.IsTrue, qt.Commentf("%d MB held at first, %d MB at most", before>>20, most>>20))
		time.Sleep(5 * time.Second)
		cancel()
		readers.Wait()
		for i, version := range seen {
			qt.Check(t, version, qt.Equals, uint64(rewrites+1), qt.Commentf("reader %d", i))
		}
	})
}
