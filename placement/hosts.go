package placement

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// request is a host that was asked for and is not listed yet.
type request struct {
	infra.HostRequest
	offer infra.Offer
	// host is the answer; its ID is empty while the answer is not known.
	host  infra.Host
	since time.Time
}

// unit names the request among a plan's units.
func (q *request) unit() string { return "request/" + q.RequestID }

// forgetListed drops the requests whose hosts are listed, and those that
// never came.
func (c *Controller) forgetListed() {
	c.requests = slices.DeleteFunc(c.requests, func(q *request) bool {
		listed := slices.ContainsFunc(c.fleet.replicas, func(r *replica) bool { return r.host.ID == q.host.ID })
		return listed || (q.host.ID != "" && time.Since(q.since) > c.cfg.LoadTimeout)
	})
}

// placeHosts requests the hosts that plans lack and releases those they have
// no use for.
func (c *Controller) placeHosts(ctx context.Context, plans []*plan) error {
	c.slots.begin()
	if err := c.askAgain(ctx); err != nil {
		return err
	}
	for _, p := range plans {
		if err := c.requestMissing(ctx, p); err != nil {
			return err
		}
		if err := c.drainSurplus(ctx, p); err != nil {
			return err
		}
	}
	return c.releaseDrained(ctx)
}

// askAgain repeats the requests whose answer was lost, under their own IDs.
func (c *Controller) askAgain(ctx context.Context) error {
	for _, q := range slices.Clone(c.requests) {
		if q.host.ID != "" {
			continue
		}
		if err := c.send(ctx, q, nil); err != nil {
			return err
		}
		if c.unanswered(q) {
			return nil
		}
	}
	return nil
}

// unanswered reports whether the cloud's answer to a request is not known.
func (c *Controller) unanswered(q *request) bool {
	return q.host.ID == "" && slices.Contains(c.requests, q)
}

// requestMissing requests hosts until the plan's units are there, a slot of
// the weight store is awaited, or nothing is left to try. A refusal changes
// what is offered, so that the plan is made again.
func (c *Controller) requestMissing(ctx context.Context, p *plan) error {
	for range p.model.MaxReplicas + len(c.offers) {
		i := slices.IndexFunc(p.units, func(u unit) bool { return u.host == "" })
		if i < 0 {
			return nil
		}
		if err := c.holds(); err != nil {
			return err
		}
		ready, err := c.slots.take(ctx, p.model.Name, p.versions[0], time.Now())
		if err != nil {
			c.Log.WithError(err).WithField("model", p.model.Name).Warn("placement: weight store gave no slot.")
			return nil
		}
		if !ready {
			return nil
		}
		q := &request{offer: p.units[i].offer, since: time.Now(), HostRequest: infra.HostRequest{
			RequestID:     uuid.NewString(),
			FailureDomain: p.units[i].offer.FailureDomain, Class: p.units[i].offer.Class,
			Reclaimable: p.units[i].offer.Reclaimable,
			Model:       p.model.Name, Version: p.versions[0],
		}}
		c.requests = append(c.requests, q)
		if err := c.send(ctx, q, p); err != nil {
			return err
		}
		if c.unanswered(q) {
			return nil
		}
		c.choose(p)
	}
	return nil
}

// send asks the cloud for a host. A request whose answer is lost stays, and
// counts as a host until it is known.
func (c *Controller) send(ctx context.Context, q *request, p *plan) error {
	if err := c.holds(); err != nil {
		return err
	}
	var host infra.Host
	err := c.call(ctx, func(ctx context.Context) (err error) {
		host, err = c.Cloud.Request(ctx, q.HostRequest)
		return err
	})
	log := c.Log.WithFields(q.fields())
	switch {
	case err == nil:
		q.host = host
		c.refusals.grant(q.offer)
		log.WithField("host", host.ID).WithFields(p.fields(c)).Info("placement: host requested.")
	case verdict.Of(err) == verdict.NotRun:
		now := time.Now()
		c.requests = slices.DeleteFunc(c.requests, func(other *request) bool { return other == q })
		c.slots.giveBack(q.Model, q.Version, now)
		wait := c.refusals.refuse(q.offer, now)
		log.WithError(err).WithField("retry_after", wait).Info("placement: host refused.")
	default:
		log.WithError(err).Warn("placement: host request has no answer yet.")
	}
	return nil
}

