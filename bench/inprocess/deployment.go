// Package inprocess runs a whole deployment in one process: the stand-ins and
// the real code of several entry hosts, over loopback addresses or an
// in-memory network. Entries can be stopped, killed, paused and restarted.
package inprocess

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/standin"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// Options set up a Deployment.
type Options struct {
	Standins standin.Settings
	Template *template.Template
	Entries  []settings.Entry
	// Network returns the network of the host with an IP number.
	Network    func(ip string) app.Network
	Log        *logrus.Logger
	Experiment app.Experiment
	// EntryOptions changes parts of all entries.
	EntryOptions []fx.Option
}

// Deployment is a running deployment. It is safe for concurrent use.
type Deployment struct {
	Standins *standin.Deployment

	options Options

	mu      sync.Mutex
	entries []*host
	// dying are the remains of killed entries, which end by themselves.
	dying sync.WaitGroup
}

// host is an entry host. Its entry is nil while it is down.
type host struct {
	settings settings.Entry
	entry    *app.Entry
	power    *powerSwitch
}

// Start starts the stand-ins, puts the template in force, and starts the
// entries.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	platformIP, _, err := net.SplitHostPort(o.Standins.Listen)
	if err != nil {
		return nil, fmt.Errorf("platform address: %w", err)
	}
	network := o.Network(platformIP)
	standins, err := standin.New(o.Standins, network.Dial, logrus.NewEntry(o.Log))
	if err != nil {
		return nil, err
	}
	store := template.NewStore(standins.Platform.Table, template.StoreOptions{})
	if _, err := store.Publish(ctx, 0, "deployment", o.Template); err != nil {
		return nil, err
	}
	if err := standins.Start(network.Listen); err != nil {
		return nil, err
	}
	d := &Deployment{Standins: standins, options: o}
	for _, s := range o.Entries {
		d.entries = append(d.entries, &host{settings: s})
	}
	for i := range d.entries {
		if err := d.StartEntry(ctx, i); err != nil {
			d.Close(ctx)
			return nil, err
		}
	}
	return d, nil
}

// Entries returns the number of entry hosts, those that are down included.
func (d *Deployment) Entries() int { return len(d.entries) }

// Settings returns the settings of an entry host.
func (d *Deployment) Settings(i int) settings.Entry { return d.entries[i].settings }

// Entry returns the entry that runs on a host, nil while it is down.
func (d *Deployment) Entry(i int) *app.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i].entry
}

// Up says whether an entry host runs.
func (d *Deployment) Up(i int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i].entry != nil
}

// StartEntry starts an entry host that is down.
func (d *Deployment) StartEntry(ctx context.Context, i int) error {
	h := d.entries[i]
	ip, _, err := net.SplitHostPort(h.settings.Listen.Caller)
	if err != nil {
		return fmt.Errorf("entry address: %w", err)
	}
	power := newPowerSwitch(d.options.Network(ip))
	entry, err := app.New(app.Config{
		Settings: h.settings,
		Network:  power.network(),
		Log:      d.options.Log,

		Experiment: d.options.Experiment,
		Options:    d.options.EntryOptions,
	})
	if err != nil {
		return err
	}
	if err := entry.Start(ctx); err != nil {
		power.turnOff()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h.entry, h.power = entry, power
	return nil
}

// take removes an entry from its host, which then is down. Its power switch
// stays, so that an entry that is paused while it stops can be resumed.
func (d *Deployment) take(i int) (*app.Entry, *powerSwitch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.entries[i]
	entry := h.entry
	h.entry = nil
	return entry, h.power
}

// StopEntry drains an entry and stops it. It returns when all its requests
// have ended.
func (d *Deployment) StopEntry(ctx context.Context, i int) error {
	entry, power := d.take(i)
	if entry == nil {
		return nil
	}
	defer power.turnOff()
	if err := entry.Drain(ctx); err != nil {
		_ = entry.Stop(ctx)
		return fmt.Errorf("drain %s: %w", d.entries[i].settings.ID, err)
	}
	return entry.Stop(ctx)
}

// KillEntry cuts an entry off from one moment to the next. What is left of it
// in this process ends later, without any effect.
func (d *Deployment) KillEntry(ctx context.Context, i int) {
	entry, power := d.take(i)
	if entry == nil {
		return
	}
	power.turnOff()
	d.dying.Go(func() { _ = entry.Stop(context.WithoutCancel(ctx)) })
}

// PauseEntry holds all traffic of an entry until ResumeEntry.
func (d *Deployment) PauseEntry(i int) { d.setPaused(i, true) }

// ResumeEntry lets a paused entry go on.
func (d *Deployment) ResumeEntry(i int) { d.setPaused(i, false) }

func (d *Deployment) setPaused(i int, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if power := d.entries[i].power; power != nil {
		power.setPaused(on)
	}
}

// Close kills all entries and stops the stand-ins.
func (d *Deployment) Close(ctx context.Context) {
	for i := range d.entries {
		d.KillEntry(ctx, i)
	}
	d.dying.Wait()
	d.Standins.Close()
}
