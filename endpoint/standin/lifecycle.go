package standin

import (
	"github.com/google/uuid"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// startLocked loads the engine's model, which takes time on a cold start.
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

// Close ends all streams and timers.
func (e *Engine) Close() {
	e.Kill()
	e.transport.Close()
}

// Kill breaks all streams off and refuses everything from now on.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for timer := range e.timers {
		timer.Stop()
	}
	clear(e.timers)
	for _, s := range e.streams {
		e.stopLocked(s, errDied)
	}
}

// reviveLocked starts over with an empty cache and no streams, as a process
// that was started again.
func (e *Engine) reviveLocked() {
	e.dead = false
	e.incarnation = uuid.NewString()
	e.streams = make(map[string]*stream)
	e.kv = newKVStore()
	e.cache = newPrefixCache(e.cfg.CacheBlocks, e.cfg.EventRing)
	e.loaded, e.loading = nil, nil
	e.loads = loadHistory{}
	e.fence = 0
	e.startLocked(true)
}

// SetLeaving says whether the engine knows that its host will be reclaimed.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
	e.recordLoadLocked()
}
