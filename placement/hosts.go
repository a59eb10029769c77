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

// hostRequest is a request to the cloud for a host that is not in the host list
// yet.
type hostRequest struct {
	infra.HostRequest
	offer infra.Offer
	// host is the host that the cloud granted; its ID is empty while the
	// outcome is unknown.
	host  infra.Host
	since time.Time
}

// unitID returns the ID that identifies the request among the units of a plan,
// in place of a host ID.
func (r *hostRequest) unitID() string { return "request/" + r.RequestID }

// pruneRequests removes the requests whose hosts are listed, and granted ones
// whose hosts have not been listed within the load timeout.
func (c *Controller) pruneRequests() {
	c.requests = slices.DeleteFunc(c.requests, func(request *hostRequest) bool {
		listed := slices.ContainsFunc(c.fleet.replicas, func(r *replica) bool { return r.host.ID == request.host.ID })
		return listed || (request.host.ID != "" && time.Since(request.since) > c.cfg.LoadTimeout)
	})
}

// placeHosts requests the hosts that the plans lack, and drains and releases
// hosts that no plan uses.
func (c *Controller) placeHosts(ctx context.Context, plans []*plan) error {
	c.slots.beginRound()
	if err := c.retryUnanswered(ctx); err != nil {
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

// retryUnanswered repeats requests whose response was lost, with the same
// request IDs. It stops at the first one whose outcome stays unknown.
func (c *Controller) retryUnanswered(ctx context.Context) error {
	for _, request := range slices.Clone(c.requests) {
		if request.host.ID != "" {
			continue
		}
		if err := c.sendRequest(ctx, request, nil); err != nil {
			return err
		}
		if c.unanswered(request) {
			return nil
		}
	}
	return nil
}

// unanswered reports whether the outcome of a request is still unknown.
func (c *Controller) unanswered(request *hostRequest) bool {
	return request.host.ID == "" && slices.Contains(c.requests, request)
}

// requestMissing requests hosts until each unit of the plan has a host, the
// weight store has no load slot, or no offer remains. It chooses the units
// again after each request, because a refusal excludes an offer.
func (c *Controller) requestMissing(ctx context.Context, p *plan) error {
	for range p.model.MaxReplicas + len(c.offers) {
		i := slices.IndexFunc(p.units, func(u unit) bool { return u.host == "" })
		if i < 0 {
			return nil
		}
		if err := c.checkLease(); err != nil {
			return err
		}
		ready, err := c.slots.takeOrReserve(ctx, p.model.Name, p.versions[0], time.Now())
		if err != nil {
			c.Log.WithError(err).WithField("model", p.model.Name).Warn("placement: load slot reservation failed.")
			return nil
		}
		if !ready {
			return nil
		}
		request := &hostRequest{offer: p.units[i].offer, since: time.Now(), HostRequest: infra.HostRequest{
			RequestID:     uuid.NewString(),
			FailureDomain: p.units[i].offer.FailureDomain, Class: p.units[i].offer.Class,
			Reclaimable: p.units[i].offer.Reclaimable,
			Model:       p.model.Name, Version: p.versions[0],
		}}
		c.requests = append(c.requests, request)
		if err := c.sendRequest(ctx, request, p); err != nil {
			return err
		}
		if c.unanswered(request) {
			return nil
		}
		c.chooseUnits(p)
	}
	return nil
}

// sendRequest requests a host from the cloud. A request whose response is lost
// remains and counts as a host until its outcome is known.
func (c *Controller) sendRequest(ctx context.Context, request *hostRequest, p *plan) error {
	if err := c.checkLease(); err != nil {
		return err
	}
	var host infra.Host
	err := c.call(ctx, func(ctx context.Context) (err error) {
		host, err = c.Cloud.Request(ctx, request.HostRequest)
		return err
	})
	log := c.Log.WithFields(request.fields())
	switch {
	case err == nil:
		request.host = host
		c.refusals.reset(request.offer)
		log.WithField("host", host.ID).WithFields(p.fields(c)).Info("placement: host requested.")
	case verdict.Of(err) == verdict.NotRun:
		now := time.Now()
		c.requests = slices.DeleteFunc(c.requests, func(other *hostRequest) bool { return other == request })
		c.slots.returnSlot(request.Model, request.Version, now)
		wait := c.refusals.add(request.offer, now)
		log.WithError(err).WithField("retry_after", wait).Info("placement: host refused.")
	default:
		log.WithError(err).Warn("placement: outcome of host request is unknown.")
	}
	return nil
}

func (r *hostRequest) fields() logrus.Fields {
	return logrus.Fields{
		"model": r.Model, "failure_domain": r.FailureDomain, "class": r.Class, "reclaimable": r.Reclaimable,
		"price_per_hour": r.offer.PricePerHour, "loss_per_hour": r.offer.LossPerHour,
	}
}

// fields returns the log fields that explain a plan, or nil if p is nil.
func (p *plan) fields(c *Controller) logrus.Fields {
	if p == nil {
		return nil
	}
	f := logrus.Fields{"need": p.need, "urgent": p.urgentNeed, "running": len(p.replicas), "survives": p.survivesDomainLoss, "capped": p.capped}
	if o, ok := c.runnerUp(p); ok {
		f["runner_up"] = o.FailureDomain + "/" + o.Class
		f["runner_up_price"] = o.PricePerHour
	}
	return f
}

// runnerUp returns the cheapest available offer that the plan does not use.
func (c *Controller) runnerUp(p *plan) (infra.Offer, bool) {
	used := make(map[offerKind]bool)
	for _, u := range p.units {
		used[kindOf(u.offer)] = true
	}
	var best infra.Offer
	found := false
	for _, o := range c.offers {
		if !used[kindOf(o)] && c.refusals.allowed(o, time.Now()) && (!found || c.price(o) < c.price(best)) {
			best, found = o, true
		}
	}
	return best, found
}

// drainSurplus orders the engines on running hosts that a plan does not use to
// drain, once all hosts that it uses serve the default version.
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
		if errors.Is(err, errLeaseLost) {
			return err
		}
		log.WithError(err).Warn("placement: drain order failed.")
		return nil
	}
	log.Info("placement: drain ordered.")
	return nil
}

