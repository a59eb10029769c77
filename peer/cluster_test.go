package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/member"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const deployment = "test"

// cluster is a deployment of entries on an in-memory network.
type cluster struct {
	c       *qt.C
	network *memnet.Network
	table   *standin.Table
	nodes   []*node
}

// node is one entry of a cluster, with what its handlers received.
type node struct {
	id, host string
	domain   string
	cluster  *cluster
	registry *member.Registry
	notices  *drain.Set
	evidence *quarantine.Set
	limits   *throttle.Throttle
	mesh     *peer.Mesh
	cancel   context.CancelFunc
	done     sync.WaitGroup
	up       bool
	starts   int
	// longValue is what onChanges and onFetch return for long values.
	longValue []byte
	// onLevels is set before the first call, nil in an earlier release.
	onLevels func(from string, levels []peer.LimitLevel) []peer.LimitLevel

	mu       sync.Mutex
	versions map[string]uint64
	states   map[string]peer.EntryState
	handoffs []string
}

func newCluster(c *qt.C, nodes int) *cluster {
	cl := &cluster{c: c, network: memnet.New(), table: standin.NewTable(1)}
	cl.network.SetLatency(func(string, string) time.Duration { return 1500 * time.Microsecond })
	for i := range nodes {
		cl.nodes = append(cl.nodes, &node{
			id:      fmt.Sprintf("entry-%03d", i),
			host:    fmt.Sprintf("10.0.%d.%d", i/200, i%200+1),
			domain:  fmt.Sprintf("domain-%d", i%3),
			cluster: cl,
		})
	}
	return cl
}

func (cl *cluster) start() {
	for _, n := range cl.nodes {
		n.start()
	}
}

func (cl *cluster) stop() {
	for _, n := range cl.nodes {
		n.kill()
	}
	cl.table.Close()
}

func (cl *cluster) live() []*node {
	var out []*node
	for _, n := range cl.nodes {
		if n.up {
			out = append(out, n)
		}
	}
	return out
}

func quietLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func (n *node) start() { n.startOn(n.cluster.table) }

func (n *node) startOn(table infra.Table) {
	n.starts++
	addr := n.host + ":7000"
	n.registry = member.New(table, member.Options{
		ID:            n.id,
		Incarnation:   fmt.Sprintf("%s/%d", n.id, n.starts),
		Addr:          addr,
		FailureDomain: n.domain,
		Log:           quietLog(),
	})
	n.notices = drain.NewSet(quietLog())
	n.evidence = quarantine.New(quarantine.Options{
		ID: n.id, Members: func() []string { return n.registry.Live() }, Log: quietLog(),
		Ready: func(string) []*replica.Replica { return nil }, Count: func(string) {},
	})
	n.limits = throttle.New(throttle.Options{ID: n.id, Peers: limitPeers{n}, Log: quietLog(), Count: func(string) {}})
	listener, err := n.cluster.network.Listen(addr)
	n.cluster.c.Assert(err, qt.IsNil)
	n.mu.Lock()
	n.versions = make(map[string]uint64)
	n.states = make(map[string]peer.EntryState)
	n.mu.Unlock()
	n.mesh = peer.New(peer.Options{
		Deployment: deployment,
		Registry:   n.registry,
		Notices:    n.notices,
		Evidence:   n.evidence,
		Limits:     n.limits,
		Listener:   listener,
		Dial:       n.cluster.network.Dialer(n.host),
		Log:        quietLog(),
		Handlers: peer.Handlers{
			EntryState:      n.onEntryState,
			TemplateVersion: n.onVersion,
			TemplateFetch:   n.onFetch,
			Handoff:         n.onHandoff,
			Changes:         n.onChanges,
			Counts:          func() []peer.IncarnationCounts { return someCounts },
			Place: func(p peer.PlaceRequest) peer.PlaceResult {
				return peer.PlaceResult{Endpoint: p.Parts[0].ID, Incarnation: 1 << 60}
			},
			Reserve: reserveForTest,
			Permit:  n.limits.Grant,
			Levels: func(from string, levels []peer.LimitLevel) []peer.LimitLevel {
				if n.onLevels == nil {
					return nil
				}
				return n.onLevels(from, levels)
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	registry, mesh := n.registry, n.mesh
	n.done.Go(func() { _ = registry.Run(ctx) })
	n.done.Go(func() { _ = mesh.Run(ctx) })
	n.up = true
}

// kill stops the node abruptly, like a crash of its process.
func (n *node) kill() {
	if !n.up {
		return
	}
	n.up = false
	n.cluster.network.Kill(n.host)
	n.cancel()
	n.done.Wait()
}

func (n *node) onEntryState(from string, d peer.EntryState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[from] = d
}

func (n *node) onVersion(_, name string, version uint64) { n.apply(name, version) }

// apply puts a template version in force, as the template watch does after it
// has fetched the version.
func (n *node) apply(name string, version uint64) {
	n.mu.Lock()
	newer := version > n.versions[name]
	if newer {
		n.versions[name] = version
	}
	n.mu.Unlock()
	if newer {
		n.mesh.SetTemplateVersion(name, version)
	}
}

func (n *node) version(name string) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versions[name]
}

func (n *node) onFetch(name string, version uint64) (json.RawMessage, bool) {
	if name == "long" {
		return n.longValue, true
	}
	if version != n.version(name) {
		return nil, false
	}
	return json.RawMessage(`{"name":"` + name + `"}`), true
}

func (n *node) onHandoff(_ context.Context, jobID string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handoffs = append(n.handoffs, jobID)
	return nil
}

func (n *node) demandOf(id, customer string) peer.Demand {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.states[id].Demand[customer]
}

// within waits in virtual time until ok returns true, and fails the test after
// the bound. It returns the time that it waited.
func (cl *cluster) within(bound time.Duration, what string, ok func() bool) time.Duration {
	cl.c.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) > bound {
			cl.c.Fatalf("%s: not within %v", what, bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// meshed reports whether all live nodes see one another as live and are
// connected to enough neighbours.
func (cl *cluster) meshed() bool {
	live := cl.live()
	for _, n := range live {
		if len(n.registry.Live()) != len(live) || len(n.mesh.Peers()) < min(len(live)-1, 3) {
			return false
		}
	}
	return true
}

// allHaveNotice reports whether all live nodes except the given ones have the
// notice of a host.
func (cl *cluster) allHaveNotice(hostID, incarnation string, except ...*node) bool {
	for _, n := range cl.live() {
		if contains(except, n) {
			continue
		}
		if !n.notices.Leaving(hostID, incarnation) {
			return false
		}
	}
	return true
}

func contains(nodes []*node, n *node) bool {
	for _, o := range nodes {
		if o == n {
			return true
		}
	}
	return false
}

// inBubble runs a test with a fully connected cluster in virtual time.
func inBubble(t *testing.T, nodes int, run func(cl *cluster)) {
	t.Helper()
	bubble(t, func(t *testing.T) {
		cl := newCluster(qt.New(t), nodes)
		cl.start()
		defer cl.stop()
		cl.within(20*time.Second, "full membership", cl.meshed)
		run(cl)
	})
}
