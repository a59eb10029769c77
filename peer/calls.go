package peer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// FetchTemplate fetches a version of a template from a peer. The second result
// is false if the peer doesn't have it.
func (m *Mesh) FetchTemplate(ctx context.Context, peer, name string, version uint64) (json.RawMessage, bool, error) {
	var result templateResult
	err := m.call(ctx, peer, methodTemplate, templateParams{Name: name, Version: version}, &result)
	if err != nil {
		return nil, false, err
	}
	body, err := unpack(result.Body, result.Packed)
	return body, result.Found, wrapCall(peer, err)
}

// Handoff hands a durable request off to a peer. After an error the peer may
// nevertheless have adopted it.
func (m *Mesh) Handoff(ctx context.Context, peer, jobID string) error {
	return m.call(ctx, peer, methodHandoff, handoffParams{JobID: jobID}, &ack{})
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
		update, err := result.update()
		return update, wrapCall(peer, err)
	}
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
	return m.withCached(ctx, peer, func(l *link) error { return l.conn.Call(ctx, method, params, result) })
}

func (m *Mesh) withCached(ctx context.Context, peer string, f func(l *link) error) error {
	l := m.linkTo(peer)
	if l == nil {
		var err error
		if l, err = m.cachedLink(ctx, peer); err != nil {
			return wrapCall(peer, err)
		}
	}
	err := f(l)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		m.dropCached(peer, l)
	}
	return wrapCall(peer, err)
}

// ErrConnecting means that the connection for calls is not yet set up.
var ErrConnecting = errors.New("connection is being set up")

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
		return nil, ErrConnecting
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
