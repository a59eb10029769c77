package drain

import (
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// retention is the time for which a notice remains in force after its host, or
// the last host of its failure domain, has disappeared from the host list.
const retention = 10 * time.Minute

// Set holds the notices in force. It is safe for concurrent use. It calls the
// registered functions without holding its lock.
type Set struct {
	log *logrus.Entry

	mu      sync.Mutex
	records map[Key]*record
	// broadcastRecords holds the records that are sent to peers, in the order
	// of their sequence numbers.
	broadcastRecords []*record
	seq              uint64
	hosts            map[string]infra.Host
	hasHostList      bool
	onLeaving        []func(Notice)
	onBroadcast      []func()
}

// record is a notice and the time at which this process received it.
type record struct {
	notice     Notice
	seq        uint64
	receivedAt time.Time
	// lastListedAt is the last time at which the host list contained the host,
	// or a host of the failure domain, that the notice applies to.
	lastListedAt time.Time
}

// NewSet returns an empty Set.
func NewSet(log *logrus.Entry) *Set {
	return &Set{
		log:     log,
		records: make(map[Key]*record),
		hosts:   make(map[string]infra.Host),
	}
}

// OnLeaving registers f to be called with the first notice of each host
// incarnation. f runs on the goroutine that adds the notice and must not block.
func (s *Set) OnLeaving(f func(Notice)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onLeaving = append(s.onLeaving, f)
}

// OnBroadcast registers f to be called when Since has new notices to return. f
// runs on the goroutine that adds the notice.
func (s *Set) OnBroadcast(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBroadcast = append(s.onBroadcast, f)
}

// Add adds a notice and reports whether it was the first one for its key. It
// ignores a notice that is older than the retention if its host is not listed,
// so that peers don't send each other old notices forever.
func (s *Set) Add(n Notice) bool {
	s.mu.Lock()
	if s.records[n.Key()] != nil || s.isExpiredLocked(n) {
		s.mu.Unlock()
		return false
	}
	added := s.insertLocked(n, true)
	onLeaving, onBroadcast := s.onLeaving, s.onBroadcast
	s.mu.Unlock()
	for _, f := range onBroadcast {
		f()
	}
	s.notify(added, onLeaving)
	return true
}

// DrainDomain marks all hosts of a failure domain as draining, including hosts
// that join it while the notice is in force. The ID distinguishes successive
// drains.
func (s *Set) DrainDomain(id, failureDomain string) bool {
	return s.Add(Notice{Incarnation: id, FailureDomain: failureDomain, Reason: ReasonOperator})
}

// Leaving reports whether there is a notice for a host incarnation.
func (s *Set) Leaving(hostID, incarnation string) bool {
	_, ok := s.Get(hostID, incarnation)
	return ok
}

// Get returns the notice for a host incarnation, with Remaining and Age as of
// now.
func (s *Set) Get(hostID, incarnation string) (Notice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[Key{HostID: hostID, Incarnation: incarnation}]
	if r == nil {
		return Notice{}, false
	}
	return r.currentNotice(), true
}

// All returns the notices in force, sorted by host and failure domain.
func (s *Set) All() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Notice, 0, len(s.records))
	for _, r := range s.records {
		out = append(out, r.currentNotice())
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.HostID != b.HostID {
			return a.HostID < b.HostID
		}
		if a.FailureDomain != b.FailureDomain {
			return a.FailureDomain < b.FailureDomain
		}
		return a.Incarnation < b.Incarnation
	})
	return out
}

// Since returns up to limit notices for peers that were added after position,
// and the position after the last one returned.
func (s *Set) Since(position uint64, limit int) ([]Notice, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.broadcastRecords), func(i int) bool { return s.broadcastRecords[i].seq > position })
	var out []Notice
	for _, r := range s.broadcastRecords[first:] {
		if len(out) == limit {
			break
		}
		out = append(out, r.currentNotice())
		position = r.seq
	}
	return out, position
}

