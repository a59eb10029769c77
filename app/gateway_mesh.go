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
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollup"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// configName is the name of the configuration in messages between peers.
	configName = "configuration"
	// gatewayStatePeriod is the interval at which an entry of a small
	// deployment publishes its state and divides limits anew. Limits may be
	// exceeded by the demand that shifts between entries in the meantime.
	gatewayStatePeriod = 250 * time.Millisecond
	// maxUnscaledMembers is the largest number of members that publish their
	// states every gatewayStatePeriod. Beyond it the interval grows with their
	// number, so that the total rate of updates stays bounded.
	maxUnscaledMembers = 8
	// maxLoadAge is the age up to which the load of a peer counts.
	maxLoadAge = 4 * time.Second
	// demandHorizon is the maximum age, in update periods, of the last state
	// update of a peer that is counted as sharing the customers' limits, but at
	// least maxLoadAge. The owner of a limit withholds the shares of the others.
	demandHorizon = 2.5
	// ownerHorizon is the maximum age, in update periods, of the last state
	// update of a peer that can be an owner. minOwnerHorizon is its lower
	// bound.
	ownerHorizon    = 4
	minOwnerHorizon = 1200 * time.Millisecond
	// listedPeriod is the time after the start of a process in which members count as
	// reachable without a state update. It is that of two updates of a hundred members.
	listedPeriod = 6 * time.Second
	// unsettledPeriod bounds the time in which the members that started together are
	// not yet known. Owners grant less until then.
	unsettledPeriod = 4 * time.Second
	// reachableTTL is how long the result of reachable is reused, because it is
	// needed several times for each request.
	reachableTTL = 100 * time.Millisecond
)

// peerView holds the states of the other entries and the counts of their
// incarnations. It is safe for concurrent use.
type peerView struct {
	self        string
	incarnation string
	startedAt   time.Time
	registry    *member.Registry
	counter     *usage.Counter

	mu sync.Mutex
	// received is by entry and incarnation, so that the counts of an ended
	// incarnation are not lost.
	received map[incarnationKey]receivedState
	// inherited holds counts that a peer received before this process started.
	inherited map[incarnationKey]inheritedCounts
	// reachableIDs is the last result of reachable, computed at reachableAt. It
	// is replaced and never modified.
	reachableIDs []string
	reachableAt  time.Time
	// countsPushedAt is the time of the last counts that an entry pushed.
	countsPushedAt map[string]time.Time
	// inheritDone is set once inherit has ended, whether it has merged counts
	// or no peer could return them.
	inheritDone bool
}

type incarnationKey struct{ id, incarnation string }

type receivedState struct {
	state      peer.EntryState
	receivedAt time.Time
}

func newPeerView(s gateway.Settings, r *member.Registry, c *usage.Counter, i Incarnation) *peerView {
	return &peerView{
		self: s.ID, incarnation: string(i), startedAt: time.Now(), registry: r, counter: c,
		received: make(map[incarnationKey]receivedState), inherited: make(map[incarnationKey]inheritedCounts),
		countsPushedAt: make(map[string]time.Time),
	}
}

func (p *peerView) receive(from string, state peer.EntryState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received[incarnationKey{from, state.Incarnation}] = receivedState{state: state, receivedAt: time.Now()}
}

