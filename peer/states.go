package peer

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// states holds the latest state of each member. It is safe for concurrent use.
type states struct {
	mu      sync.Mutex
	byID    map[string]*storedState
	changes uint64
}

// storedState is the latest state of a member.
type storedState struct {
	state  state
	member member.Member
	// change numbers the states in the order of arrival at this entry.
	change uint64
	// receivedAt is the time of arrival at this entry.
	receivedAt time.Time
}

func newStates() *states { return &states{byID: make(map[string]*storedState)} }

// put stores a state if it is newer than the stored one, and returns its member
// and whether it was stored. A state without a member record is stored only if
// the record of its epoch is already stored.
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
	s.byID[st.Origin] = &storedState{state: st, member: m, change: s.changes, receivedAt: time.Now()}
	return m, true
}

// stamp returns the stamp of the stored state of a member, if there is one.
func (s *states) stamp(id string) (stamp, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stored := s.byID[id]
	if stored == nil {
		return stamp{}, false
	}
	return stored.state.Stamp, true
}

// stamps returns the stamps of all stored states by member ID.
func (s *states) stamps() map[string]stamp {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]stamp, len(s.byID))
	for id, stored := range s.byID {
		out[id] = stored.state.Stamp
	}
	return out
}

// since returns the states stored after a change number, and the number of the
// latest change.
func (s *states) since(change uint64) ([]*storedState, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change == s.changes {
		return nil, change
	}
	var out []*storedState
	for _, stored := range s.byID {
		if stored.change > change {
			out = append(out, stored)
		}
	}
	return out, s.changes
}

// prune removes the states of failed members that are older than retention.
// They are retained until then so that a delayed copy that is still being
// relayed is not taken for a new state.
func (s *states) prune(alive func(id string) bool, retention time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, stored := range s.byID {
		if time.Since(stored.receivedAt) > retention && !alive(id) {
			delete(s.byID, id)
		}
	}
}

// aged returns a copy of the state to send, with its current age.
func (s *storedState) aged(now time.Time) state {
	st := s.state
	st.AgeSeconds += int(math.Round(now.Sub(s.receivedAt).Seconds()))
	return st
}
