package member

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

// staleRowTimeouts is the number of failure timeouts without contact after
// which a member's row is deleted.
const staleRowTimeouts = 10

// maxOwnRowWait bounds the delay of the first scan.
const maxOwnRowWait = 700 * time.Millisecond

// runScans scans the rows periodically until ctx ends. It closes r.scanned
// after the first success.
func (r *Registry) runScans(ctx context.Context) {
	r.awaitOwnRow(ctx)
	scanned := false
	phase := StaggeredDelays()
	for {
		err := r.scan(ctx)
		r.recordCall(err)
		if err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("member: scan failed.")
		}
		next := Jitter(minScanPeriod)
		switch {
		case scanned:
			r.markSettled()
			next = phase(r.scanPeriod(r.Count()))
		case err == nil:
			scanned = true
			next = settleTime
			if r.hasRejoined() {
				// Whoever waits for the scan then knows that all members are known.
				r.markSettled()
				next = phase(r.scanPeriod(r.Count()))
			}
			close(r.scanned)
		}
		// Until the first scan succeeds, the entry may have no other members
		// on record, so it retries after the minimum period.
		if !ctxtime.Sleep(ctx, next) {
			return
		}
	}
}

// markSettled closes the channel of Settled. Only the goroutine that scans calls
// it.
func (r *Registry) markSettled() {
	if !r.IsSettled() {
		close(r.settled)
	}
}

func (r *Registry) hasRejoined() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejoined
}

// awaitOwnRow delays the first scan for a limited time until this entry has
// written its row, and with it many of the entries that start at the same time.
func (r *Registry) awaitOwnRow(ctx context.Context) {
	timer := time.NewTimer(maxOwnRowWait)
	defer timer.Stop()
	select {
	case <-r.joined:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// scan reads all rows, merges those that changed and removes members whose
// rows are missing or stale.
func (r *Registry) scan(ctx context.Context) error {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := r.table.Scan(callCtx, rowPrefix)
	if err != nil {
		return fmt.Errorf("scan members: %w", err)
	}
	c := r.rowContact(started)
	r.lastScan = started
	hasRow := make(map[string]bool, len(rows))
	for _, tableRow := range rows {
		hasRow[strings.TrimPrefix(tableRow.Key, rowPrefix)] = true
		r.mergeRow(tableRow, c)
	}
	r.removeMembersWithoutRow(hasRow)
	r.deleteStaleRow(ctx)
	return nil
}

// rowContact returns the contact that a changed row proves. The row was written
// at some time since the last scan. The contact's age is the time since the
// last scan less one heartbeat period, which is safe because the failure timeout
// is several heartbeat periods long, or state updates arrive more often.
func (r *Registry) rowContact(now time.Time) contact {
	if r.lastScan.IsZero() {
		return contact{at: now, notBefore: now}
	}
	age := max(0, now.Sub(r.lastScan)-r.heartbeatPeriod(r.Count()))
	return contact{at: now.Add(-age), notBefore: r.lastScan}
}

// mergeRow merges a row that a scan read. Only a row with a later heartbeat than
// those read before counts as a contact, which c describes: a restored table may hold
// earlier ones. The row of a new member or
// incarnation may be stale, but counts as a contact at the current time.
func (r *Registry) mergeRow(tableRow infra.Row, c contact) {
	var v row
	if err := json.Unmarshal(tableRow.Value, &v); err != nil || rowPrefix+v.ID != tableRow.Key {
		return
	}
	r.mu.Lock()
	rec := r.others[v.ID]
	unchanged := rec != nil && rec.member.Incarnation == v.Incarnation && v.Beat <= rec.beat
	if unchanged {
		rec.rowVersion = tableRow.Version
	}
	if rec == nil || rec.member.Incarnation != v.Incarnation {
		now := time.Now()
		c = contact{at: now, notBefore: now}
	}
	r.mu.Unlock()
	if unchanged {
		return
	}
	m := v.Member
	m.Epoch = epochOf(v, tableRow.Version)
	r.merge(m, c)
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.others[v.ID]; rec != nil {
		rec.rowVersion = tableRow.Version
		if rec.member.Incarnation == v.Incarnation {
			rec.beat = v.Beat
		}
	}
}

// epochOf returns the epoch of the incarnation that wrote a row. The first row
// of an incarnation contains no epoch; the version with which it was written is the
// epoch.
func epochOf(v row, version uint64) uint64 {
	if v.Epoch != 0 {
		return v.Epoch
	}
	return infra.NewVersion(v.TableEpoch, infra.CounterOf(version))
}

// removeMembersWithoutRow removes members that have no row and that have failed
// or are leaving.
func (r *Registry) removeMembersWithoutRow(hasRow map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, rec := range r.others {
		if hasRow[id] {
			continue
		}
		_, alive := r.stateLocked(rec, now)
		if !alive || rec.member.State == Leaving {
			delete(r.others, id)
			r.log.WithField("member", id).Info("member: left.")
		}
	}
}

// deleteStaleRow deletes the row of one member with which there has been no
// contact for staleRowTimeouts failure timeouts. After that long the member
// can't return under the same incarnation without this entry noticing.
func (r *Registry) deleteStaleRow(ctx context.Context) {
	r.mu.Lock()
	limit := staleRowTimeouts * r.failureTimeout(len(r.others)+1)
	var staleRow infra.Write
	for id, rec := range r.others {
		if rec.rowVersion != 0 && time.Since(rec.lastContact) > limit {
			staleRow = infra.Write{Key: rowPrefix + id, Delete: true, Expect: rec.rowVersion}
			break
		}
	}
	r.mu.Unlock()
	if staleRow.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.table.Commit(ctx, staleRow); err == nil {
		r.log.WithField("row", staleRow.Key).Info("member: deleted stale row.")
	}
}
