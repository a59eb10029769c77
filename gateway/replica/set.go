package replica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Registration is the registry's row of one replica.
type Registration struct {
	ID      string
	Service string
	// Addr is "ip:port". Another replica may get the same address later.
	Addr          string
	FailureDomain string
	// Slots is how many requests the replica runs at once.
	Slots int
	// Incarnation distinguishes runs of one ID; 0 if the row doesn't state it.
	Incarnation int64
	// Draining replicas finish the requests they have and get no new ones.
	Draining bool
	// ColdRemaining is for how much longer the replica is slow after its start.
	ColdRemaining time.Duration
	// Reclaimable replicas cost less, and the cloud may reclaim them.
	Reclaimable bool
	// Remaining is the time until the replica is reclaimed or stops; 0 if the row
	// doesn't state it.
	Remaining time.Duration
}

// Replica is one incarnation of a replica. Its fields don't change.
type Replica struct {
	Registration
	// Seen is when this process first saw the incarnation.
	Seen time.Time
}

// Snapshot holds the replicas at one moment. It must not be changed.
type Snapshot struct {
	// Ready holds the replicas that accept new work by service, sorted by ID.
	Ready map[string][]*Replica
	// All holds all registered replicas by ID, draining ones included.
	All map[string]*Replica
}

// Set holds the current replicas. It is safe for concurrent use.
type Set struct {
	log      *logrus.Entry
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// rows holds the registered replicas by ID.
	rows map[string]*Replica
	// draining holds the incarnations known to be draining, and when that was
	// last recorded.
	draining map[incarnationKey]time.Time
	// recoveredAt is when the registry answered again after it was unavailable.
	recoveredAt time.Time
	// missingSince is when replicas were first found to be missing after the
	// registry recovered, by ID.
	missingSince map[string]time.Time
	onDrain      []func(r *Replica)
}

type incarnationKey struct {
	id          string
	incarnation int64
}

// missingGrace is how long a replica that is missing after the registry was
// unavailable is still used. Its row may have expired in the meantime; a live
// replica writes it again within two seconds.
const missingGrace = 2 * time.Second

// drainingRetention is how long the record that an incarnation is draining
// outlives its row, so that a late row of the same incarnation doesn't make the
// replica ready again.
const drainingRetention = time.Minute

// NewSet returns an empty Set.
func NewSet(log *logrus.Entry) *Set {
	s := &Set{log: log, rows: make(map[string]*Replica), draining: make(map[incarnationKey]time.Time), missingSince: make(map[string]time.Time)}
	s.snapshot.Store(&Snapshot{})
	return s
}

// Current returns the latest snapshot.
func (s *Set) Current() *Snapshot { return s.snapshot.Load() }

// OnDrain registers f, which is called for each incarnation whose row is the
// first to report that it is draining; not if MarkLeaving reported it before.
// f must not block. Register it before the first change of the set.
func (s *Set) OnDrain(f func(r *Replica)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDrain = append(s.onDrain, f)
}

// Replace sets all rows of the registry as of one moment.
func (s *Set) Replace(rows []Registration) {
	s.mu.Lock()
	newlyDraining := []*Replica{}
	present := make(map[string]bool, len(rows))
	for _, e := range rows {
		present[e.ID] = true
		newlyDraining = s.putLocked(e, newlyDraining)
	}
	for id := range s.rows {
		if !present[id] {
			s.removeLocked(id)
		}
	}
	s.publishLocked()
	s.mu.Unlock()
	s.notifyDrain(newlyDraining)
}

// Put adds or updates one row.
func (s *Set) Put(e Registration) {
	s.mu.Lock()
	newlyDraining := s.putLocked(e, nil)
	s.publishLocked()
	s.mu.Unlock()
	s.notifyDrain(newlyDraining)
}

// Remove removes a replica whose row was deleted from the registry.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
	s.publishLocked()
}

// RegistryRecovered records that the registry answers again after it was
// unavailable.
func (s *Set) RegistryRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = time.Now()
}

// MarkLeaving records that an incarnation is draining. The source is logged.
func (s *Set) MarkLeaving(id string, incarnation int64, source string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := incarnationKey{id, incarnation}
	if _, known := s.draining[k]; known {
		return
	}
	s.draining[k] = time.Now()
	s.log.WithFields(logrus.Fields{"replica": id, "source": source}).Info("replica: leaves.")
	s.publishLocked()
}

func (s *Set) putLocked(e Registration, newlyDraining []*Replica) []*Replica {
	old := s.rows[e.ID]
	r := &Replica{Registration: e, Seen: time.Now()}
	if old != nil && old.Incarnation == e.Incarnation && old.Addr == e.Addr {
		r.Seen = old.Seen
	}
	s.rows[e.ID] = r
	delete(s.missingSince, e.ID)
	fields := logrus.Fields{"replica": e.ID, "service": e.Service, "address": e.Addr, "domain": e.FailureDomain, "born": e.Incarnation, "reclaimable": e.Reclaimable}
	if e.Draining {
		if s.markDrainingLocked(r) {
			s.log.WithFields(fields).WithField("remaining_ms", e.Remaining.Milliseconds()).Info("replica: draining.")
			newlyDraining = append(newlyDraining, r)
		}
		return newlyDraining
	}
	if old == nil || old.Incarnation != e.Incarnation || old.Addr != e.Addr {
		s.log.WithFields(fields).Info("replica: added.")
	}
	return newlyDraining
}

// markDrainingLocked records that an incarnation is draining, and reports
// whether it was not yet known to be.
func (s *Set) markDrainingLocked(r *Replica) bool {
	k := incarnationKey{r.ID, r.Incarnation}
	_, known := s.draining[k]
	s.draining[k] = time.Now()
	return !known
}

// removeLocked removes a replica. Within missingGrace after a recovery of the
// registry it only schedules the removal, because the row may just have
// expired.
func (s *Set) removeLocked(id string) {
	r := s.rows[id]
	if r == nil {
		return
	}
	if wait := missingGrace - time.Since(s.recoveredAt); wait > 0 && !r.Draining {
		if s.missingSince[id].IsZero() {
			s.missingSince[id] = time.Now()
			time.AfterFunc(wait, func() { s.endMissingGrace(id) })
		}
		return
	}
	delete(s.rows, id)
	delete(s.missingSince, id)
	s.log.WithFields(logrus.Fields{"replica": id, "service": r.Service}).Info("replica: gone from the registry.")
}

// endMissingGrace removes a replica that is still missing after missingGrace.
func (s *Set) endMissingGrace(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingSince[id].IsZero() {
		return
	}
	delete(s.missingSince, id)
	s.recoveredAt = time.Time{}
	s.removeLocked(id)
	s.publishLocked()
}

func (s *Set) publishLocked() {
	now := time.Now()
	for k, at := range s.draining {
		if s.rows[k.id] == nil && now.Sub(at) > drainingRetention {
			delete(s.draining, k)
		}
	}
	next := &Snapshot{Ready: make(map[string][]*Replica), All: make(map[string]*Replica, len(s.rows))}
	for id, r := range s.rows {
		next.All[id] = r
		if _, draining := s.draining[incarnationKey{id, r.Incarnation}]; !draining {
			next.Ready[r.Service] = append(next.Ready[r.Service], r)
		}
	}
	for _, list := range next.Ready {
		slices.SortFunc(list, func(x, y *Replica) int { return cmp.Compare(x.ID, y.ID) })
	}
	s.snapshot.Store(next)
}

func (s *Set) notifyDrain(newlyDraining []*Replica) {
	for _, r := range newlyDraining {
		for _, f := range s.onDrain {
			f(r)
		}
	}
}
