package app

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/liveness"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/scaling"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/guard"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

const (
	// gatewayDeployment is the deployment name that entries which forward by
	// route use among peers.
	gatewayDeployment = "gateway"
	// leaderLeaseName is the lease of the entry that runs the leader tasks: it
	// reports usage and orders replicas.
	leaderLeaseName = "duties"
	// leaderCandidates is the number of entries that contend for the lease.
	leaderCandidates = 3
	// tableTimeout bounds a call to the table service.
	tableTimeout = 1500 * time.Millisecond
	// tableWritesPerSecond limits the table writes of one entry, which needs
	// two a second.
	tableWritesPerSecond = 10
	// sweepPeriod is the interval at which idle connections and expired state
	// are dropped.
	sweepPeriod = time.Second
	// clientHeaderTimeout bounds the time to read the header of a request.
	clientHeaderTimeout = 5 * time.Second
	// clientIdleTimeout is how long connections of clients may be idle.
	clientIdleTimeout = 30 * time.Second
	// maxClientHeaderBytes bounds the size of the header of a request.
	maxClientHeaderBytes = 32 << 10
	// idleGrace is how long idle connections stay open after a stop signal: the
	// load balancer needs two checks, a second apart, to detect the drain.
	idleGrace = 3200 * time.Millisecond
)

// GatewayDeps holds the external dependencies of an entry that forwards by
// route.
type GatewayDeps struct {
	Dialect gateway.Dialect
	Table   infra.Table
	// Epoch is that of the store that holds Table, Config and Registry. It may be
	// nil.
	Epoch    *infra.Epoch
	Config   infra.Feed
	Registry infra.Feed
	Reports  usage.Sender
	Orders   scaling.Orderer
	// IsConfig reports whether a row of Config holds the configuration.
	IsConfig func(key string) bool
	// DecodeConfig and DecodeReplica decode rows of the feeds.
	DecodeConfig  func(value []byte) (*config.Configuration, error)
	DecodeReplica func(id string, value []byte) (replica.Registration, error)
	// Rollouts reads orders for roll-outs and writes their status. It is used if the
	// settings enable roll-outs.
	Rollouts RolloutDeps
}

// GatewayConfig holds the settings and dependencies of a Gateway.
type GatewayConfig struct {
	Settings gateway.Settings
	Deps     GatewayDeps
	Network  Network
	Log      *logrus.Logger
}

// Gateway is one entry host that forwards requests by route. Start and Stop are
// called once each.
type Gateway struct {
	app      *fx.App
	log      *logrus.Entry
	settings gateway.Settings
	handler  *gateway.Handler
	server   *http.Server
	registry *member.Registry
	lease    *lease.Lease
	ready    *readiness
	limits   *quota.GlobalLimiter
}

// NewGateway builds an entry. Its loops and HTTP servers start with Start.
func NewGateway(c GatewayConfig) (*Gateway, error) {
	g := &Gateway{settings: c.Settings, log: c.Log.WithField("entry", c.Settings.ID)}
	g.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(c.Settings, c.Deps, c.Network, g.log, Incarnation(uuid.NewString())),
		fx.Provide(
			newMetrics, newGatewayTable, newGatewayRegistry, newLoops, newReplicas, newConfigHolder,
			newSpeeds, newBalancer, newPool, newRetries, newUsage, newLeaderLease, newPeerView,
			newGatewayNotices, newGatewayMesh, newHandler, newReadiness, newClientServer, newGlobalBalancer,
			newLimiter, newOwnerPeers, newLiveness, newQuarantine, newThrottle, newGlobalLimiter, usage.NewClock, newConfigurationCopy, newFollowers, newRollupPeers, newRollup, newRoomControl, newRollouts,
		),
		fx.Invoke(watchEpoch, runGatewayMesh, runExchanges, runRollup, runSpeeds, runPlacementEnds, runRoom, runCountsPusher, runFollowers, runSweeps, runUsage, runScaling, runRollouts, serveReady, serveMetrics, serveGateway),
		fx.Populate(&g.handler, &g.server, &g.registry, &g.lease, &g.ready, &g.limits),
	)
	if err := g.app.Err(); err != nil {
		return nil, fmt.Errorf("build entry: %w", err)
	}
	return g, nil
}

