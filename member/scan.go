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

// reapFactor is how many times GoneAfter a row must be unchanged before it is
// deleted.
const reapFactor = 10

func (r *Registry) scans(ctx context.Context) {
	scanned := false
	phase := Phase()
	for {
		err := r.scan(ctx)
		if err != nil && ctx.Err() == nil {
			r.log.WithError(err).Warn("member: scan failed.")
		}
		if err == nil && !scanned {
			scanned = true
			close(r.scanned)
		}
		next := Jitter(minScanPeriod)
		if scanned {
			next = phase(ScanPeriod(r.Count()))
		}
		// Without a first scan the entry knows nobody and tries again soon.
		if !ctxtime.Sleep(ctx, next) {
			return
		}
	}
}

// scan reads all rows and takes in those that changed.
func (r *Registry) scan(ctx context.Context) error {
	started := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := r.table.Scan(callCtx, rowPrefix)
	if err != nil {
		return fmt.Errorf("scan members: %w", err)
	}
	shown := r.rowSign(started)
	r.lastScan = started
	present := make(map[string]bool, len(rows))
	for _, found := range rows {
		present[strings.TrimPrefix(found.Key, rowPrefix)] = true
		r.takeIn(found, shown)
	}
	r.dropAbsent(present)
	r.reap(ctx)
	return nil
}

// rowSign returns the sign of life that a changed row shows. It was written at
// some time since the last scan. Within one heartbeat period it counts as new,
// because GoneAfter is several of them.
func (r *Registry) rowSign(now time.Time) sign {
	if r.lastScan.IsZero() {
		return sign{at: now, surelyAfter: now}
	}
	age := max(0, now.Sub(r.lastScan)-HeartbeatPeriod(r.Count()))
	return sign{at: now.Add(-age), surelyAfter: r.lastScan}
}

// takeIn reads a row of a scan. Only a row that changed since the last scan
// is a sign of life. A member that was not known before gets the benefit of
// the doubt.
func (r *Registry) takeIn(found infra.Row, shown sign) {
	var v row
	if err := json.Unmarshal(found.Value, &v); err != nil || rowPrefix+v.ID != found.Key {
		return
	}
	r.mu.Lock()
	rec := r.others[v.ID]
	unchanged := rec != nil && rec.rowVersion == found.Version
	if rec == nil || rec.member.Incarnation != v.Incarnation {
		now := time.Now()
		shown = sign{at: now, surelyAfter: now}
	}
	r.mu.Unlock()
	if unchanged {
		return
	}
	m := v.Member
	m.Epoch = epochOf(v, found.Version)
	r.learn(m, shown)
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.others[v.ID]; rec != nil {
		rec.rowVersion = found.Version
	}
}

// epochOf returns the epoch of a row: the first row of an incarnation has
// none yet and is its epoch.
func epochOf(v row, version uint64) uint64 {
	if v.Epoch != 0 {
		return v.Epoch
	}
	return version
}

// dropAbsent forgets members without a row that show no sign of life.
func (r *Registry) dropAbsent(present map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, rec := range r.others {
		if present[id] {
			continue
		}
		_, alive := r.stateLocked(rec, now)
		if !alive || rec.member.State == Leaving {
			delete(r.others, id)
			r.log.WithField("member", id).Info("member: left.")
		}
	}
}

// reap deletes the oldest row that has been unchanged for so long that its
// member can't come back under the same incarnation unnoticed.
func (r *Registry) reap(ctx context.Context) {
	r.mu.Lock()
	limit := reapFactor * FailureTimeout(len(r.others)+1)
	var victim infra.Write
	for id, rec := range r.others {
		if rec.rowVersion != 0 && time.Since(rec.lastSign) > limit {
			victim = infra.Write{Key: rowPrefix + id, Delete: true, Expect: rec.rowVersion}
			break
		}
	}
	r.mu.Unlock()
	if victim.Key == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := r.table.Commit(ctx, victim); err == nil {
		r.log.WithField("row", victim.Key).Info("member: deleted stale row.")
	}
}
