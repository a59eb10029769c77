package quarantine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxAnnounceDelay bounds the random delay before an entry announces answers.
	maxAnnounceDelay = 800 * time.Millisecond
	// longKnown is the time after which the answers that clear the parts of a crash
	// have reached all entries in touch.
	longKnown = settlingTimeIfAnswered
)

// OnBroadcast implements peer.EvidenceLog.
func (s *Set) OnBroadcast(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onBroadcast = append(s.onBroadcast, f)
}

// Add implements peer.EvidenceLog.
func (s *Set) Add(from string, e peer.CrashEvidence) bool {
	if e.Endpoint == "" {
		return s.addNews(e.Customer, parseNews(e.News))
	}
	now := time.Now()
	c := &crash{
		crashKey: crashKey{e.Customer, e.Endpoint, e.Incarnation}, service: e.Service, version: e.Version, domain: e.FailureDomain,
		strong: parseParts(e.Parts), refuted: e.Refuted, at: now.Add(-time.Duration(max(0, e.AgeMS)) * time.Millisecond),
	}
	knownAt := now
	if e.KnownMS >= longKnown.Milliseconds() {
		// The answers that were announced since come with it.
		knownAt = now.Add(-longKnown)
	}
	weakParts := 0
	for _, text := range e.Weak {
		if parts := parseParts(strings.Fields(text)); len(parts) > 0 {
			weakParts += len(parts)
			c.weak = append(c.weak, weakPrompt{parts: parts, knownAt: knownAt})
		}
	}
	c.weak = unionOfPrompts(c.weak, nil)
	all := len(c.strong) + weakParts
	if c.refuted != (all == 0) || len(c.strong) > maxStrongParts || weakParts > maxWeakParts || max(len(e.Answered)+len(e.WeakAnswered), len(e.Before)) > all {
		return false
	}
	s.noteAnswers(c, parseParts(append(e.Answered, e.WeakAnswered...)), parseParts(e.Before))
	progress := Beginning.String()
	if len(c.strong) == 0 {
		progress = Waiting.String() + " or " + Begun.String()
	}
	return s.addCrash(c, from, progress)
}

// noteAnswers notes the answers that came with a crash: those after it, and those
// at some time.
func (s *Set) noteAnswers(c *crash, since, ever []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, part := range since {
		changed = s.announced.record(c.customer, part, c.at) || changed
	}
	for _, part := range ever {
		s.announced.record(c.customer, part, time.Unix(0, 0))
	}
	if changed {
		s.rejudgeLocked(c.customer)
	}
}

// addNews notes answers that a peer announced, and passes on those that matter here.
func (s *Set) addNews(customer string, answered map[uint64]time.Time) bool {
	if len(answered) == 0 || len(answered) > maxNews {
		return false
	}
	s.mu.Lock()
	known := s.answersLocked(customer)
	pass := make(map[uint64]time.Time)
	for part, at := range answered {
		if slices.ContainsFunc(s.evidence.byCustomer[customer], func(c *crash) bool {
			return c.hasPart(part) && (!known.ever(part) || !known.since(part, c.at) && !c.at.After(at))
		}) {
			pass[part] = at
		}
		s.announced.record(customer, part, at)
	}
	var notify []func()
	if len(pass) > 0 {
		s.evidence.addNews(customer, pass, false)
		s.rejudgeLocked(customer)
		notify = s.onBroadcast
	}
	s.mu.Unlock()
	for _, f := range notify {
		f()
	}
	return len(pass) > 0
}

