package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"math"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
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

// Handlers handle messages and calls of peers. Each of them may be nil. They
// run on the reading goroutine of a connection and must not block, except for
// Changes and Handoff, which run on goroutines of their own.
type Handlers struct {
	// EntryState receives each new state of another member, whether or not it
	// is a neighbour.
	EntryState func(from string, s EntryState)
	// TemplateVersion receives the version of a template that is in force at a
	// neighbour and can be fetched from it.
	TemplateVersion func(from, name string, version uint64)
	// TemplateFetch returns a version of a template for a peer, and false if
	// this entry doesn't have it.
	TemplateFetch func(name string, version uint64) (json.RawMessage, bool)
	// Reserve reserves units of a customer's limit for a peer if they become
	// available within the given time. The second result is false if this entry
	// is not the owner of the limit.
	Reserve func(customer string, units float64, within time.Duration) (rate.Reservation, bool)
	// Changes returns the changes of a feed that this entry follows. It returns
	// infra.ErrCompacted or follow.ErrUnavailable as follow.History.Since does.
	// It may block.
	Changes func(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error)
	// Place chooses the endpoint of a centrally placed prompt for a peer.
	Place func(PlaceRequest) PlaceResult
	// Loads receives the load report of a peer and returns the sum for it.
	Loads func(from string, r LoadReport) LoadSum
	// CountsPushed receives the counts of a peer's own requests.
	CountsPushed func(from string, c IncarnationCounts)
	// Counts returns what this entry has recorded of the requests that began to
	// run at any entry.
	Counts func() []IncarnationCounts
	// Handoff adopts a durable request that a peer hands off. It may block.
	Handoff func(ctx context.Context, jobID string) error
}

// EvidenceLog holds evidence on prompt parts, which a Mesh spreads to all
// entries. Implementations must be safe for concurrent use.
type EvidenceLog interface {
	// Add adds evidence from a peer and reports whether it was new. Only new
	// evidence is passed on.
	Add(from string, e CrashEvidence) bool
	// Since returns up to limit pieces of evidence that were added after
	// position, and the position after the last one returned.
	Since(position uint64, limit int) ([]CrashEvidence, uint64)
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
	// Evidence may be nil.
	Evidence EvidenceLog
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

// FetchTemplate fetches a version of a template from a peer. The second result
// is false if the peer doesn't have it.
func (m *Mesh) FetchTemplate(ctx context.Context, peer, name string, version uint64) (json.RawMessage, bool, error) {
	var result templateResult
	err := m.call(ctx, peer, methodTemplate, templateParams{Name: name, Version: version}, &result)
	return result.Body, result.Found, err
}

// Handoff hands a durable request off to a peer. After an error the peer may
// nevertheless have adopted it.
func (m *Mesh) Handoff(ctx context.Context, peer, jobID string) error {
	return m.call(ctx, peer, methodHandoff, handoffParams{JobID: jobID}, &ack{})
}

// Reserve reserves units of a customer's limit at the owner of the limit if
// they become available within the given time. The second result is false if
// the peer is not the owner. After an error the units may have been reserved.
func (m *Mesh) Reserve(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, bool, error) {
	var result reserveResult
	err := m.callCached(ctx, peer, methodReserve, reserveParams{Customer: customer, Units: units, WithinMS: within.Milliseconds()}, &result)
	r := rate.Reservation{OK: result.Reserved || result.WaitMS == 0, Delay: time.Duration(result.WaitMS) * time.Millisecond}
	return r, !result.NotOwner, err
}

// Changes returns the changes of a feed that a peer follows. It returns
// infra.ErrCompacted or follow.ErrUnavailable if the call at the peer did.
func (m *Mesh) Changes(ctx context.Context, peer, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	var result changesResult
	err := m.callCached(ctx, peer, methodChanges, changesParams{Feed: feed, After: after, WaitMS: wait.Milliseconds()}, &result)
	switch {
	case err != nil:
		return infra.Update{}, err
	case result.Compacted:
		return infra.Update{}, infra.ErrCompacted
	case result.Unavailable:
		return infra.Update{}, follow.ErrUnavailable
	default:
		return result.update(), nil
	}
}

// Place calls a peer, which chooses the endpoint of a centrally placed prompt.
func (m *Mesh) Place(ctx context.Context, peer string, p PlaceRequest) (PlaceResult, error) {
	var result PlaceResult
	err := m.callCached(ctx, peer, methodPlace, p, &result)
	return result, err
}

// ExchangeLoads sends a load report to a peer, which returns the sum of the
// loads of other entries.
func (m *Mesh) ExchangeLoads(ctx context.Context, peer string, r LoadReport) (LoadSum, error) {
	var result LoadSum
	err := m.callCached(ctx, peer, methodLoads, r, &result)
	return result, err
}

// PushCounts sends the counts of this entry's own requests to a peer.
func (m *Mesh) PushCounts(ctx context.Context, peer string, c IncarnationCounts) error {
	return m.callCached(ctx, peer, methodPushCounts, c, &ack{})
}

// Counts returns what a peer has recorded of the requests that began to run at
// any entry, including incarnations that have ended.
func (m *Mesh) Counts(ctx context.Context, peer string) ([]IncarnationCounts, error) {
	var result countsResult
	err := m.callCached(ctx, peer, methodCounts, ack{}, &result)
	return result.Counts, err
}

// callCached calls a peer over the connection of the mesh, or else over a
// cached connection for calls. It suits calls with a short timeout: the setup
// of a connection continues after ctx has ended, and later calls use it.
func (m *Mesh) callCached(ctx context.Context, peer, method string, params, result any) error {
	l := m.linkTo(peer)
	if l == nil {
		var err error
		if l, err = m.cachedLink(ctx, peer); err != nil {
			return wrapCall(peer, err)
		}
	}
	err := l.conn.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		m.dropCached(peer, l)
	}
	return wrapCall(peer, err)
}