// Start starts the entry's listeners and loops.
func (g *Gateway) Start(ctx context.Context) error {
	if err := g.app.Start(ctx); err != nil {
		return fmt.Errorf("start entry: %w", err)
	}
	return nil
}

// Drain takes the entry out of rotation and waits until all requests have
// finished, or ctx ends. Keep-alive connections of clients are served until the
// load balancer has detected the drain. Requests that would not finish before the
// deadline of ctx are ended with an answer.
func (g *Gateway) Drain(ctx context.Context) {
	g.ready.drain()
	g.handler.Drain(g.drainEnd(ctx))
	g.registry.SetLeaving()
	g.lease.Release()
	g.log.WithField("inside", g.handler.InFlight()).Info("app: entry drains.")
	select {
	case <-time.After(idleGrace):
	case <-ctx.Done():
	}
	if err := g.server.Shutdown(ctx); err != nil {
		g.log.WithError(err).WithField("inside", g.handler.InFlight()).Warn("app: drain was cut short.")
	}
}

// drainEnd returns the time at which a drain must be over.
func (g *Gateway) drainEnd(ctx context.Context) time.Time {
	if end, ok := ctx.Deadline(); ok {
		return end
	}
	return time.Now().Add(g.settings.Grace)
}

// Stop ends listeners and loops.
func (g *Gateway) Stop(ctx context.Context) error {
	if err := g.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	return nil
}

func newGatewayTable(deps GatewayDeps, m *telemetry.Metrics, log *logrus.Entry) infra.Table {
	return guard.New(m.InstrumentTable(deps.Table), guard.Options{
		Timeout: tableTimeout, WritesPerSecond: tableWritesPerSecond, Log: log,
	})
}

func newGatewayRegistry(deps GatewayDeps, table infra.Table, s gateway.Settings, i Incarnation, log *logrus.Entry) *member.Registry {
	return member.New(table, member.Options{
		ID: s.ID, Incarnation: string(i), Addr: s.Listen.Peers,
		FailureDomain: s.FailureDomain, Region: s.Region,
		UpdatePeriod: gatewayUpdatePeriod, TableEpoch: deps.Epoch, Log: log,
	})
}

func newReplicas(log *logrus.Entry) *replica.Set { return replica.NewSet(log) }

func newConfigHolder() *config.Holder { return &config.Holder{} }

func newSpeeds(set *replica.Set, log *logrus.Entry) *speed.Estimator {
	return balance.NewSpeeds(set, balance.Options{Log: log})
}

func newBalancer(set *replica.Set, s gateway.Settings, t *throttle.Throttle, speeds *speed.Estimator, r *member.Registry, m *telemetry.Metrics, log *logrus.Entry) *balance.Balancer {
	return balance.New(set, balance.Options{
		FailureDomain: s.FailureDomain, Seed: rand.Uint64(), Throttle: t, Speeds: speeds, Log: log,
		Grouped: func() bool { return r.Count() > maxDirectReaders }, Count: m.Placed,
	})
}

func newPool(lc fx.Lifecycle, n Network) *upstream.Pool {
	p := upstream.NewPool(upstream.Dial(n.Dial))
	lc.Append(fx.StopHook(p.Close))
	return p
}

func newRetries(s gateway.Settings) *quota.RetryBudget {
	return quota.NewRetryBudget(quota.RetryOptions(s.Retry))
}

func newLimiter(s gateway.Settings) *quota.Limiter { return quota.NewLimiter(s.LimitTolerance) }

// newOwnerPeers provides the calls to the owners of keys. newGatewayMesh sets
// the mesh afterwards, because the mesh itself needs the functions that serve
// such calls.
func newOwnerPeers(view *peerView) *ownerPeers { return &ownerPeers{view: view} }

func newGlobalLimiter(l *quota.Limiter, s gateway.Settings, peers *ownerPeers, m *telemetry.Metrics, log *logrus.Entry) *quota.GlobalLimiter {
	g := quota.NewGlobalLimiter(l, s.ID, limitPeers{peers}, log)
	g.ReplicateWith(peers, quota.Replication{
		Process: uint64(rand.Uint32()), Active: peers.view.replicatesLimits, Settled: peers.view.isSettled,
		Ordered: true, Count: m.LimitDecided, Sleep: ctxtime.Sleep,
	})
	return g
}