// releaseDrained releases hosts whose engines report that they drain, once they
// are idle or exceed the drain timeout. It skips hosts that the host list does
// not show as live.
func (c *Controller) releaseDrained(ctx context.Context) error {
	now := time.Now()
	for _, r := range c.fleet.replicas {
		if r.host.State != infra.HostLive || !r.state.Leaving {
			continue
		}
		since, draining := c.drainStarted[r.host.Incarnation]
		if !draining {
			c.drainStarted[r.host.Incarnation] = now
			since = now
		}
		// Load reports lag, and entries may still send requests until they
		// receive the host's state.
		settling := now.Sub(since) < c.cfg.Settle
		timedOut := now.Sub(since) > c.cfg.DrainTimeout
		if settling || (!r.idle() && !timedOut) {
			continue
		}
		if err := c.release(ctx, r, timedOut); err != nil {
			return err
		}
	}
	return nil
}

func (c *Controller) release(ctx context.Context, r *replica, timedOut bool) error {
	if err := c.checkLease(); err != nil {
		return err
	}
	err := c.call(ctx, func(ctx context.Context) error { return c.Cloud.Release(ctx, r.host.ID) })
	log := c.Log.WithFields(logrus.Fields{"host": r.host.ID, "drain_timed_out": timedOut})
	if err != nil {
		log.WithError(err).Warn("placement: host release failed.")
		return nil
	}
	log.Info("placement: host released.")
	return nil
}

// order sends an order with the fencing token of the term to an engine.
func (c *Controller) order(ctx context.Context, r *replica, o endpoint.Order) error {
	if err := c.checkLease(); err != nil {
		return err
	}
	o.Fence = c.fence
	return c.call(ctx, func(ctx context.Context) error {
		return c.Endpoints.Engine(r.endpoint.Addr).Order(ctx, o)
	})
}
