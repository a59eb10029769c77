package member

import (
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// State is the state of a member as this entry sees it.
type State string

// States of a member.
const (
	// Live members take work.
	Live State = "live"
	// Leaving members finish what they have and take no new work.
	Leaving State = "leaving"
	// Suspect members have shown no sign of life for a while. They still
	// count as alive, but nothing new should depend on them.
	Suspect State = "suspect"
)

// Member is one entry of the deployment.
type Member struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	// Epoch orders incarnations of one ID; 0 before the first heartbeat.
	Epoch uint64 `json:"epoch,omitempty"`
	// Addr is the "ip:port" of the peer listener.
	Addr          string `json:"addr"`
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region,omitempty"`
	State         State  `json:"state"`
}

// Options set up a Registry.
type Options struct {
	ID            string
	Incarnation   string
	Addr          string
	FailureDomain string
	Region        string
	Log           *logrus.Entry
}

// Registry knows the members. It is safe for concurrent use.
type Registry struct {
	table infra.Table
	log   *logrus.Entry

	mu      sync.Mutex
	self    Member
	rowSeen uint64
	beat    uint64
	others  map[string]*record
	lost    chan struct{}
	isLost  bool
	joined  chan struct{}
	scanned chan struct{}

	// lastScan is when the last scan began; it belongs to the scanning
	// goroutine.
	lastScan time.Time
}

// record is what this entry knows of another member.
type record struct {
	member     Member
	rowVersion uint64
	// lastSign is when the last sign of life was seen.
	lastSign time.Time
	// suspectedAt is when a peer reported the member silent; zero for never.
	suspectedAt time.Time
}

// New returns a Registry that knows only its own member until Run.
func New(table infra.Table, o Options) *Registry {
	return &Registry{
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
		others:  make(map[string]*record),
		lost:    make(chan struct{}),
		joined:  make(chan struct{}),
		scanned: make(chan struct{}),
	}
}

// Self returns the entry's own member.
func (r *Registry) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Joined is closed after the first heartbeat row was written.
func (r *Registry) Joined() <-chan struct{} { return r.joined }

// Scanned is closed after the rows of the other members were read for the first
// time. Before that Members knows those that were heard only.
func (r *Registry) Scanned() <-chan struct{} { return r.scanned }

// Lost is closed when another incarnation has taken over this entry's ID.
// The entry must then stop.
func (r *Registry) Lost() <-chan struct{} { return r.lost }

// Members returns all members that are not gone, this one included, by ID.
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

// Count returns the number of members that are known, this one included.
func (r *Registry) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.others) + 1
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

// Alive reports whether the incarnation of a member is not known to be gone.
func (r *Registry) Alive(id, incarnation string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id == r.self.ID {
		return incarnation == r.self.Incarnation && !r.isLost
	}
	rec := r.others[id]
	if rec == nil || rec.member.Incarnation != incarnation {
		return false
	}
	_, ok := r.stateLocked(rec, time.Now())
	return ok
}

// Lookup returns a member that is not gone.
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

// stateLocked returns the state of a record, and false when it is gone.
func (r *Registry) stateLocked(rec *record, now time.Time) (State, bool) {
	members := len(r.others) + 1
	silent := now.Sub(rec.lastSign)
	if silent > FailureTimeout(members) {
		return Suspect, false
	}
	if !rec.suspectedAt.IsZero() {
		return Suspect, now.Sub(rec.suspectedAt) <= refuteWindow
	}
	if silent > suspectAfter(members) {
		return Suspect, true
	}
	return rec.member.State, true
}

// Heard records a message of a member itself as a sign of life.
func (r *Registry) Heard(id, incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.others[id]
	if rec != nil && rec.member.Incarnation == incarnation {
		now := time.Now()
		rec.note(sign{at: now, surelyAfter: now})
	}
}

// Merge takes in a member from a peer as a sign of life of the given age. It
// returns false when a later incarnation of the same ID is known, or when the
// member is this one.
func (r *Registry) Merge(m Member, age time.Duration) bool {
	now := time.Now()
	return r.learn(m, sign{at: now.Add(-age), surelyAfter: now})
}

func (r *Registry) learn(m Member, s sign) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.ID == r.self.ID {
		return false
	}
	rec := r.others[m.ID]
	if rec == nil {
		r.others[m.ID] = &record{member: m, lastSign: s.at}
		r.log.WithField("member", m.ID).Info("member: joined.")
		return true
	}
	if !r.replacesLocked(m, rec) {
		return false
	}
	if m.Incarnation != rec.member.Incarnation {
		r.log.WithField("member", m.ID).Info("member: new incarnation.")
	} else if rec.member.State == Leaving {
		// An incarnation that leaves never comes back; an older row may
		// still say that it is live.
		m.State = Leaving
	}
	m.Epoch = max(m.Epoch, rec.member.Epoch)
	if m.Incarnation != rec.member.Incarnation {
		rec.lastSign = s.at
		rec.suspectedAt = time.Time{}
	}
	rec.member = m
	rec.note(s)
	return true
}

// replacesLocked reports whether m is the incarnation of rec or a later one.
// A member that could not write its row yet has no epoch; it replaces only an
// incarnation that is gone.
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

// Suspect records that a peer of the member has lost it. Unless a sign of
// life follows, the member is gone soon.
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

// sign is a sign of life.
type sign struct {
	// at is when the member showed it, to the best of what is known.
	at time.Time
	// surelyAfter is a time before which it was certainly not shown. Only a
	// sign that is surely later than a suspicion refutes it.
	surelyAfter time.Time
}

// note takes in a sign of life. The caller holds the registry's lock.
func (rec *record) note(s sign) {
	if s.at.Before(rec.lastSign) {
		return
	}
	rec.lastSign = s.at
	if !s.surelyAfter.Before(rec.suspectedAt) {
		rec.suspectedAt = time.Time{}
	}
}
