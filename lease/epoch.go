package lease

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// nextFence returns the fencing token of a takeover, which is higher than that of the
// row and than the highest one seen. Where the table has epochs, it is also higher than
// the row's version, and so than all tokens before: a restore may have removed the rows
// with them, or a write of an earlier epoch may have replaced them.
func (l *Lease) nextFence(row infra.Row, r *record, highest uint64) uint64 {
	if r != nil {
		highest = max(highest, r.Fence)
	}
	if l.epoch > 0 {
		highest = max(highest, infra.NewVersion(l.epoch, infra.CounterOf(row.Version)))
	}
	return highest + 1
}

// observeEpoch records when this process first saw the epoch of the table.
func (l *Lease) observeEpoch() {
	if epoch := l.opt.Epoch.Current(); epoch != l.epoch {
		l.epoch, l.epochSince = epoch, time.Now()
	}
}

// restoredSince reports whether the table was restored after a takeover.
func (l *Lease) restoredSince(h hold) bool { return infra.EpochOf(h.fence) != l.opt.Epoch.Current() }

// isEarlier reports whether the row, which may be absent, is from before a takeover of
// this process that is still valid: the table was restored, or a renewal of an earlier
// epoch has replaced the row. No other process acquires the lease meanwhile (see
// available).
func (l *Lease) isEarlier(r *record, h hold) bool {
	if r == nil {
		return l.restoredSince(h)
	}
	return r.Fence < h.fence || l.restoredSince(h) && (l.isOwn(*r) || r.Fence == h.fence)
}
