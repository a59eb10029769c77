package placement

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// pollConcurrency bounds the engines that are asked at the same time.
const pollConcurrency = 16

// replica is one engine on a listed host.
type replica struct {
	host infra.Host
	// endpoint is the host's engine.
	endpoint infra.Endpoint
	observation
}

// observation is what an engine said last.
type observation struct {
	at    time.Time
	known bool
	state endpoint.State
	load  endpoint.Load
}

// leaving reports whether the replica's host will go, by any source.
func (r *replica) leaving() bool {
	return r.host.State == infra.HostLeaving || r.state.Leaving
}

// idle reports whether an engine that answered has no streams.
func (r *replica) idle() bool {
	return r.known && r.load.Running+r.load.Waiting == 0
}

// serves reports whether a version is loaded.
func (r *replica) serves(model, version string) bool {
	return slices.Contains(r.state.Models, endpoint.LoadedModel{Model: model, Version: version})
}

// fleet is the engines of all listed hosts.
type fleet struct {
	replicas []*replica
	// seen are observations by the host's incarnation.
	seen map[string]observation
}

// observe reads the host list, the offers and the engines' reports. Offers
// and reports that can't be had now stay as they were.
func (c *Controller) observe(ctx context.Context) error {
	var hosts []infra.Host
	err := c.call(ctx, func(ctx context.Context) (err error) {
		hosts, err = c.HostList.Hosts(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if err := c.observeOffers(ctx); err != nil {
		c.Log.WithError(err).Warn("placement: offers are out of date.")
	}
	c.fleet.list(hosts)
	c.poll(ctx)
	c.forgetListed()
	return nil
}

func (c *Controller) observeOffers(ctx context.Context) error {
	return c.call(ctx, func(ctx context.Context) error {
		offers, err := c.Cloud.Offers(ctx)
		if err == nil {
			c.offers = offers
		}
		return err
	})
}

// list replaces the replicas by those of the listed hosts.
func (f *fleet) list(hosts []infra.Host) {
	seen := make(map[string]observation, len(hosts))
	f.replicas = f.replicas[:0]
	for _, h := range hosts {
		i := slices.IndexFunc(h.Endpoints, func(e infra.Endpoint) bool { return e.Kind == infra.KindEngine })
		if i < 0 {
			continue
		}
		o := f.seen[h.Incarnation]
		seen[h.Incarnation] = o
		f.replicas = append(f.replicas, &replica{host: h, endpoint: h.Endpoints[i], observation: o})
	}
	f.seen = seen
}

// poll asks the engines that were not asked for the longest time.
func (c *Controller) poll(ctx context.Context) {
	order := slices.Clone(c.fleet.replicas)
	slices.SortStableFunc(order, func(a, b *replica) int { return a.at.Compare(b.at) })
	group := new(errgroup.Group)
	group.SetLimit(pollConcurrency)
	for _, r := range order[:min(len(order), c.cfg.PollsPerRound)] {
		group.Go(func() error {
			c.ask(ctx, r)
			return nil
		})
	}
	_ = group.Wait() // engines that don't answer keep their last report
	for _, r := range c.fleet.replicas {
		c.fleet.seen[r.host.Incarnation] = r.observation
	}
}

func (c *Controller) ask(ctx context.Context, r *replica) {
	r.at = time.Now()
	engine := c.Endpoints.Engine(r.endpoint.Addr)
	err := c.call(ctx, func(ctx context.Context) error {
		state, err := engine.State(ctx)
		if err != nil {
			return err
		}
		load, err := engine.Load(ctx)
		if err != nil {
			return err
		}
		r.state, r.load, r.known = state, load, true
		return nil
	})
	if err != nil {
		c.Log.WithError(err).WithField("endpoint", r.endpoint.ID).Debug("placement: engine gave no report.")
	}
}
