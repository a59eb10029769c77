package peer

import (
	"context"
	"maps"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// urgentPause is the shortest time between two messages about urgent changes
// on a connection.
const urgentPause = 50 * time.Millisecond

// send writes what the peer has not got yet until the connection ends:
// notices and template versions at once, states with the digest.
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
			// The first of many changes went at once. The rest goes together,
			// or each of them would be a message on every connection.
			if !ctxtime.Sleep(ctx, urgentPause) {
				return ctx.Err()
			}
			continue
		case <-timer.C:
			timer.Reset(member.Jitter(l.mesh.digestPeriod()))
		}
		if err := l.sendUrgent(ctx); err != nil {
			return err
		}
		if err := l.conn.Notify(ctx, methodDigest, l.nextDigest()); err != nil {
			return err
		}
	}
}

// sendUrgent sends new notices and template versions.
func (l *link) sendUrgent(ctx context.Context) error {
	for {
		batch, position := l.mesh.o.Notices.Since(l.noticePosition, noticeBatch)
		if position == l.noticePosition {
			break
		}
		l.noticePosition = position
		var out notices
		l.mu.Lock()
		for _, n := range batch {
			if l.got[n.Key()] {
				delete(l.got, n.Key())
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

// nextDigest returns the digest with the states that the peer has not got.
// This entry's own state goes to all neighbours, those of third members to
// the ones that asked for them or were asked.
func (l *link) nextDigest() digest {
	d := digest{Leaving: l.mesh.self().State == member.Leaving}
	wanted := l.mesh.relaysWith(l.peer.ID)
	if wanted != l.askedRelay {
		d.Relay = &wanted
		l.askedRelay = wanted
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	relay := l.relay || wanted
	d.States = l.newStatesLocked(relay)
	return d
}

func (l *link) newStatesLocked(relay bool) []state {
	if relay && !l.relayed {
		// What was passed over until now is due; has keeps the rest back.
		l.stateChange = 0
	}
	l.relayed = relay
	fresh, last := l.mesh.states.since(l.stateChange)
	now := time.Now()
	self := l.mesh.self().ID
	var out []state
	for _, k := range fresh {
		id := k.state.Origin
		if id == l.peer.ID || (id != self && !relay) {
			continue
		}
		if !l.mesh.isKnown(id) {
			continue
		}
		had, ok := l.has[id]
		if ok && !had.less(k.state.Stamp) {
			continue
		}
		if len(out) == stateBatch {
			// The rest goes with the next digest.
			return out
		}
		st := k.aged(now)
		if !ok || had.Epoch != k.state.Stamp.Epoch {
			m := k.member
			st.Member = &m
		}
		l.has[id] = k.state.Stamp
		out = append(out, st)
	}
	l.stateChange = last
	return out
}