// UpdateHosts updates the set from a host list. It adds notices for hosts that
// the list shows as leaving and for new hosts of a draining failure domain, and
// removes notices of hosts that have not been listed for longer than the
// retention.
func (s *Set) UpdateHosts(list []infra.Host) {
	s.mu.Lock()
	now := time.Now()
	s.hosts = make(map[string]infra.Host, len(list))
	domains := make(map[string]bool)
	for _, h := range list {
		s.hosts[h.ID] = h
		domains[h.FailureDomain] = true
	}
	s.hasHostList = true
	added := s.markDomainHostsLocked()
	s.expireLocked(domains, now)
	onLeaving := s.onLeaving
	s.mu.Unlock()
	s.notify(added, onLeaving)
	for _, h := range list {
		if h.State == infra.HostLeaving {
			s.Add(Notice{
				HostID:        h.ID,
				Incarnation:   h.Incarnation,
				FailureDomain: h.FailureDomain,
				Reason:        ReasonHostList,
			})
		}
	}
}

// insertLocked adds a notice and returns the notices of all hosts that it marks
// as draining. If broadcast is set, the notice is also sent to peers.
func (s *Set) insertLocked(n Notice, broadcast bool) []Notice {
	now := time.Now()
	r := &record{notice: n, receivedAt: now, lastListedAt: now}
	s.records[n.Key()] = r
	if broadcast {
		s.seq++
		r.seq = s.seq
		s.broadcastRecords = append(s.broadcastRecords, r)
	}
	if n.HostID == "" {
		return s.markDomainHostsLocked()
	}
	return []Notice{n}
}

// markDomainHostsLocked adds notices for the listed hosts of draining failure
// domains and returns them. They are not sent to peers, because each entry
// derives them itself.
func (s *Set) markDomainHostsLocked() []Notice {
	var added []Notice
	for key, r := range s.records {
		if key.HostID != "" {
			continue
		}
		for _, h := range s.hosts {
			n := Notice{
				HostID:        h.ID,
				Incarnation:   h.Incarnation,
				FailureDomain: h.FailureDomain,
				Reason:        r.notice.Reason,
			}
			if h.FailureDomain != key.FailureDomain || s.records[n.Key()] != nil {
				continue
			}
			added = append(added, s.insertLocked(n, false)...)
		}
	}
	return added
}

// expireLocked removes the notices whose host or failure domain has been
// missing from the host list for longer than the retention.
func (s *Set) expireLocked(domains map[string]bool, now time.Time) {
	for key, r := range s.records {
		if s.isListedLocked(key, domains) {
			r.lastListedAt = now
		}
		if now.Sub(r.lastListedAt) > retention {
			delete(s.records, key)
		}
	}
	remaining := s.broadcastRecords[:0]
	for _, r := range s.broadcastRecords {
		if s.records[r.notice.Key()] == r {
			remaining = append(remaining, r)
		}
	}
	clear(s.broadcastRecords[len(remaining):])
	s.broadcastRecords = remaining
}

// domainOf returns the failure domain of a listed host, or "".
func (s *Set) domainOf(hostID string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[hostID].FailureDomain
}

// isListedLocked reports whether the host list contains the host incarnation of
// a key or, given the listed failure domains, a host of its failure domain.
func (s *Set) isListedLocked(key Key, domains map[string]bool) bool {
	if key.HostID == "" {
		return domains[key.FailureDomain]
	}
	h, ok := s.hosts[key.HostID]
	return ok && h.Incarnation == key.Incarnation
}

// isExpiredLocked reports whether this entry would already have removed a
// notice that a peer sent.
func (s *Set) isExpiredLocked(n Notice) bool {
	if n.Age <= retention || !s.hasHostList {
		return false
	}
	domains := make(map[string]bool)
	for _, h := range s.hosts {
		domains[h.FailureDomain] = true
	}
	return !s.isListedLocked(n.Key(), domains)
}

// notify logs the added notices of hosts and calls onLeaving with each of them.
func (s *Set) notify(added []Notice, onLeaving []func(Notice)) {
	for _, n := range added {
		s.log.WithFields(logrus.Fields{
			"host":           n.HostID,
			"incarnation":    n.Incarnation,
			"failure_domain": n.FailureDomain,
			"reason":         n.Reason,
		}).Info("drain: host is leaving.")
		for _, f := range onLeaving {
			f(n)
		}
	}
}

// currentNotice returns the notice with Remaining and Age as of now.
func (r *record) currentNotice() Notice {
	n := r.notice
	elapsed := time.Since(r.receivedAt)
	n.Age += elapsed
	if n.Remaining > 0 {
		// An expired notice must stay distinct from one whose remaining time
		// is unknown, which is 0.
		n.Remaining = max(n.Remaining-elapsed, time.Millisecond)
	}
	return n
}
