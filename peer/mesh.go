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
	// helloTimeout bounds the opening of a connection.
	helloTimeout = 2 * time.Second
	// strangersAtOnce bounds the accepted connections without a hello yet.
	strangersAtOnce = 64
	// silentAfter is how long a neighbour may be silent before it is reported.
	silentAfter = 5 * time.Second
	// pacedMembers is up to how many members Pace is kept to, so that the
	// updates of all members together stay bounded.
	pacedMembers = 8
	// banPeriod is how long a peer that broke the protocol is kept out.
	banPeriod = 10 * time.Second
)

// Handlers are called for what arrives from peers. Each may be nil. They run
// on the goroutine of a connection and, but for Changes and Handoff, must not
// block.
type Handlers struct {
	// EntryState gets each new state of another member, its neighbour or not.
	EntryState func(from string, d EntryState)
	// TemplateVersion gets the version in force at a neighbour, which then
	// has it to fetch.
	TemplateVersion func(from, name string, version uint64)
	// TemplateFetch returns a version of a template to a peer.
	TemplateFetch func(name string, version uint64) (json.RawMessage, bool)
	// Reserve takes units of a customer's limit for a peer that there is room for
	// within a time. The second result is false where the limit isn't kept
	// here.
	Reserve func(customer string, units float64, within time.Duration) (rate.Reservation, bool)
	// Changes returns the changes of a feed that this entry follows, or
	// follow.ErrLost. It may block.
	Changes func(ctx context.Context, feed string, after uint64, wait time.Duration) (infra.Update, error)
	// Place places a long prompt for a peer.
	Place func(PlaceRequest) PlaceResult
	// Counts returns what this entry knows of the requests that began to run
	// at any entry.
	Counts func() []IncarnationCounts
	// Handoff takes over a durable request from a peer.
	Handoff func(ctx context.Context, jobID string) error
}

// Options set up a Mesh.
type Options struct {
	// Deployment must be the same at all peers.
	Deployment string
	Registry   *member.Registry
	Notices    *drain.Set
	Listener   net.Listener
	// Pace is the time between two updates of an entry's state while members
	// are few; 0 takes a second. It grows with their number beyond
	// pacedMembers.
	Pace     time.Duration
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Log      *logrus.Entry
	Handlers Handlers
}

// Mesh connects this entry with its peers. It is safe for concurrent use.
type Mesh struct {
	o       Options
	states  *states
	traffic traffic
	quiet   *log.Logger
	// calls are the running handoffs.
	calls sync.WaitGroup

	mu    sync.Mutex
	links map[string]*link
	// kept are connections for calls with peers that are no neighbours.
	kept      map[string]*keptLink
	wanted    map[string]bool
	templates map[string]uint64
	own       EntryState
	number    uint64
	reported  map[string]report
	banned    map[string]time.Time
	urgent    chan struct{}
}

// New returns a Mesh that does nothing until Run.
func New(o Options) *Mesh {
	m := &Mesh{
		o:         o,
		states:    newStates(),
		quiet:     log.New(io.Discard, "", 0),
		links:     make(map[string]*link),
		kept:      make(map[string]*keptLink),
		wanted:    make(map[string]bool),
		templates: make(map[string]uint64),
		reported:  make(map[string]report),
		banned:    make(map[string]time.Time),
		urgent:    make(chan struct{}, 1),
	}
	o.Notices.OnBroadcast(m.pokeAll)
	return m
}

// Run serves the protocol until ctx ends. It closes the listener.
func (m *Mesh) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = m.o.Listener.Close() })
	defer stop()
	g.Go(func() error { return m.acceptAll(ctx, g) })
	g.Go(func() error {
		m.keepNeighbours(ctx, g)
		return nil
	})
	g.Go(func() error {
		m.publishAll(ctx)
		return nil
	})
	err := g.Wait()
	m.closeKept()
	m.calls.Wait()
	return err
}

// Publish replaces what this entry tells about itself. It travels with the
// next state update.
func (m *Mesh) Publish(d EntryState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.own = d
}

// SetTemplateVersion tells the neighbours at once that a version is in force
// here. The version must be there to fetch.
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
	m.pokeAll()
}

