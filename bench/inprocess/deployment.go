// Package inprocess runs a complete deployment in one process: the stand-ins
// and the real code of several entry hosts, over loopback addresses or an
// in-memory network. Entries can be stopped, killed, paused and restarted while
// it runs. The benchmarks and the randomised tests use it.
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

// Options configure a Deployment.
type Options struct {
	Standins standin.Settings
	Template *template.Template
	Entries  []settings.Entry
	// Network returns the network as seen from the host with an IP address.
	Network    func(ip string) app.Network
	Log        *logrus.Logger
	Experiment app.Experiment
	// EntryOptions replace or add components of all entries.
	EntryOptions []fx.Option
}

// Deployment is a running deployment. It is safe for concurrent use.
type Deployment struct {
	Standins *standin.Deployment

	options Options

	mu      sync.Mutex
	entries []*host
	// stopping counts killed entries that have not stopped yet. Their
	// networks are disconnected.
	stopping sync.WaitGroup
}

// host is an entry host. Its entry is nil while it is down.
type host struct {
	settings settings.Entry
	entry    *app.Entry
	network  *networkSwitch
}

// Start starts the stand-ins, publishes the template, and starts the entries.
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

// EntryCount returns the number of entry hosts, including those that are down.
func (d *Deployment) EntryCount() int { return len(d.entries) }

// Settings returns the settings of an entry host.
func (d *Deployment) Settings(i int) settings.Entry { return d.entries[i].settings }

// Entry returns the entry that runs on a host, or nil while the host is down.
func (d *Deployment) Entry(i int) *app.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.entries[i].entry
}

// IsRunning reports whether the entry of a host runs.
func (d *Deployment) IsRunning(i int) bool {
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
	netSwitch := newNetworkSwitch(d.options.Network(ip))
	entry, err := app.New(app.Config{
		Settings: h.settings,
		Network:  netSwitch.network(),
		Log:      d.options.Log,

		Experiment: d.options.Experiment,
		Options:    d.options.EntryOptions,
	})
	if err != nil {
		return err
	}
	if err := entry.Start(ctx); err != nil {
		netSwitch.disconnect()
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	h.entry, h.network = entry, netSwitch
	return nil
}

// detachEntry removes an entry from its host, which is down afterwards. The
// host keeps the network switch, so that an entry that is paused while it stops
// can be resumed.
func (d *Deployment) detachEntry(i int) (*app.Entry, *networkSwitch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.entries[i]
	entry := h.entry
	h.entry = nil
	return entry, h.network
}

// StopEntry drains and stops an entry. It returns once all requests of the
// entry have ended.
func (d *Deployment) StopEntry(ctx context.Context, i int) error {
	entry, netSwitch := d.detachEntry(i)
	if entry == nil {
		return nil
	}
	defer netSwitch.disconnect()
	if err := entry.Drain(ctx); err != nil {
		_ = entry.Stop(ctx)
		return fmt.Errorf("drain %s: %w", d.entries[i].settings.ID, err)
	}
	return entry.Stop(ctx)
}

// KillEntry disconnects an entry without notice, as a crash of its host would.
// Its goroutines end later and have no further effect.
func (d *Deployment) KillEntry(ctx context.Context, i int) {
	entry, netSwitch := d.detachEntry(i)
	if entry == nil {
		return
	}
	netSwitch.disconnect()
	d.stopping.Go(func() { _ = entry.Stop(context.WithoutCancel(ctx)) })
}

// PauseEntry blocks all traffic of an entry until ResumeEntry.
func (d *Deployment) PauseEntry(i int) { d.setPaused(i, true) }

// ResumeEntry unblocks the traffic of a paused entry.
func (d *Deployment) ResumeEntry(i int) { d.setPaused(i, false) }

func (d *Deployment) setPaused(i int, paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if netSwitch := d.entries[i].network; netSwitch != nil {
		netSwitch.setPaused(paused)
	}
}

// Close kills all entries, waits until they have stopped, and stops the
// stand-ins.
func (d *Deployment) Close(ctx context.Context) {
	for i := range d.entries {
		d.KillEntry(ctx, i)
	}
	d.stopping.Wait()
	d.Standins.Close()
}
