package scaling

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// planPeriod is the time between two plans.
const planPeriod = 400 * time.Millisecond

// Lease decides whether this entry may give orders.
type Lease interface {
	// Held reports whether this entry holds the lease now, and its fencing token.
	Held() (fence uint64, ok bool)
	// Do calls effect if this entry holds the lease, which isn't released before it
	// returns.
	Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error
}

// Orderer gives orders to the platform. A refusal is verdict.NotRun with
// verdict.CodeConflict.
type Orderer interface {
	Order(ctx context.Context, fence uint64, service, domain string, count int, reclaimable bool) error
}

// Controller plans and orders replicas while this entry holds the lease.
type Controller struct {
	Lease    Lease
	Orders   Orderer
	Config   *config.Holder
	Replicas *replica.Set
	// Domains lists the failure domains of the deployment.
	Domains []string
	// Busy returns the mean number of engines of a service that the requests of
	// all entries occupy.
	Busy func(service string) float64
	// Counts reports whether a ready replica counts as capacity; nil if all do. Those
	// of a version that isn't proved don't.
	Counts func(r *replica.Replica) bool
	Log    *logrus.Entry

	planners map[string]*Planner
}

// Run plans every planPeriod until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.planners = make(map[string]*Planner)
	ticker := time.NewTicker(planPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.step(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) step(ctx context.Context) {
	_, held := c.Lease.Held()
	current := c.Config.Current()
	if !held || current == nil {
		clear(c.planners)
		return
	}
	for _, name := range slices.Sorted(maps.Keys(current.Services)) {
		if bounds := current.Services[name].Scaling; bounds != nil {
			c.plan(ctx, name, *bounds)
		}
	}
}

func (c *Controller) plan(ctx context.Context, service string, bounds config.Scaling) {
	supply := c.supply(service)
	if len(supply) == 0 {
		return
	}
	p := c.planners[service]
	if p == nil {
		p = NewPlanner()
		c.planners[service] = p
	}
	in := Input{Now: time.Now(), Busy: c.Busy(service), Supply: supply, Bounds: bounds}
	for _, o := range p.Plan(in) {
		c.order(ctx, service, p, o, in)
	}
}

func (c *Controller) order(ctx context.Context, service string, p *Planner, o Order, in Input) {
	log := c.Log.WithFields(logrus.Fields{
		"service": service, "domain": o.Domain, "reclaimable": o.Reclaimable, "count": o.Count,
		"need": p.Need(), "busy": in.Busy, "on_demand": in.Supply[o.Domain].OnDemand,
		"reclaimable_now": in.Supply[o.Domain].Reclaimable,
	})
	err := c.Lease.Do(ctx, func(ctx context.Context, fence uint64) error {
		log = log.WithField("fence", fence)
		return c.Orders.Order(ctx, fence, service, o.Domain, o.Count, o.Reclaimable)
	})
	if err == nil {
		log.Info("scaling: ordered.")
		return
	}
	log.WithError(err).Warn("scaling: order failed.")
	have := in.Supply[o.Domain].OnDemand
	if o.Reclaimable {
		have = in.Supply[o.Domain].Reclaimable
	}
	if verdict.Of(err) == verdict.NotRun || o.Count > have {
		p.OrderRefused(o, have, time.Now())
	}
}

// supply counts the replicas of a service by domain. Domains without replicas
// are included once the service has replicas in any domain.
func (c *Controller) supply(service string) map[string]Supply {
	out := make(map[string]Supply)
	snapshot := c.Replicas.Current()
	for _, r := range snapshot.Ready[service] {
		if c.Counts != nil && !c.Counts(r) {
			continue
		}
		s := out[r.FailureDomain]
		if r.Reclaimable {
			s.Reclaimable++
		} else {
			s.OnDemand++
		}
		out[r.FailureDomain] = s
	}
	for _, r := range snapshot.All {
		if r.Service == service && r.Draining && r.Reclaimable {
			s := out[r.FailureDomain]
			s.Draining++
			out[r.FailureDomain] = s
		}
	}
	if len(out) == 0 {
		return out
	}
	for _, d := range c.Domains {
		if _, exists := out[d]; !exists {
			out[d] = Supply{}
		}
	}
	return out
}
