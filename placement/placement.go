// Package placement is the controller that decides how many engine replicas
// of each model and version run, in which failure domains and on which class
// of host. It requests and releases hosts, and orders engines to load and
// unload versions.
//
// Each entry runs a Controller, but only the lease holder acts. Decisions
// depend only on the template, the platform, the engines' reports and the
// demand, not on which entry makes them. A new holder waits until the effects
// of its predecessor's calls appear in the host list and in the engines'
// states.
package placement

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Lease is this entry's contender for the lease. Fence returns the fencing
// token and reports whether this entry holds the lease.
type Lease interface {
	Fence() (uint64, bool)
}

// Demand is the current load on a model version, summed over all entries.
type Demand struct {
	Model, Version string
	// Streams is the mean number of concurrent streams, PromptRate the number
	// of prompt tokens per second that need a prefill.
	Streams, PromptRate float64
	// UrgentStreams and UrgentPromptRate are the amounts of Streams and
	// PromptRate that are due to urgent request kinds.
	UrgentStreams, UrgentPromptRate float64
	// InFlight counts accepted requests that must run on this version.
	InFlight int
}

// Config configures a Controller. Zero values get defaults, except that a zero
// LossCost or CostPerHour stays zero.
type Config struct {
	// Period is the time between two rounds.
	Period time.Duration
	// CallTimeout bounds each call to the platform and to an engine.
	CallTimeout time.Duration
	// Settle is the time that a new lease holder waits before it acts. It must
	// exceed the host list's lag and the longest call. It is also the shortest
	// time between the start of a host's drain and its release.
	Settle time.Duration
	// LoadTimeout limits the duration of a load, which is then ordered again.
	// It also limits the time for which a granted host may be missing from the
	// host list, after which its request is dropped.
	LoadTimeout time.Duration
	// DrainTimeout limits the drain of a host, which is then released even if
	// it still has streams.
	DrainTimeout time.Duration
	// ShrinkAfter is the time for which demand must stay low before hosts are
	// released, and a version must be unused before it is unloaded.
	ShrinkAfter time.Duration
	// Utilization is the fraction of a replica's capacity that plans use.
	Utilization float64
	// Saving is the fraction of a running host's price that a replacement
	// must save. CacheSaving, multiplied by the share of recomputed tokens in
	// the template's weights, is added to it, because a new host starts with
	// empty prefix caches.
	Saving, CacheSaving float64
	// LossCost is the expected cost of losing a host, in the deployment's
	// currency. It covers recomputed tokens and the time to reload.
	LossCost float64
	// CostPerHour is the cost ceiling for all engine hosts; 0 for none.
	CostPerHour float64
	// Capacity is the assumed capacity of replicas when no engine of the model
	// has reported one yet.
	Capacity Capacity
	// RefusalBackoff and RefusalBackoffMax are the first and the longest delay
	// before a refused offer is tried again.
	RefusalBackoff, RefusalBackoffMax time.Duration
	// PollsPerRound bounds the number of engines that are polled per round.
	PollsPerRound int
}

// Capacity is the load that one replica can serve.
type Capacity struct {
	// Streams is the batch size, PromptRate the prefill rate in tokens per
	// second.
	Streams, PromptRate float64
}

