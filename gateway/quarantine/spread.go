package quarantine

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxAnnounceDelay bounds the random delay before an entry announces answers.
	maxAnnounceDelay = 800 * time.Millisecond
)

// OnBroadcast implements peer.EvidenceLog.
func (s *Set) OnBroadcast(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBroadcast = append(s.onBroadcast, f)
}

// Add implements peer.EvidenceLog.
func (s *Set) Add(from string, e peer.CrashEvidence) bool {
	c := &crash{
		crashKey: crashKey{e.Customer, e.Endpoint, e.Incarnation}, service: e.Service, version: e.Version, domain: e.FailureDomain,
		parts: parseParts(e.Parts), answered: parseParts(e.Answered),
		at: time.Now().Add(-time.Duration(max(0, e.AgeMS)) * time.Millisecond),
	}
	if len(c.parts) == 0 || len(c.parts) > maxMergedParts || len(c.answered) > len(c.parts) {
		return false
	}
	return s.addCrash(c, from)
}

func parseParts(names []string) []uint64 {
	out := make([]uint64, 0, len(names))
	for _, name := range names {
		if p, err := strconv.ParseUint(name, 16, 64); err == nil {
			out = append(out, p)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Since implements peer.EvidenceLog.
func (s *Set) Since(position uint64, limit int) ([]peer.CrashEvidence, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []peer.CrashEvidence
	for _, l := range s.evidence.since(position, limit) {
		position = l.seq
		out = append(out, peer.CrashEvidence{
			Customer: l.crash.customer, Parts: PartNames(l.crash.parts), Answered: PartNames(l.crash.answered),
			Endpoint: l.crash.replica, Incarnation: l.crash.incarnation,
			Service: l.crash.service, Version: l.crash.version, FailureDomain: l.crash.domain, AgeMS: now.Sub(l.crash.at).Milliseconds(),
		})
	}
	return out, position
}

// scheduleLocked schedules an announcement if there is an answer to announce.
// Many entries may have one: the delay is distributed so that few of them send
// it before the first of these announcements has reached the others.
func (s *Set) scheduleLocked(customer string) {
	if s.announcing[customer] || len(s.dueAnswersLocked(customer)) == 0 {
		return
	}
	s.announcing[customer] = true
	time.AfterFunc(announceDelay(len(s.opt.Members()), rand.Float64()), func() { s.announce(customer) })
}

// announceDelay returns the delay for a random number in [0, 1). Its density
// grows exponentially, as that of the timers with which the receivers of a
// multicast suppress each other's feedback (Nonnenmacher and Biersack, "Scalable
// feedback for large groups", 1999).
func announceDelay(members int, random float64) time.Duration {
	lambda := math.Log(float64(max(members, 1))) + 1
	return time.Duration(float64(maxAnnounceDelay) * math.Log(random*(math.Exp(lambda)-1)+1) / lambda)
}

// announce spreads the answers that are still due.
func (s *Set) announce(customer string) {
	s.mu.Lock()
	delete(s.announcing, customer)
	due := s.dueAnswersLocked(customer)
	for _, c := range due {
		s.evidence.add(c)
	}
	var notify []func()
	if len(due) > 0 {
		notify = s.onBroadcast
	}
	s.mu.Unlock()
	for _, f := range notify {
		f()
	}
}

// dueAnswersLocked returns the crashes of a customer's prompts with the answers
// that this entry received since then and that no entry has announced yet.
func (s *Set) dueAnswersLocked(customer string) []*crash {
	var due []*crash
	for _, c := range s.evidence.byCustomer[customer] {
		tell := *c
		tell.answered = slices.DeleteFunc(slices.Clone(c.parts), func(part uint64) bool {
			return c.countsAgainst(part, s.answered.last(customer, part))
		})
		if merged, changed := c.merge(&tell); changed {
			due = append(due, merged)
		}
	}
	return due
}