// parseNews returns the times of the answers in a message.
func parseNews(texts []string) map[uint64]time.Time {
	out, now := make(map[uint64]time.Time), time.Now()
	for _, text := range texts {
		name, age, _ := strings.Cut(text, " ")
		p, err := strconv.ParseUint(name, 16, 64)
		ms, ageErr := strconv.ParseUint(age, 10, 40)
		if err == nil && ageErr == nil {
			out[p] = now.Add(-time.Duration(ms) * time.Millisecond)
		}
	}
	return out
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
func (s *Set) Since(to string, relay bool, position peer.EvidencePosition, limit int) ([]peer.CrashEvidence, peer.EvidencePosition) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pieces, position := s.evidence.since(to, relay, position, limit)
	out := make([]peer.CrashEvidence, 0, len(pieces))
	for _, l := range pieces {
		if l.crash != nil {
			out = append(out, s.crashRecordLocked(l.crash))
		} else {
			out = append(out, s.newsRecordLocked(l.news, l.own))
		}
	}
	return out, position
}

func (s *Set) crashRecordLocked(c *crash) peer.CrashEvidence {
	now, known := time.Now(), s.answersLocked(c.customer)
	e := peer.CrashEvidence{
		Customer: c.customer, Parts: PartNames(c.strong), Refuted: c.refuted,
		Endpoint: c.replica, Incarnation: c.number,
		Service: c.service, Version: c.version, FailureDomain: c.domain, AgeMS: now.Sub(c.at).Milliseconds(),
	}
	for _, part := range c.parts() {
		switch {
		case known.since(part, c.at) && c.isStrongAgainst(part):
			e.Answered = append(e.Answered, PartNames([]uint64{part})...)
		case known.since(part, c.at):
			e.WeakAnswered = append(e.WeakAnswered, PartNames([]uint64{part})...)
		case known.ever(part):
			e.Before = append(e.Before, PartNames([]uint64{part})...)
		}
	}
	knownFor := longKnown
	for _, p := range c.weak {
		e.Weak = append(e.Weak, strings.Join(PartNames(p.parts), " "))
		knownFor = min(knownFor, now.Sub(p.knownAt))
	}
	if len(c.weak) > 0 && knownFor == longKnown {
		e.KnownMS = knownFor.Milliseconds()
	}
	return e
}

func (s *Set) newsRecordLocked(customer string, own bool) peer.CrashEvidence {
	n := s.evidence.news[customer]
	answered := n.all
	if own {
		answered = n.own
	}
	e := peer.CrashEvidence{Customer: customer}
	for part, at := range answered {
		e.News = append(e.News, fmt.Sprint(PartNames([]uint64{part})[0], " ", max(0, time.Since(at).Milliseconds())))
	}
	slices.Sort(e.News)
	return e
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
	var notify []func()
	if len(due) > 0 {
		for part, at := range due {
			s.announced.record(customer, part, at)
		}
		s.evidence.addNews(customer, due, true)
		notify = s.onBroadcast
	}
	s.mu.Unlock()
	for _, f := range notify {
		f()
	}
}

// dueAnswersLocked returns when this entry last had an answer on those parts of a
// customer's crashes of which the others don't know it. Of weak evidence only those
// parts matter that another crash is evidence against, and the other parts of prompts
// with a part that is nearly banned.
func (s *Set) dueAnswersLocked(customer string) map[uint64]time.Time {
	all, known := s.evidence.byCustomer[customer], s.answersLocked(customer)
	in := make(map[uint64]int)
	for _, c := range all {
		for _, part := range c.parts() {
			in[part]++
		}
	}
	due := make(map[uint64]time.Time)
	for _, c := range all {
		for _, part := range c.partsThatMatter(in) {
			own, others := known.own(part), known.others(part)
			if own.After(c.at) && others.Before(c.at) || !own.IsZero() && others.IsZero() {
				due[part] = own
			}
		}
	}
	return due
}

// partsThatMatter returns the parts whose answers are to be announced, given the number
// of crashes that are evidence against each part.
func (c *crash) partsThatMatter(in map[uint64]int) []uint64 {
	parts := slices.Clone(c.strong)
	for _, p := range c.weak {
		most := 0
		for _, part := range p.parts {
			if most = max(most, in[part]); in[part] >= 2 {
				parts = append(parts, part)
			}
		}
		if most >= minWeakCrashes-1 {
			parts = append(parts, p.parts...)
		}
	}
	return union(parts, nil)
}
