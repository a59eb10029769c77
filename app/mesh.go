package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/admission"
	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// entryStatePeriod is the interval at which an entry publishes its state to its
// peers.
const entryStatePeriod = time.Second

// meshModule provides the membership and the connections between entries.
var meshModule = fx.Module("mesh",
	fx.Provide(newRegistry, newNotices, newPeerTemplates, newPeerStates, newMesh),
	fx.Invoke(runMesh),
)

// newRegistry provides the membership. At the end of a planned stop, after the
// loops have ended, it deletes the row of this entry, so that the others do not
// have to wait until it expires.
func newRegistry(lc fx.Lifecycle, table infra.Table, gate *Gate, s settings.Entry, i Incarnation, log *logrus.Logger) *member.Registry {
	r := member.New(table, member.Options{
		ID:            s.ID,
		Incarnation:   string(i),
		Addr:          s.Listen.Peer,
		FailureDomain: s.FailureDomain,
		Region:        s.Region,
		Log:           entryLog(log, s),
	})
	lc.Append(fx.StopHook(func(ctx context.Context) {
		if !gate.Closed() {
			return
		}
		if err := r.Leave(ctx); err != nil {
			entryLog(log, s).WithError(err).Warn("app: membership row not deleted.")
		}
	}))
	return r
}

func newNotices(s settings.Entry, log *logrus.Logger) *drain.Set {
	return drain.NewSet(entryLog(log, s))
}

// peerTemplates fetches templates from peers for the watcher. newMesh sets the
// mesh afterwards, because the mesh in turn depends on the watcher.
type peerTemplates struct {
	mesh *peer.Mesh
}

func newPeerTemplates() *peerTemplates { return &peerTemplates{} }

func (p *peerTemplates) fetch(ctx context.Context, from, name string, version uint64) (*template.Template, error) {
	body, found, err := p.mesh.FetchTemplate(ctx, from, name, version)
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("peer %s has no version %d of template %s", from, version, name)
	}
	t := &template.Template{}
	if err := json.Unmarshal(body, t); err != nil {
		return nil, fmt.Errorf("template from peer %s: %w", from, err)
	}
	return t, nil
}

// peerStates holds the last state of each other entry. It is safe for
// concurrent use.
type peerStates struct {
	admission *admission.Controller
	registry  *member.Registry

	mu     sync.Mutex
	states map[string]peer.EntryState
}

func newPeerStates(a *admission.Controller, r *member.Registry) *peerStates {
	return &peerStates{admission: a, registry: r, states: make(map[string]peer.EntryState)}
}

func (p *peerStates) receive(from string, state peer.EntryState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[from] = state
}

func (p *peerStates) state(id string) peer.EntryState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.states[id]
}

// tokensPerSecond returns the total demand of all other entries.
func (p *peerStates) tokensPerSecond() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0.0
	for _, state := range p.states {
		for _, demand := range state.Demand {
			total += demand.TokensPerSecond
		}
	}
	return total
}

// updateAdmission passes the demand and the spend of the live entries to
// admission control.
func (p *peerStates) updateAdmission() {
	live := make(map[string]bool)
	for _, id := range p.registry.Live() {
		live[id] = true
	}
	p.mu.Lock()
	demand := make(map[string]map[string]float64, len(p.states))
	spend := make(map[string]map[string]float64, len(p.states))
	for id, state := range p.states {
		if !live[id] {
			delete(p.states, id)
			continue
		}
		demand[id] = demandOf(state)
		spend[id] = spendOf(state)
	}
	p.mu.Unlock()
	p.admission.SetMemberCount(max(1, len(live)))
	p.admission.SetPeerDemand(demand)
	p.admission.SetPeerSpend(spend)
}

func spendOf(state peer.EntryState) map[string]float64 {
	out := make(map[string]float64, len(state.Demand))
	for customer, v := range state.Demand {
		out[customer] = v.SpendPerHour
	}
	return out
}

func demandOf(state peer.EntryState) map[string]float64 {
	out := make(map[string]float64, len(state.Demand))
	for customer, v := range state.Demand {
		out[customer] = v.TokensPerSecond
	}
	return out
}

type meshDeps struct {
	fx.In

	Settings  settings.Entry
	Network   Network
	Registry  *member.Registry
	Notices   *drain.Set
	Watcher   *template.Watcher
	Templates *peerTemplates
	States    *peerStates
	Log       *logrus.Logger
}

func newMesh(lc fx.Lifecycle, d meshDeps) (*peer.Mesh, error) {
	l, err := d.Network.Listen(d.Settings.Listen.Peer)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", d.Settings.Listen.Peer, err)
	}
	lc.Append(fx.StopHook(func() { closeQuietly(l) }))
	m := peer.New(peer.Options{
		Deployment: d.Settings.Deployment,
		Registry:   d.Registry,
		Notices:    d.Notices,
		Listener:   l,
		Dial:       d.Network.Dial,
		Log:        entryLog(d.Log, d.Settings),
		Handlers: peer.Handlers{
			EntryState: func(from string, state peer.EntryState) {
				d.Watcher.RecordPeerContact()
				d.States.receive(from, state)
			},
			TemplateVersion: func(from, name string, version uint64) {
				if name == d.Settings.Deployment {
					d.Watcher.Observe(version, from)
				}
			},
			TemplateFetch: func(name string, version uint64) (json.RawMessage, bool) {
				return currentTemplate(d.Watcher, name, version)
			},
		},
	})
	d.Templates.mesh = m
	d.Watcher.OnChange(func(t *template.Template) { m.SetTemplateVersion(t.Name, t.Version) })
	return m, nil
}

// currentTemplate returns the template in force if it has this name and
// version.
func currentTemplate(w *template.Watcher, name string, version uint64) (json.RawMessage, bool) {
	t := w.Current()
	if t == nil || t.Name != name || t.Version != version {
		return nil, false
	}
	body, err := json.Marshal(t)
	return body, err == nil
}

// closeQuietly closes a listener that the mesh may have closed already.
func closeQuietly(l net.Listener) { _ = l.Close() }

func runMesh(lc fx.Lifecycle, l *Loops, m *peer.Mesh, r *member.Registry, a *admission.Controller, states *peerStates, gate *Gate) {
	l.Go(lc, func(ctx context.Context) { _ = r.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { _ = m.Run(ctx) })
	l.Every(lc, entryStatePeriod, func(context.Context) {
		// Limits are divided by the demand that was published a period ago,
		// which the other entries use as well.
		states.updateAdmission()
		m.Publish(ownState(a, gate))
	})
}

func ownState(a *admission.Controller, gate *Gate) peer.EntryState {
	demand := make(map[string]peer.Demand)
	for customer, rate := range a.Demand() {
		demand[customer] = peer.Demand{TokensPerSecond: rate}
	}
	for customer, spend := range a.Spend() {
		d := demand[customer]
		d.SpendPerHour = spend
		demand[customer] = d
	}
	return peer.EntryState{Demand: demand, InFlight: gate.InFlight()}
}
