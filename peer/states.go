package peer

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// states holds the last published state of each member. It is safe for
// concurrent use.
type states struct {
	mu      sync.Mutex
	byID    map[string]*known
	changes uint64
}

// known is a state with when it arrived.
type known struct {
	state  state
	member member.Member
	// change orders the states by arrival at this entry.
	change uint64
	got    time.Time
}

func newStates() *states { return &states{byID: make(map[string]*known)} }

// put takes in a state and returns whether it is newer than what was known.
// A state without a member record needs one known already.
func (s *states) put(st state) (member.Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[st.Origin]
	if old != nil && !old.state.Stamp.less(st.Stamp) {
		return member.Member{}, false
	}
	var m member.Member
	switch {
	case st.Member != nil:
		m = *st.Member
	case old != nil && old.state.Stamp.Epoch == st.Stamp.Epoch:
		m = old.member
	default:
		return member.Member{}, false
	}
	m.State = member.Live
	if st.Leaving {
		m.State = member.Leaving
	}
	st.Member = nil
	s.changes++
	s.byID[st.Origin] = &known{state: st, member: m, change: s.changes, got: time.Now()}
	return m, true
}

// stamp returns the stamp of what is known of a member.
func (s *states) stamp(id string) (stamp, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.byID[id]
	if k == nil {
		return stamp{}, false
	}
	return k.state.Stamp, true
}

// have returns the stamps of all states.
func (s *states) have() map[string]stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]stamp, len(s.byID))
	for id, k := range s.byID {
		out[id] = k.state.Stamp
	}
	return out
}

// since returns the states that changed after a change number, and the
// number of the last change.
func (s *states) since(change uint64) ([]*known, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change == s.changes {
		return nil, change
	}
	var out []*known
	for _, k := range s.byID {
		if k.change > change {
			out = append(out, k)
		}
	}
	return out, s.changes
}

// prune forgets the states of members that are gone for long. Until then a
// copy that is still on its way must not look new.
func (s *states) prune(alive func(id string) bool, keep time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, k := range s.byID {
		if time.Since(k.got) > keep && !alive(id) {
			delete(s.byID, id)
		}
	}
}

// aged returns a copy of the state for sending, with its age as of now.
func (k *known) aged(now time.Time) state {
	st := k.state
	st.AgeSeconds += int(math.Round(now.Sub(k.got).Seconds()))
	return st
}
