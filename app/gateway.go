package app

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/scaling"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/upstream"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/guard"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

const (
	// gatewayDeployment is what entries that forward by route call their
	// deployment among peers.
	gatewayDeployment = "gateway"
	// dutyLease is the lease of the entry that reports usage and orders
	// replicas.
	dutyLease = "duties"
	// dutyCandidates is how many entries contend for the lease.
	dutyCandidates = 3
	// tableTimeout bounds a call of the table.
	tableTimeout = 1500 * time.Millisecond
	// entryWrites is how many writes a second one entry may make; what an
	// entry needs is two.
	entryWrites = 10
	// sweepPeriod is how often idle connections and old state are dropped.
	sweepPeriod = time.Second
	// callerHeaderTimeout bounds the header of a request.
	callerHeaderTimeout = 5 * time.Second
	// callerIdleTimeout is how long clients' connections may be idle.
	callerIdleTimeout = 30 * time.Second
	// callerHeaderBytes bounds the header of a request.
	callerHeaderBytes = 32 << 10
	// idleGrace is how long after a stop signal idle connections are left
	// open: the balancer takes two checks, a second apart, to notice.
	idleGrace = 3200 * time.Millisecond
)

// GatewayDeps are what an entry that forwards by route needs around it.
type GatewayDeps struct {
	Dialect  gateway.Dialect
	Table    infra.Table
	Config   infra.Feed
	Registry infra.Feed
	Reports  usage.Sender
	Orders   scaling.Orderer
	// IsConfig says whether a row of Config holds the configuration.
	IsConfig func(key string) bool
	// DecodeConfig and DecodeReplica read rows of the feeds.
	DecodeConfig  func(value []byte) (*config.Configuration, error)
	DecodeReplica func(id string, value []byte) (replica.Registration, error)
}

// GatewayConfig is what a Gateway is built from.
type GatewayConfig struct {
	Settings gateway.Settings
	Deps     GatewayDeps
	Network  Network
	Log      *logrus.Logger
}

// Gateway is one entry host that forwards by route. Start and Stop are called
// once each.
type Gateway struct {
	app      *fx.App
	log      *logrus.Entry
	settings gateway.Settings
	handler  *gateway.Handler
	server   *http.Server
	registry *member.Registry
	lease    *lease.Lease
	ready    *readiness
}

