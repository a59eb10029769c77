package rollout

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// checkPeriod is the time between two checks for versions to decide on.
	checkPeriod = 100 * time.Millisecond
	// The time between two reports is reportPerMember for each member, within
	// minReportPeriod and maxReportPeriod, so that the holder answers at most 250
	// reports a second at 195 members.
	reportPerMember                  = 4 * time.Millisecond
	minReportPeriod, maxReportPeriod = 400 * time.Millisecond, 1100 * time.Millisecond
	// minOftenPeriod is the least time between two reports that are due often. A call
	// takes 1 to 2 ms.
	minOftenPeriod = 150 * time.Millisecond
	// permitLife is how long permits last, in report periods. Nothing is sent to a
	// closed version later.
	permitLife = 1.25
	// callTimeout bounds a call of the holder.
	callTimeout = 300 * time.Millisecond
	// lostAfter is the time without an answer of a holder after which an entry reads
	// the table, and again each time after that. It is lostPerMember for each member
	// where that is more.
	lostAfter, lostPerMember = 2 * time.Second, 30 * time.Millisecond
	// readRetry is the wait after a failed read, and readSpread the random delay of a
	// read for each member: all entries see a new version at once.
	readRetry, readSpread = 200 * time.Millisecond, time.Millisecond
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	ID, Incarnation string
	Gate            *Gate
	Keeper          *Keeper
	Replicas        *replica.Set
	Table           infra.Table
	Bounds          Bounds
	// RegistryLoaded is closed once the replicas have been read.
	RegistryLoaded <-chan struct{}
	// Orders reads all orders from the table service.
	Orders func(ctx context.Context) ([]Order, error)
	// Candidates returns the members that may hold the lease, this one included, and
	// Members the number of members.
	Candidates func() []string
	Members    func() int
	// Call calls Keeper.Serve at a peer.
	Call func(ctx context.Context, id string, r peer.RolloutReport) (peer.RolloutReply, error)
	Log  *logrus.Entry
}

// Follower keeps the Gate of an entry up to date: it decides on versions that appear,
// reports to the holder and applies its replies.
type Follower struct {
	opt FollowerOptions
	// incarnation is a short hash of that in opt, for reports.
	incarnation string

	mu sync.Mutex
	// holder is the entry that answered last, and answeredAt the time of it.
	holder     string
	answeredAt time.Time
	readAt     time.Time
}

// NewFollower returns a Follower, which does nothing before Run.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{opt: o, incarnation: strconv.FormatUint(xxhash.Sum64String(o.Incarnation), 36)}
}

// Run runs until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { f.decide(ctx) })
	loops.Go(func() { f.report(ctx) })
	loops.Wait()
}

// decide reads the orders when a version appears that this entry doesn't know. It
// costs nothing otherwise.
func (f *Follower) decide(ctx context.Context) {
	select {
	case <-f.opt.RegistryLoaded:
	case <-ctx.Done():
		return
	}
	var last *replica.Snapshot
	for begun := false; ctx.Err() == nil; ctxtime.Sleep(ctx, checkPeriod) {
		current := f.opt.Replicas.Current()
		if current == last {
			continue
		}
		undecided := f.opt.Gate.Undecided(current.Ready)
		if len(undecided) == 0 && begun {
			last = current
			continue
		}
		f.spread(ctx, undecided, current)
		if err := f.read(ctx, undecided); err != nil && ctx.Err() == nil {
			f.opt.Log.WithError(err).WithField("versions", len(undecided)).Warn("rollout: orders can't be read.")
			ctxtime.Sleep(ctx, readRetry)
			continue
		}
		begun = true
	}
}

// spread waits for a random time, unless a service has no other replicas.
func (f *Follower) spread(ctx context.Context, undecided []ServiceVersion, s *replica.Snapshot) {
	for _, v := range undecided {
		if !f.opt.Gate.Serves(v.Service, s.Ready[v.Service]) {
			return
		}
	}
	ctxtime.Sleep(ctx, time.Duration(rand.Float64()*float64(f.opt.Members())*float64(readSpread)))
}

// read reads the orders and the rows, and decides on versions that were undecided
// before. The rows are read first: the row of an order is written after the order.
func (f *Follower) read(ctx context.Context, undecided []ServiceVersion) error {
	f.mu.Lock()
	f.readAt = time.Now()
	f.mu.Unlock()
	states, err := readRows(ctx, f.opt.Table, f.opt.Log)
	if err != nil {
		return err
	}
	orders, err := f.opt.Orders(ctx)
	if err != nil {
		return fmt.Errorf("read orders: %w", err)
	}
	f.opt.Gate.Clear(time.Now(), undecided, orders, states)
	return nil
}

// report reports on each roll-out that hasn't ended.
func (f *Follower) report(ctx context.Context) {
	for {
		active := f.opt.Gate.Active()
		period := reportPeriod(f.opt.Members(), f.opt.Gate.anyOften(active))
		began := time.Now()
		for _, name := range active {
			f.reportService(ctx, name, min(f.opt.Bounds.maxPermitLife(), time.Duration(permitLife*float64(period))))
		}
		if !ctxtime.Sleep(ctx, max(period/4, period-time.Since(began))) {
			return
		}
	}
}

// reportPeriod returns the time between two reports. It is half as long if reports are
// due often: for some seconds before the verdict, and while requests move.
func reportPeriod(members int, often bool) time.Duration {
	period := min(maxReportPeriod, time.Duration(members)*reportPerMember)
	if often {
		return max(minOftenPeriod, period/2)
	}
	return max(minReportPeriod, period)
}

// reportService reports on one roll-out to its holder, and looks for the holder if it
// doesn't answer.
func (f *Follower) reportService(ctx context.Context, name string, ttl time.Duration) {
	for _, id := range f.candidates() {
		r := f.opt.Gate.Report(time.Now(), name, f.incarnation)
		sent := time.Now()
		reply, err := f.call(ctx, id, r)
		if err == nil && reply.Resend {
			f.opt.Gate.Apply(name, reply, sent, ttl)
			r, sent = f.opt.Gate.Report(time.Now(), name, f.incarnation), time.Now()
			reply, err = f.call(ctx, id, r)
		}
		if err != nil || reply.NotHolder || reply.Resend {
			continue
		}
		f.opt.Gate.Apply(name, reply, sent, ttl)
		f.mu.Lock()
		f.holder, f.answeredAt = id, time.Now()
		f.mu.Unlock()
		return
	}
	limit := max(lostAfter, time.Duration(f.opt.Members())*lostPerMember)
	f.mu.Lock()
	lost := time.Since(f.answeredAt) > limit && time.Since(f.readAt) > limit
	f.mu.Unlock()
	if !lost {
		return
	}
	if err := f.read(ctx, nil); err != nil && ctx.Err() == nil {
		f.opt.Log.WithField("service", name).WithError(err).Warn("rollout: neither holder nor table answers.")
	}
}

func (f *Follower) call(ctx context.Context, id string, r peer.RolloutReport) (peer.RolloutReply, error) {
	if id == f.opt.ID {
		return f.opt.Keeper.Serve(id, r), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.opt.Call(ctx, id, r)
}

// candidates returns the members that may be the holder, the last one first.
func (f *Follower) candidates() []string {
	f.mu.Lock()
	holder := f.holder
	f.mu.Unlock()
	var out []string
	if holder != "" {
		out = append(out, holder)
	}
	for _, id := range f.opt.Candidates() {
		if id != holder {
			out = append(out, id)
		}
	}
	return out
}
