package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxParts is the number of shared parts of a prompt that are considered.
	// Those at its end are shared with the fewest other prompts.
	maxParts = 32
	// maxMergedParts is the number of parts of all requests whose answers one
	// replica began when it crashed.
	maxMergedParts = 2 * maxParts
)

// Options configure a Set.
type Options struct {
	// ID is the ID of this entry.
	ID string
	// Members returns the IDs of the reachable members, this one included.
	Members func() []string
	// Ready returns the replicas of a service that accept new requests.
	Ready func(service string) []*replica.Replica
	Log   *logrus.Entry
	// Count counts events: "crash", "ban", "lift", "refusal" and "trial".
	Count func(event string)
}

// Set holds the evidence against prompt parts and the bans that follow from it.
// It is safe for concurrent use.
type Set struct {
	opt Options

	mu       sync.Mutex
	answered answeredParts
	evidence evidence
	bans     map[string][]*ban
	// trials holds when this entry last admitted a request on trial, by ban.
	trials map[string]trial
	// announcing holds the customers for whose parts an announcement of answers
	// is scheduled.
	announcing  map[string]bool
	onBroadcast []func()
}

// New returns an empty Set.
func New(o Options) *Set {
	return &Set{opt: o, answered: newAnsweredParts(), evidence: newEvidence(), bans: make(map[string][]*ban), trials: make(map[string]trial), announcing: make(map[string]bool)}
}

// Refusal is the error of a request that is kept from replicas.
type Refusal struct {
	Parts   []uint64
	Crashes int
	// Since is the time since the last crash.
	Since time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("prompt parts %v crashed %d replicas, the last one %v ago", PartNames(r.Parts), r.Crashes, r.Since.Round(time.Second))
}

// RetryAfter is the time after which such a request may be admitted again.
func (r *Refusal) RetryAfter() time.Duration { return max(trialInterval-r.Since, trialTurn) }

// Check returns a *Refusal if a request with the given shared parts must not
// reach a replica. It reports whether the request is admitted on trial, in which
// case it must not be checked again.
func (s *Set) Check(customer string, parts []uint64) (onTrial bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.bans[customer]) == 0 {
		return false, nil
	}
	s.expireLocked(time.Now())
	for _, b := range s.bans[customer] {
		if !b.appliesTo(parts) || !s.wouldCrashLocked(b, parts) {
			continue
		}
		if s.admitOnTrialLocked(b) {
			onTrial = true
			continue
		}
		s.opt.Count("refusal")
		return false, &Refusal{Parts: b.parts, Crashes: len(b.crashes), Since: time.Since(b.lastCrash())}
	}
	return onTrial, nil
}

// wouldCrashLocked reports whether a request with all parts of a ban has to be
// refused. If the ban isn't proven, each of its crashes may as well be due to
// some other part of those prompts. A request without any such part may then
// pass: its answer or its crash settles which it is.
func (s *Set) wouldCrashLocked(b *ban, parts []uint64) bool {
	if b.proven || len(b.parts) > 1 {
		return true
	}
	return slices.ContainsFunc(parts, func(p uint64) bool { return p != b.parts[0] && !s.everAnsweredLocked(b.customer, p) })
}

// everAnsweredLocked reports whether this entry knows of an answer on a part.
func (s *Set) everAnsweredLocked(customer string, part uint64) bool {
	return !s.answered.last(customer, part).IsZero() ||
		slices.ContainsFunc(s.evidence.byCustomer[customer], func(c *crash) bool { return c.isAnswered(part) })
}

