package drain

import (
	"sort"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// retention is how long a notice is kept after its host, or the last host of
// its failure domain, has gone from the host list.
const retention = 10 * time.Minute

// Set holds the notices in force. It is safe for concurrent use.
type Set struct {
	log *logrus.Entry

	mu      sync.Mutex
	entries map[Key]*entry
	// spread holds the entries that travel to peers, by sequence number.
	spread []*entry
	seq    uint64
	hosts  map[string]infra.Host
	listed bool
	onNew  []func(Notice)
	onWake []func()
}

// entry is a notice with the time at which this process got it.
type entry struct {
	notice Notice
	seq    uint64
	got    time.Time
	// listedAt is when the host list last had what the notice is about.
	listedAt time.Time
}

// NewSet returns an empty Set.
func NewSet(log *logrus.Entry) *Set {
	return &Set{
		log:     log,
		entries: make(map[Key]*entry),
		hosts:   make(map[string]infra.Host),
	}
}

// OnLeaving registers f for the first notice of each host's incarnation. It
// runs on the goroutine that brought the notice and must not block.
func (s *Set) OnLeaving(f func(Notice)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onNew = append(s.onNew, f)
}

// OnSpread registers f to be called when Since has more to return.
func (s *Set) OnSpread(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWake = append(s.onWake, f)
}

// Add takes in a notice and returns whether it was the first one. A notice
// that is older than the retention about a host that is not listed is
// refused, so that old notices don't travel in circles.
func (s *Set) Add(n Notice) bool {
	s.mu.Lock()
	if s.entries[n.Key()] != nil || s.outdatedLocked(n) {
		s.mu.Unlock()
		return false
	}
	fresh := s.insertLocked(n, true)
	onNew, onWake := s.onNew, s.onWake
	s.mu.Unlock()
	for _, f := range onWake {
		f()
	}
	s.tell(fresh, onNew)
	return true
}

// DrainDomain marks all hosts of a failure domain, those included that join
// it while the notice stands. The ID tells one drain from the next.
func (s *Set) DrainDomain(id, failureDomain string) bool {
	return s.Add(Notice{Incarnation: id, FailureDomain: failureDomain, Reason: ReasonOperator})
}

// Leaving reports whether the host's incarnation has a notice.
func (s *Set) Leaving(hostID, incarnation string) bool {
	_, ok := s.Get(hostID, incarnation)
	return ok
}

// Get returns the notice of a host's incarnation, with Remaining and Age as
// of now.
func (s *Set) Get(hostID, incarnation string) (Notice, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[Key{HostID: hostID, Incarnation: incarnation}]
	if e == nil {
		return Notice{}, false
	}
	return e.now(), true
}

// All returns the notices in force, by host and failure domain.
func (s *Set) All() []Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Notice, 0, len(s.entries))
	for _, e := range s.entries {
		out = append(out, e.now())
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

// Since returns up to limit notices for peers that were added after the
// position, and the position behind them.
func (s *Set) Since(position uint64, limit int) ([]Notice, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := sort.Search(len(s.spread), func(i int) bool { return s.spread[i].seq > position })
	var out []Notice
	for _, e := range s.spread[first:] {
		if len(out) == limit {
			break
		}
		out = append(out, e.now())
		position = e.seq
	}
	return out, position
}

// Hosts takes in a host list: hosts that it shows as leaving are marked, and
// so are new hosts of a draining failure domain. Notices of hosts that are
// gone for long are dropped.
func (s *Set) Hosts(list []infra.Host) {
	s.mu.Lock()
	now := time.Now()
	s.hosts = make(map[string]infra.Host, len(list))
	domains := make(map[string]bool)
	for _, h := range list {
		s.hosts[h.ID] = h
		domains[h.FailureDomain] = true
	}
	s.listed = true
	fresh := s.drainingLocked()
	s.ageLocked(domains, now)
	onNew := s.onNew
	s.mu.Unlock()
	s.tell(fresh, onNew)
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

// insertLocked adds a notice and returns the hosts that it newly marks.
func (s *Set) insertLocked(n Notice, spread bool) []Notice {
	now := time.Now()
	e := &entry{notice: n, got: now, listedAt: now}
	s.entries[n.Key()] = e
	if spread {
		s.seq++
		e.seq = s.seq
		s.spread = append(s.spread, e)
	}
	if n.HostID == "" {
		return s.drainingLocked()
	}
	return []Notice{n}
}

// drainingLocked marks the listed hosts of draining failure domains. Their
// notices don't travel, because each entry derives them itself.
func (s *Set) drainingLocked() []Notice {
	var fresh []Notice
	for key, e := range s.entries {
		if key.HostID != "" {
			continue
		}
		for _, h := range s.hosts {
			n := Notice{
				HostID:        h.ID,
				Incarnation:   h.Incarnation,
				FailureDomain: h.FailureDomain,
				Reason:        e.notice.Reason,
			}
			if h.FailureDomain != key.FailureDomain || s.entries[n.Key()] != nil {
				continue
			}
			fresh = append(fresh, s.insertLocked(n, false)...)
		}
	}
	return fresh
}

// ageLocked drops the notices whose host or failure domain has been gone from
// the host list for the retention.
func (s *Set) ageLocked(domains map[string]bool, now time.Time) {
	for key, e := range s.entries {
		if s.presentLocked(key, domains) {
			e.listedAt = now
		}
		if now.Sub(e.listedAt) > retention {
			delete(s.entries, key)
		}
	}
	kept := s.spread[:0]
	for _, e := range s.spread {
		if s.entries[e.notice.Key()] == e {
			kept = append(kept, e)
		}
	}
	clear(s.spread[len(kept):])
	s.spread = kept
}

// domainOf returns the failure domain of a listed host, or "".
func (s *Set) domainOf(hostID string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[hostID].FailureDomain
}

func (s *Set) presentLocked(key Key, domains map[string]bool) bool {
	if key.HostID == "" {
		return domains[key.FailureDomain]
	}
	h, ok := s.hosts[key.HostID]
	return ok && h.Incarnation == key.Incarnation
}

// outdatedLocked reports whether a notice from a peer is about something that
// this entry would have forgotten already.
func (s *Set) outdatedLocked(n Notice) bool {
	if n.Age <= retention || !s.listed {
		return false
	}
	domains := make(map[string]bool)
	for _, h := range s.hosts {
		domains[h.FailureDomain] = true
	}
	return !s.presentLocked(n.Key(), domains)
}

// tell logs the fresh notices and calls the registered functions.
func (s *Set) tell(fresh []Notice, onNew []func(Notice)) {
	for _, n := range fresh {
		s.log.WithFields(logrus.Fields{
			"host":           n.HostID,
			"incarnation":    n.Incarnation,
			"failure_domain": n.FailureDomain,
			"reason":         n.Reason,
		}).Info("drain: host is leaving.")
		for _, f := range onNew {
			f(n)
		}
	}
}

// now returns the notice with its durations as of now.
func (e *entry) now() Notice {
	n := e.notice
	elapsed := time.Since(e.got)
	n.Age += elapsed
	if n.Remaining > 0 {
		// A notice that has run out must not look like one without a time.
		n.Remaining = max(n.Remaining-elapsed, time.Millisecond)
	}
	return n
}
