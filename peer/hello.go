package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// errBanned refuses a peer that recently violated the protocol.
var errBanned = errors.New("peer is temporarily banned")

// handleHello checks the identity of the dialling peer and replies with this
// entry's own hello.
func (l *link) handleHello(ctx context.Context, req *jsonrpc2.Request) {
	var h hello
	err := params(req, &h)
	select {
	case <-l.ready:
		err = fmt.Errorf("%w: second hello", errMalformed)
	default:
	}
	if err == nil {
		err = l.mesh.checkHello(ctx, h, l.remote)
	}
	if err == nil && h.To != l.mesh.self().ID {
		err = errImpostor
	}
	if err != nil {
		l.fail(err)
		return
	}
	l.accept(h)
	if h.CallOnly {
		l.stream.idle = callOnlyIdleTimeout
	}
	if err := l.conn.Reply(ctx, req.ID, l.mesh.hello(h.Member.ID, h.CallOnly)); err != nil {
		l.fail(err)
		return
	}
	close(l.ready)
}

// accept stores the contents of a hello that passed the checks.
func (l *link) accept(h hello) {
	l.peer = h.Member
	l.callOnly = h.CallOnly
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerWantsRelay = h.Relay
	for id, s := range h.Have {
		l.peerStamps[id] = s
	}
}

// open exchanges hellos as the dialling side.
func (l *link) open(ctx context.Context, to member.Member, callOnly bool) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	mine := l.mesh.hello(to.ID, callOnly)
	mine.To = to.ID
	var theirs hello
	if err := l.conn.Call(ctx, methodHello, mine, &theirs); err != nil {
		return fmt.Errorf("hello: %w", err)
	}
	if theirs.Member.ID != to.ID {
		return errImpostor
	}
	if err := l.mesh.checkHello(ctx, theirs, l.remote); err != nil {
		return err
	}
	theirs.CallOnly = callOnly
	l.accept(theirs)
	close(l.ready)
	return nil
}

// hello returns this entry's hello for a peer.
func (m *Mesh) hello(to string, callOnly bool) hello {
	h := hello{Deployment: m.o.Deployment, Member: m.self(), CallOnly: callOnly}
	if callOnly {
		return h
	}
	h.Relay = m.wantsRelayFrom(to)
	h.Have = m.states.stamps()
	return h
}

// checkHello checks the identity that a peer claims. The connection must come
// from the host in the hello, which must be that of the member's heartbeat row.
func (m *Mesh) checkHello(ctx context.Context, h hello, remote net.Addr) error {
	if h.Deployment != m.o.Deployment {
		return errOtherDeployment
	}
	if h.Member.ID == "" || h.Member.Incarnation == "" || h.Member.ID == m.self().ID {
		return errImpostor
	}
	if m.isBanned(h.Member) {
		return errBanned
	}
	if !sameHost(h.Member.Addr, remote.String()) {
		return fmt.Errorf("%w: %s from %s", errImpostor, h.Member.ID, remote)
	}
	return m.checkRegistered(ctx, h.Member)
}

// checkRegistered compares a member with the registry, or else with its
// heartbeat row in the table. While the table is unavailable, an unknown ID is
// accepted, but a new incarnation of a live member is not.
func (m *Mesh) checkRegistered(ctx context.Context, peer member.Member) error {
	record, ok := m.o.Registry.Lookup(peer.ID)
	if !ok && m.o.Registry.IsScanned() && !m.o.Registry.IsSettled() {
		// The next scan finds all members that start at the same time, without
		// a call for each of them.
		select {
		case <-m.o.Registry.Settled():
		case <-ctx.Done():
			return ctx.Err()
		}
		record, ok = m.o.Registry.Lookup(peer.ID)
	}
	if !ok || record.Incarnation != peer.Incarnation {
		registered, found, err := m.o.Registry.Read(ctx, peer.ID)
		switch {
		case err != nil && !ok:
			return nil
		case err != nil:
			return err
		case !found:
			return errOutdated
		}
		record = registered
	}
	if record.Incarnation != peer.Incarnation {
		return errOutdated
	}
	if record.Addr != peer.Addr {
		return fmt.Errorf("%w: %s at %s", errImpostor, peer.ID, peer.Addr)
	}
	return nil
}

// sameHost reports whether two addresses in the form "ip:port" are on the same
// host. All loopback addresses count as the same host.
func sameHost(a, b string) bool {
	hostA, _, errA := net.SplitHostPort(a)
	hostB, _, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil {
		return false
	}
	if hostA == hostB {
		return true
	}
	ipA, ipB := net.ParseIP(hostA), net.ParseIP(hostB)
	return ipA != nil && ipB != nil && ipA.IsLoopback() && ipB.IsLoopback()
}
