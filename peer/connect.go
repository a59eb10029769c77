package peer

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

const (
	// managePeriod is the time between two updates of the set of neighbours.
	managePeriod = time.Second
	// yieldPeriod is how long the member with the higher ID waits for the other
	// one to dial.
	yieldPeriod = time.Second
	// joinTimeout is how long a new entry waits until its heartbeat row is
	// written before it connects without one.
	joinTimeout = 3 * time.Second
	// forgetFactor is the time for which the state of a failed member is
	// retained, in failure timeouts.
	forgetFactor = 2
	// minRedial and maxRedial bound the delay before a peer is dialled again.
	minRedial = 200 * time.Millisecond
	maxRedial = 5 * time.Second
)

// acceptAll accepts and serves connections until ctx ends.
func (m *Mesh) acceptAll(ctx context.Context, g *errgroup.Group) error {
	pendingHellos := make(chan struct{}, maxPendingHellos)
	for {
		nc, err := m.o.Listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = nc.Close()
			}
			return nil
		}
		if err != nil {
			m.o.Log.WithError(err).Warn("peer: accept failed.")
			if !ctxtime.Sleep(ctx, minRedial) {
				return nil
			}
			continue
		}
		select {
		case pendingHellos <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		g.Go(func() error {
			m.serve(ctx, nc, pendingHellos)
			return nil
		})
	}
}

// serve waits for the hello on an accepted connection and then serves the
// connection until it ends.
func (m *Mesh) serve(ctx context.Context, nc net.Conn, pendingHellos chan struct{}) {
	l := m.newLink(ctx, nc, false, idleTimeout)
	defer l.close()
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	accepted := false
	select {
	case <-l.ready:
		accepted = true
	case <-l.conn.DisconnectNotify():
	case <-timer.C:
	case <-ctx.Done():
	}
	<-pendingHellos
	if !accepted {
		m.o.Log.WithError(l.failure()).WithField("remote", l.remote.String()).Debug("peer: no valid hello received.")
		return
	}
	if l.callOnly {
		l.waitClosed(ctx)
		return
	}
	m.runLink(ctx, l)
}

// waitClosed waits until the connection is closed or ctx ends.
func (l *link) waitClosed(ctx context.Context) {
	select {
	case <-l.conn.DisconnectNotify():
	case <-ctx.Done():
	}
}

// maintainNeighbours chooses the neighbours periodically and runs one goroutine
// for each of them.
func (m *Mesh) maintainNeighbours(ctx context.Context, g *errgroup.Group) {
	// Peers refuse an incarnation without a heartbeat row while they can read
	// the table.
	timer := time.NewTimer(joinTimeout)
	defer timer.Stop()
	select {
	case <-m.o.Registry.Joined():
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	cancels := make(map[string]context.CancelFunc)
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	leaving := false
	for {
		self := m.self()
		if !leaving && self.State == member.Leaving {
			leaving = true
			m.publishSoon()
		}
		chosen := choose(self, m.o.Registry.Members())
		m.mu.Lock()
		m.neighbours = chosen.ids
		m.mu.Unlock()
		for id, cancel := range cancels {
			if _, ok := chosen.ids[id]; !ok {
				cancel()
				delete(cancels, id)
			}
		}
		for id := range chosen.ids {
			if cancels[id] != nil {
				continue
			}
			neighbourCtx, cancel := context.WithCancel(ctx)
			cancels[id] = cancel
			g.Go(func() error {
				m.maintain(neighbourCtx, id)
				return nil
			})
		}
		m.pruneFailed()
		if !ctxtime.Sleep(ctx, managePeriod) {
			return
		}
	}
}

func (m *Mesh) isMember(id string) bool {
	_, ok := m.o.Registry.Lookup(id)
	return ok
}

// pruneFailed removes the data about failed members.
func (m *Mesh) pruneFailed() {
	isMember := m.isMember
	m.states.prune(isMember, forgetFactor*m.o.Registry.FailureTimeout())
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.reports {
		if !isMember(id) {
			delete(m.reports, id)
		}
	}
}

// maintain keeps a connection with one neighbour open until ctx ends.
func (m *Mesh) maintain(ctx context.Context, id string) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = minRedial
	redial.MaxInterval = maxRedial
	// If both sides choose each other, the one with the lower ID dials first.
	if m.self().ID > id && !ctxtime.Sleep(ctx, yieldPeriod) {
		return
	}
	lastConnected := time.Now()
	for ctx.Err() == nil {
		if l := m.linkTo(id); l != nil {
			l.waitClosed(ctx)
			lastConnected = time.Now()
		} else if m.connect(ctx, id) {
			lastConnected = time.Now()
			redial.Reset()
		} else if time.Since(lastConnected) > unreachableAfter {
			m.reportUnreachable(id)
		}
		if !ctxtime.Sleep(ctx, redial.NextBackOff()) {
			return
		}
	}
}

// connect dials a neighbour and serves the connection until it ends. It returns
// false if no connection was set up.
func (m *Mesh) connect(ctx context.Context, id string) bool {
	to, ok := m.o.Registry.Lookup(id)
	if !ok || m.isBanned(to) {
		return false
	}
	l, err := m.dial(ctx, to, false)
	if err != nil {
		m.o.Log.WithError(err).WithField("member", id).Debug("peer: dial failed.")
		return false
	}
	defer l.close()
	m.runLink(ctx, l)
	return true
}

// runLink registers the link as the connection with its peer and sends on it
// until it ends.
func (m *Mesh) runLink(ctx context.Context, l *link) {
	m.o.Registry.Merge(l.peer, 0)
	if !m.attach(l) {
		return
	}
	logger := m.o.Log.WithField("member", l.peer.ID)
	logger.Info("peer: connected.")
	err := l.send(ctx)
	m.detach(l)
	if ctx.Err() != nil {
		return
	}
	if isViolation(err) || isViolation(l.failure()) {
		m.ban(l.peer)
		logger.WithError(l.failure()).Warn("peer: protocol violation, peer banned.")
		return
	}
	logger.WithError(err).Info("peer: disconnected.")
}

// attach registers the link, and returns false if another link with the peer
// takes precedence. Of two links with a peer, the one dialled by the member
// with the lower ID takes precedence. A newer link replaces one dialled by the
// same side, and one with another incarnation of the peer.
func (m *Mesh) attach(l *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.links[l.peer.ID]
	if old != nil && old.dialled != l.dialled && old.peer.Incarnation == l.peer.Incarnation {
		if l.dialled != (m.self().ID < l.peer.ID) {
			return false
		}
	}
	if old != nil {
		_ = old.conn.Close()
	}
	m.links[l.peer.ID] = l
	delete(m.reports, l.peer.ID)
	l.wakeUp()
	return true
}

func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.ID] == l {
		delete(m.links, l.peer.ID)
	}
}

// isViolation reports whether an error means that the peer violated the
// protocol.
func isViolation(err error) bool {
	return errors.Is(err, errMalformed) || errors.Is(err, errFlood) ||
		errors.Is(err, errOversized) || errors.Is(err, errImpostor)
}

// ban refuses connections with an incarnation of a member for about banPeriod.
func (m *Mesh) ban(peer member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.banned[peer.Incarnation] = time.Now().Add(member.Jitter(banPeriod))
}

func (m *Mesh) isBanned(peer member.Member) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	until, ok := m.banned[peer.Incarnation]
	if !ok {
		return false
	}
	if time.Now().After(until) {
		delete(m.banned, peer.Incarnation)
		return false
	}
	return true
}
