package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// WeightStoreFaults are the faults of a WeightStore. The zero value has none.
type WeightStoreFaults struct {
	CallFaults
	// LoadsPerMinute is an additional rate limit, which applies if it is
	// lower than the store's own; 0 for none.
	LoadsPerMinute float64 `json:"loads_per_minute"`
}

// WeightStore implements infra.WeightStore. It is safe for concurrent use.
type WeightStore struct {
	faultSwitch[WeightStoreFaults]
	mu       sync.Mutex
	versions map[string][]string
	limit    rate.Limit
	limiter  *rate.Limiter
}

// NewWeightStore returns a store that allows loadsPerMinute loads to start per
// minute, up to burst of them at once; 0 sets no limit.
func NewWeightStore(loadsPerMinute float64, burst int) *WeightStore {
	limit := limitOf(loadsPerMinute)
	return &WeightStore{
		versions: make(map[string][]string),
		limit:    limit,
		limiter:  rate.NewLimiter(limit, max(1, burst)),
	}
}

func limitOf(loadsPerMinute float64) rate.Limit {
	if loadsPerMinute <= 0 {
		return rate.Inf
	}
	return rate.Limit(loadsPerMinute / time.Minute.Seconds())
}

// SetFaults replaces the faults.
func (w *WeightStore) SetFaults(f WeightStoreFaults) {
	w.faultSwitch.SetFaults(f)
	w.limiter.SetLimit(min(w.limit, limitOf(f.LoadsPerMinute)))
}

// Publish adds a version of a model.
func (w *WeightStore) Publish(model, version string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.versions[model], version) {
		w.versions[model] = append(w.versions[model], version)
	}
}

// Versions implements infra.WeightStore.
func (w *WeightStore) Versions(ctx context.Context, model string) ([]string, error) {
	if err := w.Faults().beginCall(ctx, "weight store"); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.versions[model]), nil
}

// Reserve implements infra.WeightStore.
func (w *WeightStore) Reserve(ctx context.Context, model, version string) (time.Duration, error) {
	if err := w.Faults().beginCall(ctx, "weight store"); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !slices.Contains(w.versions[model], version) {
		return 0, verdict.New(verdict.NotRun, verdict.CodeNotFound, "weight store: no version %q of model %q", version, model)
	}
	return w.limiter.Reserve().Delay(), nil
}
