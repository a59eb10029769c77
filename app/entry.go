// Package app assembles the process of one entry host from the other packages.
// New builds an Entry, which serves requests by template, and NewGateway builds
// a Gateway, which forwards them by route. The command coltsfootcleat runs one
// of them; tests and benchmarks run several in one process, each with a Network
// of its own. Background loops and HTTP servers run from Start to Stop.
package app

import (
	"context"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// startTimeout bounds the start of an entry.
const startTimeout = 30 * time.Second

// Incarnation identifies one run of an entry; each restart has a new one.
type Incarnation string

// Entry is one entry host that serves requests by template. Start and Stop are
// called once each.
type Entry struct {
	app     *fx.App
	gate    *Gate
	log     *logrus.Logger
	watcher *template.Watcher
	mesh    *peer.Mesh
	relay   *relay.Relay

	registry *member.Registry
	lease    *lease.Lease
}

// Config holds the settings and dependencies of an Entry.
type Config struct {
	Settings settings.Entry
	Network  Network
	Log      *logrus.Logger
	// Experiment replaces policies with baselines. The zero value replaces
	// none.
	Experiment Experiment
	// Options adds or replaces components, for tests and experiments.
	Options []fx.Option
}

// Experiment selects baselines for experiments.
type Experiment struct {
	// Policy is the routing policy.
	Policy routing.Policy
	// RestartOnReclaim disables moving streams off a reclaimed host: the
	// streams break, and their answers start again from the beginning.
	RestartOnReclaim bool
}

// New builds an entry. Its loops and HTTP servers start with Start.
func New(c Config) (*Entry, error) {
	e := &Entry{gate: NewGate(), log: c.Log}
	options := []fx.Option{
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(c.Settings, c.Network, c.Log, c.Experiment, e.gate, Incarnation(uuid.NewString())),
		platformModule,
		decisionModule,
		requestModule,
		meshModule,
		operatorModule,
		controlModule,
		serverModule,
		loopModule,
		reclaimModule,
		fx.Populate(&e.watcher, &e.mesh, &e.relay, &e.registry, &e.lease),
	}
	e.app = fx.New(append(options, c.Options...)...)
	if err := e.app.Err(); err != nil {
		return nil, fmt.Errorf("build entry: %w", err)
	}
	return e, nil
}

// Start starts the entry's listeners and loops.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.app.Start(ctx); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	return nil
}

// TemplateVersion returns the template version in force, 0 before the first
// one.
func (e *Entry) TemplateVersion() uint64 { return e.watcher.Version() }

// Traffic returns the traffic between this entry and its peers.
func (e *Entry) Traffic() peer.Traffic { return e.mesh.Traffic() }

// RelayCounts returns the outcomes of the answers that this entry relayed.
func (e *Entry) RelayCounts() relay.Counts { return e.relay.Counts() }

// Drain refuses new requests from now on, releases the lease, and waits until
// all requests in flight have finished.
func (e *Entry) Drain(ctx context.Context) error {
	e.gate.Close()
	e.registry.SetLeaving()
	e.lease.Release()
	e.log.WithField("inside", e.gate.InFlight()).Info("app: entry drains.")
	return e.gate.Wait(ctx)
}

// Stop ends listeners and loops. Requests still in flight are aborted; call
// Drain first for a planned stop.
func (e *Entry) Stop(ctx context.Context) error {
	if err := e.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	return nil
}
