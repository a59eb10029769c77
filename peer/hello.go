package peer

import (
	"context"
	"errors"
	"fmt"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// errBanned refuses a peer that broke the protocol a short while ago.
var errBanned = errors.New("peer is kept out")

// handleHello checks who dials and answers with this entry's own hello.
func (l *link) handleHello(ctx context.Context, req *jsonrpc2.Request) {
	var h hello
	err := params(req, &h)
	select {
	case <-l.ready:
		err = fmt.Errorf("%w: second hello", errGarbage)
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
	if h.Once {
		l.stream.idle = onceTimeout
	}
	if err := l.conn.Reply(ctx, req.ID, l.mesh.hello(h.Member.ID, h.Once)); err != nil {
		l.fail(err)
		return
	}
	close(l.ready)
}

// accept takes over what a checked hello says.
func (l *link) accept(h hello) {
	l.peer = h.Member
	l.once = h.Once
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relay = h.Relay
	for id, s := range h.Have {
		l.has[id] = s
	}
}

// open says hello as the dialling side.
func (l *link) open(ctx context.Context, to member.Member, once bool) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	mine := l.mesh.hello(to.ID, once)
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
	theirs.Once = once
	l.accept(theirs)
	close(l.ready)
	return nil
}

// hello returns this entry's hello for a peer.
func (m *Mesh) hello(to string, once bool) hello {
	h := hello{Deployment: m.o.Deployment, Member: m.self(), Once: once}
	if once {
		return h
	}
	h.Relay = m.relaysWith(to)
	h.Have = m.states.have()
	return h
}

// checkHello checks who a peer says it is. It must come from the host it
// names, which must be that of the member's heartbeat row.
func (m *Mesh) checkHello(ctx context.Context, h hello, remote net.Addr) error {
	if h.Deployment != m.o.Deployment {
		return errStranger
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
	return m.checkKnown(ctx, h.Member)
}

// checkKnown compares a member with what is known of it, or else with the
// table. While the table is out of reach, an unknown ID is let in, but no new
// incarnation of a member that is alive.
func (m *Mesh) checkKnown(ctx context.Context, peer member.Member) error {
	known, ok := m.o.Registry.Lookup(peer.ID)
	if !ok || known.Incarnation != peer.Incarnation {
		registered, found, err := m.o.Registry.Read(ctx, peer.ID)
		switch {
		case err != nil && !ok:
			return nil
		case err != nil:
			return err
		case !found:
			return errOutdated
		}
		known = registered
	}
	if known.Incarnation != peer.Incarnation {
		return errOutdated
	}
	if known.Addr != peer.Addr {
		return fmt.Errorf("%w: %s at %s", errImpostor, peer.ID, peer.Addr)
	}
	return nil
}

// sameHost reports whether two "ip:port" are on one host. All addresses of
// the loopback interface are.
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
