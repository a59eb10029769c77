package replica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Registration is what the registry says of one replica.
type Registration struct {
	ID      string
	Service string
	// Addr is "ip:port". It may be given to another replica later.
	Addr          string
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Incarnation tells incarnations of one ID apart; 0 where it is not stated.
	Incarnation int64
	// Draining replicas finish what they have.
	Draining bool
	// Cold is how much longer it is slow after its start.
	Cold time.Duration
	// Reclaimable replicas cost less and may be taken away.
	Reclaimable bool
	// Leaves is the time until it is gone; 0 where it is not stated.
	Leaves time.Duration
}

// Replica is one incarnation of a replica. Its fields don't change.
type Replica struct {
	Registration
	// Seen is when this process first knew of it.
	Seen time.Time
}

// Snapshot holds the replicas at one moment. It must not be changed.
type Snapshot struct {
	// Ready are the replicas that take new work, by service, in order of ID.
	Ready map[string][]*Replica
	// All are all replicas in the registry by ID, draining ones included.
	All map[string]*Replica
}

// Set keeps the replicas. It is safe for concurrent use.
type Set struct {
	log      *logrus.Entry
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// rows are the replicas of the registry by ID.
	rows map[string]*Replica
	// leaving are the incarnations known to leave.
	leaving map[key]time.Time
	// back is when the registry answered again after it was away.
	back time.Time
	// lapsed are replicas missing since, with when that was noticed.
	lapsed  map[string]time.Time
	onDrain []func(r *Replica)
}

type key struct {
	id   string
	born int64
}

// lapseGrace is how long a replica that is missing after the registry was
// away is still used: its entry may have lapsed meanwhile, and it is written
// again within two seconds if the replica lives.
const lapseGrace = 2 * time.Second

// leavingKept is how long a notice outlives the replica's row, against a late
// row of the same incarnation.
const leavingKept = time.Minute

// NewSet returns an empty Set.
func NewSet(log *logrus.Entry) *Set {
	s := &Set{log: log, rows: make(map[string]*Replica), leaving: make(map[key]time.Time), lapsed: make(map[string]time.Time)}
	s.snapshot.Store(&Snapshot{})
	return s
}

// Current returns the replicas as they are known now.
func (s *Set) Current() *Snapshot { return s.snapshot.Load() }

// OnDrain registers f for each incarnation that reports that it leaves. f must not
// block. Register before the first change.
func (s *Set) OnDrain(f func(r *Replica)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDrain = append(s.onDrain, f)
}

// Replace takes in all entries of the registry as of one moment.
func (s *Set) Replace(entries []Registration) {
	s.mu.Lock()
	drained := []*Replica{}
	present := make(map[string]bool, len(entries))
	for _, e := range entries {
		present[e.ID] = true
		drained = s.putLocked(e, drained)
	}
	for id := range s.rows {
		if !present[id] {
			s.removeLocked(id)
		}
	}
	s.publishLocked()
	s.mu.Unlock()
	s.tell(drained)
}

// Put takes in one entry.
func (s *Set) Put(e Registration) {
	s.mu.Lock()
	drained := s.putLocked(e, nil)
	s.publishLocked()
	s.mu.Unlock()
	s.tell(drained)
}

// Remove takes in that the registry has a replica no more.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
	s.publishLocked()
}

// RegistryBack records that the registry answers again after it was away.
func (s *Set) RegistryBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back = time.Now()
}

// MarkLeaving records that an incarnation leaves, from whatever source.
func (s *Set) MarkLeaving(id string, born int64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{id, born}
	if _, known := s.leaving[k]; known {
		return
	}
	s.leaving[k] = time.Now()
	s.log.WithFields(logrus.Fields{"replica": id, "source": source}).Info("replica: leaves.")
	s.publishLocked()
}

func (s *Set) putLocked(e Registration, drained []*Replica) []*Replica {
	old := s.rows[e.ID]
	r := &Replica{Registration: e, Seen: time.Now()}
	if old != nil && old.Incarnation == e.Incarnation && old.Addr == e.Addr {
		r.Seen = old.Seen
	}
	s.rows[e.ID] = r
	delete(s.lapsed, e.ID)
	fields := logrus.Fields{"replica": e.ID, "service": e.Service, "address": e.Addr, "domain": e.FailureDomain, "born": e.Incarnation, "reclaimable": e.Reclaimable}
	if e.Draining {
		if s.leaveLocked(r) {
			s.log.WithFields(fields).WithField("remaining_ms", e.Leaves.Milliseconds()).Info("replica: draining.")
			drained = append(drained, r)
		}
		return drained
	}
	if old == nil || old.Incarnation != e.Incarnation || old.Addr != e.Addr {
		s.log.WithFields(fields).Info("replica: added.")
	}
	return drained
}

// leaveLocked notes that an incarnation leaves, and says whether that is new.
func (s *Set) leaveLocked(r *Replica) bool {
	k := key{r.ID, r.Incarnation}
	_, known := s.leaving[k]
	s.leaving[k] = time.Now()
	return !known
}

// removeLocked takes a replica out, later where its entry may only have
// lapsed.
func (s *Set) removeLocked(id string) {
	r := s.rows[id]
	if r == nil {
		return
	}
	if wait := lapseGrace - time.Since(s.back); wait > 0 && !r.Draining {
		if s.lapsed[id].IsZero() {
			s.lapsed[id] = time.Now()
			time.AfterFunc(wait, func() { s.endLapse(id) })
		}
		return
	}
	delete(s.rows, id)
	delete(s.lapsed, id)
	s.log.WithFields(logrus.Fields{"replica": id, "service": r.Service}).Info("replica: gone from the registry.")
}

// endLapse takes a replica out that is still missing after the grace.
func (s *Set) endLapse(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lapsed[id].IsZero() {
		return
	}
	delete(s.lapsed, id)
	s.back = time.Time{}
	s.removeLocked(id)
	s.publishLocked()
}

func (s *Set) publishLocked() {
	now := time.Now()
	for k, at := range s.leaving {
		if s.rows[k.id] == nil && now.Sub(at) > leavingKept {
			delete(s.leaving, k)
		}
	}
	next := &Snapshot{Ready: make(map[string][]*Replica), All: make(map[string]*Replica, len(s.rows))}
	for id, r := range s.rows {
		next.All[id] = r
		if _, leaves := s.leaving[key{id, r.Incarnation}]; !leaves {
			next.Ready[r.Service] = append(next.Ready[r.Service], r)
		}
	}
	for _, list := range next.Ready {
		slices.SortFunc(list, func(x, y *Replica) int { return cmp.Compare(x.ID, y.ID) })
	}
	s.snapshot.Store(next)
}

func (s *Set) tell(drained []*Replica) {
	for _, r := range drained {
		for _, f := range s.onDrain {
			f(r)
		}
	}
}
