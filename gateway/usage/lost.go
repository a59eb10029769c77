package usage

import "time"

// lostReports records from when on a report leaves its counts in the table: a restore of
// the table may have removed those before.
type lostReports struct {
	epoch uint64
	// restoredBy is the time at which this process knew of the last restore.
	restoredBy time.Time
	// heldFrom is the time since which this process has held the lease; zero if it
	// doesn't hold it.
	heldFrom time.Time
	// soleFrom is the time from which on until the last restore only this process
	// can have reported.
	soleFrom time.Time
}

// observe records the epoch of the table, and whether this process holds the lease.
func (l *lostReports) observe(epoch uint64, held bool, now time.Time) {
	switch {
	case !held:
		l.heldFrom = time.Time{}
	case l.heldFrom.IsZero():
		l.heldFrom = now
	}
	if epoch == l.epoch {
		return
	}
	l.epoch, l.restoredBy, l.soleFrom = epoch, now, now
	if held {
		l.soleFrom = l.heldFrom
	}
}

// includes reports whether another process may have reported a window, which was
// possible from the given time on, without a trace in the table.
func (l *lostReports) includes(possibleFrom time.Time) bool {
	return possibleFrom.Before(l.restoredBy) && possibleFrom.Before(l.soleFrom)
}
