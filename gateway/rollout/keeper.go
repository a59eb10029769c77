package rollout

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// stepPeriod is the time between two steps of the holder, and shortStep that while reports
// come often.
const stepPeriod, shortStep = 150 * time.Millisecond, 50 * time.Millisecond

// Lease decides whether this entry controls roll-outs.
type Lease interface {
	// Held reports whether this entry holds the lease now, and its fencing token.
	Held() (fence uint64, ok bool)
	// Do calls effect if this entry holds the lease, which isn't released before it
	// returns.
	Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error
}

// Status is what operators are told of an order.
type Status struct {
	Service, To string
	// Stage is Trial while the roll-out runs, else Completed or RolledBack.
	Stage Stage
}

// KeeperOptions configure a Keeper.
type KeeperOptions struct {
	Lease  Lease
	Table  infra.Table
	Bounds Bounds
	// WriteStatus writes the status of an order, if the row with the key has the
	// version in the table.
	WriteStatus func(ctx context.Context, s Status, key string, version uint64) error
	Gate        *Gate
	Replicas    *replica.Set
	// Live returns the IDs of the live entries.
	Live func() []string
	// Epoch is that of the table. It may be nil.
	Epoch *infra.Epoch
	// Count counts events.
	Count func(event string)
	Log   *logrus.Entry
}

// Keeper controls the roll-outs of all services while this entry holds the lease. It
// is safe for concurrent use.
type Keeper struct {
	opt KeeperOptions

	mu   sync.Mutex
	held map[string]*holding
	// fence is that of the lease under which held was built.
	fence uint64
	// rowsRead is set once the rows have been read under it, and rowsTriedAt is the time of
	// the last attempt. Only Run uses them.
	rowsRead    bool
	rowsTriedAt time.Time
}

// holding is the roll-out of one service at its holder.
type holding struct {
	controller *Controller
	// inTable is the last known row in the table, and version its version.
	inTable Row
	version uint64
	// unsure is set if a commit may have had an effect, or the table came back from a
	// copy since epoch.
	unsure bool
	epoch  uint64
	// loggedStage is the stage of the last log line.
	loggedStage Stage
}

// NewKeeper returns a Keeper, which does nothing before Run.
func NewKeeper(o KeeperOptions) *Keeper {
	return &Keeper{opt: o, held: make(map[string]*holding)}
}

// Run controls roll-outs until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctxtime.Sleep(ctx, k.period()) {
		k.step(ctx)
	}
}

// period returns the time until the next step.
func (k *Keeper) period() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, h := range k.held {
		if h.controller.often(now) {
			return shortStep
		}
	}
	return stepPeriod
}

// Serve answers the report of an entry.
func (k *Keeper) Serve(from string, r peer.RolloutReport) peer.RolloutReply {
	fence, held := k.opt.Lease.Held()
	k.mu.Lock()
	defer k.mu.Unlock()
	h := k.held[r.Service]
	if !held || fence != k.fence || h == nil {
		return peer.RolloutReply{NotHolder: true}
	}
	return h.controller.Report(time.Now(), from, r, fence)
}

func (k *Keeper) step(ctx context.Context) {
	fence, held := k.opt.Lease.Held()
	k.mu.Lock()
	if !held || fence != k.fence {
		clear(k.held)
		k.fence, k.rowsRead, k.rowsTriedAt = fence, false, time.Time{}
	}
	k.mu.Unlock()
	if !held {
		return
	}
	k.learnRows(ctx)
	k.mu.Lock()
	services := k.opt.Gate.unfinished()
	for name := range k.held {
		if !slices.Contains(services, name) {
			services = append(services, name)
		}
	}
	k.mu.Unlock()
	for _, name := range services {
		if err := k.stepService(ctx, name, fence); err != nil && ctx.Err() == nil {
			k.opt.Count("write failed")
			k.opt.Log.WithField("service", name).WithError(err).Warn("rollout: step failed.")
		}
	}
}