func (c Config) withDefaults() Config {
	setDefault(&c.Period, 2*time.Second)
	setDefault(&c.CallTimeout, 2*time.Second)
	setDefault(&c.Settle, 5*time.Second)
	setDefault(&c.LoadTimeout, 2*time.Minute)
	setDefault(&c.DrainTimeout, 5*time.Minute)
	setDefault(&c.ShrinkAfter, 2*time.Minute)
	setDefault(&c.Utilization, 0.7)
	setDefault(&c.Saving, 0.2)
	setDefault(&c.CacheSaving, 0.5)
	setDefault(&c.Capacity.Streams, 16)
	setDefault(&c.Capacity.PromptRate, 4000)
	setDefault(&c.RefusalBackoff, 2*time.Second)
	setDefault(&c.RefusalBackoffMax, 2*time.Minute)
	setDefault(&c.PollsPerRound, 256)
	return c
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// Deps are the dependencies of a Controller.
type Deps struct {
	Lease       Lease
	HostList    infra.HostList
	Cloud       infra.Cloud
	WeightStore infra.WeightStore
	Endpoints   endpoint.Client
	// Template returns the template in force, or nil if there is none yet.
	// Demand returns the current demand.
	Template func() *template.Template
	Demand   func() []Demand
	Log      *logrus.Entry
}

// errLeaseLost ends a round in which the lease was lost.
var errLeaseLost = errors.New("lease is lost")

// Controller places replicas. Only the goroutine of Run uses its state; Kick
// may be called from any goroutine.
type Controller struct {
	cfg Config
	Deps
	kick chan struct{}

	// fence is the fencing token of the current term; 0 while this entry does
	// not hold the lease.
	fence uint64
	// actFrom is the earliest time at which the controller may act in the
	// current term.
	actFrom time.Time
	// minSaving is the fraction of a running host's price that a replacement
	// must save under the template in force.
	minSaving float64

	fleet        fleet
	offers       []infra.Offer
	refusals     *refusals
	slots        *slots
	needWindows  map[string]*needWindow
	requests     []*hostRequest
	drainStarted map[string]time.Time
	loadOrdered  map[loadKey]time.Time
	unusedSince  map[loadKey]time.Time
}

// New returns a controller, which does nothing before Run.
func New(cfg Config, deps Deps) *Controller {
	c := &Controller{cfg: cfg.withDefaults(), Deps: deps, kick: make(chan struct{}, 1)}
	c.resetState()
	return c
}

// resetState discards all state of earlier terms, so that decisions depend only
// on what the platform and the engines report during the current term.
func (c *Controller) resetState() {
	c.fleet = fleet{observations: make(map[string]observation)}
	c.refusals = newRefusals(c.cfg)
	c.slots = newSlots(c.WeightStore)
	c.needWindows = make(map[string]*needWindow)
	c.requests = nil
	c.drainStarted = make(map[string]time.Time)
	c.loadOrdered = make(map[loadKey]time.Time)
	c.unusedSince = make(map[loadKey]time.Time)
}

// Kick starts a round without waiting for the period, for example after a
// disruption notice. It doesn't block.
func (c *Controller) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run places replicas while this entry holds the lease, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Period)
	defer ticker.Stop()
	for {
		if err := c.round(ctx); err != nil && ctx.Err() == nil {
			c.Log.WithError(err).Warn("placement: round failed.")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.kick:
		}
	}
}

// round reads the state of the platform and the engines, plans, and carries
// out the plans once.
func (c *Controller) round(ctx context.Context) error {
	if !c.inTerm() {
		return nil
	}
	if err := c.observe(ctx); err != nil {
		return err
	}
	if time.Now().Before(c.actFrom) {
		return nil
	}
	t := c.Template()
	if t == nil {
		return nil
	}
	plans := c.plan(t)
	if err := c.placeHosts(ctx, plans); err != nil {
		return err
	}
	return c.placeVersions(ctx, plans)
}

// inTerm reports whether this entry holds the lease, and starts a new term when
// the fencing token has changed.
func (c *Controller) inTerm() bool {
	fence, held := c.Lease.Fence()
	if !held {
		c.fence = 0
		return false
	}
	if fence != c.fence {
		c.fence = fence
		c.resetState()
		c.actFrom = time.Now().Add(c.cfg.Settle)
		c.Log.WithField("fence", fence).Info("placement: lease acquired.")
	}
	return true
}

// checkLease returns errLeaseLost unless this entry still holds the lease in
// the current term. It must be called before each call with an effect.
func (c *Controller) checkLease() error {
	if fence, held := c.Lease.Fence(); !held || fence != c.fence {
		return errLeaseLost
	}
	return nil
}

// call calls f with a context that ends after CallTimeout.
func (c *Controller) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	return nil
}
