package lease

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// record is the value of a lease row. The record of a released lease has no
// owner, but its row remains, so that the fencing token never decreases.
type record struct {
	Owner       string        `json:"owner"`
	Incarnation string        `json:"incarnation"`
	Fence       uint64        `json:"fence"`
	Duration    time.Duration `json:"duration_ns"`
}

// step renews the lease if it is held, and otherwise tries to acquire it.
func (l *Lease) step(ctx context.Context) {
	if _, ok := l.Held(); ok {
		l.renew(ctx)
		return
	}
	if l.clearHold().fence != 0 {
		l.log.Warn("lease: lapsed.")
	}
	if err := l.contend(ctx); err != nil {
		l.log.WithError(err).Debug("lease: not acquired.")
	}
}

// renew writes the row again. The lease's duration is measured from before the
// write is sent.
func (l *Lease) renew(ctx context.Context) {
	l.mu.Lock()
	h := l.hold
	l.mu.Unlock()
	if l.restoredSince(h) {
		l.recheck(ctx, h)
		return
	}
	sent := time.Now()
	version, err := l.write(ctx, l.record(h.fence), h.version)
	if err == nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.hold.renewedAt, l.hold.version = sent, version
		return
	}
	_, conflict := infra.ConflictKey(err)
	if verdict.Of(err) == verdict.NotRun && !conflict {
		l.log.WithError(err).Warn("lease: renewal failed.")
		return
	}
	l.recheck(ctx, h)
}

// recheck reads the row after a renewal whose response was lost or that
// conflicted. If this process still owns the row, recheck updates only the
// version: the row may contain an earlier write, so the duration must still
// start at the last confirmed renewal.
func (l *Lease) recheck(ctx context.Context, h hold) {
	row, r, err := l.read(ctx)
	if err != nil {
		l.log.WithError(err).Warn("lease: renewal not confirmed.")
		return
	}
	if _, held := l.Held(); held && l.isEarlier(r, h) {
		if err := l.acquire(ctx, row, r); err != nil {
			l.log.WithError(err).Warn("lease: not taken again after a restore.")
		}
		return
	}
	if r == nil || !l.isOwn(*r) || r.Fence != h.fence {
		l.clearHold()
		l.mu.Lock()
		l.hold.lost = true
		l.mu.Unlock()
		l.log.WithFields(logrus.Fields{"fence": h.fence, "epoch": l.opt.Epoch.Current()}).Warn("lease: lost.")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hold.version = row.Version
}

// contend acquires the lease if it is available.
func (l *Lease) contend(ctx context.Context) error {
	row, r, err := l.read(ctx)
	if err != nil {
		return err
	}
	if !l.available(row, r) {
		return nil
	}
	return l.acquire(ctx, row, r)
}

// available reports whether the lease may be acquired: there is no row, it was
// released, the row is an earlier one of this process, or it has not changed for the
// lease's duration plus the margin. A restored table may have lost the row, or hold an
// earlier one, while another process holds the lease: nothing but that time then shows
// that it doesn't.
func (l *Lease) available(row infra.Row, r *record) bool {
	if r == nil {
		return time.Since(l.epochSince) >= l.opt.Duration+l.opt.Margin
	}
	if l.observed.version != row.Version {
		l.observed = observedRow{version: row.Version, since: time.Now()}
	}
	unchanged := time.Since(l.observed.since) >= r.Duration+l.opt.Margin
	if infra.EpochOf(r.Fence) != l.epoch {
		return unchanged
	}
	return r.Owner == "" || l.isOwn(*r) || unchanged
}

// acquire writes the row with a higher fencing token. r is the record of the row that
// was read. If the response is lost, it reads the row to find out whether the write
// succeeded. In a later epoch than that of the token it has not: another process may
// hold the lease there.
func (l *Lease) acquire(ctx context.Context, row infra.Row, r *record) error {
	highest := l.HighestFence()
	fence := l.nextFence(row, r, highest)
	invariant.Check(fence > highest, invariant.FenceMonotonic,
		"lease %s acquired with fence %d after %d", l.opt.Name, fence, highest)
	sent := time.Now()
	version, err := l.write(ctx, l.record(fence), row.Version)
	if err != nil && verdict.Of(err) == verdict.NotRun {
		return err
	}
	if err != nil {
		row, r, readErr := l.read(ctx)
		if readErr != nil || r == nil || !l.isOwn(*r) || r.Fence != fence {
			return fmt.Errorf("takeover not confirmed: %w", err)
		}
		version = row.Version
	}
	if epoch := l.opt.Epoch.Current(); infra.EpochOf(fence) != epoch {
		return fmt.Errorf("takeover with fence %d not confirmed: table is in epoch %d", fence, epoch)
	}
	l.setHold(hold{fence: fence, version: version, renewedAt: sent, acquiredAt: sent})
	return nil
}

func (l *Lease) setHold(h hold) {
	l.mu.Lock()
	l.hold, l.highestFence = h, max(l.highestFence, h.fence)
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{"fence": h.fence, "epoch": l.opt.Epoch.Current()}).Info("lease: acquired.")
}

// releaseRow marks the row as released once no effect is in progress, so that a
// successor need not wait for the lease to expire. It only logs a failure, because the lease then expires.
func (l *Lease) releaseRow(ctx context.Context) {
	h := l.clearHold()
	if h.version == 0 {
		return
	}
	l.effects.Wait()
	released := record{Fence: l.HighestFence(), Duration: l.opt.Duration}
	if _, err := l.write(context.WithoutCancel(ctx), released, h.version); err != nil {
		l.log.WithError(err).Debug("lease: release failed.")
		return
	}
	l.log.Info("lease: released.")
}

func (l *Lease) record(fence uint64) record {
	return record{
		Owner:       l.opt.Owner,
		Incarnation: l.opt.Incarnation,
		Fence:       fence,
		Duration:    l.opt.Duration,
	}
}

func (l *Lease) isOwn(r record) bool {
	return r.Owner == l.opt.Owner && r.Incarnation == l.opt.Incarnation
}

// read returns the row and its record, which is nil when there is no row.
func (l *Lease) read(ctx context.Context) (infra.Row, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.TableTimeout)
	defer cancel()
	row, ok, err := l.table.Get(ctx, l.rowKey)
	if err != nil {
		return row, nil, err
	}
	l.observeEpoch()
	if !ok {
		return infra.Row{Version: infra.ExpectAbsent}, nil, nil
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return row, nil, fmt.Errorf("decode row %q: %w", l.rowKey, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	restored := infra.EpochOf(r.Fence) < l.opt.Epoch.Current()
	invariant.Check(r.Fence >= l.highestFence || restored, invariant.FenceMonotonic,
		"lease %s has fence %d after %d", l.opt.Name, r.Fence, l.highestFence)
	l.highestFence = max(l.highestFence, r.Fence)
	return row, &r, nil
}

func (l *Lease) write(ctx context.Context, r record, expect uint64) (uint64, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInternal, "lease: encode: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, l.opt.TableTimeout)
	defer cancel()
	return l.table.Commit(ctx, infra.Write{Key: l.rowKey, Value: value, Expect: expect})
}