// Suspect reports whether a request with the given shared parts may have caused
// the crash of a replica, given the progress of its answer.
func (s *Set) Suspect(customer string, parts []uint64, progress Progress) bool {
	if progress != Beginning {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	against := crashesByPart(s.evidence.byCustomer[customer], s.ownAnswers(customer))
	return slices.ContainsFunc(parts, func(p uint64) bool {
		return len(against[p]) > 1 || s.answered.last(customer, p).IsZero()
	})
}

// ownAnswers returns a function that returns when this entry last had an answer
// on a part of a customer.
func (s *Set) ownAnswers(customer string) func(part uint64) time.Time {
	return func(part uint64) time.Time { return s.answered.last(customer, part) }
}

// Answered records that the answer to a request with these shared parts went on
// after its beginning.
func (s *Set) Answered(customer string, parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	crashes := s.evidence.byCustomer[customer]
	cleared := false
	for _, p := range parts {
		last := s.answered.last(customer, p)
		s.answered.record(customer, p, now)
		cleared = cleared || slices.ContainsFunc(crashes, func(c *crash) bool { return c.hasPart(p) && c.countsAgainst(p, last) })
	}
	if cleared {
		s.rejudgeLocked(customer)
		s.scheduleLocked(customer)
	}
}

// Crashed records that a replica crashed at a time, with a request with these shared
// parts and the given progress, and spreads that to the other entries.
func (s *Set) Crashed(r *replica.Replica, customer string, parts []uint64, progress Progress, at time.Time) {
	if len(parts) == 0 {
		return
	}
	if progress != Beginning {
		s.opt.Log.WithFields(logrus.Fields{
			"replica": r.ID, "born": r.Incarnation, "customer": customer, "parts": PartNames(parts), "progress": progress.String(),
		}).Warn("quarantine: replica crashed; not taken for evidence.")
		return
	}
	s.addCrash(&crash{
		crashKey: crashKey{customer, r.ID, r.Incarnation}, service: r.Service, version: r.Version, domain: r.FailureDomain,
		parts: union(parts[max(0, len(parts)-maxParts):], nil), at: at,
	}, s.opt.ID)
}

// addCrash adds evidence and reports whether it was new.
func (s *Set) addCrash(c *crash, source string) bool {
	s.mu.Lock()
	s.expireLocked(time.Now())
	known := len(s.evidence.byCustomer[c.customer])
	added := s.evidence.add(c)
	var notify []func()
	if added {
		notify = s.onBroadcast
	}
	if added && len(s.evidence.byCustomer[c.customer]) != known {
		s.opt.Count("crash")
		s.opt.Log.WithFields(logrus.Fields{
			"replica": c.replica, "born": c.incarnation, "service": c.service, "version": c.version,
			"customer": c.customer, "parts": PartNames(c.parts), "seen_by": source,
			"age_ms": time.Since(c.at).Milliseconds(), "held": s.heldLocked(c),
		}).Warn("quarantine: replica crashed as it began an answer.")
	}
	if added {
		s.rejudgeLocked(c.customer)
		s.scheduleLocked(c.customer)
	}
	s.mu.Unlock()
	for _, f := range notify {
		f()
	}
	return added
}

// heldLocked describes for each part of a crash how many crashes count against
// it, how many a ban needs, and when the part was last answered here.
func (s *Set) heldLocked(c *crash) []string {
	all, ownAnswer := s.evidence.byCustomer[c.customer], s.ownAnswers(c.customer)
	against := crashesByPart(all, ownAnswer)
	out := make([]string, 0, len(c.parts))
	for _, p := range c.parts {
		text := fmt.Sprintf("%s: %d of %d", PartNames([]uint64{p})[0], countCrashes(against[p]), neededForBan(p, against[p], all, all, ownAnswer))
		if at := ownAnswer(p); !at.IsZero() {
			text += fmt.Sprintf(", answered %d ms ago", time.Since(at).Milliseconds())
		}
		out = append(out, text)
	}
	return out
}

// rejudgeLocked judges the evidence of a customer again and logs what changes.
func (s *Set) rejudgeLocked(customer string) {
	before := s.bans[customer]
	bans := judge(customer, s.evidence.byCustomer[customer], s.ownAnswers(customer))
	if len(bans) == 0 {
		delete(s.bans, customer)
	} else {
		s.bans[customer] = bans
	}
	for _, b := range bans {
		if !containsParts(before, b.parts) {
			s.opt.Count("ban")
			s.logBan(b)
		}
	}
	for _, b := range before {
		if !containsParts(bans, b.parts) {
			s.opt.Count("lift")
			delete(s.trials, b.key())
			s.opt.Log.WithFields(logrus.Fields{"customer": customer, "parts": PartNames(b.parts)}).Info("quarantine: prompt parts are admitted again.")
		}
	}
}

func (s *Set) logBan(b *ban) {
	replicas := make([]string, 0, len(b.crashes))
	first := b.crashes[0].at
	for _, c := range b.crashes {
		replicas = append(replicas, c.replica)
		if c.at.Before(first) {
			first = c.at
		}
	}
	f := logrus.Fields{
		"customer": b.customer, "parts": PartNames(b.parts), "crashes": len(b.crashes), "replicas": replicas,
		"first_crash_ms_ago": time.Since(first).Milliseconds(), "last_crash_ms_ago": time.Since(b.lastCrash()).Milliseconds(),
	}
	for _, p := range b.parts {
		if at := s.answered.last(b.customer, p); !at.IsZero() {
			f["last_answer_ms_ago"] = time.Since(at).Milliseconds()
		}
	}
	s.opt.Log.WithFields(f).Warn("quarantine: prompt parts are banned.")
}

func containsParts(bans []*ban, parts []uint64) bool {
	return slices.ContainsFunc(bans, func(b *ban) bool { return slices.Equal(b.parts, parts) })
}

// expireLocked forgets old evidence.
func (s *Set) expireLocked(now time.Time) {
	for _, customer := range s.evidence.expire(now) {
		s.rejudgeLocked(customer)
	}
}

// PartNames returns the IDs of parts as they are written in logs and messages.
func PartNames(parts []uint64) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return out
}

var _ peer.EvidenceLog = (*Set)(nil)
