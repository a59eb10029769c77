package follow_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// feed is a fake infra.Feed over a list of changes.
type feed struct {
	// mu guards version and changes: in virtual time a put and a call can run
	// at the same instant, and a call must not return the version of a change
	// without the change.
	mu      sync.Mutex
	version uint64
	changes []infra.Change
	// down makes all calls fail.
	down bool
	// compacted is the version up to which changes are no longer retained.
	compacted uint64
	calls     int
}

func (f *feed) put(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	f.changes = append(f.changes, infra.Change{Row: infra.Row{Key: key, Version: f.version}})
}

func (f *feed) Snapshot(context.Context) ([]infra.Row, uint64, error) {
	f.calls++
	if f.down {
		return nil, 0, errors.New("down")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []infra.Row
	for _, c := range f.changes {
		rows = append(rows, c.Row)
	}
	return rows, f.version, nil
}

func (f *feed) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	f.calls++
	for until := time.Now().Add(wait); ; {
		f.mu.Lock()
		version, changes := f.version, f.changes
		f.mu.Unlock()
		switch {
		case f.down:
			return infra.Update{}, errors.New("down")
		case after < f.compacted:
			return infra.Update{}, infra.ErrCompacted
		case version > after:
			return infra.Update{Changes: changes[after:], Version: version}, nil
		case !time.Now().Before(until) || !ctxtime.Sleep(ctx, 10*time.Millisecond):
			return infra.Update{Version: version}, ctx.Err()
		}
	}
}

// recorder is a Handler that records its calls.
type recorder struct{ events []string }

func (r *recorder) Replace(rows []infra.Row) {
	keys := make([]string, len(rows))
	for i, r := range rows {
		keys[i] = r.Key
	}
	r.events = append(r.events, "all "+strings.Join(keys, ","))
}

func (r *recorder) Change(c infra.Change) { r.events = append(r.events, c.Key) }

func run(t *testing.T, f infra.Feed, o follow.Options) (*follow.Follower, *recorder) {
	s := &recorder{}
	o.Log = nolog.Or(nil)
	follower := follow.New(f, s, o)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	time.Sleep(time.Second)
	return follower, s
}

func TestFullReadOnlyAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		f.put("a")
		_, s := run(t, f, follow.Options{})
		f.put("b")
		time.Sleep(time.Second)
		f.down = true
		time.Sleep(10 * time.Second)
		f.put("c")
		f.down = false
		time.Sleep(2 * time.Second)
		f.down = true
		time.Sleep(2 * time.Second)
		f.put("d")
		f.compacted, f.down = f.version, false
		time.Sleep(2 * time.Second)
		qt.Assert(t, s.events, qt.DeepEquals, []string{"all a", "b", "c", "all a,b,c,d"})
	})
}

func TestAgeIsKnownSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		recoveries := 0
		follower, _ := run(t, f, follow.Options{Wait: 12 * time.Second, OnRecovered: func() { recoveries++ }})
		time.Sleep(12 * time.Second)
		f.down = true
		time.Sleep(20 * time.Second)
		age, ok := follower.Age()
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, age >= 19*time.Second, qt.IsTrue, qt.Commentf("%v", age))
		f.down = false
		time.Sleep(time.Second)
		age, _ = follower.Age()
		qt.Assert(t, age <= time.Second, qt.IsTrue, qt.Commentf("%v", age))
		qt.Assert(t, recoveries, qt.Equals, 1)
	})
}

func TestChangesThatComeTogetherCostOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		_, s := run(t, f, follow.Options{Pause: func() time.Duration { return 500 * time.Millisecond }})
		before := f.calls
		for range 40 {
			f.put("x")
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		qt.Assert(t, s.events, qt.HasLen, 41)
		qt.Assert(t, f.calls-before <= 3, qt.IsTrue, qt.Commentf("%d calls", f.calls-before))
	})
}

// Guards against a follower that waits for a call which met an outage, until it
// times out, although the outage is known to be over.
func TestCallThatMetAnOutageIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &feed{}
		follower, s := run(t, f, follow.Options{})
		f.put("a")
		time.Sleep(time.Second)
		before := f.calls
		follower.Refresh()
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, f.calls, qt.Equals, before+1)
		// The call has just begun.
		follower.Refresh()
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, f.calls, qt.Equals, before+1)
		f.put("b")
		time.Sleep(100 * time.Millisecond)
		qt.Assert(t, s.events[len(s.events)-1], qt.Equals, "b")
		_, known := follower.Age()
		qt.Assert(t, known, qt.IsTrue)
	})
}