// BroadcastNotice takes in a notice and tells all entries at once.
func (m *Mesh) BroadcastNotice(n drain.Notice) { m.o.Notices.Add(n) }

// OnNotice registers f for the first notice of each host's incarnation.
func (m *Mesh) OnNotice(f func(drain.Notice)) { m.o.Notices.OnLeaving(f) }

// Traffic returns what went over the connections so far.
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

// FetchTemplate gets a version of a template from a peer. The second result
// is false when the peer has it not.
func (m *Mesh) FetchTemplate(ctx context.Context, peer, name string, version uint64) (json.RawMessage, bool, error) {
	var result templateResult
	err := m.call(ctx, peer, methodTemplate, templateParams{Name: name, Version: version}, &result)
	return result.Body, result.Found, err
}

// Handoff hands a durable request over to a peer. After an error the peer may
// have taken it over all the same.
func (m *Mesh) Handoff(ctx context.Context, peer, jobID string) error {
	return m.call(ctx, peer, methodHandoff, handoffParams{JobID: jobID}, &ack{})
}

// Reserve takes units of a customer's limit at the peer that keeps it, where there
// is room for them within a time. The second result is false where the peer
// doesn't keep it. After an error they may have been taken.
func (m *Mesh) Reserve(ctx context.Context, peer, customer string, units float64, within time.Duration) (rate.Reservation, bool, error) {
	var result takeResult
	err := m.callKept(ctx, peer, methodTake, takeParams{Customer: customer, Units: units, WithinMS: within.Milliseconds()}, &result)
	g := rate.Reservation{OK: result.Taken || result.WaitMS == 0, Delay: time.Duration(result.WaitMS) * time.Millisecond}
	return g, !result.Elsewhere, err
}

// Changes asks a peer for the changes of a feed that it follows. It fails with
// infra.ErrHistoryGone or follow.ErrLost where the peer says so.
func (m *Mesh) Changes(ctx context.Context, peer, feed string, after uint64, wait time.Duration) (infra.Update, error) {
	var result changesResult
	err := m.callKept(ctx, peer, methodChanges, changesParams{Feed: feed, After: after, WaitMS: wait.Milliseconds()}, &result)
	switch {
	case err != nil:
		return infra.Update{}, err
	case result.Gone:
		return infra.Update{}, infra.ErrCompacted
	case result.Lost:
		return infra.Update{}, follow.ErrLost
	default:
		return result.update(), nil
	}
}

// Place has a peer place a long prompt.
func (m *Mesh) Place(ctx context.Context, peer string, p PlaceRequest) (PlaceResult, error) {
	var result PlaceResult
	err := m.callKept(ctx, peer, methodPlace, p, &result)
	return result, err
}

// Counts asks a peer for what it knows of the requests that began to run at
// any entry, also at incarnations that have ended.
func (m *Mesh) Counts(ctx context.Context, peer string) ([]IncarnationCounts, error) {
	var result countsResult
	err := m.callKept(ctx, peer, methodCounts, ack{}, &result)
	return result.Counts, err
}

// callKept calls a peer over the connection with it, or over one for calls
// that is kept.
func (m *Mesh) callKept(ctx context.Context, peer, method string, params, result any) error {
	l := m.linkTo(peer)
	if l == nil {
		var err error
		if l, err = m.keptLink(ctx, peer); err != nil {
			return wrapCall(peer, err)
		}
	}
	err := l.conn.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		m.dropKept(peer, l)
	}
	return wrapCall(peer, err)
}

// errConnecting says that there is no connection for calls yet.
var errConnecting = errors.New("connection is being set up")

// keptLink is a connection for calls with a peer that is no neighbour.
type keptLink struct {
	// done is closed once link or err is set.
	done chan struct{}
	link *link
	err  error
}

// keptLink returns the connection for calls with a peer. Where there is none
// it has one set up, which goes on when the caller has given up.
func (m *Mesh) keptLink(ctx context.Context, peer string) (*link, error) {
	k, err := m.keptOrSetUp(ctx, peer)
	if err != nil {
		return nil, err
	}
	select {
	case <-k.done:
		return k.link, k.err
	case <-ctx.Done():
		return nil, errConnecting
	}
}

