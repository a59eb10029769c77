package usage

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

type leaseHolder struct{ held bool }

func (h *leaseHolder) Held() (uint64, bool) { return 7, h.held }

func (h *leaseHolder) Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error {
	if !h.held {
		return errors.New("not held")
	}
	return effect(ctx, 7)
}

// sender records reports, and fails while fail is set.
type sender struct {
	fail    bool
	reports map[int64][]map[string]int
}

func (s *sender) Report(_ context.Context, _ uint64, window int64, counts map[string]int) error {
	if s.fail {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "lost: %w", errors.New("no answer"))
	}
	if s.reports == nil {
		s.reports = make(map[int64][]map[string]int)
	}
	s.reports[window] = append(s.reports[window], counts)
	return nil
}

// fakeClock sets the wall clock and the monotonic clock of a Clock.
type fakeClock struct {
	wall      time.Time
	monotonic time.Duration
}

func (h *fakeClock) clock() *Clock {
	return &Clock{wall: func() time.Time { return h.wall }, monotonic: func() time.Duration { return h.monotonic }}
}

func (h *fakeClock) advance(d time.Duration) {
	h.wall = h.wall.Add(d)
	h.monotonic += d
}

func TestRecentOmitsOldWindows(t *testing.T) {
	h := &fakeClock{wall: time.Unix(1000, 0)}
	c := NewCounter(5*time.Second, h.clock())
	for range 8 {
		c.CountStart("a")
		h.advance(5 * time.Second)
	}
	// It is 1040 now: the windows end at 1005, 1010, ... 1040.
	qt.Assert(t, c.Recent(time.Minute), qt.HasLen, 8)
	got := c.Recent(11 * time.Second)
	qt.Assert(t, got, qt.DeepEquals, map[int64]map[string]int{205: {"a": 1}, 206: {"a": 1}, 207: {"a": 1}})
}

func TestClockIgnoresWallClockSteps(t *testing.T) {
	h := &fakeClock{wall: time.Unix(1000, 0), monotonic: time.Hour}
	c := h.clock()
	qt.Assert(t, c.Now().Equal(time.Unix(1000, 0)), qt.IsTrue)
	h.advance(10 * time.Second)
	h.wall = h.wall.Add(-3 * time.Second)
	qt.Assert(t, c.Now().Equal(time.Unix(1010, 0)), qt.IsTrue)
	h.advance(10 * time.Second)
	h.wall = h.wall.Add(3 * time.Second)
	qt.Assert(t, c.Now().Equal(time.Unix(1020, 0)), qt.IsTrue)
	// Slewing is followed.
	h.wall = h.wall.Add(100 * time.Millisecond)
	qt.Assert(t, c.Now().Equal(h.wall), qt.IsTrue)
}

func reporter(table *standin.Table, h *fakeClock, l *leaseHolder, s *sender, source Source) *Reporter {
	return &Reporter{
		Lease: l, Table: table, Sender: s, Source: source, Clock: h.clock(),
		Window: 5 * time.Second, Due: 10 * time.Second, Epoch: table.Epoch(),
		Log: nolog.Or(nil), done: make(map[int64]bool), committed: make(map[int64]Counts),
	}
}

func TestRepeatedReportSendsCommittedCounts(t *testing.T) {
	table := standin.NewTable(1)
	defer table.Close()
	h := &fakeClock{wall: time.Unix(1000, 0)}
	lost := &sender{fail: true}
	first := reporter(table, h, &leaseHolder{true}, lost, func(int64, time.Time) (Counts, bool) { return Counts{"a": 3}, true })
	h.advance(8 * time.Second)
	first.check(context.Background())
	qt.Assert(t, lost.reports, qt.HasLen, 0)
	// The next lease holder has larger counts, but must send the committed
	// ones.
	got := &sender{}
	second := reporter(table, h, &leaseHolder{true}, got, func(int64, time.Time) (Counts, bool) { return Counts{"a": 5}, true })
	second.check(context.Background())
	second.check(context.Background())
	qt.Assert(t, got.reports[200], qt.DeepEquals, []map[string]int{{"a": 3}})
}

func TestReportWaitsForMissingEntries(t *testing.T) {
	table := standin.NewTable(1)
	defer table.Close()
	h := &fakeClock{wall: time.Unix(1000, 0)}
	s := &sender{}
	complete := false
	r := reporter(table, h, &leaseHolder{true}, s, func(int64, time.Time) (Counts, bool) { return Counts{"a": 1}, complete })
	h.advance(8 * time.Second)
	r.check(context.Background())
	qt.Assert(t, s.reports[200], qt.HasLen, 0)
	h.advance(4 * time.Second)
	r.check(context.Background())
	qt.Assert(t, s.reports[200], qt.HasLen, 1)
}

func TestOnlyTheLeaseHolderReports(t *testing.T) {
	table := standin.NewTable(1)
	defer table.Close()
	h := &fakeClock{wall: time.Unix(1008, 0)}
	s := &sender{}
	r := reporter(table, h, &leaseHolder{}, s, func(int64, time.Time) (Counts, bool) { return Counts{"a": 1}, true })
	r.check(context.Background())
	qt.Assert(t, s.reports, qt.HasLen, 0)
}

func TestCounterCountsByWindow(t *testing.T) {
	h := &fakeClock{wall: time.Unix(1003, 0)}
	m := NewCounter(5*time.Second, h.clock())
	m.CountStart("a")
	m.CountStart("a")
	h.advance(2 * time.Second)
	m.CountStart("a")
	qt.Assert(t, m.Recent(time.Hour), qt.DeepEquals, map[int64]map[string]int{200: {"a": 2}, 201: {"a": 1}})
	h.advance(10 * time.Minute)
	m.CountStart("b")
	qt.Assert(t, m.Recent(time.Hour), qt.HasLen, 1)
}
