package app

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// configName is what the configuration is called among peers.
	configName = "configuration"
	// sharePeriod is how often an entry of a small deployment tells its peers
	// of its load, and divides limits anew. Demand that moves meanwhile is
	// what limits may be exceeded by.
	sharePeriod = 250 * time.Millisecond
	// loadHorizon is how old a peer's load may be to count.
	loadHorizon = 4 * time.Second
	// keeperHorizon is how old the last digest of a peer that keeps limits may
	// be, in update periods; shortestKeeperHorizon is the least.
	keeperHorizon         = 4
	shortestKeeperHorizon = 1200 * time.Millisecond
)

// peerView keeps what the other entries told.
type peerView struct {
	self        string
	incarnation string
	registry    *member.Registry
	meter       *usage.Counter

	mu sync.Mutex
	// heard is by entry and incarnation, so that counts of an incarnation
	// that is gone are not lost.
	heard map[heardKey]heardState
	// inherited are counts that a peer heard before this process started.
	inherited map[heardKey]inheritedCounts
	// asked is set once this process has them, or there is nobody to ask.
	asked bool
}

type heardKey struct{ id, incarnation string }

type heardState struct {
	digest peer.EntryState
	at     time.Time
}

func newPeerView(s gateway.Settings, r *member.Registry, m *usage.Counter, i Incarnation) *peerView {
	return &peerView{
		self: s.ID, incarnation: string(i), registry: r, meter: m,
		heard: make(map[heardKey]heardState), inherited: make(map[heardKey]inheritedCounts),
	}
}

func (p *peerView) take(from string, d peer.EntryState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[heardKey{from, d.Incarnation}] = heardState{digest: d, at: time.Now()}
}

// present returns the IDs of this entry and of the peers that were heard just
// now, which may keep limits.
func (p *peerView) present(period time.Duration) []string {
	horizon := max(shortestKeeperHorizon, keeperHorizon*period)
	p.mu.Lock()
	defer p.mu.Unlock()
	here := map[string]bool{p.self: true}
	for key, state := range p.heard {
		if time.Since(state.at) <= horizon {
			here[key.id] = true
		}
	}
	return slices.Collect(maps.Keys(here))
}

