package app

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

const (
	// stateTimeout bounds the call that queries whether an engine has loaded
	// its model.
	stateTimeout = 500 * time.Millisecond
	// maxStateCalls bounds the number of such calls at the same time.
	maxStateCalls = 16
)

// loadedFilter hides engines from the fleet that are listed but have not loaded
// their model yet, such as those of new hosts. It is used by one goroutine.
type loadedFilter struct {
	client endpoint.Client
	// loaded holds the engines that have reported their model as loaded.
	loaded map[loadedKey]bool
}

type loadedKey struct {
	incarnation, endpointID, model, version string
}

func newLoadedFilter(client endpoint.Client) *loadedFilter {
	return &loadedFilter{client: client, loaded: make(map[loadedKey]bool)}
}

// visible returns the hosts without the engines that are still loading. Engines
// that do not answer are included: the fleet detects whether they work.
func (l *loadedFilter) visible(ctx context.Context, hosts []infra.Host) []infra.Host {
	hidden := l.findUnloaded(ctx, l.unconfirmed(hosts))
	if len(hidden) == 0 {
		return hosts
	}
	out := make([]infra.Host, 0, len(hosts))
	for _, h := range hosts {
		h.Endpoints = slices.DeleteFunc(slices.Clone(h.Endpoints), func(e infra.Endpoint) bool {
			return hidden[keyOf(h, e)]
		})
		out = append(out, h)
	}
	return out
}

func keyOf(h infra.Host, e infra.Endpoint) loadedKey {
	return loadedKey{incarnation: h.Incarnation, endpointID: e.ID, model: e.Name, version: e.Version}
}

// unconfirmed returns the addresses of the engines that have not yet reported
// their model as loaded. It removes engines from loaded that are no longer
// listed.
func (l *loadedFilter) unconfirmed(hosts []infra.Host) map[loadedKey]string {
	unconfirmed := make(map[loadedKey]string)
	listed := make(map[loadedKey]bool)
	for _, h := range hosts {
		for _, e := range h.Endpoints {
			if e.Kind != infra.KindEngine {
				continue
			}
			k := keyOf(h, e)
			if l.loaded[k] {
				listed[k] = true
				continue
			}
			unconfirmed[k] = e.Addr
		}
	}
	l.loaded = listed
	return unconfirmed
}

// findUnloaded queries engines and returns those that report that they have not
// loaded their model.
func (l *loadedFilter) findUnloaded(ctx context.Context, engines map[loadedKey]string) map[loadedKey]bool {
	var (
		mu     sync.Mutex
		hidden = make(map[loadedKey]bool)
		group  errgroup.Group
	)
	group.SetLimit(maxStateCalls)
	for k, addr := range engines {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, stateTimeout)
			defer cancel()
			state, err := l.client.Engine(addr).State(ctx)
			if err != nil {
				return nil
			}
			has := slices.Contains(state.Models, endpoint.LoadedModel{Model: k.model, Version: k.version})
			mu.Lock()
			defer mu.Unlock()
			if has {
				l.loaded[k] = true
				return nil
			}
			hidden[k] = true
			return nil
		})
	}
	_ = group.Wait()
	return hidden
}
