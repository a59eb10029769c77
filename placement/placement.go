// Package placement decides how many engine replicas run of each model and
// version, in which failure domains and on which class of host, and brings
// that about: it requests and releases hosts, and orders engines to load and
// unload versions.
//
// One entry at a time does so, under a lease. The decisions follow from the
// platform, the engines' reports and the demand alone, so that nothing
// depends on which entry it is. A new holder waits until what its predecessor
// began shows in the host list and in the engines' states.
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

// Lease says whether this entry may act, and under which fencing number.
type Lease interface {
	Fence() (uint64, bool)
}

// Demand is the work that a model version has now, over all entries.
type Demand struct {
	Model, Version string
	// Streams is the mean number of streams at the same time, PromptRate the
	// prompt tokens a second that need a prefill.
	Streams, PromptRate float64
	// UrgentStreams and UrgentPromptRate are the part of urgent kinds.
	UrgentStreams, UrgentPromptRate float64
	// InFlight counts accepted requests that are bound to the version.
	InFlight int
}

// Config sets up a Controller. Zero durations and rates take defaults.
type Config struct {
	// Period is the time between two rounds.
	Period time.Duration
	// CallTimeout bounds each call to the platform and to an engine.
	CallTimeout time.Duration
	// Settle is how long a new lease holder waits before it acts. It must
	// exceed the host list's lag and the longest call.
	Settle time.Duration
	// LoadTimeout is how long an order to load may take before it is given
	// again.
	LoadTimeout time.Duration
	// DrainTimeout bounds the drain of a host before it is released.
	DrainTimeout time.Duration
	// ShrinkAfter is how long demand must stay low before hosts are released,
	// and versions unused before they are unloaded.
	ShrinkAfter time.Duration
	// Utilization is the part of a replica's capacity that is planned for.
	Utilization float64
	// Saving is the part of its price that a host's replacement must save.
	// CacheSaving is added to it by the part of recomputed tokens in the
	// template's weights: a new host begins with empty prefix caches.
	Saving, CacheSaving float64
	// LossCost is the expected cost of losing a host, in the deployment's
	// currency: recomputed tokens and time to reload.
	LossCost float64
	// CostPerHour is the ceiling for all engine hosts; 0 for none.
	CostPerHour float64
	// Capacity is that of a replica whose engine has not reported yet.
	Capacity Capacity
	// RefusalBackoff and RefusalBackoffMax bound the wait after a refusal.
	RefusalBackoff, RefusalBackoffMax time.Duration
	// PollsPerRound bounds the engines that are asked in one round.
	PollsPerRound int
}

// Capacity is what one replica serves at the same time.
type Capacity struct {
	// Streams is the batch size, PromptRate the prefill in tokens a second.
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

// Deps are what a Controller works with.
type Deps struct {
	Lease       Lease
	HostList    infra.HostList
	Cloud       infra.Cloud
	WeightStore infra.WeightStore
	Endpoints   endpoint.Client
	// Template returns the template in force, Demand the demand now.
	Template func() *template.Template
	Demand   func() []Demand
	Log      *logrus.Entry
}

// errLost ends a round in which the lease was lost.
var errLost = errors.New("lease is lost")

// Controller places replicas. Run is its only goroutine; Kick may be called
// from others.
type Controller struct {
	cfg Config
	Deps
	kick chan struct{}

	// fence is the lease's number since the term began; 0 outside a term.
	fence   uint64
	actFrom time.Time
	// saving is the part of its price that a host's replacement must save
	// under the template in force.
	saving float64

	fleet    fleet
	offers   []infra.Offer
	refusals *refusals
	slots    *slots
	needs    map[string]*window
	requests []*request
	drains   map[string]time.Time
	loads    map[load]time.Time
	unused   map[load]time.Time
}

// New returns a controller.
func New(cfg Config, deps Deps) *Controller {
	c := &Controller{cfg: cfg.withDefaults(), Deps: deps, kick: make(chan struct{}, 1)}
	c.forget()
	return c
}

// forget begins a term with nothing but what the platform and the engines
// report.
func (c *Controller) forget() {
	c.fleet = fleet{seen: make(map[string]observation)}
	c.refusals = newRefusals(c.cfg)
	c.slots = newSlots(c.WeightStore)
	c.needs = make(map[string]*window)
	c.requests = nil
	c.drains = make(map[string]time.Time)
	c.loads = make(map[load]time.Time)
	c.unused = make(map[load]time.Time)
}

// Kick starts a round soon, for example after a reclaim notice.
func (c *Controller) Kick() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run places replicas whenever the lease is held, until the context ends.
func (c *Controller) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.cfg.Period)
	defer ticker.Stop()
	for {
		if err := c.round(ctx); err != nil && ctx.Err() == nil {
			c.Log.WithError(err).Warn("placement: round was given up.")
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case <-c.kick:
		}
	}
}

// round observes, decides and acts once.
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

// inTerm reports whether the lease is held, and begins a new term when its
// fencing number has changed.
func (c *Controller) inTerm() bool {
	fence, held := c.Lease.Fence()
	if !held {
		c.fence = 0
		return false
	}
	if fence != c.fence {
		c.fence = fence
		c.forget()
		c.actFrom = time.Now().Add(c.cfg.Settle)
		c.Log.WithField("fence", fence).Info("placement: taken over.")
	}
	return true
}

// holds must be asked before each effect.
func (c *Controller) holds() error {
	if fence, held := c.Lease.Fence(); !held || fence != c.fence {
		return errLost
	}
	return nil
}

// call bounds a call.
func (c *Controller) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.CallTimeout)
	defer cancel()
	if err := f(ctx); err != nil {
		return fmt.Errorf("placement: %w", err)
	}
	return nil
}
