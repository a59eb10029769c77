package app

import (
	"context"
	"math/rand/v2"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/callerapi"
	"github.com/coltsfootcleat/coltsfootcleat/delivery"
	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	endpointrest "github.com/coltsfootcleat/coltsfootcleat/endpoint/rest"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/guard"
	infrarest "github.com/coltsfootcleat/coltsfootcleat/infra/rest"
	"github.com/coltsfootcleat/coltsfootcleat/job"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/once"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// platformModule provides the clients of the platform and the endpoints.
var platformModule = fx.Module("platform", fx.Provide(
	newMetrics,
	newPlatformClient,
	newTable,
	func(c *infrarest.Client) infra.Objects { return c.Objects() },
	func(c *infrarest.Client) infra.HostList { return c.HostList() },
	func(c *infrarest.Client) infra.Cloud { return c.Cloud() },
	func(c *infrarest.Client) infra.WeightStore { return c.WeightStore() },
	newEndpointClient,
))

// decisionModule provides the components that make decisions: templates,
// routing and admission control.
var decisionModule = fx.Module("decisions", fx.Provide(
	newTemplateStore,
	newWatcher,
	newFleet,
	newAdmission,
))

// requestModule provides the components that process requests.
var requestModule = fx.Module("requests", fx.Provide(
	newRelay,
	newOnce,
	newJobs,
	newDelivery,
	newServices,
	newCallerAPI,
))

func entryLog(log *logrus.Logger, s settings.Entry) *logrus.Entry {
	return log.WithField("entry", s.ID)
}

func newMetrics(lc fx.Lifecycle) (*telemetry.Metrics, error) {
	m, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	lc.Append(fx.StopHook(m.Close))
	return m, nil
}

func newPlatformClient(lc fx.Lifecycle, s settings.Entry, n Network) *infrarest.Client {
	c := infrarest.New(s.Platform.URL, n.Dial, s.Platform.Timeout.Std())
	lc.Append(fx.StopHook(c.Close))
	return c
}

// newTable wraps the client of the table service with metrics of its calls, and
// with the timeout, write limit and circuit breaker of package guard.
func newTable(c *infrarest.Client, m *telemetry.Metrics, s settings.Entry, log *logrus.Logger) infra.Table {
	return guard.New(m.InstrumentTable(c.Table()), guard.Options{
		Timeout:         s.Platform.Timeout.Std(),
		WritesPerSecond: s.Platform.WritesPerSecond,
		Log:             entryLog(log, s),
	})
}

func newEndpointClient(lc fx.Lifecycle, n Network) endpoint.Client {
	c := endpointrest.NewClient(n.Dial)
	lc.Append(fx.StopHook(c.Close))
	return c
}

func newTemplateStore(table infra.Table) *template.Store {
	return template.NewStore(table, template.StoreOptions{})
}

func newWatcher(store *template.Store, peers *peerTemplates, s settings.Entry, log *logrus.Logger) *template.Watcher {
	return template.NewWatcher(store, s.Deployment, template.WatcherOptions{
		Fetch: peers.fetch,
		Log:   entryLog(log, s),
	})
}

func newFleet(s settings.Entry, x Experiment, log *logrus.Logger, w *template.Watcher, notices *drain.Set) *routing.Fleet {
	f := routing.NewFleet(routing.Options{
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Log:           entryLog(log, s),
		Seed:          rand.Uint64(),
		Policy:        x.Policy,
		OnLeaving: func(hostID, incarnation, reason string) {
			if reason == routing.ReasonEngine {
				notices.Add(drain.Notice{HostID: hostID, Incarnation: incarnation, Reason: drain.ReasonEngine})
			}
		},
	})
	w.OnChange(f.SetTemplate)
	return f
}

func newAdmission(s settings.Entry, log *logrus.Logger, w *template.Watcher, f *routing.Fleet) *admission.Controller {
	c := admission.New(admission.Options{
		Entry: s.ID,
		Log:   entryLog(log, s),
		Headroom: func(model string) (admission.Headroom, bool) {
			h, found := f.Headroom(model)
			return admission.Headroom(h), found
		},
	})
	w.OnChange(c.SetTemplate)
	return c
}

func newRelay(f *routing.Fleet, client endpoint.Client, a *admission.Controller, x Experiment, m *telemetry.Metrics, s settings.Entry, log *logrus.Logger) *relay.Relay {
	return relay.New(relay.Options{
		Fleet:   f,
		Client:  client,
		Retries: a,
		Log:     entryLog(log, s),
		Restart: x.RestartOnReclaim,

		OnResume: m.Resumed,
	})
}

func newOnce(lc fx.Lifecycle, table infra.Table, f *routing.Fleet, client endpoint.Client, registry *member.Registry, s settings.Entry, i Incarnation, log *logrus.Logger) *once.Store {
	store := once.New(table, once.Options{
		EntryID:     s.ID,
		Incarnation: string(i),
		Alive:       registry.Alive,
		Lookup:      delivery.Lookup(f, client),
		Log:         entryLog(log, s),
	})
	lc.Append(fx.StopHook(func(context.Context) { store.Close() }))
	return store
}

func newJobs(lc fx.Lifecycle, table infra.Table, objects infra.Objects, s settings.Entry, i Incarnation, log *logrus.Logger) *job.Store {
	store := job.New(table, objects, job.Options{
		Owner:       s.ID,
		Incarnation: string(i),
		Log:         entryLog(log, s),
	})
	lc.Append(fx.StopHook(store.Close))
	return store
}

func newDelivery(lc fx.Lifecycle, s settings.Entry, r *relay.Relay, f *routing.Fleet, jobs *job.Store, w *template.Watcher, gate *Gate, m *telemetry.Metrics, log *logrus.Logger) *delivery.Service {
	d := delivery.New(delivery.Options{
		Relay:            r,
		Predictor:        f,
		Jobs:             jobs,
		CheckpointPolicy: job.NewCheckpointPolicy(0, 0, 0),
		Kinds: func(name string) (template.Kind, bool) {
			index := w.Index()
			if index == nil {
				return template.Kind{}, false
			}
			return index.Kind(name)
		},
		Recorder:  m,
		DrainGate: gate,
		Log:       entryLog(log, s),
	})
	lc.Append(fx.StopHook(d.Close))
	return d
}

func newServices(f *routing.Fleet, client endpoint.Client, store *once.Store, a *admission.Controller, m *telemetry.Metrics, s settings.Entry, log *logrus.Logger) *delivery.Services {
	return delivery.NewServices(f, client, store, a, m, entryLog(log, s))
}

func newCallerAPI(w *template.Watcher, a *admission.Controller, d *delivery.Service, services *delivery.Services, gate *Gate, s settings.Entry, log *logrus.Logger) *callerapi.Server {
	return callerapi.New(callerapi.Deps{
		Templates: w,
		Admission: a,
		Answers:   d,
		Services:  services,
		Gate:      gate,
		Limits:    s.Limits,
		Log:       entryLog(log, s),
		NewID:     uuid.NewString,
	})
}
