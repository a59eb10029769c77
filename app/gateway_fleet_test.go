package app_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gin-gonic/gin"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/app"
	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// storeCalls counts the calls of a fleet to the platform's store, by kind.
type storeCalls struct {
	mu     sync.Mutex
	byKind map[string]int
}

func (s *storeCalls) add(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byKind[kind]++
}

func (s *storeCalls) total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.byKind {
		sum += n
	}
	return sum
}

func (s *storeCalls) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.byKind)
}

// serialTable is a table that performs commits one after another and refuses
// them while too many wait, as one partition of the platform's store does.
type serialTable struct {
	infra.Table
	calls *storeCalls
	slot  chan struct{}
	mu    sync.Mutex
	// waiting is the number of commits that wait or are performed.
	waiting int
}

const (
	commitTime = 4 * time.Millisecond
	maxWaiting = 250
)

func (s *serialTable) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	s.calls.add("get " + strings.Split(key, "/")[0])
	time.Sleep(commitTime)
	return s.Table.Get(ctx, key)
}

func (s *serialTable) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	s.calls.add("scan " + prefix)
	time.Sleep(commitTime)
	return s.Table.Scan(ctx, prefix)
}

func (s *serialTable) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	s.calls.add("commit " + strings.Split(writes[0].Key, "/")[0])
	s.mu.Lock()
	if s.waiting >= maxWaiting {
		s.mu.Unlock()
		return 0, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "table: %d commits wait", maxWaiting)
	}
	s.waiting++
	s.mu.Unlock()
	s.slot <- struct{}{}
	time.Sleep(commitTime)
	<-s.slot
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	return s.Table.Commit(ctx, writes...)
}

// fleetFeed is a feed whose versions change only with put.
type fleetFeed struct {
	name  string
	calls *storeCalls
	value []byte
	// moves is how much the version rises in a call without changes, by what is
	// written elsewhere in the store.
	moves uint64

	mu      sync.Mutex
	version uint64
	changed chan struct{}
}

func newFleetFeed(name string, calls *storeCalls) *fleetFeed {
	return &fleetFeed{name: name, calls: calls, version: 1, changed: make(chan struct{})}
}

func (f *fleetFeed) put() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fleetFeed) Snapshot(context.Context) ([]infra.Row, uint64, error) {
	f.calls.add("snapshot " + f.name)
	time.Sleep(commitTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	return []infra.Row{{Key: f.name, Value: f.value, Version: f.version}}, f.version, nil
}

func (f *fleetFeed) Changes(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	f.calls.add("changes " + f.name)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		version, changed := f.version, f.changed
		f.mu.Unlock()
		if version > after {
			return infra.Update{Version: version, Changes: []infra.Change{{Row: infra.Row{Key: f.name, Version: version}}}}, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return infra.Update{Version: max(after, version) + f.moves}, nil
		case <-ctx.Done():
			return infra.Update{}, ctx.Err()
		}
	}
}

// fleet is a deployment of gateways over an in-memory network.
type fleet struct {
	calls    *storeCalls
	registry *fleetFeed
}

// startFleet starts entries with a configuration of a size.
func startFleet(t *testing.T, entries, bytes int) *fleet {
	t.Helper()
	calls := &storeCalls{byKind: make(map[string]int)}
	f := &fleet{calls: calls, registry: newFleetFeed("registry", calls)}
	table := &serialTable{Table: standin.NewTable(1), calls: calls, slot: make(chan struct{}, 1)}
	configuration := newFleetFeed("configuration", calls)
	configuration.value, configuration.moves = make([]byte, bytes), 1
	network := memnet.New()
	gin.SetMode(gin.ReleaseMode)
	log := logrus.New()
	log.SetOutput(io.Discard)
	domains := []string{"d0", "d1", "d2"}
	for i := range entries {
		ip := fmt.Sprintf("10.%d.%d.1", i/200, i%200+1)
		g, err := app.NewGateway(app.GatewayConfig{
			Settings: gateway.Settings{
				ID: fmt.Sprintf("e%d", i), FailureDomain: domains[i%len(domains)], Region: "r", FailureDomains: domains,
				Listen:      gateway.Listen{Clients: ip + ":80", Ready: ip + ":81", Peers: ip + ":82"},
				LeaseLength: 3 * time.Second, Usage: gateway.UsageSettings{Window: 5 * time.Second, Due: 10 * time.Second},
			},
			Deps: app.GatewayDeps{
				Table: table, Config: configuration, Registry: f.registry,
				IsConfig: func(string) bool { return true },
				DecodeConfig: func([]byte) (*config.Configuration, error) {
					return &config.Configuration{Version: 1}, nil
				},
				DecodeReplica: func(string, []byte) (replica.Registration, error) {
					return replica.Registration{}, errors.New("no replica")
				},
			},
			Network: app.Network{Listen: network.Listen, Dial: network.Dialer(ip)},
			Log:     log,
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, g.Start(t.Context()), qt.IsNil)
		t.Cleanup(func() { qt.Check(t, g.Stop(context.Background()), qt.IsNil) })
		ctxtime.Sleep(t.Context(), time.Millisecond)
	}
	return f
}

// TestStoreCallsOfAFleet guards against calls to the store that grow with the
// number of entries: at a first start, all of them contended for the lease and
// read every change directly; later, entries that weren't candidates kept
// reading the lease, and whenever the registry had no change for a while, all
// entries took their readers for dead and read it directly.
func TestStoreCallsOfAFleet(t *testing.T) {
	const (
		startTime  = 6 * time.Second
		steadyTime = 40 * time.Second
		// maxStartCalls is per entry, in addition to the steady calls: its own
		// row read and written, two snapshots, two scans, a read of each feed.
		maxStartCalls = 9
		// maxSteadyCalls is per second: heartbeats and scans share half of it;
		// the readers of the feeds and the lease need the rest.
		maxSteadyCalls = 34.0
	)
	for _, test := range []struct {
		entries, bytes int
		// most is the largest number of writes of the copy of the configuration.
		most int
	}{{9, 100, 0}, {9, 500_000, 15}, {30, 100, 0}, {30, 500_000, 15}, {90, 100, 0}} {
		entries := test.entries
		t.Run(fmt.Sprintf("entries=%d,bytes=%d", entries, test.bytes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(t, entries, test.bytes)
				time.Sleep(startTime)
				start := f.calls.total()
				t.Logf("start: %v", f.calls)
				for range steadyTime / (5 * time.Second) {
					// The registry changes a few times in a row, and then not
					// for seconds.
					for range 3 {
						f.registry.put()
						time.Sleep(200 * time.Millisecond)
					}
					time.Sleep(4400 * time.Millisecond)
				}
				steady := float64(f.calls.total()-start) / steadyTime.Seconds()
				t.Logf("start %.1f calls an entry, then %.1f calls a second: %v", float64(start)/float64(entries), steady, f.calls)
				atStart := float64(start) - maxSteadyCalls*startTime.Seconds()
				qt.Check(t, atStart <= float64(maxStartCalls*entries), qt.IsTrue, qt.Commentf("%d calls of %d entries", start, entries))
				copies := f.calls.byKind["commit copy"]
				qt.Check(t, copies <= test.most && copies >= test.most/2, qt.IsTrue, qt.Commentf("%d writes of the copy", copies))
				qt.Check(t, f.calls.byKind["scan copy/configuration/"] <= min(test.most, 1), qt.IsTrue)
				qt.Check(t, steady <= maxSteadyCalls, qt.IsTrue, qt.Commentf("%.1f calls a second of %d entries", steady, entries))
			})
		})
	}
}