func newGlobalBalancer(b *balance.Balancer, s gateway.Settings, peers *ownerPeers, log *logrus.Entry) *balance.GlobalBalancer {
	return balance.NewGlobalBalancer(b, s.ID, peers, log)
}

func newThrottle(s gateway.Settings, peers *ownerPeers, m *telemetry.Metrics, log *logrus.Entry) *throttle.Throttle {
	return throttle.New(throttle.Options{ID: s.ID, Peers: peers, Log: log, Count: m.Throttled})
}

// runPlacementEnds reports the ends of placed requests to their placers, and registers
// the metrics of the loads of replicas.
func runPlacementEnds(lc fx.Lifecycle, l *Loops, b *balance.GlobalBalancer, m *telemetry.Metrics) error {
	l.Go(lc, b.RunEnds)
	if err := m.RegisterReplicaLoads(func() telemetry.ReplicaLoads { return telemetry.ReplicaLoads(b.Loads()) }); err != nil {
		return fmt.Errorf("app: metrics of replicas: %w", err)
	}
	return nil
}

// ownerPeers implements quota.Peers, balance.Peers and throttle.Peers.
type ownerPeers struct {
	view *peerView
	mesh *peer.Mesh
}

// MemberCount implements throttle.Peers.
func (p *ownerPeers) MemberCount() int {
	if !p.view.registry.IsSettled() {
		return 0
	}
	return p.view.registry.Count()
}

// Permit implements throttle.Peers.
func (p *ownerPeers) Permit(ctx context.Context, id string, r peer.PermitRequest) (peer.PermitResult, error) {
	return p.mesh.Permit(ctx, id, r)
}

// Members implements quota.Peers, balance.Peers and throttle.Peers.
func (p *ownerPeers) Members() []string { return p.view.reachable(p.mesh.UpdatePeriod()) }

// limitPeers is ownerPeers with the members that can own limits of customers.
type limitPeers struct{ *ownerPeers }

// Members implements quota.Peers.
func (p limitPeers) Members() []string { return p.view.limitMembers(p.mesh.UpdatePeriod()) }

// Reserve implements quota.Peers.
func (p *ownerPeers) Reserve(ctx context.Context, id, customer string, units float64, within time.Duration) (rate.Reservation, error) {
	reservation, owned, err := p.mesh.Reserve(ctx, id, customer, units, within)
	if err == nil && !owned {
		return rate.Reservation{}, quota.ErrNotOwner
	}
	return reservation, err
}

// ReserveReplica implements quota.ReplicaPeers.
func (p *ownerPeers) ReserveReplica(ctx context.Context, id, customer string, r peer.LimitRequest) (rate.Reservation, error) {
	reservation, owned, err := p.mesh.ReserveReplicated(ctx, id, customer, r)
	if err == nil && !owned {
		return rate.Reservation{}, quota.ErrNotOwner
	}
	return reservation, err
}

// ExchangeLevels implements quota.ReplicaPeers.
func (p *ownerPeers) ExchangeLevels(ctx context.Context, id string, levels []peer.LimitLevel) ([]peer.LimitLevel, error) {
	return p.mesh.ExchangeLevels(ctx, id, levels)
}

func newUsage(s gateway.Settings, clock *usage.Clock) *usage.Counter {
	return usage.NewCounter(s.Usage.Window, clock)
}

func newLeaderLease(lc fx.Lifecycle, l *Loops, deps GatewayDeps, table infra.Table, r *member.Registry, s gateway.Settings, i Incarnation, log *logrus.Entry) *lease.Lease {
	leaderLease := lease.New(table, lease.Options{
		// Before the members are known, every entry would be a candidate.
		Candidate:  func() bool { return r.IsSettled() && isLeaderCandidate(s.ID, r.Live()) },
		Contenders: r.Count,
		Name:       leaderLeaseName, Owner: s.ID, Incarnation: string(i),
		Duration: s.LeaseLength + s.LeaseLength/3, Epoch: deps.Epoch, Log: log,
	})
	l.Go(lc, leaderLease.Run)
	return leaderLease
}

// isLeaderCandidate reports whether a member is among those that contend for
// the leader lease.
func isLeaderCandidate(self string, live []string) bool {
	return slices.Contains(leaderCandidateIDs(live), self)
}

