package standin

import (
	"context"
	"slices"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Order implements endpoint.Engine.
func (e *Engine) Order(ctx context.Context, o endpoint.Order) error {
	if err := e.beginCall(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.RefuseOrders {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "engine: orders are refused")
	}
	if e.cfg.ChecksFence {
		if o.Fence < e.fence {
			return verdict.New(verdict.NotRun, verdict.CodeFenced, "engine: fence %d is older than %d", o.Fence, e.fence)
		}
		e.fence = o.Fence
	}
	target := endpoint.LoadedModel{Model: o.Model, Version: o.Version}
	switch o.Kind {
	case endpoint.OrderLoad:
		e.loadModelLocked(target)
	case endpoint.OrderUnload:
		e.loaded = slices.DeleteFunc(e.loaded, func(m endpoint.LoadedModel) bool { return m == target })
	case endpoint.OrderRole:
		e.role = o.Role
	case endpoint.OrderDrain:
		e.leaving = true
		e.recordLoadLocked()
	default:
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, "engine: unknown order %q", o.Kind)
	}
	return nil
}

// loadModelLocked starts to load a model version, unless it is already loaded
// or being loaded.
func (e *Engine) loadModelLocked(m endpoint.LoadedModel) {
	if slices.Contains(e.loaded, m) || slices.Contains(e.loading, m) {
		return
	}
	e.loading = append(e.loading, m)
	e.afterLocked(e.cfg.LoadTime, func() {
		e.loading = slices.DeleteFunc(e.loading, func(other endpoint.LoadedModel) bool { return other == m })
		e.loaded = append(e.loaded, m)
	})
}

// State implements endpoint.Engine.
func (e *Engine) State(ctx context.Context) (endpoint.State, error) {
	if err := e.beginCall(ctx); err != nil {
		return endpoint.State{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return endpoint.State{
		Models:  slices.Clone(e.loaded),
		Role:    e.role,
		Loading: len(e.loading) > 0,
		Leaving: e.leaving && !e.faults.HideLeaving,
		Fence:   e.fence,
	}, nil
}
