package app

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/once"
	"github.com/coltsfootcleat/coltsfootcleat/placement"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

const (
	// controlLeaseName is the lease of the entry that places replicas and
	// deletes old rows.
	controlLeaseName = "control"
	// orderTimeout is the longest timeout of an order to an engine.
	orderTimeout = 2 * time.Second
	// sweepCheck is the interval at which sweepers check the lease.
	sweepCheck = time.Second
)

// controlModule runs the leader tasks of the deployment.
var controlModule = fx.Module("control",
	fx.Provide(newControlLease, newPlacementDemand, newPlacement),
	fx.Invoke(runPlacement, runSweepers),
)

func newControlLease(lc fx.Lifecycle, l *Loops, table infra.Table, s settings.Entry, i Incarnation, log *logrus.Logger) *lease.Lease {
	controlLease := lease.New(table, lease.Options{
		Name:          controlLeaseName,
		Owner:         s.ID,
		Incarnation:   string(i),
		SuccessorWait: orderTimeout,
		Log:           entryLog(log, s),
	})
	l.Go(lc, controlLease.Run)
	return controlLease
}

// orderLease adapts the control lease to placement.Lease.
type orderLease struct{ *lease.Lease }

// Fence implements placement.Lease.
func (l orderLease) Fence() (uint64, bool) { return l.MayOrder() }

type placementDeps struct {
	fx.In

	Lease       *lease.Lease
	HostList    infra.HostList
	Cloud       infra.Cloud
	WeightStore infra.WeightStore
	Endpoints   endpoint.Client
	Watcher     *template.Watcher
	Demand      *placementDemand
	Settings    settings.Entry
	Log         *logrus.Logger
}

func newPlacement(d placementDeps) *placement.Controller {
	return placement.New(placement.Config{CallTimeout: orderTimeout}, placement.Deps{
		Lease:       orderLease{d.Lease},
		HostList:    d.HostList,
		Cloud:       d.Cloud,
		WeightStore: d.WeightStore,
		Endpoints:   d.Endpoints,
		Template:    d.Watcher.Current,
		Demand:      d.Demand.estimate,
		Log:         entryLog(d.Log, d.Settings),
	})
}

func runPlacement(lc fx.Lifecycle, l *Loops, c *placement.Controller, notices *drain.Set) {
	notices.OnLeaving(func(drain.Notice) { c.Kick() })
	l.Go(lc, func(ctx context.Context) { _ = c.Run(ctx) })
}

// runSweepers deletes old records while this entry holds the lease.
func runSweepers(lc fx.Lifecycle, l *Loops, controlLease *lease.Lease, table infra.Table, jobs *job.Store, s settings.Entry, log *logrus.Logger) {
	l.Go(lc, func(ctx context.Context) {
		whileHeld(ctx, controlLease, jobs.NewSweeper(0).Run)
	})
	l.Go(lc, func(ctx context.Context) {
		whileHeld(ctx, controlLease, once.NewSweeper(table, 0, entryLog(log, s)).Run)
	})
}

// whileHeld runs f whenever this entry holds the lease, and cancels it when the
// lease is lost.
func whileHeld(ctx context.Context, controlLease *lease.Lease, f func(ctx context.Context)) {
	for ctx.Err() == nil {
		if _, ok := controlLease.Held(); ok {
			runUntilLost(ctx, controlLease, f)
		}
		ctxtime.Sleep(ctx, sweepCheck)
	}
}

func runUntilLost(ctx context.Context, controlLease *lease.Lease, f func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f(ctx)
	}()
	for ctxtime.Sleep(ctx, sweepCheck) {
		if _, ok := controlLease.Held(); !ok {
			break
		}
	}
	cancel()
	<-done
}

// placementDemand estimates the demand for each model version over all entries.
type placementDemand struct {
	fleet      *routing.Fleet
	relay      *relay.Relay
	admission  *admission.Controller
	peerStates *peerStates
}

func newPlacementDemand(f *routing.Fleet, r *relay.Relay, a *admission.Controller, states *peerStates) *placementDemand {
	return &placementDemand{fleet: f, relay: r, admission: a, peerStates: states}
}

// estimate sums up the loads that the engines report, which include the
// requests of all entries. The urgent fraction of the demand, and the fraction
// of it that needs a prefill, are assumed to be those of this entry.
func (p *placementDemand) estimate() []placement.Demand {
	type key struct{ model, version string }
	byVersion := make(map[key]*placement.Demand)
	total := 0.0
	for _, e := range p.fleet.Endpoints() {
		if e.Endpoint.Kind != infra.KindEngine {
			continue
		}
		k := key{e.Endpoint.Name, e.Endpoint.Version}
		d := byVersion[k]
		if d == nil {
			d = &placement.Demand{Model: k.model, Version: k.version}
			byVersion[k] = d
		}
		streams := max(e.Running+e.Waiting, e.InFlight)
		d.Streams += float64(streams)
		d.InFlight += streams
		total += float64(streams)
	}
	urgent, prompts := p.relay.UrgentFraction(), p.promptRate()
	out := make([]placement.Demand, 0, len(byVersion))
	for _, d := range byVersion {
		if total > 0 {
			d.PromptRate = prompts * d.Streams / total
		}
		d.UrgentStreams = d.Streams * urgent
		d.UrgentPromptRate = d.PromptRate * urgent
		out = append(out, *d)
	}
	return out
}

// promptRate returns the prompt tokens per second that need a prefill: the
// demand of all entries, less the fraction that was cached or generated in the
// requests of this entry.
func (p *placementDemand) promptRate() float64 {
	rate := p.peerStates.tokensPerSecond()
	for _, own := range p.admission.Demand() {
		rate += own
	}
	return rate * p.relay.PrefillFraction()
}
