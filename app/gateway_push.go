package app

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/usage"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// In deployments of more than maxDirectReaders members, states arrive too
// seldom for the report of a usage window: at 195 entries they are up to nine
// seconds old, and a report is due after ten. Each entry therefore pushes its
// counts to the entries that may report them, several times in each window.

const (
	// pushesPerWindow is the number of pushes in a usage window. The counts
	// since the last push of an entry are lost if its process is killed.
	pushesPerWindow = 2
	// maxPushDelay bounds the time from reading the counter to the arrival of
	// the push.
	maxPushDelay = 400 * time.Millisecond
	// pushSpread is the interval over which the pushes of all entries are
	// spread. It ends before the report of a window is due.
	pushSpread = time.Second
)

// countsPusher pushes the counts of this entry.
type countsPusher struct {
	id, incarnation string
	window          time.Duration
	registry        *member.Registry
	// recent and now are the methods of the usage counter and its clock.
	recent func(age time.Duration) map[int64]map[string]int
	now    func() time.Time
	push   func(ctx context.Context, to string, c peer.IncarnationCounts) error
	log    *logrus.Entry
}

func runCountsPusher(lc fx.Lifecycle, l *Loops, s gateway.Settings, i Incarnation, r *member.Registry, c *usage.Counter, clock *usage.Clock, m *peer.Mesh, log *logrus.Entry) {
	if !s.ReportsUsage || s.Usage.Window <= 0 {
		return
	}
	p := &countsPusher{
		id: s.ID, incarnation: string(i), window: s.Usage.Window, registry: r,
		recent: c.Recent, now: clock.Now, push: m.PushCounts, log: log,
	}
	l.Go(lc, p.run)
}

// run pushes the counts at fixed times of each window until ctx ends. Each
// entry has a delay of its own within pushSpread.
func (p *countsPusher) run(ctx context.Context) {
	interval := p.window / pushesPerWindow
	delay := maxPushDelay + time.Duration(xxhash.Sum64String(p.id)%uint64(pushSpread))
	for {
		sinceTick := time.Duration(p.now().Add(-delay).UnixNano() % int64(interval))
		if !ctxtime.Sleep(ctx, interval-sinceTick) {
			return
		}
		if p.registry.Count() > maxDirectReaders {
			p.pushAll(ctx)
		}
	}
}

// pushAll pushes the counts of the current and the last window to the
// candidates for the leader lease.
func (p *countsPusher) pushAll(ctx context.Context) {
	counts := peer.IncarnationCounts{Member: p.id, Incarnation: p.incarnation, Started: p.recent(p.window)}
	ctx, cancel := context.WithTimeout(ctx, maxPushDelay)
	defer cancel()
	var calls sync.WaitGroup
	for _, id := range leaderCandidateIDs(p.registry.Live()) {
		if id == p.id {
			continue
		}
		calls.Go(func() {
			if err := p.push(ctx, id, counts); err != nil {
				p.log.WithError(err).WithField("member", id).Debug("app: counts can't be pushed.")
			}
		})
	}
	calls.Wait()
}
