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
	// managePeriod is the time between two looks at who the neighbours are.
	managePeriod = time.Second
	// yieldPeriod is how long the member with the higher ID leaves dialling to
	// the other one.
	yieldPeriod = time.Second
	// joinTimeout is how long a new entry waits for its heartbeat row before
	// it connects without one.
	joinTimeout = 3 * time.Second
	// forgetFactor is how many times GoneAfter the state of a member that is
	// gone is kept.
	forgetFactor = 2
	// Bounds on the wait before a peer is dialled again.
	minRedial = 200 * time.Millisecond
	maxRedial = 5 * time.Second
)

// acceptAll serves the connections that peers open.
func (m *Mesh) acceptAll(ctx context.Context, g *errgroup.Group) error {
	strangers := make(chan struct{}, strangersAtOnce)
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
		case strangers <- struct{}{}:
		default:
			_ = nc.Close()
			continue
		}
		g.Go(func() error {
			m.serve(ctx, nc, strangers)
			return nil
		})
	}
}

// serve waits for the hello of an accepted connection and serves it.
func (m *Mesh) serve(ctx context.Context, nc net.Conn, strangers chan struct{}) {
	l := m.newLink(ctx, nc, false, idleTimeout)
	defer l.close()
	timer := time.NewTimer(helloTimeout)
	defer timer.Stop()
	known := false
	select {
	case <-l.ready:
		known = true
	case <-l.conn.DisconnectNotify():
	case <-timer.C:
	case <-ctx.Done():
	}
	<-strangers
	if !known {
		m.o.Log.WithError(l.failure()).WithField("remote", l.remote.String()).Debug("peer: no hello.")
		return
	}
	if l.once {
		l.waitClosed(ctx)
		return
	}
	m.runLink(ctx, l)
}

// waitClosed leaves the connection to its reader until it ends.
func (l *link) waitClosed(ctx context.Context) {
	select {
	case <-l.conn.DisconnectNotify():
	case <-ctx.Done():
	}
}

// keepNeighbours starts and ends one goroutine for each chosen neighbour.
func (m *Mesh) keepNeighbours(ctx context.Context, g *errgroup.Group) {
	// Peers turn away an incarnation that has no row yet, unless the table is
	// out of reach.
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
		m.wanted = chosen.ids
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
			keepCtx, cancel := context.WithCancel(ctx)
			cancels[id] = cancel
			g.Go(func() error {
				m.keep(keepCtx, id)
				return nil
			})
		}
		m.tidy()
		if !ctxtime.Sleep(ctx, managePeriod) {
			return
		}
	}
}

func (m *Mesh) isKnown(id string) bool {
	_, ok := m.o.Registry.Lookup(id)
	return ok
}

// tidy forgets members that are gone.
func (m *Mesh) tidy() {
	known := m.isKnown
	m.states.prune(known, forgetFactor*member.FailureTimeout(m.o.Registry.Count()))
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.reported {
		if !known(id) {
			delete(m.reported, id)
		}
	}
}

// keep holds a connection with one neighbour until ctx ends.
func (m *Mesh) keep(ctx context.Context, id string) {
	redial := backoff.NewExponentialBackOff()
	redial.InitialInterval = minRedial
	redial.MaxInterval = maxRedial
	// When both sides choose each other, one of them dials.
	if m.self().ID > id && !ctxtime.Sleep(ctx, yieldPeriod) {
		return
	}
	silentSince := time.Now()
	for ctx.Err() == nil {
		if l := m.linkTo(id); l != nil {
			l.waitClosed(ctx)
			silentSince = time.Now()
		} else if m.connect(ctx, id) {
			silentSince = time.Now()
			redial.Reset()
		} else if time.Since(silentSince) > silentAfter {
			m.reportSilent(id)
		}
		if !ctxtime.Sleep(ctx, redial.NextBackOff()) {
			return
		}
	}
}

// connect dials a neighbour and serves the connection until it ends. It
// returns false when there was none.
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

// runLink makes the link the one with its peer and sends on it until it
// ends.
func (m *Mesh) runLink(ctx context.Context, l *link) {
	m.o.Registry.Merge(l.peer, 0)
	if !m.attach(l) {
		return
	}
	fields := m.o.Log.WithField("member", l.peer.ID)
	fields.Info("peer: connected.")
	err := l.send(ctx)
	m.detach(l)
	if ctx.Err() != nil {
		return
	}
	if breach(err) || breach(l.failure()) {
		m.ban(l.peer)
		fields.WithError(l.failure()).Warn("peer: protocol broken.")
		return
	}
	fields.WithError(err).Info("peer: disconnected.")
}

// attach registers the link. Of two links with a peer, the one that the
// member with the lower ID dialled stays; a newer one replaces one that was
// dialled by the same side.
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
	delete(m.reported, l.peer.ID)
	l.poke()
	return true
}

func (m *Mesh) detach(l *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[l.peer.ID] == l {
		delete(m.links, l.peer.ID)
	}
}

// breach reports whether an error means that the peer broke the protocol.
func breach(err error) bool {
	return errors.Is(err, errGarbage) || errors.Is(err, errFlood) ||
		errors.Is(err, errOversized) || errors.Is(err, errImpostor)
}

// ban keeps an incarnation of a member out for a while.
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