// live returns what was heard last of each live peer.
func (p *peerView) live() map[string]heardState {
	live := make(map[string]bool)
	for _, id := range p.registry.Live() {
		live[id] = id != p.self
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	newest := make(map[string]heardState)
	for key, state := range p.heard {
		age := now.Sub(state.at)
		if age > countsHorizon {
			delete(p.heard, key)
		}
		if live[key.id] && age <= loadHorizon && state.at.After(newest[key.id].at) {
			newest[key.id] = state
		}
	}
	return newest
}

// busy returns how many engines of a service all entries keep busy. Entries
// that were not heard count as the average of those that were.
func (p *peerView) busy(own map[string]float64, service string) float64 {
	states := p.live()
	sum := own[service]
	for _, s := range states {
		sum += s.digest.BusyEngines[service]
	}
	heard := float64(len(states) + 1)
	return sum * max(1, float64(len(p.registry.Live()))/heard)
}

// loadsOf returns the load that each peer puts on endpoints, which is older by
// delay than the last digest heard.
func loadsOf(states map[string]heardState, delay time.Duration) []balance.PeerLoad {
	out := make([]balance.PeerLoad, 0, len(states))
	for _, s := range states {
		out = append(out, balance.PeerLoad{Age: time.Since(s.at) + delay, Endpoints: s.digest.Endpoints, Services: s.digest.Services, PrefillLoad: s.digest.PrefillLoad})
	}
	return out
}

type gatewayMeshDeps struct {
	fx.In

	Settings  gateway.Settings
	Network   Network
	Registry  *member.Registry
	Notices   *drain.Set
	Followers *followers
	Config    *config.Holder
	Replicas  *replica.Set
	View      *peerView
	Limits    *quota.GlobalLimiter
	Keepers   *keeperPeers
	Balancer  *balance.Balancer
	Loops     *Loops
	Log       *logrus.Entry
}

func newGatewayMesh(lc fx.Lifecycle, d gatewayMeshDeps) (*peer.Mesh, error) {
	l, err := d.Network.Listen(d.Settings.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", d.Settings.Listen.Peers, err)
	}
	lc.Append(fx.StopHook(func() { closeQuietly(l) }))
	var m *peer.Mesh
	m = peer.New(peer.Options{
		Deployment: gatewayDeployment, Registry: d.Registry, Notices: d.Notices,
		Listener: l, Dial: d.Network.Dial, Log: d.Log, Pace: sharePeriod,
		Handlers: peer.Handlers{
			EntryState: d.View.take,
			Counts:     d.View.counts,
			Place:      func(p peer.PlaceRequest) peer.PlaceResult { return placeFor(d.Balancer, p) },
			Reserve:    d.Limits.ReserveOwned,
			Changes:    d.Followers.since,
			TemplateVersion: func(from, _ string, version uint64) {
				d.Loops.Spawn(func(ctx context.Context) {
					d.Followers.source.fromPeer(ctx, version, func(ctx context.Context) (json.RawMessage, bool, error) {
						return m.FetchTemplate(ctx, from, configName, version)
					})
				})
			},
			TemplateFetch: func(_ string, version uint64) (json.RawMessage, bool) {
				return d.Followers.source.fetch(version)
			},
		},
	})
	d.Keepers.mesh = m
	d.Followers.mesh = m
	d.Config.OnChange(func(c *config.Configuration) { m.SetTemplateVersion(configName, c.Version) })
	spreadDrains(d.Notices, d.Replicas, m)
	return m, nil
}

// spreadDrains tells the peers of replicas that leave, and takes in what they
// tell, so that an entry that the registry turns away knows as well.
func spreadDrains(notices *drain.Set, set *replica.Set, m *peer.Mesh) {
	set.OnDrain(func(r *replica.Replica) {
		m.BroadcastNotice(drain.Notice{
			HostID: r.ID, Incarnation: strconv.FormatInt(r.Incarnation, 10),
			FailureDomain: r.FailureDomain, Reason: drain.ReasonHostList, Remaining: r.Remaining,
		})
	})
	notices.OnLeaving(func(n drain.Notice) {
		born, err := strconv.ParseInt(n.Incarnation, 10, 64)
		if err == nil {
			set.MarkLeaving(n.HostID, born, "peer")
		}
	})
}

func runGatewayMesh(lc fx.Lifecycle, l *Loops, m *peer.Mesh, r *member.Registry, view *peerView, b *balance.Balancer, limiter *quota.Limiter, retries *quota.RetryBudget, meter *usage.Counter, h *gateway.Handler, i Incarnation, s gateway.Settings, log *logrus.Entry) {
	l.Go(lc, func(ctx context.Context) { _ = r.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { _ = m.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { view.inherit(ctx, m.Counts, log) })
	share := func() {
		states := view.live()
		members := len(r.Live())
		if members == 1 && !closed(r.Scanned()) {
			members = 0 // not known yet
		}
		b.SetPeers(loadsOf(states, m.PropagationDelay()+sharePeriod/2))
		demand := make(map[string]map[string]float64, len(states))
		for id, s := range states {
			demand[id] = demandOf(s.digest)
		}
		if members > 0 {
			limiter.SetPeers(members, demand)
			retries.SetMemberCount(members)
		}
		// Older windows are not reported any more.
		started := meter.Recent(s.Usage.Due + countsTravel)
		d := gatewayDigest(limiter, started, h, i)
		d.BusyEngines, d.PrefillLoad = b.BusyEngines(), b.PrefillLoad()
		if members > readAlone {
			d.Services = b.OwnLoadByService()
		} else {
			d.Endpoints = b.OwnLoad()
		}
		m.Publish(d)
	}
	l.Every(lc, sharePeriod, func(context.Context) { share() })
	l.Go(lc, func(ctx context.Context) {
		select {
		case <-r.Scanned():
			share()
		case <-ctx.Done():
		}
	})
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func gatewayDigest(limiter *quota.Limiter, started map[int64]map[string]int, h *gateway.Handler, i Incarnation) peer.EntryState {
	demand := make(map[string]peer.Demand)
	for customer, rate := range limiter.Demand() {
		demand[customer] = peer.Demand{TokensPerSecond: rate}
	}
	return peer.EntryState{
		Incarnation: string(i), Demand: demand, InFlight: h.InFlight(),
		Started: started,
	}
}
