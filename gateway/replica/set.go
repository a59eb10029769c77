package replica

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"
)

// Registration is the registry's row of one replica.
type Registration struct {
	ID      string
	Service string
	// Version is the version of the software that the replica runs; empty if the
	// row doesn't state it.
	Version string
	// Addr is "ip:port". Another replica may get the same address later.
	Addr          string
	FailureDomain string
	// Slots is the number of requests that the replica runs at once.
	Slots int
	// Incarnation distinguishes runs of one ID; 0 if the row doesn't state it.
	Incarnation int64
	// Draining is set if the replica only finishes the requests that it has.
	Draining bool
	// ColdRemaining is the time for which the replica is still slow after its
	// start.
	ColdRemaining time.Duration
	// Reclaimable is set for replicas that cost less and that the cloud may
	// reclaim.
	Reclaimable bool
	// Remaining is the time until the replica is reclaimed or stops; 0 if the
	// row doesn't state it.
	Remaining time.Duration
}

// Replica is one incarnation of a replica. Its fields don't change.
type Replica struct {
	Registration
	// Seen is the time at which this process first received a row of the
	// incarnation.
	Seen time.Time
}

// Snapshot holds the replicas at one point in time. It must not be changed.
type Snapshot struct {
	// Ready holds the replicas that accept new work by service, sorted by ID.
	Ready map[string][]*Replica
	// All holds all registered replicas by ID, draining ones included.
	All map[string]*Replica
}

// Set holds the current replicas. It is safe for concurrent use.
type Set struct {
	log *logrus.Entry
	// snapshot is nil after a change until the next reader needs it. When thousands
	// of replicas start, rows arrive hundreds at a time, and a snapshot for each of
	// them would take time that grows with the square of their number.
	snapshot atomic.Pointer[Snapshot]

	mu sync.Mutex
	// registered holds the replicas whose rows are in the registry, by ID, and
	// those within missingGrace.
	registered map[string]*Replica
	// leaving holds the time at which this entry learnt that an incarnation is
	// leaving.
	leaving *lru.Cache[incarnationKey, time.Time]
	// lastLeaving holds the last incarnation in leaving, by ID.
	lastLeaving *lru.Cache[string, int64]
	// recoveredAt is the time at which the registry last recovered after it was
	// unavailable.
	recoveredAt time.Time
	// missingSince holds, by ID, when a replica was first found to be missing
	// after the registry recovered.
	missingSince map[string]time.Time
	onDrain      []func(r *Replica, from Source)
}

// incarnationKey identifies one incarnation of a replica.
type incarnationKey struct {
	id          string
	incarnation int64
}

// Source is where an entry learnt that a replica is leaving.
type Source string

// Sources of a leaving.
const (
	SourceRegistry Source = "registry"
	SourceAnswer   Source = "answer"
	SourcePeer     Source = "peer"
)

// missingGrace is the time after a recovery of the registry in which a replica
// without a row is still used. The row may have expired while the registry was
// unavailable, and a live replica writes it again within two seconds.
const missingGrace = 2 * time.Second

// maxLeaving is the number of leaving incarnations that are remembered. An
// incarnation that has said that it is leaving never accepts new work again, so
// they aren't forgotten after a time.
const maxLeaving = 1 << 14

// NewSet returns an empty Set.
func NewSet(log *logrus.Entry) *Set {
	leaving, err := lru.New[incarnationKey, time.Time](maxLeaving)
	if err != nil {
		panic(err) // only for a size below 1
	}
	lastLeaving, err := lru.New[string, int64](maxLeaving)
	if err != nil {
		panic(err) // only for a size below 1
	}
	s := &Set{log: log, registered: make(map[string]*Replica), leaving: leaving, lastLeaving: lastLeaving, missingSince: make(map[string]time.Time)}
	return s
}

// Current returns the latest snapshot.
func (s *Set) Current() *Snapshot {
	if current := s.snapshot.Load(); current != nil {
		return current
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.snapshot.Load()
	if current == nil {
		current = s.newSnapshotLocked()
		s.snapshot.Store(current)
	}
	return current
}

// OnDrain registers f, which is called once for each incarnation that this entry
// learns to be leaving from a row or an answer. f must not block. All calls of
// OnDrain must precede the first change of the set.
func (s *Set) OnDrain(f func(r *Replica, from Source)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onDrain = append(s.onDrain, f)
}

// Replace sets all rows of the registry as of one point in time.
func (s *Set) Replace(rows []Registration) {
	s.mu.Lock()
	newlyDraining := []*Replica{}
	present := make(map[string]bool, len(rows))
	for _, reg := range rows {
		present[reg.ID] = true
		newlyDraining = s.putLocked(reg, newlyDraining)
	}
	for id := range s.registered {
		if !present[id] {
			s.removeLocked(id)
		}
	}
	s.snapshot.Store(nil)
	s.mu.Unlock()
	s.notifyDrain(newlyDraining, SourceRegistry)
}

// Put adds or updates one row.
func (s *Set) Put(reg Registration) {
	s.mu.Lock()
	newlyDraining := s.putLocked(reg, nil)
	s.snapshot.Store(nil)
	s.mu.Unlock()
	s.notifyDrain(newlyDraining, SourceRegistry)
}

// Remove removes a replica whose row was deleted from the registry.
func (s *Set) Remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(id)
	s.snapshot.Store(nil)
}

