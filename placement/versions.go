package placement

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// placeVersions orders engines to load the versions that the plans require and
// to unload versions that are no longer used. A version is unloaded only after
// enough replicas serve its successor, so that the model is always available.
func (c *Controller) placeVersions(ctx context.Context, plans []*plan) error {
	demand := c.Demand()
	for _, p := range plans {
		for i, version := range p.versions {
			if err := c.loadVersion(ctx, p, version, i == 0, demand); err != nil {
				return err
			}
		}
		if err := c.unloadUnused(ctx, p, demand); err != nil {
			return err
		}
	}
	return nil
}

// loadVersion loads a version on the replicas that should serve it: on all
// replicas if it is the default version, else on as many as its demand
// requires.
func (c *Controller) loadVersion(ctx context.Context, p *plan, version string, isDefault bool, demand []Demand) error {
	chosen := p.replicas
	if !isDefault {
		chosen = c.replicasForVersion(p, version, demand)
	}
	for _, r := range chosen {
		if !r.reported || r.state.Loading || r.serves(p.model.Name, version) {
			continue
		}
		if err := c.loadOn(ctx, r, p, version); err != nil {
			return err
		}
	}
	return nil
}

// replicasForVersion returns the replicas that should serve a version that only
// some customers use. It prefers replicas that have already loaded it.
func (c *Controller) replicasForVersion(p *plan, version string, demand []Demand) []*replica {
	capacity := c.capacity(p.replicas)
	need, urgent := 1, 0
	for _, d := range demand {
		if d.Model == p.model.Name && d.Version == version {
			need = max(need, c.replicasFor(Capacity{Streams: d.Streams, PromptRate: d.PromptRate}, capacity))
			urgent = c.replicasFor(Capacity{Streams: d.UrgentStreams, PromptRate: d.UrgentPromptRate}, capacity)
		}
	}
	var b optionBuilder
	for _, r := range p.replicas {
		loads := 1.0
		if r.serves(p.model.Name, version) {
			loads = 0
		}
		b.add(r.host.FailureDomain, r.host.ID, loads)
	}
	chosen, _ := spread(b.options, need, urgent, len(p.replicas))
	return slices.DeleteFunc(slices.Clone(p.replicas), func(r *replica) bool {
		return !slices.ContainsFunc(chosen, func(u unit) bool { return u.host == r.host.ID })
	})
}

// loadOn orders an engine to load a version if the weight store has a slot for
// the load.
func (c *Controller) loadOn(ctx context.Context, r *replica, p *plan, version string) error {
	k := loadKey{endpoint: r.endpoint.ID, model: p.model.Name, version: version}
	now := time.Now()
	if ordered, ok := c.loadOrdered[k]; ok && now.Sub(ordered) < c.cfg.LoadTimeout {
		return nil
	}
	log := c.Log.WithFields(logrus.Fields{"endpoint": r.endpoint.ID, "model": p.model.Name, "version": version})
	ready, err := c.slots.takeOrReserve(ctx, p.model.Name, version, now)
	if err != nil {
		log.WithError(err).Warn("placement: load slot reservation failed.")
		return nil
	}
	if !ready {
		return nil
	}
	err = c.order(ctx, r, endpoint.Order{Kind: endpoint.OrderLoad, Model: p.model.Name, Version: version})
	switch {
	case errors.Is(err, errLeaseLost):
		return err
	case err != nil:
		c.slots.returnSlot(p.model.Name, version, now)
		log.WithError(err).Warn("placement: load order failed.")
	default:
		c.loadOrdered[k] = now
		log.WithFields(p.fields(c)).Info("placement: load ordered.")
	}
	return nil
}

// unloadUnused unloads versions that neither the template nor a request in
// flight has used for ShrinkAfter. It does so only on engines that serve the
// default version, and only once enough engines serve it.
func (c *Controller) unloadUnused(ctx context.Context, p *plan, demand []Demand) error {
	serving := 0
	for _, r := range p.replicas {
		if r.serves(p.model.Name, p.versions[0]) {
			serving++
		}
	}
	enough := serving >= max(p.need, p.urgentNeed, 1)
	for _, r := range p.replicas {
		for _, m := range r.state.Models {
			k := loadKey{endpoint: r.endpoint.ID, model: m.Model, version: m.Version}
			if m.Model != p.model.Name || slices.Contains(p.versions, m.Version) || inFlight(demand, m) {
				delete(c.unusedSince, k)
				continue
			}
			if !enough || !r.serves(p.model.Name, p.versions[0]) || !c.unusedLongEnough(k) {
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

// unusedLongEnough records that a version is unused and reports whether it has
// been unused for ShrinkAfter.
func (c *Controller) unusedLongEnough(k loadKey) bool {
	since, recorded := c.unusedSince[k]
	if !recorded {
		c.unusedSince[k] = time.Now()
		return false
	}
	return time.Since(since) >= c.cfg.ShrinkAfter
}

func (c *Controller) unload(ctx context.Context, r *replica, m endpoint.LoadedModel) error {
	log := c.Log.WithFields(logrus.Fields{"endpoint": r.endpoint.ID, "model": m.Model, "version": m.Version})
	err := c.order(ctx, r, endpoint.Order{Kind: endpoint.OrderUnload, Model: m.Model, Version: m.Version})
	if errors.Is(err, errLeaseLost) {
		return err
	}
	if err != nil {
		log.WithError(err).Warn("placement: unload order failed.")
		return nil
	}
	log.Info("placement: unload ordered.")
	return nil
}