// stepService advances the roll-out of one service.
func (k *Keeper) stepService(ctx context.Context, name string, fence uint64) error {
	ctx = infra.WithPriority(ctx, infra.PriorityLease)
	h, err := k.load(ctx, name)
	if h == nil || err != nil {
		return err
	}
	if epoch := k.opt.Epoch.Current(); epoch != h.epoch {
		h.epoch, h.unsure = epoch, true
	}
	if h.unsure {
		if err := k.readBack(ctx, name, h); err != nil {
			return err
		}
	}
	k.mu.Lock()
	h.controller.Step(time.Now(), k.view(name, h.controller.Row()))
	next := h.controller.Row()
	next.Fence = fence
	k.mu.Unlock()
	k.logStage(name, h, next)
	if err := k.commit(ctx, name, h, next); err != nil {
		return err
	}
	return k.writeStatus(ctx, name, h)
}

// load returns the roll-out of a service, from the table if this entry has just
// become the holder or there is a new order. It returns nil if there is none.
func (k *Keeper) load(ctx context.Context, name string) (*holding, error) {
	order, since, ordered := k.opt.Gate.Order(time.Now(), name)
	k.mu.Lock()
	h := k.held[name]
	current := h != nil && (!ordered || h.controller.Row().continues(order))
	k.mu.Unlock()
	if current {
		return h, nil
	}
	row, found, err := k.opt.Table.Get(ctx, RowKey(name))
	if err != nil {
		return h, fmt.Errorf("read row: %w", err)
	}
	next := &holding{version: row.Version, epoch: k.opt.Epoch.Current()}
	if found {
		if err := json.Unmarshal(row.Value, &next.inTable); err != nil {
			return nil, fmt.Errorf("decode row: %w", err)
		}
	}
	state := k.opt.Gate.merge(name, next.inTable)
	if withdrawn, deleted := k.opt.Gate.withdrawnOrder(name); deleted && !ordered && state.To == "" {
		// The row tells entries that start afterwards that there was an order.
		order, ordered = withdrawn, true
	}
	switch {
	case ordered && !state.continues(order):
		if state.To == "" {
			state.Allowed = k.servingVersions(name, order.To)
		}
		state = state.next(order)
		found = false
	case state.To == "":
		return nil, nil
	}
	committed := found && state.Stage == next.inTable.Stage
	next.controller = NewController(time.Now(), name, k.opt.Bounds, state, committed, since)
	next.loggedStage = next.inTable.Stage
	k.mu.Lock()
	k.held[name] = next
	k.mu.Unlock()
	k.opt.Count("taken over")
	return next, nil
}

// servingVersions returns the versions that served before the first order: those that this
// entry used, or all others that are registered if it started after the order.
func (k *Keeper) servingVersions(name, to string) []string {
	out := slices.DeleteFunc(k.opt.Gate.Cleared(name), func(v string) bool { return v == "" })
	if len(out) > 0 {
		return out
	}
	for _, r := range k.opt.Replicas.Current().All {
		if r.Service == name && r.Version != to && r.Version != "" && !slices.Contains(out, r.Version) {
			out = append(out, r.Version)
		}
	}
	slices.Sort(out)
	return out
}

// view returns the state of the system for a service with a row.
func (k *Keeper) view(name string, row Row) View {
	v := View{Live: k.opt.Live()}
	v.Order, _, v.HasOrder = k.opt.Gate.Order(time.Now(), name)
	for _, r := range k.opt.Replicas.Current().Ready[name] {
		switch {
		case r.Version == row.To:
			v.Replicas.New++
			v.Replicas.NewSlots += max(1, r.Slots)
		case slices.Contains(row.Allowed, r.Version):
			v.Replicas.Old++
			v.Replicas.OldSlots += max(1, r.Slots)
		}
	}
	return v
}

// logStage logs each step of a roll-out with its inputs.
func (k *Keeper) logStage(name string, h *holding, row Row) {
	if h.loggedStage == row.Stage {
		return
	}
	h.loggedStage = row.Stage
	k.opt.Count(string(row.Stage))
	k.mu.Lock()
	fields := h.controller.fields(time.Now())
	k.mu.Unlock()
	k.opt.Log.WithFields(fields).WithField("fence", row.Fence).Info("rollout: stage decided.")
}
