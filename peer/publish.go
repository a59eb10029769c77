package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// reportPeriod is the shortest time between two reports of a member that
// refutes them but can't be reached from here.
const reportPeriod = 30 * time.Second

// report is a report of a silent neighbour with when it was made.
type report struct {
	silent
	at time.Time
}

// errBanned refuses a peer that broke the protocol a short while ago.
var errBanned = errors.New("peer is kept out")

// publishAll publishes this entry's state with the period of the deployment's
// size, and at once when something urgent changed.
func (m *Mesh) publishAll(ctx context.Context) {
	phase := member.Phase()
	for {
		m.publish()
		period := member.UpdatePeriod(m.o.Registry.Count())
		timer := time.NewTimer(phase(period))
		select {
		case <-timer.C:
		case <-m.urgent:
			timer.Stop()
			// Urgent changes that come together go as one.
			if !sleep(ctx, digestPeriod) {
				return
			}
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// publish puts this entry's own state among the states.
func (m *Mesh) publish() {
	self := m.self()
	m.mu.Lock()
	m.number++
	st := state{
		Origin:  self.ID,
		Stamp:   stamp{Epoch: self.Epoch, Number: m.number},
		Member:  &self,
		Leaving: self.State == member.Leaving,
		Digest:  m.own,
	}
	st.Templates = m.templates
	for _, r := range m.reported {
		st.Silent = append(st.Silent, r.silent)
	}
	m.mu.Unlock()
	m.states.put(st)
}

// publishSoon brings the next publication forward.
func (m *Mesh) publishSoon() {
	select {
	case m.urgent <- struct{}{}:
	default:
	}
}

// takeState takes in the state of another member from a peer.
func (m *Mesh) takeState(st state) {
	self := m.self()
	if st.Origin == self.ID {
		// Nobody else speaks for this entry.
		return
	}
	age := time.Duration(st.AgeSeconds) * time.Second
	if age > member.GoneAfter(m.o.Registry.Count()) {
		return
	}
	from, fresh := m.states.put(st)
	if !fresh {
		return
	}
	m.o.Registry.Learn(from, age)
	for _, s := range st.Silent {
		m.takeSilent(self, s)
	}
	m.o.Handlers.digest(st.Origin, st.Digest)
}

// takeSilent takes in a report that a member went silent. The member itself
// refutes it with a new state.
func (m *Mesh) takeSilent(self member.Member, s silent) {
	if s.ID == self.ID {
		if s.Incarnation == self.Incarnation {
			m.publishSoon()
		}
		return
	}
	if known, ok := m.states.stamp(s.ID); ok && s.Stamp.less(known) {
		return
	}
	m.o.Registry.Suspect(s.ID, s.Incarnation)
}

// reportSilent tells the others that a neighbour can't be reached.
func (m *Mesh) reportSilent(id string) {
	peer, ok := m.o.Registry.Lookup(id)
	if !ok {
		return
	}
	known, _ := m.states.stamp(id)
	m.mu.Lock()
	old, again := m.reported[id]
	if again && (old.Stamp == known || time.Since(old.at) < reportPeriod) {
		m.mu.Unlock()
		return
	}
	s := silent{ID: id, Incarnation: peer.Incarnation, Stamp: known}
	m.reported[id] = report{silent: s, at: time.Now()}
	m.mu.Unlock()
	m.o.Registry.Suspect(id, peer.Incarnation)
	m.publishSoon()
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