func (m *Mesh) keptOrSetUp(ctx context.Context, peer string) (*keptLink, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kept[peer]; k != nil {
		return k, nil
	}
	to, ok := m.o.Registry.Lookup(peer)
	if !ok {
		return nil, errors.New("peer is not known")
	}
	k := &keptLink{done: make(chan struct{})}
	m.kept[peer] = k
	// The connection outlives the call that has it set up.
	ctx = context.WithoutCancel(ctx)
	m.calls.Go(func() { m.setUpKept(ctx, to, k) })
	return k, nil
}

func (m *Mesh) setUpKept(ctx context.Context, to member.Member, k *keptLink) {
	k.link, k.err = m.dial(ctx, to, true)
	close(k.done)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case k.err != nil:
		m.o.Log.WithField("member", to.ID).WithError(k.err).Info("peer: no connection for calls.")
		if m.kept[to.ID] == k {
			delete(m.kept, to.ID)
		}
	case m.kept[to.ID] != k:
		// The mesh was closed meanwhile.
		go k.link.close()
	}
}

func (m *Mesh) closeKept() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, k := range m.kept {
		select {
		case <-k.done:
			if k.link != nil {
				go k.link.close()
			}
		default: // setUpKept closes it
		}
	}
	clear(m.kept)
}

func (m *Mesh) dropKept(peer string, l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k := m.kept[peer]; k != nil && k.link == l {
		delete(m.kept, peer)
	}
}

// call calls a peer over the connection with it, or over one of its own.
func (m *Mesh) call(ctx context.Context, peer, method string, params, result any) error {
	if l := m.linkTo(peer); l != nil {
		err := l.conn.Call(ctx, method, params, result)
		if !errors.Is(err, jsonrpc2.ErrClosed) {
			return wrapCall(peer, err)
		}
		// The link was given up under the call, as neighbours change. All
		// calls are idempotent, so that this one may be made again.
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
		return nil, errors.New("peer is not known")
	}
	return m.dial(ctx, to, true)
}

func (m *Mesh) dial(ctx context.Context, to member.Member, once bool) (*link, error) {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	nc, err := m.o.Dial(dialCtx, "tcp", to.Addr)
	if err != nil {
		return nil, err
	}
	idle := idleTimeout
	if once {
		idle = onceTimeout
	}
	l := m.newLink(ctx, nc, true, idle)
	if err := l.open(ctx, to, once); err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// UpdatePeriod returns the time between two updates of this entry's state.
func (m *Mesh) UpdatePeriod() time.Duration {
	members := m.o.Registry.Count()
	if m.o.Pace <= 0 {
		return member.UpdatePeriod(members)
	}
	return m.o.Pace * time.Duration(max(members, pacedMembers)) / pacedMembers
}

// digestPeriod returns the time between two digests on a connection.
func (m *Mesh) digestPeriod() time.Duration {
	if m.o.Pace <= 0 {
		return digestPeriod
	}
	return min(digestPeriod, m.UpdatePeriod())
}

// PropagationDelay returns how old the state of another member is on arrival, on
// average: each connection on its way holds it for half a period.
func (m *Mesh) PropagationDelay() time.Duration {
	hops := 1.0
	if members := m.o.Registry.Count(); members > fullMeshMembers {
		hops = math.Ceil(math.Log(float64(members)) / math.Log(2*relayNeighbours))
	}
	return time.Duration(hops * float64(m.digestPeriod()) / 2)
}

func (m *Mesh) self() member.Member { return m.o.Registry.Self() }

func (m *Mesh) linkTo(id string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[id]
}

func (m *Mesh) relaysWith(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.wanted[id]
}

// templateVersions returns a map that is never written to again.
func (m *Mesh) templateVersions() map[string]uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.templates
}

func (m *Mesh) pokeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		l.poke()
	}
}

func (h Handlers) digest(from string, d EntryState) {
	if h.EntryState != nil {
		h.EntryState(from, d)
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

func (h Handlers) take(customer string, units float64, within time.Duration) (rate.Reservation, bool) {
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
