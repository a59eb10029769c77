package placement

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// placeVersions orders the versions loaded that the plans ask for, and those
// unloaded that nothing asks for any more. A version is unloaded only after
// its successor serves, so that there is no gap.
func (c *Controller) placeVersions(ctx context.Context, plans []*plan) error {
	demand := c.Demand()
	for _, p := range plans {
		for i, version := range p.versions {
			if err := c.loadVersion(ctx, p, version, i == 0, demand); err != nil {
				return err
			}
		}
		if err := c.unloadOld(ctx, p, demand); err != nil {
			return err
		}
	}
	return nil
}

// loadVersion brings a version to the replicas that should have it: all of
// them for the model's own version, else as many as its demand needs.
func (c *Controller) loadVersion(ctx context.Context, p *plan, version string, own bool, demand []Demand) error {
	chosen := p.replicas
	if !own {
		chosen = c.holders(p, version, demand)
	}
	for _, r := range chosen {
		if !r.known || r.state.Loading || r.serves(p.model.Name, version) {
			continue
		}
		if err := c.loadOn(ctx, r, p, version); err != nil {
			return err
		}
	}
	return nil
}

// holders returns the replicas that should have a version which only some
// customers use. Those that have it already come first.
func (c *Controller) holders(p *plan, version string, demand []Demand) []*replica {
	capacity := c.capacity(p.replicas)
	need, urgent := 1, 0
	for _, d := range demand {
		if d.Model == p.model.Name && d.Version == version {
			need = max(need, c.replicasFor(Capacity{Streams: d.Streams, PromptRate: d.PromptRate}, capacity))
			urgent = c.replicasFor(Capacity{Streams: d.UrgentStreams, PromptRate: d.UrgentPromptRate}, capacity)
		}
	}
	var g grouping
	for _, r := range p.replicas {
		loads := 1.0
		if r.serves(p.model.Name, version) {
			loads = 0
		}
		g.add(r.host.FailureDomain, r.host.ID, loads)
	}
	chosen, _ := spread(g.options, need, urgent, len(p.replicas))
	return slices.DeleteFunc(slices.Clone(p.replicas), func(r *replica) bool {
		return !slices.ContainsFunc(chosen, func(u unit) bool { return u.host == r.host.ID })
	})
}

// loadOn orders a load when the weight store has a slot for it.
func (c *Controller) loadOn(ctx context.Context, r *replica, p *plan, version string) error {
	k := load{endpoint: r.endpoint.ID, model: p.model.Name, version: version}
	now := time.Now()
	if ordered, ok := c.loads[k]; ok && now.Sub(ordered) < c.cfg.LoadTimeout {
		return nil
	}
	log := c.Log.WithFields(logrus.Fields{"endpoint": r.endpoint.ID, "model": p.model.Name, "version": version})
	ready, err := c.slots.take(ctx, p.model.Name, version, now)
	if err != nil {
		log.WithError(err).Warn("placement: weight store gave no slot.")
		return nil
	}
	if !ready {
		return nil
	}
	err = c.order(ctx, r, endpoint.Order{Kind: endpoint.OrderLoad, Model: p.model.Name, Version: version})
	switch {
	case errors.Is(err, errLost):
		return err
	case err != nil:
		c.slots.giveBack(p.model.Name, version, now)
		log.WithError(err).Warn("placement: load refused.")
	default:
		c.loads[k] = now
		log.WithFields(p.fields(c)).Info("placement: load ordered.")
	}
	return nil
}

// unloadOld unloads the versions that neither the template nor a request in
// flight has asked for during a while, from engines that serve the model's
// own version, once enough of them do.
func (c *Controller) unloadOld(ctx context.Context, p *plan, demand []Demand) error {
	serving := 0
	for _, r := range p.replicas {
		if r.serves(p.model.Name, p.versions[0]) {
			serving++
		}
	}
	enough := serving >= max(p.need, p.urgent, 1)
	for _, r := range p.replicas {
		for _, m := range r.state.Models {
			k := load{endpoint: r.endpoint.ID, model: m.Model, version: m.Version}
			if m.Model != p.model.Name || slices.Contains(p.versions, m.Version) || inFlight(demand, m) {
				delete(c.unused, k)
				continue
			}
			if !enough || !r.serves(p.model.Name, p.versions[0]) || !c.longUnused(k) {
				continue
			}
			if err := c.unload(ctx, r, m); err != nil {
				return err
			}
		}
	}
	return nil
}

func inFlight(demand []Demand, m endpoint.LoadedModel) bool {
	return slices.ContainsFunc(demand, func(d Demand) bool {
		return d.Model == m.Model && d.Version == m.Version && (d.InFlight > 0 || d.Streams > 0)
	})
}

// longUnused notes that a version is unused and reports whether it has been
// for long enough.
func (c *Controller) longUnused(k load) bool {
	since, noted := c.unused[k]
	if !noted {
		c.unused[k] = time.Now()
		return false
	}
	return time.Since(since) >= c.cfg.ShrinkAfter
}

func (c *Controller) unload(ctx context.Context, r *replica, m endpoint.LoadedModel) error {
	log := c.Log.WithFields(logrus.Fields{"endpoint": r.endpoint.ID, "model": m.Model, "version": m.Version})
	err := c.order(ctx, r, endpoint.Order{Kind: endpoint.OrderUnload, Model: m.Model, Version: m.Version})
	if errors.Is(err, errLost) {
		return err
	}
	if err != nil {
		log.WithError(err).Warn("placement: unload refused.")
		return nil
	}
	log.Info("placement: unload ordered.")
	return nil
}
