package quarantine

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
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

	mu sync.Mutex
	// answered are the answers of this entry, announced those of others.
	answered, announced answeredParts
	// ended holds the answers that ended with their connection, by replica.
	ended    *lru.Cache[incarnation, []endedAnswer]
	evidence evidence
	bans     map[string][]*ban
	// trials holds when this entry last admitted a request on trial, by ban.
	trials map[string]trial
	// announcing holds the customers for whose parts an announcement of answers
	// is scheduled.
	announcing map[string]bool
	// settling holds the customers whose evidence is to be judged again.
	settling    map[string]bool
	onBroadcast []func()
}

// New returns an empty Set.
func New(o Options) *Set {
	return &Set{opt: o, answered: newAnsweredParts(), announced: newAnsweredParts(), ended: newCache[incarnation, []endedAnswer](maxEndedReplicas), evidence: newEvidence(), bans: make(map[string][]*ban), trials: make(map[string]trial), announcing: make(map[string]bool), settling: make(map[string]bool)}
}

// Refusal is the error of a request that is kept from replicas.
type Refusal struct {
	Parts   []uint64
	Crashes int
	// Since is the time since the last crash, and Trial that from it until such a
	// request may be admitted again.
	Since, Trial time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("prompt parts %v crashed %d replicas, the last one %v ago", PartNames(r.Parts), r.Crashes, r.Since.Round(time.Second))
}

// RetryAfter is the time after which such a request may be admitted again.
func (r *Refusal) RetryAfter() time.Duration { return max(r.Trial-r.Since, trialTurn) }

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
		return false, &Refusal{Parts: b.parts, Crashes: len(b.crashes), Since: time.Since(b.lastCrash()), Trial: b.trialInterval()}
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
	known := s.answersLocked(b.customer)
	return slices.ContainsFunc(parts, func(p uint64) bool { return p != b.parts[0] && !known.ever(p) })
}

// Suspect reports whether a request with the given shared parts may have caused
// the crash of a replica, given the progress of its answer. One that waited, or
// whose answer had begun, is suspect only if other crashes count against a part.
func (s *Set) Suspect(customer string, parts []uint64, progress Progress) bool {
	if progress == Settled {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	against := crashesByPart(s.evidence.byCustomer[customer], s.answersLocked(customer))
	return slices.ContainsFunc(parts, func(p uint64) bool {
		counting := filter(against[p], func(c *crash) bool { return c.countsBy(now, p, settlingTime) })
		neverAnswered := s.answered.last(customer, p).IsZero()
		return len(counting) > 1 || neverAnswered && (progress == Beginning || len(against[p]) > 0)
	})
}

// answersLocked returns what this entry knows of the answers on a customer's parts.
func (s *Set) answersLocked(customer string) answers {
	return answers{
		own:    func(part uint64) time.Time { return s.answered.last(customer, part) },
		others: func(part uint64) time.Time { return s.announced.last(customer, part) },
	}
}

func (s *Set) viewLocked(customer string) view {
	return view{answers: s.answersLocked(customer), now: time.Now(), onlyDomain: s.onlyDomain}
}

// onlyDomain returns the failure domain of all ready replicas of a service, "" if there
// are several or none.
func (s *Set) onlyDomain(service string) string {
	only := ""
	for i, r := range s.opt.Ready(service) {
		if i > 0 && r.FailureDomain != only {
			return ""
		}
		only = r.FailureDomain
	}
	return only
}

// Answered records that the answer to a request with these shared parts went on
// after its beginning.
func (s *Set) Answered(customer string, parts []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredLocked(customer, parts, time.Now())
}

func (s *Set) answeredLocked(customer string, parts []uint64, at time.Time) {
	known := s.answersLocked(customer)
	crashes := s.evidence.byCustomer[customer]
	cleared := false
	for _, p := range parts {
		cleared = cleared || slices.ContainsFunc(crashes, func(c *crash) bool { return !known.since(p, c.at) && c.hasPart(p) })
		s.answered.record(customer, p, at)
	}
	if cleared {
		s.rejudgeLocked(customer)
		s.scheduleLocked(customer)
	}
}

// Crashed records that a replica crashed at a time, with a request with these shared
// parts and the given progress, and spreads that to the other entries.
func (s *Set) Crashed(r *replica.Replica, customer string, parts []uint64, progress Progress, at time.Time) {
	if len(parts) == 0 || progress == Settled {
		return
	}
	c := &crash{crashKey: crashKey{customer, r.ID, r.Incarnation}, service: r.Service, version: r.Version, domain: r.FailureDomain, at: at}
	parts = union(parts[max(0, len(parts)-maxParts):], nil)
	if progress == Beginning {
		c.strong = parts
	} else if parts = s.notJustAnswered(customer, parts, at); len(parts) > 0 {
		c.weak = []weakPrompt{{parts: parts, knownAt: time.Now()}}
	} else {
		return
	}
	s.addCrash(c, "", progress.String())
}

// notJustAnswered returns the parts that this entry had no answer on shortly before a
// crash.
func (s *Set) notJustAnswered(customer string, parts []uint64, at time.Time) []uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(parts, func(part uint64) bool {
		return at.Sub(s.answered.last(customer, part)) < justAnswered
	})
}

