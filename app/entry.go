// Package app wires one entry host from its parts.
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

// Incarnation names one run of an entry; a restart has another.
type Incarnation string

// Entry is one entry host. Start and Stop are called once each.
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

// Config is what an entry is built from.
type Config struct {
	Settings settings.Entry
	Network  Network
	Log      *logrus.Logger
	// Experiment replaces policies by baselines; the zero value does not.
	Experiment Experiment
	// Options adds to or replaces parts, for tests and experiments.
	Options []fx.Option
}

// Experiment selects baselines for experiments.
type Experiment struct {
	// Policy is the routing policy.
	Policy routing.Policy
	// RestartOnReclaim lets streams of a host that is reclaimed break, and
	// starts their answers again from the beginning.
	RestartOnReclaim bool
}

// New builds an entry. Nothing runs before Start.
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

// TemplateVersion returns the version in force, 0 before the first.
func (e *Entry) TemplateVersion() uint64 { return e.watcher.Version() }

// Traffic returns what went between this entry and its peers.
func (e *Entry) Traffic() peer.Traffic { return e.mesh.Traffic() }

// RelayCounts returns what happened to the answers that it carried.
func (e *Entry) RelayCounts() relay.Counts { return e.relay.Counts() }

// Drain takes no new work from now on, gives back the lease, and waits until
// all requests in progress have ended.
func (e *Entry) Drain(ctx context.Context) error {
	e.gate.Close()
	e.registry.SetLeaving()
	e.lease.Release()
	e.log.WithField("inside", e.gate.InFlight()).Info("app: entry drains.")
	return e.gate.Wait(ctx)
}

// Stop ends listeners and loops. Requests still in progress are cut; call
// Drain first for a planned stop.
func (e *Entry) Stop(ctx context.Context) error {
	if err := e.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	return nil
}
