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
// refutes them but remains unreachable from this entry.
const reportPeriod = 30 * time.Second

// report is a report of an unreachable neighbour and the time it was made.
type report struct {
	unreachable
	at time.Time
}

// publishAll publishes this entry's state until ctx ends: once per
// UpdatePeriod, after joining, and shortly after an urgent change.
func (m *Mesh) publishAll(ctx context.Context) {
	phase := member.StaggeredDelays()
	joined := m.o.Registry.Joined()
	for {
		m.publish()
		period := m.UpdatePeriod()
		timer := time.NewTimer(phase(period))
		select {
		case <-timer.C:
		case <-joined:
			// From now on the stamps have the epoch of this incarnation.
			timer.Stop()
			joined = nil
		case <-m.publishNow:
			timer.Stop()
			// Urgent changes within one send period are published together.
			if !ctxtime.Sleep(ctx, m.sendPeriod()) {
				return
			}
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

// publish stores this entry's own state with a new stamp. The links send it
// from there.
func (m *Mesh) publish() {
	self := m.self()
	m.mu.Lock()
	own := m.own
	own.Templates = m.templates
	m.mu.Unlock()
	text, err := json.Marshal(own)
	if err != nil {
		m.o.Log.WithError(err).Error("peer: cannot encode own entry state.")
		return
	}
	m.mu.Lock()
	m.sequence++
	st := state{
		Origin:     self.ID,
		Stamp:      stamp{Epoch: self.Epoch, Number: m.sequence},
		Member:     &self,
		Leaving:    self.State == member.Leaving,
		EntryState: text,
	}
	for _, r := range m.reports {
		st.Unreachable = append(st.Unreachable, r.unreachable)
	}
	m.mu.Unlock()
	m.states.put(st)
}

// publishSoon makes publishAll publish an urgent change.
func (m *Mesh) publishSoon() {
	select {
	case m.publishNow <- struct{}{}:
	default:
	}
}

// mergeState stores the state of another member, received from a peer, if it is
// newer than the stored one, and applies what it reports.
func (m *Mesh) mergeState(st state) error {
	self := m.self()
	if st.Origin == self.ID {
		// Only this entry itself publishes its state.
		return nil
	}
	age := time.Duration(st.AgeSeconds) * time.Second
	if age > m.o.Registry.FailureTimeout() {
		return nil
	}
	if stored, ok := m.states.stamp(st.Origin); ok && !stored.less(st.Stamp) {
		return nil
	}
	// It is decoded before it is stored, because stored states are relayed and
	// an invalid one must not be.
	var entryState EntryState
	if err := json.Unmarshal(st.EntryState, &entryState); err != nil {
		return fmt.Errorf("%w: entry state of %s: %w", errMalformed, st.Origin, err)
	}
	from, fresh := m.states.put(st)
	if !fresh {
		return nil
	}
	m.o.Registry.Merge(from, age)
	for _, report := range st.Unreachable {
		m.handleUnreachable(self, report)
	}
	m.o.Handlers.entryState(st.Origin, entryState)
	return nil
}

// handleUnreachable handles a report that a member is unreachable. If the
// report is about this entry, it is refuted by publishing a new state.
// Otherwise the member becomes suspect, unless a newer state of it is stored.
func (m *Mesh) handleUnreachable(self member.Member, report unreachable) {
	if report.ID == self.ID {
		if report.Incarnation == self.Incarnation {
			m.publishSoon()
		}
		return
	}
	if stored, ok := m.states.stamp(report.ID); ok && report.Stamp.less(stored) {
		return
	}
	m.o.Registry.Suspect(report.ID, report.Incarnation)
}

// reportUnreachable suspects a neighbour and reports to the other members that
// it is unreachable. It doesn't repeat a report without a newer state of the
// neighbour, or within reportPeriod.
func (m *Mesh) reportUnreachable(id string) {
	peer, ok := m.o.Registry.Lookup(id)
	if !ok {
		return
	}
	latest, _ := m.states.stamp(id)
	m.mu.Lock()
	old, again := m.reports[id]
	if again && (old.Stamp == latest || time.Since(old.at) < reportPeriod) {
		m.mu.Unlock()
		return
	}
	unreachableReport := unreachable{ID: id, Incarnation: peer.Incarnation, Stamp: latest}
	m.reports[id] = report{unreachable: unreachableReport, at: time.Now()}
	m.mu.Unlock()
	m.o.Registry.Suspect(id, peer.Incarnation)
	m.publishSoon()
}