// addCrash adds evidence and reports whether it was new.
func (s *Set) addCrash(c *crash, source, progress string) bool {
	s.mu.Lock()
	s.expireLocked(time.Now())
	known := len(s.evidence.byCustomer[c.customer])
	added := s.addLocked(c, source)
	var notify []func()
	if added {
		s.rejudgeLocked(c.customer)
		notify = s.onBroadcast
		s.scheduleLocked(c.customer)
		s.awaitSettlingLocked(c.customer)
	}
	if added && c.refuted {
		s.opt.Count("refuted")
		s.opt.Log.WithFields(logrus.Fields{
			"replica": c.replica, "born": c.number, "customer": c.customer, "seen_by": cmp.Or(source, s.opt.ID),
		}).Info("quarantine: replica has not crashed.")
	} else if added && len(s.evidence.byCustomer[c.customer]) != known {
		s.opt.Count("crash")
		s.opt.Log.WithFields(logrus.Fields{
			"replica": c.replica, "born": c.number, "service": c.service, "version": c.version,
			"customer": c.customer, "progress": progress, "parts": PartNames(c.parts()), "seen_by": cmp.Or(source, s.opt.ID),
			"age_ms": time.Since(c.at).Milliseconds(), "held": s.heldLocked(c),
		}).Warn("quarantine: replica crashed.")
	}
	s.mu.Unlock()
	for _, f := range notify {
		f()
	}
	return added
}

// addLocked adds evidence, and reports whether it was new. What bans rest on is kept
// longest.
func (s *Set) addLocked(c *crash, source string) bool {
	return s.evidence.add(c, source, s.answersLocked(c.customer), func(c *crash) bool {
		return slices.ContainsFunc(s.bans[c.customer], func(b *ban) bool {
			return slices.ContainsFunc(b.crashes, func(x *crash) bool { return x.crashKey == c.crashKey })
		})
	})
}

// awaitSettlingLocked judges a customer's evidence again when weak evidence begins
// to count.
func (s *Set) awaitSettlingLocked(customer string) {
	now := time.Now()
	var next time.Time
	for _, c := range s.evidence.byCustomer[customer] {
		if at := c.settlesAt(now); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	if s.settling[customer] || next.IsZero() {
		return
	}
	s.settling[customer] = true
	time.AfterFunc(next.Sub(now), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.settling, customer)
		s.rejudgeLocked(customer)
		s.awaitSettlingLocked(customer)
	})
}

// heldLocked describes for each part of a crash how many crashes count against
// it, how many a ban needs, and when the part was last answered here.
func (s *Set) heldLocked(c *crash) []string {
	all, v := unrefuted(s.evidence.byCustomer[c.customer]), s.viewLocked(c.customer)
	against := crashesByPart(all, v.answers)
	var out []string
	for _, p := range c.parts() {
		t := tallyOf(p, against[p], all, withoutSuspects(all, against, v.answers), v)
		text := fmt.Sprintf("%s: %d of %d strong, %d of %d in all", PartNames([]uint64{p})[0], t.strong, t.strongNeeded, t.any, t.anyNeeded)
		if at := v.own(p); !at.IsZero() {
			text += fmt.Sprintf(", answered %d ms ago", time.Since(at).Milliseconds())
		}
		out = append(out, text)
	}
	return out
}

// rejudgeLocked judges the evidence of a customer again and logs what changes.
func (s *Set) rejudgeLocked(customer string) {
	before := s.bans[customer]
	bans := judge(customer, unrefuted(s.evidence.byCustomer[customer]), s.viewLocked(customer))
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
