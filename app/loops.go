package app

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Periods and timeouts of the loops.
const (
	offerPeriod  = 30 * time.Second
	probePeriod  = 50 * time.Millisecond
	probeTimeout = time.Second
)

// loopModule runs the background loops.
var loopModule = fx.Module("loops",
	fx.Provide(newLoops),
	fx.Invoke(adoptRequests, watchTemplates, watchHosts, watchOffers, probeEndpoints),
)

// Loops runs the background goroutines of an entry. All end when it stops.
type Loops struct {
	ctx  context.Context
	work sync.WaitGroup
}

// newLoops takes the registry so that the stop hook of the registry runs after
// that of the loops.
func newLoops(lc fx.Lifecycle, _ *member.Registry) *Loops {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Loops{ctx: ctx}
	lc.Append(fx.StopHook(func() {
		cancel()
		l.work.Wait()
	}))
	return l
}

// Go runs f on a goroutine when the entry starts. f must return when its
// context ends.
func (l *Loops) Go(lc fx.Lifecycle, f func(ctx context.Context)) {
	lc.Append(fx.StartHook(func() {
		l.work.Go(func() { f(l.ctx) })
	}))
}

// Spawn runs f on a goroutine at once, unless the entry has stopped. f must
// return when its context ends.
func (l *Loops) Spawn(f func(ctx context.Context)) {
	if l.ctx.Err() == nil {
		l.work.Go(func() { f(l.ctx) })
	}
}

// Every runs f when the entry starts and then once in each period.
func (l *Loops) Every(lc fx.Lifecycle, period time.Duration, f func(ctx context.Context)) {
	l.Go(lc, func(ctx context.Context) {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for ctx.Err() == nil {
			f(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
			}
		}
	})
}

// adoptRequests takes over the durable requests of failed entries.
func adoptRequests(lc fx.Lifecycle, l *Loops, jobs *job.Store, d *delivery.Service, r *member.Registry, s settings.Entry, log *logrus.Logger) {
	adopter := job.NewAdopter(jobs, job.AdopterOptions{
		Members: r,
		Resume:  d.Resume,
		Log:     entryLog(log, s),
	})
	l.Go(lc, adopter.Run)
}

func watchTemplates(lc fx.Lifecycle, l *Loops, w *template.Watcher) {
	l.Go(lc, func(ctx context.Context) { _ = w.Run(ctx) })
}

// watchHosts updates the fleet from the host list and the disruption notices of
// the cloud API. Notices are applied first, so that a draining host never
// appears to be new.
func watchHosts(lc fx.Lifecycle, l *Loops, list infra.HostList, cloud infra.Cloud, client endpoint.Client, f *routing.Fleet, notices *drain.Set, members *member.Registry, s settings.Entry, log *logrus.Logger) {
	notices.OnLeaving(func(n drain.Notice) { f.MarkLeaving(n.HostID, n.Incarnation, string(n.Reason)) })
	engines := newLoadedFilter(client)
	watch := drain.Watch{
		Set:     notices,
		Cloud:   cloud,
		List:    list,
		Entries: members.Count,
		OnHosts: func(hosts []infra.Host) { f.SetHosts(engines.visible(l.ctx, hosts)) },
		Log:     entryLog(log, s),
	}
	l.Go(lc, func(ctx context.Context) { _ = watch.Run(ctx) })
}

// watchOffers updates the prices and loss rates of the fleet from the offers of
// the cloud.
func watchOffers(lc fx.Lifecycle, l *Loops, cloud infra.Cloud, f *routing.Fleet, s settings.Entry, log *logrus.Logger) {
	l.Every(lc, offerPeriod, func(ctx context.Context) {
		offers, err := cloud.Offers(ctx)
		if err != nil {
			entryLog(log, s).WithError(err).Warn("app: offers can't be read.")
			return
		}
		f.SetOffers(offers)
	})
}

// probeEndpoints probes the endpoints that the fleet selects. A probe reads a
// load report and the cache events since the last probe.
func probeEndpoints(lc fx.Lifecycle, l *Loops, f *routing.Fleet, client endpoint.Client) {
	l.Every(lc, probePeriod, func(ctx context.Context) {
		e, ok := f.NextProbe()
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if err := probe(ctx, f, client.Engine(e.Addr), e.ID); err != nil {
			f.ReportFailure(e.ID, err)
		}
	})
}

func probe(ctx context.Context, f *routing.Fleet, engine endpoint.Engine, id string) error {
	load, err := engine.Load(ctx)
	if err != nil {
		return err
	}
	f.ReportLoad(id, load)
	from := f.EventsFrom(id)
	events, err := engine.CacheEvents(ctx, from)
	if err != nil {
		return err
	}
	f.ApplyCacheEvents(id, from, events)
	return nil
}
