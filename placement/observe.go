package placement

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// pollConcurrency bounds the number of engines that are polled concurrently.
const pollConcurrency = 16

// replica is one engine on a listed host.
type replica struct {
	host infra.Host
	// endpoint is the engine's endpoint on the host.
	endpoint infra.Endpoint
	observation
}

// observation is the last report of an engine. Its state and load are valid
// only if reported is true. polledAt is the time of the last poll, even if that
// poll failed.
type observation struct {
	polledAt time.Time
	reported bool
	state    endpoint.State
	load     endpoint.Load
}

// leaving reports whether the host drains according to the host list or to its
// engine.
func (r *replica) leaving() bool {
	return r.host.State == infra.HostLeaving || r.state.Leaving
}

// idle reports whether the engine has reported that it has no streams.
func (r *replica) idle() bool {
	return r.reported && r.load.Running+r.load.Waiting == 0
}

// serves reports whether the engine has loaded a version.
func (r *replica) serves(model, version string) bool {
	return slices.Contains(r.state.Models, endpoint.LoadedModel{Model: model, Version: version})
}

// fleet holds the engines of all listed hosts.
type fleet struct {
	replicas []*replica
	// observations holds the last report of each engine by the incarnation of
	// its host.
	observations map[string]observation
}

// observe reads the host list, the offers and the engines' reports. Offers and
// reports that can't be read keep their last values.
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
		c.Log.WithError(err).Warn("placement: reading offers failed.")
	}
	c.fleet.setHosts(hosts)
	c.pollEngines(ctx)
	c.pruneRequests()
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

// setHosts replaces the replicas with those of the listed hosts. Observations
// of hosts that are still listed remain.
func (f *fleet) setHosts(hosts []infra.Host) {
	seen := make(map[string]observation, len(hosts))
	f.replicas = f.replicas[:0]
	for _, h := range hosts {
		i := slices.IndexFunc(h.Endpoints, func(e infra.Endpoint) bool { return e.Kind == infra.KindEngine })
		if i < 0 {
			continue
		}
		o := f.observations[h.Incarnation]
		seen[h.Incarnation] = o
		f.replicas = append(f.replicas, &replica{host: h, endpoint: h.Endpoints[i], observation: o})
	}
	f.observations = seen
}

// pollEngines polls up to PollsPerRound engines, those with the oldest poll
// first.
func (c *Controller) pollEngines(ctx context.Context) {
	order := slices.Clone(c.fleet.replicas)
	slices.SortStableFunc(order, func(a, b *replica) int { return a.polledAt.Compare(b.polledAt) })
	group := new(errgroup.Group)
	group.SetLimit(pollConcurrency)
	for _, r := range order[:min(len(order), c.cfg.PollsPerRound)] {
		group.Go(func() error {
			c.pollEngine(ctx, r)
			return nil
		})
	}
	_ = group.Wait() // engines that don't answer keep their last report
	for _, r := range c.fleet.replicas {
		c.fleet.observations[r.host.Incarnation] = r.observation
	}
}

func (c *Controller) pollEngine(ctx context.Context, r *replica) {
	r.polledAt = time.Now()
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
		r.state, r.load, r.reported = state, load, true
		return nil
	})
	if err != nil {
		c.Log.WithError(err).WithField("endpoint", r.endpoint.ID).Debug("placement: engine poll failed.")
	}
}
