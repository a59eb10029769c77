package standin

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// EngineFaults are the faults of an Engine. Probabilities are in [0, 1]. The
// zero value has none.
type EngineFaults struct {
	// Dead breaks all streams off and refuses everything, as a process that
	// died. Its streams are gone when it is cleared.
	Dead bool `json:"dead"`
	// Hang lets every call wait until its context ends, and holds all frames
	// back. Generation goes on.
	Hang bool `json:"hang"`
	// HideLeaving keeps the engine from reporting that its host will be
	// reclaimed.
	HideLeaving bool `json:"hide_leaving"`
	// CutStream is the probability, per frame, that the reader's connection
	// is reset. The stream goes on.
	CutStream float64 `json:"cut_stream"`
	// LateFrame, RepeatFrame and DropFrame are probabilities, per frame, that
	// it comes after the next one, twice, or never.
	LateFrame   float64 `json:"late_frame"`
	RepeatFrame float64 `json:"repeat_frame"`
	DropFrame   float64 `json:"drop_frame"`
	// CrossFrame is the probability, per frame, that a frame of another
	// stream comes before it.
	CrossFrame float64 `json:"cross_frame"`
	// WrongTotal is the probability that an end mark has a wrong count.
	WrongTotal float64 `json:"wrong_total"`
	// EarlyEnd is the probability, per frame, that it carries the end mark
	// although the answer goes on.
	EarlyEnd float64 `json:"early_end"`
	// LoseEvent is the probability that a cache event is lost.
	LoseEvent float64 `json:"lose_event"`
	// EventLag and LoadLag are added to the lags of the reports.
	EventLag time.Duration `json:"event_lag_ns"`
	LoadLag  time.Duration `json:"load_lag_ns"`
	// RefuseOrders refuses all orders.
	RefuseOrders bool `json:"refuse_orders"`
}

// Faults returns the faults in force.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	if f.Dead {
		e.Kill()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !f.Dead && e.dead {
		e.reviveLocked()
	}
	e.faults = f
	e.recordLoadLocked()
	close(e.switched)
	e.switched = make(chan struct{})
	e.cache.lose = func() bool { return e.rng.Float64() < e.faults.LoseEvent }
}

// enter refuses a call to a dead engine and lets one to a hung engine wait.
func (e *Engine) enter(ctx context.Context) error {
	for {
		e.mu.Lock()
		dead, hung, switched := e.dead, e.faults.Hang, e.switched
		e.mu.Unlock()
		if dead {
			return errDead()
		}
		if err := ctx.Err(); err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeCancelled, "engine: %w", err)
		}
		if !hung {
			return nil
		}
		if err := pause(ctx, 0, switched); err != nil {
			return err
		}
	}
}

// deliverLocked queues a frame for a reader, as the faults have it.
func (e *Engine) deliverLocked(r *reader, f endpoint.Frame) error {
	faults := &e.faults
	if e.rng.Float64() < faults.CutStream {
		return errReset()
	}
	if e.rng.Float64() < faults.CrossFrame {
		if other, ok := e.otherFrameLocked(r.stream, f.Offset); ok {
			r.queued = append(r.queued, other)
		}
	}
	if f.End && e.rng.Float64() < faults.WrongTotal {
		f.Total++
	}
	if !f.End && e.rng.Float64() < faults.EarlyEnd {
		f.End, f.Total = true, r.stream.total
	}
	switch {
	case f.End:
		// Nothing is read behind the end mark.
		r.releaseHeld()
		r.queued = append(r.queued, f)
		return nil
	case e.rng.Float64() < faults.DropFrame:
		return nil
	case e.rng.Float64() < faults.LateFrame && r.held == nil:
		r.held = &f
		return nil
	}
	r.queued = append(r.queued, f)
	if e.rng.Float64() < faults.RepeatFrame {
		r.queued = append(r.queued, f)
	}
	r.releaseHeld()
	return nil
}

func (r *reader) releaseHeld() {
	if r.held != nil {
		r.queued = append(r.queued, *r.held)
		r.held = nil
	}
}

// otherFrameLocked returns a frame of another running stream: the one at the
// offset that the reader awaits where there is one, which only the IDs tell
// from the right one.
func (e *Engine) otherFrameLocked(not *stream, offset int) (endpoint.Frame, bool) {
	now := time.Now()
	for _, s := range e.streams {
		have := s.generated(now)
		if s == not || s.state != stateDecode || have <= s.request.ResumeTokens {
			continue
		}
		at := min(max(offset, s.request.ResumeTokens), have-1)
		return s.frame(at, at+1), true
	}
	return endpoint.Frame{}, false
}
