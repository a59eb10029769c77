package app

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/rowcopy"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// hangingFeed is a feed whose calls that meet an outage are never answered, even
// after its end.
type hangingFeed struct {
	mu      sync.Mutex
	outage  bool
	outages int
	changes []infra.Change
}

func (f *hangingFeed) setOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
	if outage {
		f.outages++
	}
}

func (f *hangingFeed) change(key string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changes = append(f.changes, infra.Change{Row: infra.Row{Key: key, Version: uint64(len(f.changes) + 1)}, Deleted: deleted})
}

func (f *hangingFeed) Snapshot(context.Context) ([]infra.Row, uint64, error) { return nil, 0, nil }

func (f *hangingFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	f.mu.Lock()
	outages := f.outages
	f.mu.Unlock()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		met, changes := f.outage || f.outages > outages, f.changes
		f.mu.Unlock()
		switch {
		case met:
			<-ctx.Done()
			return infra.Update{}, ctx.Err()
		case uint64(len(changes)) > after:
			return infra.Update{Changes: changes[after:], Version: uint64(len(changes))}, nil
		case time.Since(began) >= wait:
			return infra.Update{Version: after}, nil
		case ctx.Err() != nil:
			return infra.Update{}, ctx.Err()
		}
	}
}

// Guards against an entry whose call of the registry's feed met an outage of the
// store, and that uses replicas which left after it until the call times out.
func TestReplicaThatLeavesAfterAnOutageIsNotUsedLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configuration, registry := &hangingFeed{}, &hangingFeed{}
		set := replica.NewSet(nolog.Or(nil))
		f := newFollowers(GatewayDeps{
			Config: configuration, Registry: registry, IsConfig: func(string) bool { return false },
			DecodeReplica: func(id string, _ []byte) (replica.Registration, error) {
				return replica.Registration{ID: id, Service: "s", Addr: "10.0.0.1:80", Incarnation: 1}, nil
			},
		}, rowcopy.Options{}, nil, member.New(nil, member.Options{ID: "e", Log: nolog.Or(nil)}), &config.Holder{}, set,
			quota.NewLimiter(gateway.Settings{}.LimitTolerance), nil, nolog.Or(nil))
		ctx, cancel := context.WithCancel(t.Context())
		defer time.Sleep(time.Second) // the followers end
		defer cancel()
		go f.config.Run(ctx)
		go f.registry.Run(ctx)
		ready := func() int { return len(set.Current().Ready["s"]) }
		registry.change("leaves", false)
		registry.change("lapses", false)
		time.Sleep(7 * time.Second)
		qt.Assert(t, ready(), qt.Equals, 2)
		registry.change("other", false) // the call that follows meets the outage
		time.Sleep(time.Second)
		for _, feed := range []*hangingFeed{configuration, registry} {
			feed.setOutage(true)
		}
		time.Sleep(time.Second)
		registry.change("lapses", true)
		time.Sleep(2 * time.Second)
		for _, feed := range []*hangingFeed{configuration, registry} {
			feed.setOutage(false)
		}
		// A row that lapsed during the outage is written again soon after it.
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, ready(), qt.Equals, 3)
		registry.change("lapses", false)
		time.Sleep(1500 * time.Millisecond)
		qt.Check(t, ready(), qt.Equals, 3)
		registry.change("leaves", true)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, ready(), qt.Equals, 2)
	})
}