// leaderCandidateIDs returns the members that contend for the leader lease. All
// members with the same set of live members compute the same candidates.
func leaderCandidateIDs(live []string) []string {
	ids := slices.Clone(live)
	slices.SortFunc(ids, func(x, y string) int {
		return cmp.Compare(xxhash.Sum64String(x), xxhash.Sum64String(y))
	})
	return ids[:min(len(ids), leaderCandidates)]
}

func newGatewayNotices(log *logrus.Entry) *drain.Set { return drain.NewSet(log) }

type handlerDeps struct {
	fx.In

	Deps       GatewayDeps
	Config     *config.Holder
	Followers  *followers
	Balancer   *balance.GlobalBalancer
	Pool       *upstream.Pool
	Liveness   *liveness.Watcher
	Quarantine *quarantine.Set
	Throttle   *throttle.Throttle
	Limiter    *quota.GlobalLimiter
	Retries    *quota.RetryBudget
	Usage      *usage.Counter
	Room       *roomControl
	Rollouts   *rollouts
	Metrics    *telemetry.Metrics
	Log        *logrus.Entry
}

func newHandler(d handlerDeps) *gateway.Handler {
	return gateway.New(gateway.Deps{
		Dialect: d.Deps.Dialect, Config: d.Config, ConfigAge: d.Followers.config.Age,
		RegistryAge: d.Followers.registry.Age,
		Balancer:    d.Balancer, Pool: d.Pool, Liveness: d.Liveness, Quarantine: d.Quarantine, Throttle: d.Throttle, Limiter: d.Limiter, Retries: d.Retries,
		Usage: d.Usage, Rollouts: d.Rollouts.gate, Room: d.Room.of, Log: d.Log, Recorder: gatewayRecorder{d.Metrics},
		Loaded: d.Rollouts.loaded(d.Followers.config.Loaded(), d.Followers.registry.Loaded()),
	})
}

// gatewayRecorder implements gateway.Recorder with the metrics of the process.
type gatewayRecorder struct{ m *telemetry.Metrics }

// Ended implements gateway.Recorder.
func (r gatewayRecorder) Ended(route, outcome string, status int, took time.Duration) {
	r.m.Ended(route, outcome, status, took)
}

// FirstToken implements gateway.Recorder.
func (r gatewayRecorder) FirstToken(route string, took time.Duration) { r.m.FirstToken(route, took) }

// Retried implements gateway.Recorder.
func (r gatewayRecorder) Retried(reason string) { r.m.Retried(reason) }

// Stated implements gateway.Recorder.
func (r gatewayRecorder) Stated(replica, statement string, known bool) {
	r.m.Stated(replica, statement, known)
}

func runSweeps(lc fx.Lifecycle, l *Loops, pool *upstream.Pool, b *balance.Balancer, speeds *speed.Estimator) {
	l.Every(lc, sweepPeriod, func(context.Context) {
		pool.Sweep()
		b.Prune()
		speeds.Prune()
	})
}

func runUsage(lc fx.Lifecycle, l *Loops, s gateway.Settings, deps GatewayDeps, table infra.Table, leaderLease *lease.Lease, view *peerView, clock *usage.Clock, log *logrus.Entry) {
	if !s.ReportsUsage {
		return
	}
	r := &usage.Reporter{
		Lease: leaderLease, Table: table, Sender: deps.Reports, Source: view.usage, Clock: clock,
		Window: s.Usage.Window, Due: s.Usage.Due, Epoch: deps.Epoch, Log: log,
	}
	l.Go(lc, r.Run)
}

func runScaling(lc fx.Lifecycle, l *Loops, s gateway.Settings, deps GatewayDeps, leaderLease *lease.Lease, c *config.Holder, set *replica.Set, view *peerView, b *balance.Balancer, r *rollouts, log *logrus.Entry) {
	if !s.OrdersReplicas {
		return
	}
	control := &scaling.Controller{
		Lease: leaderLease, Orders: deps.Orders, Config: c, Replicas: set, Domains: s.FailureDomains,
		Busy: func(service string) float64 { return view.busyEngines(b.BusyEngines(), service) }, Log: log,
	}
	if r.gate != nil {
		control.Counts = r.gate.Counts
	}
	l.Go(lc, control.Run)
}
