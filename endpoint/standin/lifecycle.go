package standin

import (
	"github.com/google/uuid"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// startLocked loads the engine's model: immediately, or after
// EngineConfig.LoadTime if the start is cold.
func (e *Engine) startLocked(cold bool) {
	model := endpoint.LoadedModel{Model: e.cfg.Model, Version: e.cfg.Version}
	switch {
	case model.Model == "":
	case cold:
		e.loadModelLocked(model)
	default:
		e.loaded = []endpoint.LoadedModel{model}
	}
	e.recordLoadLocked()
}

// Close ends all streams and timers, and closes idle connections.
func (e *Engine) Close() {
	e.Kill()
	e.transport.Close()
}

// Kill simulates a crash: it breaks all streams off, and all later calls fail.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for timer := range e.timers {
		timer.Stop()
	}
	clear(e.timers)
	for _, s := range e.streams {
		e.abortStreamLocked(s, errCrashed)
	}
}

// restartLocked simulates a restart of the process after a crash: the caches
// are empty and there are no streams.
func (e *Engine) restartLocked() {
	e.crashed = false
	e.incarnation = uuid.NewString()
	e.streams = make(map[string]*stream)
	e.kv = newKVStore()
	e.cache = newPrefixCache(e.cfg.CacheBlocks, e.cfg.EventRing)
	e.loaded, e.loading = nil, nil
	e.loads = loadHistory{}
	e.fence = 0
	e.startLocked(true)
}

// SetLeaving sets whether the engine reports that its host will be reclaimed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoadLocked()
}
