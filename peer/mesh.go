package peer

import (
	"context"
	"io"
	"log"
	"maps"
	"math"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// helloTimeout bounds the setup of a connection, up to the hello.
	helloTimeout = 2 * time.Second
	// maxPendingHellos bounds the accepted connections that wait for a hello.
	maxPendingHellos = 64
	// unreachableAfter is the time without a connection after which a
	// neighbour is reported as unreachable.
	unreachableAfter = 5 * time.Second
	// banPeriod is the mean time for which a peer is refused after a protocol
	// violation.
	banPeriod = 10 * time.Second
)

// EvidenceClasses is the number of classes of evidence. Those of a lower class are sent
// first.
const EvidenceClasses = 3

// EvidencePosition is the position in the evidence of each class up to which everything
// was sent.
type EvidencePosition [EvidenceClasses]uint64

// EvidenceLog holds evidence on prompt parts, which a Mesh spreads to all
// entries. Implementations must be safe for concurrent use.
type EvidenceLog interface {
	// Add adds evidence from a peer and reports whether it was new. Only new
	// evidence is passed on.
	Add(from string, e CrashEvidence) bool
	// Since returns up to limit pieces of evidence that were added after
	// position and that the given peer has not sent itself, and the position up to
	// which there are no others. Without relay these are only pieces to which this
	// entry added something.
	Since(to string, relay bool, position EvidencePosition, limit int) ([]CrashEvidence, EvidencePosition)
	// OnBroadcast registers f to be called when Since has more to return. f must
	// not block.
	OnBroadcast(f func())
}

// Options configures a Mesh.
type Options struct {
	// Deployment is the name of the deployment. Peers of other deployments are
	// refused.
	Deployment string
	Registry   *member.Registry
	Notices    *drain.Set
	// Evidence and Limits may be nil.
	Evidence EvidenceLog
	Limits   LimitLog
	Listener net.Listener
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Log      *logrus.Entry
	Handlers Handlers
}

// Mesh connects this entry with its peers. It is safe for concurrent use.
type Mesh struct {
	o          Options
	states     *states
	traffic    traffic
	packer     packer
	discardLog *log.Logger
	// calls counts the goroutines that serve calls of peers or set up cached
	// connections.
	calls sync.WaitGroup

	mu sync.Mutex
	// links are the connections of the mesh by peer ID.
	links map[string]*link
	// cachedLinks are connections for calls to peers without one in links.
	cachedLinks map[string]*cachedLink
	// neighbours maps each neighbour to whether it relays states.
	neighbours map[string]bool
	// templates is replaced and never modified.
	templates map[string]uint64
	own       EntryState
	// sequence numbers the published states of this incarnation.
	sequence uint64
	reports  map[string]report
	// banned is the time until which an incarnation is refused.
	banned     map[string]time.Time
	publishNow chan struct{}
}

// New returns a Mesh, which doesn't connect before Run.
func New(o Options) *Mesh {
	m := &Mesh{
		o:           o,
		states:      newStates(),
		discardLog:  log.New(io.Discard, "", 0),
		links:       make(map[string]*link),
		cachedLinks: make(map[string]*cachedLink),
		neighbours:  make(map[string]bool),
		templates:   make(map[string]uint64),
		reports:     make(map[string]report),
		banned:      make(map[string]time.Time),
		publishNow:  make(chan struct{}, 1),
	}
	o.Notices.OnBroadcast(m.wakeAll)
	if o.Evidence != nil {
		o.Evidence.OnBroadcast(m.wakeAll)
	}
	if o.Limits != nil {
		o.Limits.OnBroadcast(m.wakeAll)
	}
	return m
}

// Run serves the protocol until ctx ends. It closes the listener.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = m.o.Listener.Close() })
	defer stop()
	g.Go(func() error { return m.acceptAll(ctx, g) })
	g.Go(func() error {
		m.maintainNeighbours(ctx, g)
		return nil
	})
	g.Go(func() error {
		m.publishAll(ctx)
		return nil
	})
	err := g.Wait()
	m.closeCached()
	m.calls.Wait()
	return err
}

// Publish sets the state that this entry publishes about itself. It propagates
// with the next state update.
func (m *Mesh) Publish(s EntryState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own = s
}

// SetTemplateVersion reports to the neighbours at once that a version is in
// force at this entry. Handlers.TemplateFetch must already return the version.
func (m *Mesh) SetTemplateVersion(name string, version uint64) {
	m.mu.Lock()
	if m.templates[name] >= version {
		m.mu.Unlock()
		return
	}
	next := maps.Clone(m.templates)
	next[name] = version
	m.templates = next
	m.mu.Unlock()
	m.wakeAll()
}

// BroadcastNotice adds a notice and broadcasts it to all entries at once.
func (m *Mesh) BroadcastNotice(n drain.Notice) { m.o.Notices.Add(n) }

// OnNotice registers f for the first notice of each host's incarnation.
func (m *Mesh) OnNotice(f func(drain.Notice)) { m.o.Notices.OnLeaving(f) }

// Traffic returns the traffic of all connections so far.
func (m *Mesh) Traffic() Traffic { return m.traffic.load() }

// Peers returns the IDs of the connected neighbours.
func (m *Mesh) Peers() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	ids := make([]string, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	return ids
}

func (m *Mesh) linkCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.links)
}

// UpdatePeriod returns the time between two updates of this entry's state.
func (m *Mesh) UpdatePeriod() time.Duration { return m.o.Registry.UpdatePeriod() }

// sendPeriod returns the time between two state updates on a connection.
func (m *Mesh) sendPeriod() time.Duration { return min(sendPeriod, m.UpdatePeriod()) }

// PropagationDelay returns the mean age of the state of another member on
// arrival. Each hop delays it by half a send period on average.
func (m *Mesh) PropagationDelay() time.Duration {
	hops := 1.0
	if members := m.o.Registry.Count(); members > fullMeshMembers {
		hops = math.Ceil(math.Log(float64(members)) / math.Log(2*relayNeighbours))
	}
	return time.Duration(hops * float64(m.sendPeriod()) / 2)
}

func (m *Mesh) self() member.Member { return m.o.Registry.Self() }

func (m *Mesh) linkTo(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

func (m *Mesh) wantsRelayFrom(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.neighbours[id]
}

// templateVersions returns the versions in force by template name. The map must
// not be modified.
func (m *Mesh) templateVersions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.templates
}

func (m *Mesh) wakeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.wakeUp()
	}
}
