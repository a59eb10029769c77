package app

import (
	"context"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/operatorapi"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// operatorModule provides the operator API and its listener.
var operatorModule = fx.Module("operators",
	fx.Provide(newStatusSource, newDrainer, newOperatorAPI),
	fx.Invoke(serveOperators, observeState),
)

func newOperatorAPI(store *template.Store, w *template.Watcher, status *statusSource, d *drainer, gate *Gate, m *telemetry.Metrics, s settings.Entry, log *logrus.Logger) *operatorapi.Server {
	return operatorapi.New(operatorapi.Deps{
		KeySHA256: s.OperatorKeySHA256,
		Templates: store,
		Status:    status,
		Drains:    d,
		Readiness: []operatorapi.Readiness{gateReadiness(gate), operatorapi.TemplateReadiness(w)},
		Metrics:   m.Handler(),
		Log:       entryLog(log, s),
	})
}

// gateReadiness reports the entry as not ready once its drain has begun.
func gateReadiness(gate *Gate) operatorapi.Readiness {
	return operatorapi.ReadinessFunc(func() (bool, string) {
		if gate.Closed() {
			return false, "the entry drains"
		}
		return true, ""
	})
}

func serveOperators(lc fx.Lifecycle, n Network, s settings.Entry, api *operatorapi.Server, log *logrus.Logger) {
	serveHTTP(lc, n, s.Listen.Operator, api.Handler(), entryLog(log, s))
}

func observeState(m *telemetry.Metrics, w *template.Watcher, notices *drain.Set, controlLease *lease.Lease) error {
	return m.RegisterGauges(telemetry.Gauges{
		TemplateVersion: w.Version,
		Leases:          func() int { return leasesHeld(controlLease) },
		Draining:        func() int { return len(notices.All()) },
	})
}

func leasesHeld(l *lease.Lease) int {
	if _, held := l.Held(); held {
		return 1
	}
	return 0
}

// drainer starts drains of endpoint hosts and failure domains.
type drainer struct {
	notices *drain.Set
	fleet   *routing.Fleet
}

func newDrainer(notices *drain.Set, f *routing.Fleet) *drainer {
	return &drainer{notices: notices, fleet: f}
}

// Drain implements operatorapi.Drainer.
func (d *drainer) Drain(_ context.Context, target operatorapi.DrainTarget) error {
	if target.FailureDomain != "" {
		return d.drainDomain(target.FailureDomain)
	}
	return d.drainHost(target.Host)
}

func (d *drainer) drainDomain(name string) error {
	for _, n := range d.notices.All() {
		if n.HostID == "" && n.FailureDomain == name {
			return nil
		}
	}
	for _, e := range d.fleet.Endpoints() {
		if e.FailureDomain == name {
			d.notices.DrainDomain(uuid.NewString(), name)
			return nil
		}
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no failure domain %q", name)
}

func (d *drainer) drainHost(id string) error {
	for _, e := range d.fleet.Endpoints() {
		if e.HostID != id {
			continue
		}
		d.notices.Add(drain.Notice{
			HostID:        id,
			Incarnation:   e.Incarnation,
			FailureDomain: e.FailureDomain,
			Reason:        drain.ReasonOperator,
		})
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "no host %q", id)
}

// Drains implements operatorapi.Drainer.
func (d *drainer) Drains(context.Context) ([]operatorapi.DrainStatus, error) {
	out := []operatorapi.DrainStatus{}
	for _, n := range d.notices.All() {
		target := operatorapi.DrainTarget{Host: n.HostID}
		if n.HostID == "" {
			target.FailureDomain = n.FailureDomain
		}
		inFlight := d.inFlight(n)
		out = append(out, operatorapi.DrainStatus{
			Target:   target,
			Reason:   string(n.Reason),
			InFlight: inFlight,
			Done:     inFlight == 0,
		})
	}
	return out, nil
}

// inFlight counts the requests of this entry on the host or failure domain of a
// notice.
func (d *drainer) inFlight(n drain.Notice) int {
	total := 0
	for _, e := range d.fleet.Endpoints() {
		if e.HostID == n.HostID || (n.HostID == "" && e.FailureDomain == n.FailureDomain) {
			total += e.InFlight
		}
	}
	return total
}
