package quota

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// levelLocked returns what this entry knows of a limit, for the other owner.
func (l *Limiter) levelLocked(cu *customer, to uint64, now time.Time) peer.LimitLevel {
	rp := &cu.replica
	v := peer.LimitLevel{
		Customer: cu.limit.Name, Process: l.process, Quality: rp.quality,
		// Rounded, because most messages between owners are these.
		Units: math.Floor(cu.global.Level(now)), Granted: rp.granted, Asked: math.Round(100*rp.askedSlowly.Rate(now)) / 100,
	}
	if included, seen := rp.included[to]; seen {
		v.Included, v.IncludedOf = included, to
	}
	return v
}

// mergeLocked takes into account what another owner knows.
func (l *Limiter) mergeLocked(cu *customer, from string, v peer.LimitLevel, now time.Time) {
	rp := &cu.replica
	if rp.rank == 0 {
		return
	}
	cu.sizeReplica(now)
	before, seen := rp.included[v.Process]
	if len(rp.included) >= maxIncluded && !seen {
		clear(rp.included)
	}
	rp.included[v.Process] = max(before, v.Granted)
	level := cu.global.Level(now)
	ours := level - max(0, v.Granted-before)
	theirs, complete := v.Units, v.IncludedOf == l.process
	if complete {
		theirs -= max(0, rp.granted-v.Included)
	}
	switch {
	case v.Quality > rp.quality:
		level, rp.quality, rp.knownSince = theirs, v.Quality, now
		cu.initialFillMembers = 1 // the other owner added it
	case v.Quality < rp.quality:
		if seen || v.Quality == assumedQuality {
			level = ours
		}
	case seen && complete:
		// Neither exceeds what is left: a full bucket loses what would refill the
		// units that the other one granted.
		level = max(ours, theirs)
	case seen:
		level = ours
	case complete:
		level = theirs
	default:
		level = min(level, theirs)
	}
	cu.global.SetLevel(now, max(level, -maxDebt*rp.perSecond))
	if from == rp.partner {
		rp.partnerProcess = v.Process
		rp.contactAt, rp.lost = now, false
		rp.total = rp.askedSlowly.Rate(now) + max(0, v.Asked)
	}
	cu.owned = rp.rank == 1 && rp.quality > 0
}

// MergeLevels takes into account what another owner of limits knows, and returns what
// this entry knows of the same limits.
func (l *Limiter) MergeLevels(from string, levels []peer.LimitLevel) []peer.LimitLevel {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isReplicatedLocked() {
		return nil
	}
	now := l.now()
	var out []peer.LimitLevel
	for _, v := range levels {
		cu := l.customers[v.Customer]
		if cu == nil || cu.limit.PerSecond <= 0 || cu.replica.rank == 0 {
			continue
		}
		l.mergeLocked(cu, from, v, now)
		out = append(out, l.levelLocked(cu, v.Process, now))
	}
	return out
}

// answeredLocked applies the answer of the other owner. One that answers without the
// level of a limit grants nothing of it.
func (l *Limiter) answeredLocked(cu *customer, partner string, answer []peer.LimitLevel, now time.Time) {
	cu.replica.contactAt, cu.replica.lost = now, false
	for _, v := range answer {
		if v.Customer == cu.limit.Name {
			l.mergeLocked(cu, partner, v, now)
		}
	}
}