// RegistryRecovered records that the registry answers again after it was
// unavailable.
func (s *Set) RegistryRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recoveredAt = time.Now()
}

// MarkLeaving records that an incarnation is leaving. The source of that report
// is logged.
func (s *Set) MarkLeaving(id string, incarnation int64, source Source) {
	s.mu.Lock()
	if !s.markLeavingLocked(incarnationKey{id, incarnation}) {
		s.mu.Unlock()
		return
	}
	s.log.WithFields(logrus.Fields{"replica": id, "born": incarnation, "source": source}).Info("replica: leaves.")
	s.snapshot.Store(nil)
	var newlyDraining []*Replica
	if r := s.registered[id]; r != nil && r.Incarnation == incarnation && source != SourcePeer {
		newlyDraining = append(newlyDraining, r)
	}
	s.mu.Unlock()
	s.notifyDrain(newlyDraining, source)
}

// IsLeaving reports whether an incarnation is draining or gone.
func (s *Set) IsLeaving(r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Contains(incarnationKey{r.ID, r.Incarnation}) || s.registered[r.ID] == nil
}

// SaidLeaving reports whether an incarnation has said that it was leaving.
func (s *Set) SaidLeaving(r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving.Contains(incarnationKey{r.ID, r.Incarnation})
}

// IsReplaced reports whether the registry lists another incarnation in place of one
// that never said that it was leaving.
func (s *Set) IsReplaced(r *Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.registered[r.ID]
	return !s.leaving.Contains(incarnationKey{r.ID, r.Incarnation}) && current != nil && current.Incarnation != r.Incarnation
}

// LeavingSince returns the time at which this entry learnt of the first of a
// service's registered replicas that are leaving, or the zero time.
func (s *Set) LeavingSince(service string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for id, r := range s.registered {
		at, leaving := s.leaving.Peek(incarnationKey{id, r.Incarnation})
		if r.Service == service && leaving && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

func (s *Set) putLocked(reg Registration, newlyDraining []*Replica) []*Replica {
	old := s.registered[reg.ID]
	if reg.Incarnation == 0 {
		reg.Incarnation = s.knownIncarnationLocked(reg.ID)
	}
	if old != nil && reg.Incarnation < old.Incarnation && time.Since(s.recoveredAt) < missingGrace {
		// A restored registry may hold the row of an earlier incarnation.
		delete(s.missingSince, reg.ID)
		return newlyDraining
	}
	r := &Replica{Registration: reg, Seen: time.Now()}
	if old != nil && old.Incarnation == reg.Incarnation && old.Addr == reg.Addr {
		r.Seen = old.Seen
	}
	s.registered[reg.ID] = r
	delete(s.missingSince, reg.ID)
	fields := logrus.Fields{"replica": reg.ID, "service": reg.Service, "address": reg.Addr, "domain": reg.FailureDomain, "born": reg.Incarnation, "reclaimable": reg.Reclaimable}
	if reg.Draining {
		if s.markLeavingLocked(incarnationKey{r.ID, r.Incarnation}) {
			s.log.WithFields(fields).WithField("remaining_ms", reg.Remaining.Milliseconds()).Info("replica: draining.")
			newlyDraining = append(newlyDraining, r)
		}
		return newlyDraining
	}
	if old == nil || old.Incarnation != reg.Incarnation || old.Addr != reg.Addr {
		s.log.WithFields(fields).Info("replica: added.")
	}
	return newlyDraining
}

// knownIncarnationLocked returns the incarnation of a replica whose row doesn't
// state one: that of its last row, or else the last one that was leaving.
func (s *Set) knownIncarnationLocked(id string) int64 {
	if r := s.registered[id]; r != nil {
		return r.Incarnation
	}
	incarnation, _ := s.lastLeaving.Peek(id)
	return incarnation
}

// markLeavingLocked records that an incarnation is leaving, and reports whether
// this was not recorded before.
func (s *Set) markLeavingLocked(k incarnationKey) bool {
	if _, marked := s.leaving.Get(k); marked {
		return false
	}
	s.leaving.Add(k, time.Now())
	s.lastLeaving.Add(k.id, k.incarnation)
	return true
}

// removeLocked removes a replica. Within missingGrace after a recovery of the
// registry it only schedules the removal, because the row may just have
// expired.
func (s *Set) removeLocked(id string) {
	r := s.registered[id]
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
	delete(s.registered, id)
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
	s.snapshot.Store(nil)
}

func (s *Set) newSnapshotLocked() *Snapshot {
	next := &Snapshot{Ready: make(map[string][]*Replica), All: make(map[string]*Replica, len(s.registered))}
	for id, r := range s.registered {
		next.All[id] = r
		if !s.leaving.Contains(incarnationKey{id, r.Incarnation}) {
			next.Ready[r.Service] = append(next.Ready[r.Service], r)
		}
	}
	for _, list := range next.Ready {
		slices.SortFunc(list, func(x, y *Replica) int { return cmp.Compare(x.ID, y.ID) })
	}
	return next
}

func (s *Set) notifyDrain(newlyDraining []*Replica, from Source) {
	for _, r := range newlyDraining {
		for _, f := range s.onDrain {
			f(r, from)
		}
	}
}