// errConnecting means that the connection for calls is not yet set up.
var errConnecting = errors.New("connection is being set up")

// cachedLink is a cached connection for calls to a peer that is no neighbour.
type cachedLink struct {
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// cachedLink returns the cached connection for calls to a peer. If there is
// none, it starts to set one up. The setup continues after ctx has ended.
func (m *Mesh) cachedLink(ctx context.Context, peer string) (*link, error) {
	cached, err := m.cachedOrDial(ctx, peer)
	if err != nil {
		return nil, err
	}
	select {
	case <-cached.done:
		return cached.link, cached.err
	case <-ctx.Done():
		return nil, errConnecting
	}
}

func (m *Mesh) cachedOrDial(ctx context.Context, peer string) (*cachedLink, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cached := m.cachedLinks[peer]; cached != nil {
		return cached, nil
	}
	to, ok := m.o.Registry.Lookup(peer)
	if !ok {
		return nil, errors.New("peer is not a known member")
	}
	cached := &cachedLink{done: make(chan struct{})}
	m.cachedLinks[peer] = cached
	// The connection outlives the call for which it is set up.
	ctx = context.WithoutCancel(ctx)
	m.calls.Go(func() { m.dialCached(ctx, to, cached) })
	return cached, nil
}

func (m *Mesh) dialCached(ctx context.Context, to member.Member, cached *cachedLink) {
	cached.link, cached.err = m.dial(ctx, to, true)
	close(cached.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case cached.err != nil:
		m.o.Log.WithField("member", to.ID).WithError(cached.err).Info("peer: cannot connect for calls.")
		if m.cachedLinks[to.ID] == cached {
			delete(m.cachedLinks, to.ID)
		}
	case m.cachedLinks[to.ID] != cached:
		// closeCached has removed this connection in the meantime.
		go cached.link.close()
	}
}

func (m *Mesh) closeCached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cached := range m.cachedLinks {
		select {
		case <-cached.done:
			if cached.link != nil {
				go cached.link.close()
			}
		default: // dialCached closes it
		}
	}
	clear(m.cachedLinks)
}

func (m *Mesh) dropCached(peer string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if cached := m.cachedLinks[peer]; cached != nil && cached.link == l {
		delete(m.cachedLinks, peer)
	}
}

// call calls a peer over the connection of the mesh, or else over a new
// connection that is closed after the call.
func (m *Mesh) call(ctx context.Context, peer, method string, params, result any) error {
	if l := m.linkTo(peer); l != nil {
		err := l.conn.Call(ctx, method, params, result)
		if !errors.Is(err, jsonrpc2.ErrClosed) {
			return wrapCall(peer, err)
		}
		// The link was closed during the call, for example because the
		// neighbours changed. All calls are idempotent, so a retry is safe.
	}
	l, err := m.dialOnce(ctx, peer)
	if err != nil {
		return wrapCall(peer, err)
	}
	defer l.close()
	return wrapCall(peer, l.conn.Call(ctx, method, params, result))
}

func wrapCall(peer string, err error) error {
	if err == nil {
		return nil
	}
	return fmt.Errorf("call peer %s: %w", peer, err)
}

func (m *Mesh) dialOnce(ctx context.Context, peer string) (*link, error) {
	to, ok := m.o.Registry.Lookup(peer)
	if !ok {
		return nil, errors.New("peer is not a known member")
	}
	return m.dial(ctx, to, true)
}

func (m *Mesh) dial(ctx context.Context, to member.Member, callOnly bool) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	nc, err := m.o.Dial(dialCtx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	idle := idleTimeout
	if callOnly {
		idle = callOnlyIdleTimeout
	}
	l := m.newLink(ctx, nc, true, idle)
	if err := l.open(ctx, to, callOnly); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
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

func (h Handlers) entryState(from string, s EntryState) {
	if h.EntryState != nil {
		h.EntryState(from, s)
	}
}

func (h Handlers) templateVersion(from, name string, version uint64) {
	if h.TemplateVersion != nil {
		h.TemplateVersion(from, name, version)
	}
}

func (h Handlers) templateFetch(name string, version uint64) (json.RawMessage, bool) {
	if h.TemplateFetch == nil {
		return nil, false
	}
	return h.TemplateFetch(name, version)
}

func (h Handlers) reserve(customer string, units float64, within time.Duration) (rate.Reservation, bool) {
	if h.Reserve == nil {
		return rate.Reservation{}, false
	}
	return h.Reserve(customer, units, within)
}

func (h Handlers) changes(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	if h.Changes == nil {
		return infra.Update{}, errors.New("feeds are not served here")
	}
	return h.Changes(ctx, feed, after, wait)
}

func (h Handlers) place(p PlaceRequest) PlaceResult {
	if h.Place == nil {
		return PlaceResult{}
	}
	return h.Place(p)
}

func (h Handlers) loads(from string, r LoadReport) LoadSum {
	if h.Loads == nil {
		return LoadSum{}
	}
	return h.Loads(from, r)
}

func (h Handlers) countsPushed(from string, c IncarnationCounts) {
	if h.CountsPushed != nil && c.Member == from {
		h.CountsPushed(from, c)
	}
}

func (h Handlers) counts() []IncarnationCounts {
	if h.Counts == nil {
		return nil
	}
	return h.Counts()
}

func (h Handlers) handoff(ctx context.Context, jobID string) error {
	if h.Handoff == nil {
		return errors.New("handoff is not served here")
	}
	return h.Handoff(ctx, jobID)
}
