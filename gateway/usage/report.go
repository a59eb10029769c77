package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// settleDelay is the time after the end of a window in which the reporter
	// waits for the counts of other entries, which report them every second or
	// two.
	settleDelay = 2500 * time.Millisecond
	// incompleteWaitFraction is the fraction of Due for which the reporter
	// waits for entries that have not reported since the end of the window.
	incompleteWaitFraction = 0.6
	// lookbackWindows is the number of past windows that a new lease holder
	// checks.
	lookbackWindows = 4
	// retainedRows is the number of committed windows that stay in the table.
	retainedRows = 50
	// checkPeriod is the interval between checks for windows to report.
	checkPeriod = 500 * time.Millisecond
)

// Lease decides whether this entry may report.
type Lease interface {
	// Held reports whether this entry holds the lease now, and its fencing token.
	Held() (fence uint64, ok bool)
	// Do calls effect if this entry holds the lease, which isn't released before it
	// returns.
	Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error
}

// Sender sends the report of one window. An exact repeat has no effect.
type Sender interface {
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int) error
}

// Source returns what all entries counted in a window, and whether each of them
// has reported its counts since the end of the window.
type Source func(window int64, end time.Time) (counts Counts, complete bool)

// Reporter reports each window once. It commits the counts to the table before
// it sends them, so that a repeat, by this entry or by the next lease holder,
// sends the same counts.
type Reporter struct {
	Lease  Lease
	Table  infra.Table
	Sender Sender
	Source Source
	Clock  *Clock
	// Window is the length of a window. Due is the time after the end of a
	// window by which its report is due; it is not reported later.
	Window, Due time.Duration
	// Epoch is that of the table. It may be nil.
	Epoch *infra.Epoch
	Log   *logrus.Entry

	// done holds the windows that are reported or overdue.
	done map[int64]bool
	// committed holds the counts of the last windows that this process committed.
	committed map[int64]Counts
	// lost determines which windows others may have reported without a trace.
	lost lostReports
}

// Run reports windows while this entry holds the lease, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.done, r.committed = make(map[int64]bool), make(map[int64]Counts)
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.check(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reporter) check(ctx context.Context) {
	now := r.Clock.Now()
	_, held := r.Lease.Held()
	r.lost.observe(r.Epoch.Current(), held, now)
	if !held {
		clear(r.done)
		return
	}
	current := now.UnixNano() / int64(r.Window)
	for k := current - lookbackWindows; k < current; k++ {
		if !r.done[k] {
			r.report(ctx, k, now)
		}
	}
	for k := range r.done {
		if k < current-lookbackWindows {
			delete(r.done, k)
		}
	}
	for k := range r.committed {
		if k < current-lookbackWindows {
			delete(r.committed, k)
		}
	}
}

// report reports window k, unless it has to wait for more counts or is overdue.
func (r *Reporter) report(ctx context.Context, k int64, now time.Time) {
	end := time.Unix(0, (k+1)*int64(r.Window))
	since := now.Sub(end)
	if since < settleDelay {
		return
	}
	if since > r.Due {
		r.done[k] = true
		return
	}
	counts, complete := r.Source(k, end)
	if !complete && since < time.Duration(incompleteWaitFraction*float64(r.Due)) {
		return
	}
	err := r.Lease.Do(ctx, func(ctx context.Context, fence uint64) error { return r.send(ctx, fence, k, counts) })
	if errors.Is(err, errMayBeReported) {
		r.done[k] = true
		r.Log.WithFields(logrus.Fields{"window": k, "epoch": r.Epoch.Current()}).WithError(err).Warn("usage: window left out.")
		return
	}
	if err != nil {
		r.Log.WithField("window", k).WithError(err).Warn("usage: window not reported yet.")
		return
	}
	r.done[k] = true
	r.Log.WithFields(logrus.Fields{"window": k, "complete": complete, "age_ms": since.Milliseconds()}).Info("usage: window reported.")
}

func (r *Reporter) send(ctx context.Context, fence uint64, k int64, counts Counts) error {
	committed, err := r.commitCounts(ctx, k, counts)
	if err != nil {
		return err
	}
	if len(committed) == 0 {
		if len(counts) > 0 {
			return errMayBeReported
		}
		return nil
	}
	return r.Sender.Report(ctx, fence, k, committed)
}

// commitCounts writes the counts of a window to the table unless it already
// holds counts of that window. It returns the counts in the table. If a restore of the
// table may have removed the counts that another process reported, it returns none.
func (r *Reporter) commitCounts(ctx context.Context, k int64, counts Counts) (Counts, error) {
	ctx = infra.WithPriority(ctx, infra.PriorityLease)
	own, isOwn := r.committed[k]
	if isOwn {
		counts = own
	} else if r.mayBeLost(k) {
		counts = nil
	}
	if len(counts) > 0 {
		value, err := json.Marshal(counts)
		if err != nil {
			return nil, fmt.Errorf("encode window %d: %w", k, err)
		}
		version, err := r.Table.Commit(ctx,
			infra.Write{Key: rowKey(k), Value: value, Expect: infra.ExpectAbsent},
			infra.Write{Key: rowKey(k - retainedRows), Delete: true, Expect: infra.ExpectAny})
		if err == nil {
			r.lost.observe(r.Epoch.Current(), true, r.Clock.Now())
			if !isOwn && r.mayBeLost(k) {
				r.withdraw(ctx, k, version)
				return nil, nil
			}
			r.committed[k] = counts
			return counts, nil
		}
		if _, conflict := infra.ConflictKey(err); !conflict && verdict.Of(err) == verdict.NotRun {
			return nil, err
		}
	}
	row, ok, err := r.Table.Get(ctx, rowKey(k))
	if err != nil {
		return nil, err
	}
	if !ok {
		if len(counts) == 0 {
			return nil, nil
		}
		return nil, fmt.Errorf("window %d is not committed yet", k)
	}
	var committed Counts
	if err := json.Unmarshal(row.Value, &committed); err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return committed, nil
}

// errMayBeReported is the error of a window whose counts a restore may have removed.
var errMayBeReported = errors.New("another entry may have reported the window before the table was restored")

// mayBeLost reports whether another process may have reported window k, and a restore
// of the table may have removed what it committed.
func (r *Reporter) mayBeLost(k int64) bool {
	return r.lost.includes(time.Unix(0, (k+1)*int64(r.Window)).Add(settleDelay))
}

// withdraw deletes the row of window k, which was written after a restore that was not
// yet known.
func (r *Reporter) withdraw(ctx context.Context, k int64, version uint64) {
	if _, err := r.Table.Commit(ctx, infra.Write{Key: rowKey(k), Delete: true, Expect: version}); err != nil {
		r.Log.WithField("window", k).WithError(err).Warn("usage: counts of a window that is left out can't be deleted.")
	}
}

func rowKey(k int64) string { return fmt.Sprintf("usage/%d", k) }
