package peer

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// urgentPause is the shortest time between two messages with urgent changes on
// a connection. Changes accumulate in between.
const urgentPause = 50 * time.Millisecond

// send sends everything that the peer doesn't have yet, until the connection
// ends: notices and template versions at once, states with the next state
// update.
func (l *link) send(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.conn.DisconnectNotify():
			return l.failure()
		case <-l.wake:
			if err := l.sendUrgent(ctx); err != nil {
				return err
			}
			// The first of many changes is sent at once and the others together
			// after a pause. Otherwise each of them would cause a message on
			// every connection.
			if !ctxtime.Sleep(ctx, urgentPause) {
				return ctx.Err()
			}
			continue
		case <-timer.C:
			timer.Reset(member.Jitter(l.mesh.sendPeriod()))
		}
		if err := l.sendUrgent(ctx); err != nil {
			return err
		}
		if err := l.conn.Notify(ctx, methodStateUpdate, l.nextStateUpdate()); err != nil {
			return err
		}
	}
}

// sendUrgent sends new notices, evidence, limits and template versions.
func (l *link) sendUrgent(ctx context.Context) error {
	if err := l.sendEvidence(ctx); err != nil {
		return err
	}
	if err := l.sendLimits(ctx); err != nil {
		return err
	}
	for {
		batch, position := l.mesh.o.Notices.Since(l.noticePosition, noticeBatch)
		if position == l.noticePosition {
			break
		}
		l.noticePosition = position
		var out notices
		l.mu.Lock()
		for _, n := range batch {
			if l.receivedNotices[n.Key()] {
				delete(l.receivedNotices, n.Key())
				continue
			}
			out.Notices = append(out.Notices, recordOf(n))
		}
		l.mu.Unlock()
		if len(out.Notices) == 0 {
			continue
		}
		if err := l.conn.Notify(ctx, methodNotices, out); err != nil {
			return err
		}
	}
	current := l.mesh.templateVersions()
	changed := make(map[string]uint64)
	for name, version := range current {
		if l.sentTemplates[name] != version {
			changed[name] = version
		}
	}
	if len(changed) == 0 {
		return nil
	}
	l.sentTemplates = maps.Clone(current)
	return l.conn.Notify(ctx, methodVersions, versions{Templates: changed})
}

// sendEvidence sends the evidence that was added since the last call, within the
// limit of its rate. The next state update continues.
func (l *link) sendEvidence(ctx context.Context) error {
	if l.mesh.o.Evidence == nil {
		return nil
	}
	if relay := l.relaysEvidence(); relay != l.relayedEvidence {
		// What wasn't relayed so far has to be sent. The peer ignores the rest.
		l.relayedEvidence, l.evidencePosition = relay, EvidencePosition{}
	}
	now := time.Now()
	l.evidenceLimiter.SetLimitAt(now, rate.Limit(evidenceBytesPerSecond/float64(max(1, l.mesh.linkCount()))))
	var batch []json.RawMessage
	bytes := evidenceEnvelopeBytes
	for {
		next, position := l.mesh.o.Evidence.Since(l.evidenceSource(), l.relayedEvidence, l.evidencePosition, 1)
		if len(next) == 0 {
			l.evidencePosition = position
			break
		}
		text, err := json.Marshal(next[0])
		if err != nil {
			return err
		}
		// One that is longer than the burst takes all of it.
		if !l.evidenceLimiter.AllowN(now, min(bytes+len(text), l.evidenceLimiter.Burst())) {
			break
		}
		bytes = 0
		l.evidencePosition = position
		batch = append(batch, text)
	}
	if len(batch) == 0 {
		return nil
	}
	return l.conn.Notify(ctx, methodEvidence, map[string][]json.RawMessage{"e": batch})
}

// evidenceSource identifies the process of the peer. The next one of the same ID
// has no evidence.
func (l *link) evidenceSource() string { return l.peer.ID + "/" + l.peer.Incarnation }

// relaysEvidence reports whether evidence of third members is sent to the peer. In a
// full mesh it comes from themselves, and from the neighbours that relay to the peer
// if a connection is broken.
func (l *link) relaysEvidence() bool {
	if l.mesh.o.Registry.Count() > fullMeshMembers {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peerWantsRelay
}

// nextStateUpdate returns a state update with the states that the peer doesn't
// have yet. The own state of this entry is sent to all neighbours. The states
// of third members are sent only if either side requested relaying.
func (l *link) nextStateUpdate() stateUpdate {
	update := stateUpdate{Leaving: l.mesh.self().State == member.Leaving}
	wantRelay := l.mesh.wantsRelayFrom(l.peer.ID)
	if wantRelay != l.requestedRelay {
		update.Relay = &wantRelay
		l.requestedRelay = wantRelay
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	relay := l.peerWantsRelay || wantRelay
	update.States = l.newStatesLocked(relay)
	return update
}

func (l *link) newStatesLocked(relay bool) []state {
	if relay && !l.relayedLast {
		// The states that were skipped so far have to be sent. peerStamps
		// excludes those that the peer already has.
		l.sentChange = 0
	}
	l.relayedLast = relay
	fresh, last := l.mesh.states.since(l.sentChange)
	now := time.Now()
	self := l.mesh.self().ID
	var out []state
	for _, stored := range fresh {
		id := stored.state.Origin
		if id == l.peer.ID || (id != self && !relay) {
			continue
		}
		if !l.mesh.isMember(id) {
			continue
		}
		had, ok := l.peerStamps[id]
		if ok && !had.less(stored.state.Stamp) {
			continue
		}
		if len(out) == stateBatch {
			// The next state update sends the rest.
			return out
		}
		st := stored.aged(now)
		if !ok || had.Epoch != stored.state.Stamp.Epoch {
			m := stored.member
			st.Member = &m
		}
		l.peerStamps[id] = stored.state.Stamp
		out = append(out, st)
	}
	l.sentChange = last
	return out
}