func (q *request) fields() logrus.Fields {
	return logrus.Fields{
		"model": q.Model, "failure_domain": q.FailureDomain, "class": q.Class, "reclaimable": q.Reclaimable,
		"price_per_hour": q.offer.PricePerHour, "loss_per_hour": q.offer.LossPerHour,
	}
}

// fields gives the reasons of a plan.
func (p *plan) fields(c *Controller) logrus.Fields {
	if p == nil {
		return nil
	}
	f := logrus.Fields{"need": p.need, "urgent": p.urgent, "running": len(p.replicas), "survives": p.survives, "capped": p.capped}
	if o, ok := c.runnerUp(p); ok {
		f["runner_up"] = o.FailureDomain + "/" + o.Class
		f["runner_up_price"] = o.PricePerHour
	}
	return f
}

// runnerUp returns the cheapest open offer that the plan does not use.
func (c *Controller) runnerUp(p *plan) (infra.Offer, bool) {
	used := make(map[kind]bool)
	for _, u := range p.units {
		used[kindOf(u.offer)] = true
	}
	var best infra.Offer
	found := false
	for _, o := range c.offers {
		if !used[kindOf(o)] && c.refusals.open(o, time.Now()) && (!found || c.price(o) < c.price(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// drainSurplus begins to drain the running hosts that a plan does not use,
// once all that it uses serve.
func (c *Controller) drainSurplus(ctx context.Context, p *plan) error {
	used := make(map[string]bool, len(p.units))
	for _, u := range p.units {
		if u.host == "" {
			return nil
		}
		used[u.host] = true
	}
	serving := 0
	var surplus []*replica
	for _, r := range p.replicas {
		switch {
		case !used[r.host.ID]:
			surplus = append(surplus, r)
		case r.serves(p.model.Name, p.versions[0]):
			serving++
		}
	}
	if serving < len(p.units) {
		return nil
	}
	for _, r := range surplus {
		if err := c.drain(ctx, r, p); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) drain(ctx context.Context, r *replica, p *plan) error {
	log := c.Log.WithFields(logrus.Fields{"host": r.host.ID, "price_per_hour": r.host.PricePerHour}).WithFields(p.fields(c))
	if err := c.order(ctx, r, endpoint.Order{Kind: endpoint.OrderDrain}); err != nil {
		if errors.Is(err, errLost) {
			return err
		}
		log.WithError(err).Warn("placement: drain refused.")
		return nil
	}
	log.Info("placement: drain ordered.")
	return nil
}

// releaseDrained releases the hosts whose engines leave though the host list
// has them live: idle ones, and those that took too long.
func (c *Controller) releaseDrained(ctx context.Context) error {
	now := time.Now()
	for _, r := range c.fleet.replicas {
		if r.host.State != infra.HostLive || !r.state.Leaving {
			continue
		}
		since, draining := c.drains[r.host.Incarnation]
		if !draining {
			c.drains[r.host.Incarnation] = now
			since = now
		}
		// Load reports lag, and entries learn late that the host leaves.
		early := now.Sub(since) < c.cfg.Settle
		late := now.Sub(since) > c.cfg.DrainTimeout
		if early || (!r.idle() && !late) {
			continue
		}
		if err := c.release(ctx, r, late); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) release(ctx context.Context, r *replica, late bool) error {
	if err := c.holds(); err != nil {
		return err
	}
	err := c.call(ctx, func(ctx context.Context) error { return c.Cloud.Release(ctx, r.host.ID) })
	log := c.Log.WithFields(logrus.Fields{"host": r.host.ID, "drain_timed_out": late})
	if err != nil {
		log.WithError(err).Warn("placement: host is not released yet.")
		return nil
	}
	log.Info("placement: host released.")
	return nil
}

// order gives an order under the lease's fencing number.
func (c *Controller) order(ctx context.Context, r *replica, o endpoint.Order) error {
	if err := c.holds(); err != nil {
		return err
	}
	o.Fence = c.fence
	return c.call(ctx, func(ctx context.Context) error {
		return c.Endpoints.Engine(r.endpoint.Addr).Order(ctx, o)
	})
}
