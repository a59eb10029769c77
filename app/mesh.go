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

// digestPeriod is how often an entry tells its peers about itself.
const digestPeriod = time.Second

// meshModule provides what entries know of each other.
var meshModule = fx.Module("mesh",
	fx.Provide(newRegistry, newNotices, newPeerTemplates, newPeerDigests, newMesh),
	fx.Invoke(runMesh),
)

// newRegistry provides the members. At the end of a planned stop, when the
// loops have ended, the entry's own row is deleted, so that nobody waits for it
// to go stale.
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

// peerTemplates lets the watcher fetch templates from peers. The mesh, which
// needs the watcher itself, is filled in once it exists.
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

// peerDigests keeps the last digest of each other entry.
type peerDigests struct {
	admission *admission.Controller
	registry  *member.Registry

	mu      sync.Mutex
	digests map[string]peer.EntryState
}

func newPeerDigests(a *admission.Controller, r *member.Registry) *peerDigests {
	return &peerDigests{admission: a, registry: r, digests: make(map[string]peer.EntryState)}
}

func (p *peerDigests) heard(from string, d peer.EntryState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.digests[from] = d
}

func (p *peerDigests) of(id string) peer.EntryState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.digests[id]
}

// tokensPerSecond returns the demand of all other entries.
func (p *peerDigests) tokensPerSecond() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0.0
	for _, d := range p.digests {
		for _, demand := range d.Demand {
			total += demand.TokensPerSecond
		}
	}
	return total
}

// share hands demand and spend of the live entries to admission.
func (p *peerDigests) share() {
	live := make(map[string]bool)
	for _, id := range p.registry.Live() {
		live[id] = true
	}
	p.mu.Lock()
	demand := make(map[string]map[string]float64, len(p.digests))
	spend := make(map[string]map[string]float64, len(p.digests))
	for id, d := range p.digests {
		if !live[id] {
			delete(p.digests, id)
			continue
		}
		demand[id] = demandOf(d)
		spend[id] = spendOf(d)
	}
	p.mu.Unlock()
	p.admission.SetMemberCount(max(1, len(live)))
	p.admission.SetPeerDemand(demand)
	p.admission.SetPeerSpend(spend)
}

func spendOf(d peer.EntryState) map[string]float64 {
	out := make(map[string]float64, len(d.Demand))
	for customer, v := range d.Demand {
		out[customer] = v.SpendPerHour
	}
	return out
}

func demandOf(d peer.EntryState) map[string]float64 {
	out := make(map[string]float64, len(d.Demand))
	for customer, v := range d.Demand {
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
	Digests   *peerDigests
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
			EntryState: func(from string, digest peer.EntryState) {
				d.Watcher.RecordPeerContact()
				d.Digests.heard(from, digest)
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

// currentTemplate returns the template in force if it is the one asked for.
func currentTemplate(w *template.Watcher, name string, version uint64) (json.RawMessage, bool) {
	t := w.Current()
	if t == nil || t.Name != name || t.Version != version {
		return nil, false
	}
	body, err := json.Marshal(t)
	return body, err == nil
}

// closeQuietly closes a listener that its user may have closed already.
func closeQuietly(l net.Listener) { _ = l.Close() }

func runMesh(lc fx.Lifecycle, l *Loops, m *peer.Mesh, r *member.Registry, a *admission.Controller, digests *peerDigests, gate *Gate) {
	l.Go(lc, func(ctx context.Context) { _ = r.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { _ = m.Run(ctx) })
	l.Every(lc, digestPeriod, func(context.Context) {
		// Limits are divided by the demand that was told a period ago, which
		// is what the other entries divide by too.
		digests.share()
		m.Publish(ownDigest(a, gate))
	})
}

func ownDigest(a *admission.Controller, gate *Gate) peer.EntryState {
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
