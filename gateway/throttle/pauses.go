package throttle

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

const (
	// pauseSpread and maxPauseSpread bound the random time that is added to a
	// pause, as a fraction and as a time, because a replica may have named the
	// same end to many entries.
	pauseSpread    = 0.1
	maxPauseSpread = time.Second
)

// Pause records that a replica accepts no requests of this entry for a time. It
// reports whether the replica was paused already.
func (t *Throttle) Pause(r *replica.Replica, d time.Duration) (known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for k, until := range t.pausedUntil {
		if now.After(until) {
			delete(t.pausedUntil, k)
		}
	}
	k := incarnationOf(r)
	until := now.Add(d + time.Duration(t.opt.Random()*min(pauseSpread*float64(d), float64(maxPauseSpread))))
	old, known := t.pausedUntil[k]
	if until.After(old) {
		t.pausedUntil[k] = until
	}
	if !known {
		t.opt.Count("pause")
		t.opt.Log.WithFields(logrus.Fields{"replica": r.ID, "born": r.Incarnation, "pause_ms": d.Milliseconds()}).Info("throttle: replica pauses.")
	}
	return known
}

// Paused reports whether a replica accepts no requests of this entry now.
func (t *Throttle) Paused(r *replica.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.pausedUntil[incarnationOf(r)])
}
