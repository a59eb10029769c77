package member

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// State is the state of a member as observed by this entry. A failed member
// has no state; the Registry no longer returns it.
type State string

// States of a member.
const (
	// Live members accept work.
	Live State = "live"
	// Leaving members finish their work and accept no new work.
	Leaving State = "leaving"
	// Suspect members have missed heartbeats or were reported by a peer. They
	// have not failed yet, but nothing new should depend on them.
	Suspect State = "suspect"
)

// Member is one entry of the deployment.
type Member struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Epoch orders incarnations of one ID. It is the version of the incarnation's
	// first row; 0 before the first heartbeat.
	Epoch uint64 `json:"epoch,omitempty"`
	// Addr is the "ip:port" of the peer listener.
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	State         State  `json:"state"`
}

// Options configure a Registry. All but UpdatePeriod and Log describe this
// entry's own member.
type Options struct {
	ID            string
	Incarnation   string
	Addr          string
	FailureDomain string
	Region        string
	// UpdatePeriod returns the time between two state updates of an entry, by
	// the number of members. If it is set, peers exchange updates often enough
	// to prove that members are alive, and heartbeats only keep the rows from
	// becoming stale. Nil means the package's UpdatePeriod, and that heartbeats
	// count as well.
	UpdatePeriod func(members int) time.Duration
	// TableEpoch is the epoch of the table. It may be nil.
	TableEpoch *infra.Epoch
	Log        *logrus.Entry
}

// Registry holds this entry's own member and the state of all others. It is
// safe for concurrent use, including with Run.
type Registry struct {
	opt   Options
	table infra.Table
	log   *logrus.Entry

	mu   sync.Mutex
	self Member
	// rowVersion is the version of this entry's heartbeat row after its last
	// commit; 0 when it is unknown.
	rowVersion   uint64
	heartbeatSeq uint64
	others       map[string]*record
	replaced     chan struct{}
	isReplaced   bool
	joined       chan struct{}
	scanned      chan struct{}
	settled      chan struct{}
	// rejoined is set if the table held a row of an earlier incarnation of this
	// entry at its start.
	rejoined bool

	// tableFailures is the number of the last calls to the table, scans and
	// heartbeats, that failed in a row.
	tableFailures atomic.Int32
	onTableBack   func()

	// lastScan is the time at which the last successful scan began. Only the
	// goroutine that scans uses it.
	lastScan time.Time
}

// record holds what this entry has recorded of another member.
type record struct {
	member     Member
	rowVersion uint64
	// beat is the last one that was read from a row of the member's incarnation.
	beat uint64
	// lastContact is the estimated time at which the member was last reachable.
	lastContact time.Time
	// suspectedAt is the time at which a peer reported the member as
	// unresponsive; zero if the member is not suspected.
	suspectedAt time.Time
}

// New returns a Registry that holds only this entry's own member until Run is
// called or a member is merged.
func New(table infra.Table, o Options) *Registry {
	return &Registry{
		opt:   o,
		table: table,
		log:   o.Log,
		self: Member{
			ID:            o.ID,
			Incarnation:   o.Incarnation,
			Addr:          o.Addr,
			FailureDomain: o.FailureDomain,
			Region:        o.Region,
			State:         Live,
		},
		others:   make(map[string]*record),
		replaced: make(chan struct{}),
		joined:   make(chan struct{}),
		scanned:  make(chan struct{}),
		settled:  make(chan struct{}),
	}
}

// Self returns the entry's own member.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Joined returns a channel that is closed once the first heartbeat row has
// been written.
func (r *Registry) Joined() <-chan struct{} { return r.joined }

// Scanned returns a channel that is closed once the rows of the other members
// have been read for the first time. Before that, Members returns only this
// entry and the members that peers reported.
func (r *Registry) Scanned() <-chan struct{} { return r.scanned }

// Settled returns a channel that is closed once the members are known that
// started together with this entry. An entry that finds a row of an earlier
// incarnation of its own finds the rows of the others as well. On a first start
// of the deployment, rows are still being written when they are first read, so
// that another scan follows. If that one fails, peers have to make the members
// known.
func (r *Registry) Settled() <-chan struct{} { return r.settled }

// IsScanned reports whether the channel of Scanned is closed.
func (r *Registry) IsScanned() bool {
	select {
	case <-r.scanned:
		return true
	default:
		return false
	}
}

// IsSettled reports whether the channel of Settled is closed.
func (r *Registry) IsSettled() bool {
	select {
	case <-r.settled:
		return true
	default:
		return false
	}
}

// Replaced returns a channel that is closed when another incarnation has taken
// over this entry's ID. The entry must then stop.
func (r *Registry) Replaced() <-chan struct{} { return r.replaced }

// Members returns all members that have not failed, including this one, sorted
// by ID.
func (r *Registry) Members() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	out := make([]Member, 0, len(r.others)+1)
	out = append(out, r.self)
	for _, rec := range r.others {
		state, ok := r.stateLocked(rec, now)
		if !ok {
			continue
		}
		m := rec.member
		m.State = state
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Count returns the number of members on record, including this one and failed
// members that have not been removed yet.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others) + 1
}

// outageFailures is the number of failed calls in a row from which on the table
// was unavailable, and not just one answer lost.
const outageFailures = 2

// OnTableBack registers f, which is called when the table answers again after it
// was unavailable. f must not block. It must be registered before Run.
func (r *Registry) OnTableBack(f func()) { r.onTableBack = f }

// recordCall records the result of a call to the table.
func (r *Registry) recordCall(err error) {
	if err != nil {
		r.tableFailures.Add(1)
		return
	}
	if r.tableFailures.Swap(0) >= outageFailures && r.onTableBack != nil {
		r.onTableBack()
	}
}

