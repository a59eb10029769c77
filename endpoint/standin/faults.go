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
	// Dead breaks all streams off and refuses all calls, as if the process
	// had crashed. Clearing it restarts the engine without its streams.
	Dead bool `json:"dead"`
	// Hang blocks every call until its context ends, and withholds all
	// frames. Generation continues.
	Hang bool `json:"hang"`
	// HideLeaving keeps the engine from reporting that its host will be
	// reclaimed.
	HideLeaving bool `json:"hide_leaving"`
	// CutStream is the probability, per frame, that the reader's connection
	// is reset. The stream continues.
	CutStream float64 `json:"cut_stream"`
	// LateFrame, RepeatFrame and DropFrame are the probabilities, per frame,
	// that it is delivered after the next one, twice, or never.
	LateFrame   float64 `json:"late_frame"`
	RepeatFrame float64 `json:"repeat_frame"`
	DropFrame   float64 `json:"drop_frame"`
	// CrossFrame is the probability, per frame, that a frame of another
	// stream is delivered before it.
	CrossFrame float64 `json:"cross_frame"`
	// WrongTotal is the probability that an end mark has a wrong count.
	WrongTotal float64 `json:"wrong_total"`
	// EarlyEnd is the probability, per frame, that it has the end mark
	// although the answer is not complete.
	EarlyEnd float64 `json:"early_end"`
	// LoseEvent is the probability that a cache event is lost.
	LoseEvent float64 `json:"lose_event"`
	// EventLag and LoadLag are added to those of EngineConfig.
	EventLag time.Duration `json:"event_lag_ns"`
	LoadLag  time.Duration `json:"load_lag_ns"`
	// RefuseOrders refuses all orders.
	RefuseOrders bool `json:"refuse_orders"`
}

// Faults returns the current faults.
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
	if !f.Dead && e.crashed {
		e.restartLocked()
	}
	e.faults = f
	e.recordLoadLocked()
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.cache.loseEvent = func() bool { return e.rng.Float64() < e.faults.LoseEvent }
}

// beginCall is called at the start of each call. It returns an error if the
// engine has crashed or ctx has ended, and blocks while the engine hangs.
func (e *Engine) beginCall(ctx context.Context) error {
	for {
		e.mu.Lock()
		crashed, hangs, changed := e.crashed, e.faults.Hang, e.faultsChanged
		e.mu.Unlock()
		if crashed {
			return crashedError()
		}
		if err := ctx.Err(); err != nil {
			return verdict.New(verdict.NotRun, verdict.CodeCancelled, "engine: %w", err)
		}
		if !hangs {
			return nil
		}
		if err := waitForChange(ctx, 0, changed); err != nil {
			return err
		}
	}
}

// deliverLocked queues a frame for a reader, subject to the faults.
func (e *Engine) deliverLocked(r *reader, f endpoint.Frame) error {
	faults := &e.faults
	if e.rng.Float64() < faults.CutStream {
		return resetError()
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
		// Readers stop at the end mark, so a late frame must come before it.
		r.queueDelayed()
		r.queued = append(r.queued, f)
		return nil
	case e.rng.Float64() < faults.DropFrame:
		return nil
	case e.rng.Float64() < faults.LateFrame && r.delayed == nil:
		r.delayed = &f
		return nil
	}
	r.queued = append(r.queued, f)
	if e.rng.Float64() < faults.RepeatFrame {
		r.queued = append(r.queued, f)
	}
	r.queueDelayed()
	return nil
}

func (r *reader) queueDelayed() {
	if r.delayed != nil {
		r.queued = append(r.queued, *r.delayed)
		r.delayed = nil
	}
}

// otherFrameLocked returns a frame of another running stream. If possible it
// has the offset that the reader expects next, so that only its IDs distinguish
// it from the right frame.
func (e *Engine) otherFrameLocked(exclude *stream, offset int) (endpoint.Frame, bool) {
	now := time.Now()
	for _, s := range e.streams {
		generated := s.generated(now)
		if s == exclude || s.state != stateDecode || generated <= s.request.ResumeTokens {
			continue
		}
		at := min(max(offset, s.request.ResumeTokens), generated-1)
		return s.frame(at, at+1), true
	}
	return endpoint.Frame{}, false
}
