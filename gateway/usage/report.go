package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const (
	// settle is how long after its end a window is left open for counts on
	// their way from the other entries, which tell them every second or two.
	settle = 2500 * time.Millisecond
	// patiencePart is the part of the time until a report is due for which it
	// waits for entries that were not heard since the window's end.
	patiencePart = 0.6
	// windowsBack is how many windows a new holder looks back.
	windowsBack = 4
	// rowsKept is how many sealed windows stay in the table.
	rowsKept = 50
	// checkPeriod is how often the reporter looks for windows to report.
	checkPeriod = 500 * time.Millisecond
)

// Lease says whether this entry may report, and with which fencing token.
type Lease interface {
	Held() (fence uint64, ok bool)
}

// Sender sends the report of one window. An exact repeat has no effect.
type Sender interface {
	Report(ctx context.Context, fence uint64, window int64, counts map[string]int) error
}

// Source returns what all entries counted in a window, and whether all of them
// were heard since its end.
type Source func(window int64, end time.Time) (counts Counts, complete bool)

// Reporter reports each window once. The counts are sealed in the table before
// they are sent, so that whoever repeats a report repeats the same counts.
type Reporter struct {
	Lease  Lease
	Table  infra.Table
	Sender Sender
	Source Source
	Clock  *Clock
	// Window is the length of a window, Due how long after its end the report
	// is due.
	Window, Due time.Duration
	Log         *logrus.Entry

	done map[int64]bool
}

// Run reports windows while this entry holds the lease, until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.done = make(map[int64]bool)
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
	if _, ok := r.Lease.Held(); !ok {
		clear(r.done)
		return
	}
	now := r.Clock.Now()
	current := now.UnixNano() / int64(r.Window)
	for k := current - windowsBack; k < current; k++ {
		if !r.done[k] {
			r.report(ctx, k, now)
		}
	}
	for k := range r.done {
		if k < current-windowsBack {
			delete(r.done, k)
		}
	}
}

// report reports a window if it is time to.
func (r *Reporter) report(ctx context.Context, k int64, now time.Time) {
	end := time.Unix(0, (k+1)*int64(r.Window))
	since := now.Sub(end)
	if since < settle {
		return
	}
	if since > r.Due {
		r.done[k] = true
		return
	}
	counts, complete := r.Source(k, end)
	if !complete && since < time.Duration(patiencePart*float64(r.Due)) {
		return
	}
	if err := r.send(ctx, k, counts); err != nil {
		r.Log.WithField("window", k).WithError(err).Warn("usage: window not reported yet.")
		return
	}
	r.done[k] = true
	r.Log.WithFields(logrus.Fields{"window": k, "complete": complete, "age_ms": since.Milliseconds()}).Info("usage: window reported.")
}

func (r *Reporter) send(ctx context.Context, k int64, counts Counts) error {
	sealed, err := r.seal(ctx, k, counts)
	if err != nil || len(sealed) == 0 {
		return err
	}
	fence, ok := r.Lease.Held()
	if !ok {
		return fmt.Errorf("lease was lost before window %d was sent", k)
	}
	return r.Sender.Report(ctx, fence, k, sealed)
}

// seal writes the counts of a window unless they are there already, and
// returns those that are in the table.
func (r *Reporter) seal(ctx context.Context, k int64, counts Counts) (Counts, error) {
	ctx = infra.WithPriority(ctx, infra.PriorityLease)
	if len(counts) > 0 {
		value, err := json.Marshal(counts)
		if err != nil {
			return nil, fmt.Errorf("encode window %d: %w", k, err)
		}
		_, err = r.Table.Commit(ctx,
			infra.Write{Key: rowKey(k), Value: value, Expect: infra.ExpectAbsent},
			infra.Write{Key: rowKey(k - rowsKept), Delete: true, Expect: infra.ExpectAny})
		if err == nil {
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
		return nil, fmt.Errorf("window %d is not sealed yet", k)
	}
	var sealed Counts
	if err := json.Unmarshal(row.Value, &sealed); err != nil {
		return nil, fmt.Errorf("decode row %q: %w", row.Key, err)
	}
	return sealed, nil
}

func rowKey(k int64) string { return fmt.Sprintf("usage/%d", k) }
