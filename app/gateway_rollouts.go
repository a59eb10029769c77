package app

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/rollout"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/lease"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

// rolloutsPath is the path of the roll-outs at the address of the metrics.
const rolloutsPath = "/rollouts"

// RolloutDeps reads orders for roll-outs and writes their status.
type RolloutDeps struct {
	// Service returns the service whose order a row of Config holds, and false if the
	// row holds something else.
	Service func(key string) (string, bool)
	Decode  func(service string, value []byte) (rollout.Order, error)
	// Orders reads all orders.
	Orders func(ctx context.Context) ([]rollout.Order, error)
	// WriteStatus writes a status if the row of Table with the key has the version.
	WriteStatus func(ctx context.Context, s rollout.Status, key string, version uint64) error
}

// rollouts holds the parts of roll-outs. All of them are nil unless the settings
// enable roll-outs.
type rollouts struct {
	deps   RolloutDeps
	gate   *rollout.Gate
	keeper *rollout.Keeper
	log    *logrus.Entry
}

func newRollouts(deps GatewayDeps, s gateway.Settings, set *replica.Set, table infra.Table, l *lease.Lease, r *member.Registry, m *telemetry.Metrics, log *logrus.Entry) *rollouts {
	if !s.Rollouts.Enabled || deps.Rollouts.Orders == nil {
		return &rollouts{}
	}
	gate := rollout.NewGate(func(service string) []*replica.Replica { return set.Current().Ready[service] }, log)
	return &rollouts{deps: deps.Rollouts, gate: gate, log: log, keeper: rollout.NewKeeper(rollout.KeeperOptions{
		Lease: l, Table: table, Bounds: rollout.Bounds{Share: s.Rollouts.Share, Slack: s.Rollouts.Slack, Rollback: s.Rollouts.Rollback},
		WriteStatus: deps.Rollouts.WriteStatus, Gate: gate, Replicas: set, Live: r.Live, Epoch: deps.Epoch, Count: m.RolledOut, Log: log,
	})}
}

// loaded returns the channels of the state that requests depend on.
func (r *rollouts) loaded(channels ...<-chan struct{}) []<-chan struct{} {
	if r.gate == nil {
		return channels
	}
	return append(channels, r.gate.Loaded())
}

// overviews returns the roll-outs for operators.
func (r *rollouts) overviews() []rollout.Overview {
	if r.keeper == nil {
		return []rollout.Overview{}
	}
	return r.keeper.Overviews(time.Now())
}

// serve answers the report of a peer.
func (r *rollouts) serve(from string, report peer.RolloutReport) peer.RolloutReply {
	if r.keeper == nil {
		return peer.RolloutReply{NotHolder: true}
	}
	return r.keeper.Serve(from, report)
}

// replace applies the orders among the rows of a snapshot of the operator's table.
func (r *rollouts) replace(rows []infra.Row) {
	if r == nil || r.gate == nil {
		return
	}
	var orders []rollout.Order
	for _, row := range rows {
		if o, found := r.decode(row); found {
			orders = append(orders, o)
		}
	}
	r.gate.SetOrders(time.Now(), orders)
}

// change applies a change of the operator's table.
func (r *rollouts) change(c infra.Change) {
	if r == nil || r.gate == nil {
		return
	}
	if service, found := r.deps.Service(c.Key); found && c.Deleted {
		r.gate.DropOrder(service)
		return
	}
	if o, found := r.decode(c.Row); found && !c.Deleted {
		r.gate.SetOrder(time.Now(), o)
	}
}

// decode returns the order that a row holds, and false if it holds none.
func (r *rollouts) decode(row infra.Row) (rollout.Order, bool) {
	service, found := r.deps.Service(row.Key)
	if !found {
		return rollout.Order{}, false
	}
	o, err := r.deps.Decode(service, row.Value)
	if err != nil {
		r.log.WithError(err).WithField("row", row.Key).Warn("app: invalid order ignored.")
		return rollout.Order{}, false
	}
	return o, true
}

func runRollouts(lc fx.Lifecycle, l *Loops, r *rollouts, s gateway.Settings, i Incarnation, set *replica.Set, f *followers, table infra.Table, registry *member.Registry, log *logrus.Entry) {
	if r.gate == nil {
		return
	}
	l.Go(lc, r.keeper.Run)
	follower := rollout.NewFollower(rollout.FollowerOptions{
		ID: s.ID, Incarnation: string(i), Gate: r.gate, Keeper: r.keeper, Replicas: set, Table: table,
		Bounds:         rollout.Bounds{Share: s.Rollouts.Share, Slack: s.Rollouts.Slack, Rollback: s.Rollouts.Rollback},
		RegistryLoaded: f.registry.Loaded(), Orders: r.deps.Orders,
		Candidates: func() []string { return leaderCandidateIDs(registry.Live()) }, Members: registry.Count,
		Call: func(ctx context.Context, id string, report peer.RolloutReport) (peer.RolloutReply, error) {
			return f.mesh.Rollout(ctx, id, report)
		},
		Log: log,
	})
	l.Go(lc, follower.Run)
}
