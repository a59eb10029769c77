package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// record is the value of a lease row. A released lease has no owner; its row
// stays, so that fencing numbers go on growing.
type record struct {
	Owner       string        `json:"owner"`
	Incarnation string        `json:"incarnation"`
	Fence       uint64        `json:"fence"`
	Duration    time.Duration `json:"duration_ns"`
}

// step renews a lease that is held, or looks whether it can be had.
func (l *Lease) step(ctx context.Context) {
	if _, ok := l.Held(); ok {
		l.renew(ctx)
		return
	}
	if l.drop().fence != 0 {
		l.log.Warn("lease: lapsed.")
	}
	if err := l.contend(ctx); err != nil {
		l.log.WithError(err).Debug("lease: not acquired.")
	}
}

// renew writes the row again. Time counts from before the write is sent.
func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	h := l.held
	l.mu.Unlock()
	sent := time.Now()
	version, err := l.write(ctx, l.record(h.fence), h.version)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held.sent, l.held.version = sent, version
		return
	}
	_, conflict := infra.ConflictKey(err)
	if verdict.Of(err) == verdict.NotRun && !conflict {
		l.log.WithError(err).Warn("lease: not renewed.")
		return
	}
	l.recheck(ctx, h)
}

// recheck reads the row after a renewal that was lost or refused. Where it is
// still ours only its version is taken: which of our writes it shows is not
// known, so that the time goes on counting from the last confirmed one.
func (l *Lease) recheck(ctx context.Context, h holding) {
	row, r, err := l.read(ctx)
	if err != nil {
		l.log.WithError(err).Warn("lease: renewal not confirmed.")
		return
	}
	if r == nil || !l.ours(*r) || r.Fence != h.fence {
		l.drop()
		l.log.WithField("fence", h.fence).Warn("lease: lost.")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.version = row.Version
}

// contend takes the lease if it is free.
func (l *Lease) contend(ctx context.Context) error {
	row, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	if r == nil {
		return l.take(ctx, 1, infra.ExpectAbsent)
	}
	if !l.free(row, *r) {
		return nil
	}
	return l.take(ctx, r.Fence+1, row.Version)
}

// free says whether the row may be taken over: it was released, or it is our
// own from before, or it has not changed for its duration and the margin.
func (l *Lease) free(row infra.Row, r record) bool {
	if r.Owner == "" || l.ours(r) {
		return true
	}
	if l.watched.version != row.Version {
		l.watched = watch{version: row.Version, since: time.Now()}
		return false
	}
	return time.Since(l.watched.since) >= r.Duration+l.opt.Margin
}

// take writes the row with a higher fencing number.
func (l *Lease) take(ctx context.Context, fence, expect uint64) error {
	highest := l.Fence()
	invariant.Check(fence > highest, invariant.FenceMonotonic,
		"lease %s taken with fence %d after %d", l.opt.Name, fence, highest)
	sent := time.Now()
	version, err := l.write(ctx, l.record(fence), expect)
	if err != nil && verdict.Of(err) == verdict.NotRun {
		return err
	}
	if err != nil {
		row, r, readErr := l.read(ctx)
		if readErr != nil || r == nil || !l.ours(*r) || r.Fence != fence {
			return fmt.Errorf("takeover not confirmed: %w", err)
		}
		version = row.Version
	}
	l.acquired(holding{fence: fence, version: version, sent: sent, taken: sent})
	return nil
}

func (l *Lease) acquired(h holding) {
	l.mu.Lock()
	l.held, l.highest = h, max(l.highest, h.fence)
	l.mu.Unlock()
	l.log.WithField("fence", h.fence).Info("lease: taken over.")
}

// giveBack marks the row as released, so that a successor need not wait. A
// failure is no harm: the lease lapses.
func (l *Lease) giveBack(ctx context.Context) {
	h := l.drop()
	if h.version == 0 {
		return
	}
	released := record{Fence: l.Fence(), Duration: l.opt.Duration}
	if _, err := l.write(context.WithoutCancel(ctx), released, h.version); err != nil {
		l.log.WithError(err).Debug("lease: not given back.")
		return
	}
	l.log.Info("lease: given back.")
}

func (l *Lease) record(fence uint64) record {
	return record{
		Owner:       l.opt.Owner,
		Incarnation: l.opt.Incarnation,
		Fence:       fence,
		Duration:    l.opt.Duration,
	}
}

func (l *Lease) ours(r record) bool {
	return r.Owner == l.opt.Owner && r.Incarnation == l.opt.Incarnation
}

// read returns the row; its record is nil when there is none.
func (l *Lease) read(ctx context.Context) (infra.Row, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.TableTimeout)
	defer cancel()
	row, ok, err := l.table.Get(ctx, l.row)
	if err != nil || !ok {
		return row, nil, err
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return row, nil, fmt.Errorf("decode row %q: %w", l.row, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	invariant.Check(r.Fence >= l.highest, invariant.FenceMonotonic,
		"lease %s shows fence %d after %d", l.opt.Name, r.Fence, l.highest)
	l.highest = max(l.highest, r.Fence)
	return row, &r, nil
}

func (l *Lease) write(ctx context.Context, r record, expect uint64) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInternal, "lease: encode: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.TableTimeout)
	defer cancel()
	return l.table.Commit(ctx, infra.Write{Key: l.row, Value: value, Expect: expect})
}
