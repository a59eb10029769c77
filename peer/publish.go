package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
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

// publishAll publishes this entry's state with the period of the deployment's
// size, and at once when something urgent changed.
func (m *Mesh) publishAll(ctx context.Context) {
	phase := member.Phase()
	joined := m.o.Registry.Joined()
	for {
		m.publish()
		period := m.UpdatePeriod()
		timer := time.NewTimer(phase(period))
		select {
		case <-timer.C:
		case <-joined:
			// From now on the states carry the epoch of this incarnation.
			timer.Stop()
			joined = nil
		case <-m.urgent:
			timer.Stop()
			// Urgent changes that come together go as one.
			if !ctxtime.Sleep(ctx, m.digestPeriod()) {
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
	own := m.own
	own.Templates = m.templates
	m.mu.Unlock()
	text, err := json.Marshal(own)
	if err != nil {
		m.o.Log.WithError(err).Error("peer: own digest can't be encoded.")
		return
	}
	m.mu.Lock()
	m.number++
	st := state{
		Origin:  self.ID,
		Stamp:   stamp{Epoch: self.Epoch, Number: m.number},
		Member:  &self,
		Leaving: self.State == member.Leaving,
		Digest:  text,
	}
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
func (m *Mesh) takeState(st state) error {
	self := m.self()
	if st.Origin == self.ID {
		// Nobody else speaks for this entry.
		return nil
	}
	age := time.Duration(st.AgeSeconds) * time.Second
	if age > member.FailureTimeout(m.o.Registry.Count()) {
		return nil
	}
	if known, ok := m.states.stamp(st.Origin); ok && !known.less(st.Stamp) {
		return nil
	}
	// Decoded before it counts as known: what is known is passed on.
	var d EntryState
	if err := json.Unmarshal(st.Digest, &d); err != nil {
		return fmt.Errorf("%w: digest of %s: %w", errGarbage, st.Origin, err)
	}
	from, fresh := m.states.put(st)
	if !fresh {
		return nil
	}
	m.o.Registry.Merge(from, age)
	for _, s := range st.Silent {
		m.takeSilent(self, s)
	}
	m.o.Handlers.digest(st.Origin, d)
	return nil
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