// sharingRetention is how long a member that nothing arrives from counts as sharing
// the limits. It may only be cut off, and hands out its part of them.
const sharingRetention = 10 * time.Second

// SharingCount returns the number of members that limits are divided between:
// those that are not leaving and from which something arrived within
// sharingRetention. While the table is unavailable, these are all on record: members
// that this entry doesn't reach may have failed, or may share the limits with each
// other.
func (r *Registry) SharingCount() int {
	if r.tableFailures.Load() > 0 {
		return r.Count()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n, now := 1, time.Now()
	for _, rec := range r.others {
		_, alive := r.stateLocked(rec, now)
		if rec.member.State == Live && (alive || now.Sub(rec.lastContact) <= sharingRetention) {
			n++
		}
	}
	return n
}

// Live returns the IDs of the members in state Live, sorted.
func (r *Registry) Live() []string {
	var ids []string
	for _, m := range r.Members() {
		if m.State == Live {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Alive reports whether the given incarnation of a member is on record and has
// not failed.
func (r *Registry) Alive(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.self.ID {
		return incarnation == r.self.Incarnation && !r.isReplaced
	}
	rec := r.others[id]
	if rec == nil || rec.member.Incarnation != incarnation {
		return false
	}
	_, ok := r.stateLocked(rec, time.Now())
	return ok
}

// Lookup returns the member with the given ID, and false if there is none or
// it has failed.
func (r *Registry) Lookup(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.self.ID {
		return r.self, true
	}
	rec := r.others[id]
	if rec == nil {
		return Member{}, false
	}
	state, ok := r.stateLocked(rec, time.Now())
	m := rec.member
	m.State = state
	return m, ok
}

// stateLocked returns the state of a member, and false when it has failed.
func (r *Registry) stateLocked(rec *record, now time.Time) (State, bool) {
	members := len(r.others) + 1
	sinceContact := now.Sub(rec.lastContact)
	if sinceContact > r.failureTimeout(members) {
		return Suspect, false
	}
	if !rec.suspectedAt.IsZero() {
		return Suspect, now.Sub(rec.suspectedAt) <= refuteWindow
	}
	if sinceContact > r.suspectAfter(members) {
		return Suspect, true
	}
	return rec.member.State, true
}

// RecordContact records that a message arrived from the given incarnation of a
// member.
func (r *Registry) RecordContact(id, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.others[id]
	if rec != nil && rec.member.Incarnation == incarnation {
		now := time.Now()
		rec.recordContact(contact{at: now, notBefore: now})
	}
}

// Merge applies a member's state that a peer sent. The peer's last contact
// with the member was age ago. Merge returns false when a later incarnation of
// the same ID is on record, or when the member is this entry itself.
func (r *Registry) Merge(m Member, age time.Duration) bool {
	now := time.Now()
	return r.merge(m, contact{at: now.Add(-age), notBefore: now})
}

// merge adds a member or updates its record, unless m is an earlier incarnation
// or this entry itself.
func (r *Registry) merge(m Member, c contact) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.ID == r.self.ID {
		return false
	}
	rec := r.others[m.ID]
	if rec == nil {
		r.others[m.ID] = &record{member: m, lastContact: c.at}
		r.log.WithField("member", m.ID).Info("member: joined.")
		return true
	}
	if !r.replacesLocked(m, rec) {
		return false
	}
	if m.Incarnation != rec.member.Incarnation {
		r.log.WithField("member", m.ID).Info("member: new incarnation.")
	} else if rec.member.State == Leaving {
		// An incarnation never returns from Leaving to Live, but an older row
		// may still hold Live.
		m.State = Leaving
	}
	m.Epoch = max(m.Epoch, rec.member.Epoch)
	if m.Incarnation != rec.member.Incarnation {
		rec.lastContact, rec.beat = c.at, 0
		rec.suspectedAt = time.Time{}
	}
	rec.member = m
	rec.recordContact(c)
	return true
}

// replacesLocked reports whether m is the incarnation of rec or a later one.
// A member that has not written its row yet has no epoch; it replaces only an
// incarnation that has failed.
func (r *Registry) replacesLocked(m Member, rec *record) bool {
	if m.Incarnation == rec.member.Incarnation {
		return true
	}
	if m.Epoch == 0 {
		_, alive := r.stateLocked(rec, time.Now())
		return !alive
	}
	return m.Epoch > rec.member.Epoch
}

// Suspect records that a peer can't reach the given incarnation of a member.
// Unless a later contact refutes the suspicion within refuteWindow, the member
// has failed.
func (r *Registry) Suspect(id, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.others[id]
	if rec == nil || rec.member.Incarnation != incarnation || !rec.suspectedAt.IsZero() {
		return
	}
	rec.suspectedAt = time.Now()
	r.log.WithField("member", id).Info("member: suspected.")
}

// contact is evidence that a member was reachable at some time.
type contact struct {
	// at is the estimated time of the contact.
	at time.Time
	// notBefore is the earliest time at which the contact can have happened.
	// A contact refutes a suspicion only if notBefore is not earlier than the
	// suspicion.
	notBefore time.Time
}

// recordContact updates the time of the last contact and clears a suspicion
// that the contact refutes. The caller holds the registry's lock.
func (rec *record) recordContact(c contact) {
	if c.at.Before(rec.lastContact) {
		return
	}
	rec.lastContact = c.at
	if !c.notBefore.Before(rec.suspectedAt) {
		rec.suspectedAt = time.Time{}
	}
}