// NewGateway builds an entry. Nothing runs before Start.
func NewGateway(c GatewayConfig) (*Gateway, error) {
	g := &Gateway{settings: c.Settings, log: c.Log.WithField("entry", c.Settings.ID)}
	g.app = fx.New(
		fx.NopLogger,
		fx.StartTimeout(startTimeout),
		fx.Supply(c.Settings, c.Deps, c.Network, g.log, Incarnation(uuid.NewString())),
		fx.Provide(
			newMetrics, newGatewayTable, newGatewayRegistry, newLoops, newReplicas, newConfigHolder,
			newBalancer, newPool, newRetries, newUsage, newDutyLease, newPeerView,
			newGatewayNotices, newGatewayMesh, newHandler, newReadiness, newCallerServer, newSharedBalancer,
			newLimiter, newKeeperPeers, newSharedLimits, usage.NewClock, newFollowers,
		),
		fx.Invoke(runGatewayMesh, runFollowers, runSweeps, runUsage, runScaling, serveReady, serveMetrics, serveGateway),
		fx.Populate(&g.handler, &g.server, &g.registry, &g.lease, &g.ready),
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
// ended. Connections that clients keep open are served until the balancer
// has noticed.
func (g *Gateway) Drain(ctx context.Context) {
	g.ready.drain()
	g.handler.Drain()
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

// Stop ends listeners and loops.
func (g *Gateway) Stop(ctx context.Context) error {
	if err := g.app.Stop(ctx); err != nil {
		return fmt.Errorf("stop entry: %w", err)
	}
	return nil
}

func newGatewayTable(s GatewayDeps, m *telemetry.Metrics, log *logrus.Entry) infra.Table {
	return guard.New(m.InstrumentTable(s.Table), guard.Options{
		Timeout: tableTimeout, WritesPerSecond: entryWrites, Log: log,
	})
}

func newGatewayRegistry(table infra.Table, s gateway.Settings, i Incarnation, log *logrus.Entry) *member.Registry {
	return member.New(table, member.Options{
		ID: s.ID, Incarnation: string(i), Addr: s.Listen.Peers,
		FailureDomain: s.FailureDomain, Region: s.Region, Log: log,
	})
}

func newReplicas(log *logrus.Entry) *replica.Set { return replica.NewSet(log) }

func newConfigHolder() *config.Holder { return &config.Holder{} }

func newBalancer(set *replica.Set, s gateway.Settings, log *logrus.Entry) *balance.Balancer {
	return balance.New(set, balance.Options{FailureDomain: s.FailureDomain, Seed: rand.Uint64(), Log: log})
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

// newKeeperPeers provides the calls to entries that decide for all. The mesh,
// which serves such calls itself, is filled in once it exists.
func newKeeperPeers(view *peerView) *keeperPeers { return &keeperPeers{view: view} }

func newSharedLimits(l *quota.Limiter, s gateway.Settings, peers *keeperPeers, log *logrus.Entry) *quota.GlobalLimiter {
	return quota.NewGlobalLimiter(l, s.ID, peers, log)
}

func newSharedBalancer(b *balance.Balancer, s gateway.Settings, peers *keeperPeers, log *logrus.Entry) *balance.GlobalBalancer {
	return balance.NewGlobalBalancer(b, s.ID, peers, log)
}

// keeperPeers implements quota.Peers and balance.Peers.
type keeperPeers struct {
	view *peerView
	mesh *peer.Mesh
}

// Members implements quota.Peers and balance.Peers.
func (p *keeperPeers) Members() []string { return p.view.present(p.mesh.UpdatePeriod()) }

// Reserve implements quota.Peers.
func (p *keeperPeers) Reserve(ctx context.Context, id, customer string, units float64, within time.Duration) (rate.Reservation, error) {
	g, kept, err := p.mesh.Reserve(ctx, id, customer, units, within)
	if err == nil && !kept {
		return rate.Reservation{}, quota.ErrNotOwner
	}
	return g, err
}

func newUsage(s gateway.Settings, clock *usage.Clock) *usage.Counter {
	return usage.NewCounter(s.Usage.Window, clock)
}

func newDutyLease(lc fx.Lifecycle, l *Loops, table infra.Table, r *member.Registry, s gateway.Settings, i Incarnation, log *logrus.Entry) *lease.Lease {
	held := lease.New(table, lease.Options{
		Candidate: func() bool { return dutyCandidate(s.ID, r.Live()) },
		Name:      dutyLease, Owner: s.ID, Incarnation: string(i),
		Duration: s.LeaseLength + s.LeaseLength/3, Log: log,
	})
	l.Go(lc, held.Run)
	return held
}

// dutyCandidate says whether a member is among the few that contend for the
// duties, which all members derive alike from who is alive.
func dutyCandidate(self string, live []string) bool {
	before := 0
	for _, id := range live {
		if xxhash.Sum64String(id) < xxhash.Sum64String(self) {
			before++
		}
	}
	return before < dutyCandidates
}

func newGatewayNotices(log *logrus.Entry) *drain.Set { return drain.NewSet(log) }

type handlerDeps struct {
	fx.In

	Surroundings GatewayDeps
	Config       *config.Holder
	Followers    *followers
	Balancer     *balance.GlobalBalancer
	Pool         *upstream.Pool
	Limiter      *quota.GlobalLimiter
	Retries      *quota.RetryBudget
	Usage        *usage.Counter
	Metrics      *telemetry.Metrics
	Log          *logrus.Entry
}

func newHandler(d handlerDeps) *gateway.Handler {
	return gateway.New(gateway.Deps{
		Dialect: d.Surroundings.Dialect, Config: d.Config, ConfigAge: d.Followers.config.Age,
		RegistryAge: d.Followers.registry.Age,
		Balancer:    d.Balancer, Pool: d.Pool, Limiter: d.Limiter, Retries: d.Retries,
		Usage: d.Usage, Log: d.Log, Recorder: gatewayRecorder{d.Metrics},
		Loaded: []<-chan struct{}{d.Followers.config.Loaded(), d.Followers.registry.Loaded()},
	})
}

// gatewayRecorder counts in the process's metrics.
type gatewayRecorder struct{ m *telemetry.Metrics }

// Ended implements gateway.Recorder.
func (r gatewayRecorder) Ended(route, outcome string, status int, took time.Duration) {
	r.m.Ended(route, outcome, status, took)
}

// FirstToken implements gateway.Recorder.
func (r gatewayRecorder) FirstToken(route string, took time.Duration) { r.m.FirstToken(route, took) }

// Retried implements gateway.Recorder.
func (r gatewayRecorder) Retried(reason string) { r.m.Retried(reason) }

func runSweeps(lc fx.Lifecycle, l *Loops, pool *upstream.Pool, b *balance.Balancer) {
	l.Every(lc, sweepPeriod, func(context.Context) {
		pool.Sweep()
		b.Prune()
	})
}

func runUsage(lc fx.Lifecycle, l *Loops, s gateway.Settings, around GatewayDeps, table infra.Table, held *lease.Lease, view *peerView, clock *usage.Clock, log *logrus.Entry) {
	if !s.ReportsUsage {
		return
	}
	r := &usage.Reporter{
		Lease: held, Table: table, Sender: around.Reports, Source: view.usage, Clock: clock,
		Window: s.Usage.Window, Due: s.Usage.Due, Log: log,
	}
	l.Go(lc, r.Run)
}

func runScaling(lc fx.Lifecycle, l *Loops, s gateway.Settings, around GatewayDeps, held *lease.Lease, c *config.Holder, set *replica.Set, view *peerView, b *balance.Balancer, log *logrus.Entry) {
	if !s.OrdersReplicas {
		return
	}
	control := &scaling.Controller{
		Lease: held, Orders: around.Orders, Config: c, Replicas: set, Domains: s.FailureDomains,
		Busy: func(service string) float64 { return view.busy(b.BusyEngines(), service) }, Log: log,
	}
	l.Go(lc, control.Run)
}

// readiness says whether the balancer may send new connections.
type readiness struct {
	config   *config.Holder
	replicas *followers
	draining atomic.Bool
}

func newReadiness(c *config.Holder, f *followers) *readiness {
	return &readiness{config: c, replicas: f}
}

func (r *readiness) drain() { r.draining.Store(true) }

func (r *readiness) ready() bool {
	_, known := r.replicas.registry.Age()
	return !r.draining.Load() && r.config.Current() != nil && known
}

// serveReady answers the balancer's checks, whatever their path.
func serveReady(lc fx.Lifecycle, n Network, s gateway.Settings, r *readiness, log *logrus.Entry) {
	engine := gin.New()
	engine.NoRoute(func(c *gin.Context) {
		status := http.StatusOK
		if !r.ready() {
			status = http.StatusServiceUnavailable
		}
		c.Status(status)
		c.Writer.WriteHeaderNow()
	})
	serveHTTP(lc, n, s.Listen.Ready, engine, log)
}

// serveMetrics serves the metrics where an address is set.
func serveMetrics(lc fx.Lifecycle, n Network, s gateway.Settings, m *telemetry.Metrics, log *logrus.Entry) {
	if s.Listen.Metrics == "" {
		return
	}
	engine := gin.New()
	engine.GET("/metrics", gin.WrapH(m.Handler()))
	serveHTTP(lc, n, s.Listen.Metrics, engine, log)
}

func newCallerServer(h *gateway.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerHeaderBytes,
	}
}

// serveGateway runs the callers' listener.
func serveGateway(lc fx.Lifecycle, n Network, s gateway.Settings, server *http.Server, log *logrus.Entry) {
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := n.Listen(s.Listen.Clients)
			if err != nil {
				return fmt.Errorf("listen on %s: %w", s.Listen.Clients, err)
			}
			go func() {
				defer close(done)
				if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
					log.WithError(err).Error("app: callers' listener failed.")
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			err := server.Close()
			<-done
			return err
		},
	})
}
