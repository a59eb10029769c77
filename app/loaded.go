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
	// stateTimeout bounds the question whether an engine has its model.
	stateTimeout = 500 * time.Millisecond
	// statesAtOnce bounds such questions that run at the same time.
	statesAtOnce = 16
)

// loadedFilter hides engines from the fleet that are listed but have not
// loaded their model yet, as those of new hosts. It is used by one goroutine.
type loadedFilter struct {
	client endpoint.Client
	// loaded are the engines that were seen with their model.
	loaded map[loadedKey]bool
}

type loadedKey struct {
	incarnation, endpointID, model, version string
}

func newLoadedFilter(client endpoint.Client) *loadedFilter {
	return &loadedFilter{client: client, loaded: make(map[loadedKey]bool)}
}

// visible returns the hosts without the engines that are still loading. An
// engine that does not answer is left in: to find out whether it works is the
// fleet's job.
func (l *loadedFilter) visible(ctx context.Context, hosts []infra.Host) []infra.Host {
	hidden := l.ask(ctx, l.unknown(hosts))
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

// unknown returns the engines not seen with their model yet, with their
// addresses, and forgets those that are no longer listed.
func (l *loadedFilter) unknown(hosts []infra.Host) map[loadedKey]string {
	unknown := make(map[loadedKey]string)
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
			unknown[k] = e.Addr
		}
	}
	l.loaded = listed
	return unknown
}

// ask returns the engines that say that they have not loaded their model.
func (l *loadedFilter) ask(ctx context.Context, engines map[loadedKey]string) map[loadedKey]bool {
	var (
		mu     sync.Mutex
		hidden = make(map[loadedKey]bool)
		group  errgroup.Group
	)
	group.SetLimit(statesAtOnce)
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