// reachable returns the IDs of this entry and of the peers with a recent state
// update that no peer suspects, which can be owners.
func (p *peerView) reachable(period time.Duration) []string {
	horizon := max(minOwnerHorizon, ownerHorizon*period)
	p.mu.Lock()
	if p.reachableIDs != nil && time.Since(p.reachableAt) < reachableTTL {
		defer p.mu.Unlock()
		return p.reachableIDs
	}
	p.mu.Unlock()
	suspects := make(map[string]bool)
	for _, m := range p.registry.Members() {
		suspects[m.ID] = m.State == member.Suspect
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	ids := map[string]bool{p.self: true}
	for key, last := range p.received {
		if time.Since(last.receivedAt) <= horizon && !suspects[key.id] {
			ids[key.id] = true
		}
	}
	p.reachableIDs, p.reachableAt = slices.Collect(maps.Keys(ids)), time.Now()
	return p.reachableIDs
}

// replicatesLimits reports whether limits are replicated. Until the members that
// started together are known, there may be many of them.
func (p *peerView) replicatesLimits() bool {
	return p.registry.Count() > maxDirectReaders || !p.isSettled()
}

// isSettled reports whether the members are known that started together with this
// entry. While the table is down, those are taken that peers made known.
func (p *peerView) isSettled() bool {
	return p.registry.IsSettled() || time.Since(p.startedAt) > unsettledPeriod
}

// limitMembers returns the members that can own limits. In a large deployment, a
// process that has just started counts all live members from the table: their first
// state updates take seconds, and until then it would own all limits in its own view.
func (p *peerView) limitMembers(period time.Duration) []string {
	ids := p.reachable(period)
	if time.Since(p.startedAt) > listedPeriod || !p.replicatesLimits() {
		return ids
	}
	out := p.registry.Live()
	for _, id := range ids {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// sharingStates returns the last state update of each live peer that shares
// the customers' limits.
func (p *peerView) sharingStates(period time.Duration) map[string]receivedState {
	return p.liveStates(max(maxLoadAge, time.Duration(demandHorizon*float64(period))))
}

// liveStates returns the last state update of each live peer that is no older
// than maxAge.
func (p *peerView) liveStates(maxAge time.Duration) map[string]receivedState {
	live := make(map[string]bool)
	for _, id := range p.registry.Live() {
		live[id] = id != p.self
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	newest := make(map[string]receivedState)
	for key, last := range p.received {
		age := now.Sub(last.receivedAt)
		if age > countsRetention {
			delete(p.received, key)
		}
		if live[key.id] && age <= maxAge && last.receivedAt.After(newest[key.id].receivedAt) {
			newest[key.id] = last
		}
	}
	return newest
}

// busyEngines returns the busy engines of a service over all entries. Entries
// without a recent state update count as the average of the others.
func (p *peerView) busyEngines(own map[string]float64, service string) float64 {
	states := p.liveStates(maxLoadAge)
	sum := own[service]
	for _, s := range states {
		sum += s.state.BusyEngines[service]
	}
	counted := float64(len(states) + 1)
	return sum * max(1, float64(len(p.registry.Live()))/counted)
}

// peerLoads returns the load that each peer puts on endpoints. The age of a
// load is the time since the state update arrived, plus delay.
func peerLoads(states map[string]receivedState, delay time.Duration) []balance.PeerLoad {
	out := make([]balance.PeerLoad, 0, len(states))
	for _, s := range states {
		out = append(out, balance.PeerLoad{Age: time.Since(s.receivedAt) + delay, Endpoints: s.state.Endpoints, Services: s.state.Services, PrefillLoad: s.state.PrefillLoad})
	}
	return out
}

// gatewayUpdatePeriod returns the interval at which an entry publishes its
// state, by the number of members.
func gatewayUpdatePeriod(members int) time.Duration {
	return gatewayStatePeriod * time.Duration(max(members, maxUnscaledMembers)) / maxUnscaledMembers
}

type gatewayMeshDeps struct {
	fx.In

	Settings   gateway.Settings
	Network    Network
	Registry   *member.Registry
	Notices    *drain.Set
	Quarantine *quarantine.Set
	Throttle   *throttle.Throttle
	Followers  *followers
	Config     *config.Holder
	Replicas   *replica.Set
	View       *peerView
	Limits     *quota.GlobalLimiter
	Owners     *ownerPeers
	Rollup     *rollup.Rollup
	Loads      *rollupPeers
	Balancer   *balance.Balancer
	Rollouts   *rollouts
	Loops      *Loops
	Log        *logrus.Entry
}

func newGatewayMesh(lc fx.Lifecycle, d gatewayMeshDeps) (*peer.Mesh, error) {
	l, err := d.Network.Listen(d.Settings.Listen.Peers)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", d.Settings.Listen.Peers, err)
	}
	lc.Append(fx.StopHook(func() { closeQuietly(l) }))
	var m *peer.Mesh
	m = peer.New(peer.Options{
		Deployment: gatewayDeployment, Registry: d.Registry, Notices: d.Notices, Evidence: d.Quarantine, Limits: d.Throttle,
		Listener: l, Dial: d.Network.Dial, Log: d.Log,
		Handlers: peer.Handlers{
			EntryState: d.View.receive,
			Counts:     d.View.counts, CountsPushed: d.View.receiveCounts,
			Place:             func(p peer.PlaceRequest) peer.PlaceResult { return placeForPeer(d.Balancer, d.Rollouts.gate, p) },
			PlacedEnd:         func(e peer.PlacedEnd) { d.Balancer.EndPlacement(e.Endpoint) },
			Rollout:           d.Rollouts.serve,
			Reserve:           d.Limits.ReserveOwned,
			Permit:            d.Throttle.Grant,
			ReserveReplicated: d.Limits.ReserveReplica, Levels: d.Limits.MergeLevels,
			Loads:   d.Rollup.Serve,
			Changes: d.Followers.changesSince,
			TemplateVersion: func(from, _ string, version uint64) {
				d.Loops.Spawn(func(ctx context.Context) {
					d.Followers.source.fetchFromPeer(ctx, version, func(ctx context.Context) (json.RawMessage, bool, error) {
						return m.FetchTemplate(ctx, from, configName, version)
					})
				})
			},
			TemplateFetch: func(_ string, version uint64) (json.RawMessage, bool) {
				return d.Followers.source.encoded(version)
			},
		},
	})
	d.Owners.mesh = m
	d.Loads.mesh = m
	d.Followers.mesh = m
	d.Config.OnChange(func(c *config.Configuration) { m.SetTemplateVersion(configName, c.Version) })
	exchangeDrains(d.Notices, d.Replicas, m)
	return m, nil
}

// exchangeDrains broadcasts the replicas that start to drain to the peers, and
// marks those that peers report as draining. An entry that cannot read the
// registry thus stops using them as well.
func exchangeDrains(notices *drain.Set, set *replica.Set, m *peer.Mesh) {
	set.OnDrain(func(r *replica.Replica, from replica.Source) {
		reason := drain.ReasonHostList
		if from == replica.SourceAnswer {
			reason = drain.ReasonEngine
		}
		m.BroadcastNotice(drain.Notice{
			HostID: r.ID, Incarnation: strconv.FormatInt(r.Incarnation, 10),
			FailureDomain: r.FailureDomain, Reason: reason, Remaining: r.Remaining,
		})
	})
	notices.OnLeaving(func(n drain.Notice) {
		incarnation, err := strconv.ParseInt(n.Incarnation, 10, 64)
		if err == nil {
			set.MarkLeaving(n.HostID, incarnation, replica.SourcePeer)
		}
	})
}

func runGatewayMesh(lc fx.Lifecycle, l *Loops, m *peer.Mesh, r *member.Registry, view *peerView, b *balance.Balancer, limiter *quota.Limiter, retries *quota.RetryBudget, counter *usage.Counter, h *gateway.Handler, loads *rollup.Rollup, i Incarnation, s gateway.Settings, log *logrus.Entry) {
	l.Go(lc, func(ctx context.Context) { _ = r.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { _ = m.Run(ctx) })
	l.Go(lc, func(ctx context.Context) { view.inherit(ctx, m.Counts, log) })
	update := func() {
		states := view.liveStates(maxLoadAge)
		members := r.SharingCount()
		if members == 1 && !isClosed(r.Scanned()) {
			members = 0 // membership not read yet
		}
		b.SetPeers(currentLoads(states, m, loads))
		sharing := view.sharingStates(m.UpdatePeriod())
		demand := make(map[string]map[string]float64, len(sharing))
		for id, s := range sharing {
			demand[id] = demandOf(s.state)
		}
		if members > 0 {
			limiter.SetPeers(members, len(view.limitMembers(m.UpdatePeriod())), demand)
			retries.SetMemberCount(members)
		}
		// Older windows are no longer reported.
		started := counter.Recent(s.Usage.Due + maxCountsDelay)
		state := gatewayState(limiter, started, h, i)
		state.BusyEngines, state.PrefillLoad = b.BusyEngines(), b.PrefillLoad()
		if len(r.Live()) > maxDirectReaders {
			state.Services = b.OwnLoadByService()
		} else {
			state.Endpoints = b.OwnLoad()
		}
		m.Publish(state)
	}
	l.Every(lc, gatewayStatePeriod, func(context.Context) { update() })
	l.Go(lc, func(ctx context.Context) {
		select {
		case <-r.Scanned():
			update()
		case <-ctx.Done():
		}
	})
}

// runExchanges keeps the levels of limits equal at their two owners.
func runExchanges(lc fx.Lifecycle, l *Loops, g *quota.GlobalLimiter) { l.Go(lc, g.RunExchanges) }

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func gatewayState(limiter *quota.Limiter, started map[int64]map[string]int, h *gateway.Handler, i Incarnation) peer.EntryState {
	demand := make(map[string]peer.Demand)
	for customer, rate := range limiter.Demand() {
		demand[customer] = peer.Demand{TokensPerSecond: rate}
	}
	return peer.EntryState{
		Incarnation: string(i), Demand: demand, InFlight: h.InFlight(),
		Started: started,
	}
}
