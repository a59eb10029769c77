package standin

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// loadHistory holds recent loads, oldest first, from which delayed reports are
// answered.
type loadHistory struct{ entries []timedLoad }

type timedLoad struct {
	at   time.Time
	load endpoint.Load
}

// record appends a load and drops the loads that are too old for any report.
func (h *loadHistory) record(now time.Time, l endpoint.Load, lag time.Duration) {
	h.entries = append(h.entries, timedLoad{at: now, load: l})
	oldest := h.index(now.Add(-lag))
	if oldest > len(h.entries)/2 {
		h.entries = slices.Delete(h.entries, 0, oldest)
	}
}

// index returns the index of the last entry that is not after a time, or 0.
func (h *loadHistory) index(at time.Time) int {
	i, _ := slices.BinarySearchFunc(h.entries, at, func(e timedLoad, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	return max(0, i-1)
}

func (e *Engine) recordLoadLocked() {
	if e.loadLagLocked() <= 0 {
		e.loads.entries = nil
		return
	}
	e.loads.record(time.Now(), e.currentLoadLocked(), e.loadLagLocked())
}

func (e *Engine) loadLagLocked() time.Duration { return e.cfg.LoadLag + e.faults.LoadLag }

// reportedLoadLocked returns the load in reports at a time, which lags behind
// the current load.
func (e *Engine) reportedLoadLocked(now time.Time) endpoint.Load {
	if e.loadLagLocked() <= 0 || len(e.loads.entries) == 0 {
		return e.currentLoadLocked()
	}
	return e.loads.entries[e.loads.index(now.Add(-e.loadLagLocked()))].load
}

func (e *Engine) currentLoadLocked() endpoint.Load {
	l := endpoint.Load{
		Running:     e.running,
		Waiting:     e.waiting.Len(),
		PrefillRate: e.cfg.PrefillRate,
		DecodeRate:  e.cfg.DecodeRate,
		MaxRunning:  e.cfg.MaxRunning,
		Leaving:     e.leaving && !e.faults.HideLeaving,
	}
	for _, s := range e.waiting.streams {
		l.QueuedPromptTokens += s.uncached
	}
	for _, s := range e.prefills.streams {
		l.QueuedPromptTokens += s.uncached
	}
	if s := e.prefilling; s != nil {
		left := max(0, s.prefillLeft-time.Since(s.started))
		l.QueuedPromptTokens += int(left.Seconds() * e.cfg.PrefillRate)
	}
	return l
}

// Load implements endpoint.Engine.
func (e *Engine) Load(ctx context.Context) (endpoint.Load, error) {
	if err := e.beginCall(ctx); err != nil {
		return endpoint.Load{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reportedLoadLocked(time.Now()), nil
}
