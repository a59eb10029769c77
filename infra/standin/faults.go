package standin

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// CallFaults are the faults that every service of the platform can have. The
// zero value has none.
type CallFaults struct {
	// Outage refuses every call before it has an effect.
	Outage bool `json:"outage"`
	// Hang blocks every call until its context ends, without an effect.
	Hang bool `json:"hang"`
	// Latency is added before each call takes effect.
	Latency time.Duration `json:"latency_ns"`
}

// beginCall is called at the start of each call. It waits for the latency,
// refuses the call during an outage and blocks it during a hang.
func (f CallFaults) beginCall(ctx context.Context, service string) error {
	if f.Hang {
		<-ctx.Done()
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %w", service, ctx.Err())
	}
	if f.Outage {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "%s: service is down", service)
	}
	if f.Latency <= 0 {
		return nil
	}
	timer := time.NewTimer(f.Latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "%s: %w", service, ctx.Err())
	}
}

// faultSwitch holds the current faults of a service, which can be replaced
// while the service runs.
type faultSwitch[F any] struct {
	mu     sync.Mutex
	faults F
}

// SetFaults replaces the faults.
func (s *faultSwitch[F]) SetFaults(f F) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the current faults.
func (s *faultSwitch[F]) Faults() F {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}
