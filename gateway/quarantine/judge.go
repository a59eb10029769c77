package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of replicas that must crash on a part that was
	// never answered, before the part is banned.
	minCrashes = 3
	// minCrashesIfAnswered is that number for a part that was answered before
	// the last of these crashes.
	minCrashesIfAnswered = 5
	// minWeakCrashes and minWeakCrashesIfAnswered are these numbers if weak evidence
	// is counted as well.
	minWeakCrashes           = 4
	minWeakCrashesIfAnswered = 6
	// othersPerCrash is the number of crashes without the part, in the same
	// period, that raise the number of crashes needed by one. If replicas crash
	// for other reasons, a part may be in several of the prompts by chance.
	othersPerCrash = 8
	// weakCrashesPerOther and weakCrashesPerOtherIfAnswered are the numbers by which
	// a crash without the part in the same period raises that of the crashes needed if
	// weak evidence is counted. Any crash leaves such evidence against the parts of all
	// requests that the replica held.
	weakCrashesPerOther           = 1
	weakCrashesPerOtherIfAnswered = 2
	// othersBeforePerCrash is the number of crashes in lossTime before that period that
	// raise it by one.
	othersBeforePerCrash = 4
	// simultaneous is the time within which replicas of one failure domain that
	// crash count as one, because they have a common cause other than a prompt.
	simultaneous = 100 * time.Millisecond
	// manySuspects is the number of prompts that a replica holds up to which its crash
	// counts as one against each of them.
	manySuspects = 8
	// maxSuspects is the number of parts that may be to blame at a time.
	maxSuspects = 3
	// lossTime is the time in which the connections with the replicas of a lost
	// domain break off.
	lossTime = 5 * time.Second
)

// ban keeps requests of a customer from replicas if they contain all of its
// parts.
type ban struct {
	customer string
	parts    []uint64
	crashes  []*crash
	// proven is set if one of the crashes can't be due to any part but these.
	proven bool
}

// lastCrash is the time of the latest crash.
func (b *ban) lastCrash() time.Time {
	last := time.Time{}
	for _, c := range b.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	return last
}

// appliesTo reports whether a prompt contains all parts of the ban.
func (b *ban) appliesTo(parts []uint64) bool {
	for _, p := range b.parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// key identifies the ban among all.
func (b *ban) key() string { return b.customer + fmt.Sprint(b.parts) }

// view is what an entry knows apart from the crashes.
type view struct {
	answers
	now time.Time
	// onlyDomain returns the failure domain of all replicas of a service, "" if there
	// are several.
	onlyDomain func(service string) string
}

// judge returns the bans that explain the crashes of one customer's prompts.
// Each crash is explained by one ban at most: the parts that account
// for most crashes are banned first, so that a sound part that is in the prompts
// of some of these isn't banned with them.
func judge(customer string, crashes []*crash, v view) []*ban {
	var bans []*ban
	for unexplained := crashes; ; {
		if len(unexplained) < minCrashes {
			return bans
		}
		against := crashesByPart(unexplained, v.answers)
		open := withoutSuspects(unexplained, against, v.answers)
		candidates := maps.Clone(against)
		maps.DeleteFunc(candidates, func(part uint64, list []*crash) bool {
			return len(list) < minCrashes || !tallyOf(part, list, unexplained, open, v).isEnough()
		})
		if len(candidates) == 0 {
			return bans
		}
		first := mostBlamed(candidates)
		explained := candidates[first]
		b := &ban{customer: customer, crashes: explained}
		for part, list := range candidates {
			if slices.Equal(list, explained) && !slices.ContainsFunc(explained, func(c *crash) bool { return !c.inOnePrompt(part, first) }) {
				b.parts = append(b.parts, part)
			}
		}
		slices.Sort(b.parts)
		b.proven = slices.ContainsFunc(explained, func(c *crash) bool { return c.provenBy(b.parts, v.answers) })
		bans = append(bans, b)
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c *crash) bool { return slices.Contains(explained, c) })
	}
}

// withoutSuspects returns the crashes that can't be due to a part that was never
// answered and that enough of them for a ban count against. If there are many such
// parts, crashes of another cause are more likely.
func withoutSuspects(crashes []*crash, against map[uint64][]*crash, known answers) []*crash {
	suspects := make(map[uint64]bool)
	for part, list := range against {
		if len(list) >= minWeakCrashes && !known.ever(part) {
			suspects[part] = true
		}
	}
	if len(suspects) > maxSuspects {
		return crashes
	}
	return filter(crashes, func(c *crash) bool {
		return !slices.ContainsFunc(c.parts(), func(part uint64) bool { return suspects[part] })
	})
}

// provenBy reports whether a crash can only be due to the given parts, because
// all others of its prompts were answered. Weak prompts without any of the parts
// don't matter: any crash leaves some.
func (c *crash) provenBy(parts []uint64, known answers) bool {
	isOpen := func(part uint64) bool {
		return !slices.Contains(parts, part) && !known.ever(part)
	}
	return !slices.ContainsFunc(c.strong, isOpen) && !slices.ContainsFunc(c.weak, func(p weakPrompt) bool {
		return slices.ContainsFunc(parts, p.hasPart) && slices.ContainsFunc(p.parts, isOpen)
	})
}

// crashesByPart returns the crashes that are evidence against each part, those
// whose weak evidence doesn't count yet included.
func crashesByPart(crashes []*crash, known answers) map[uint64][]*crash {
	out := make(map[uint64][]*crash)
	for _, c := range crashes {
		for _, part := range c.parts() {
			if !known.since(part, c.at) {
				out[part] = append(out[part], c)
			}
		}
	}
	return out
}

// mostBlamed returns the part that most crashes count against.
func mostBlamed(against map[uint64][]*crash) uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(against)), func(x, y uint64) int {
		return cmp.Or(cmp.Compare(len(against[y]), len(against[x])), cmp.Compare(x, y))
	})
}

// tally is what counts against a part, and what a ban needs: enough crashes with
// strong evidence, or enough with any.
type tally struct {
	strong, strongNeeded int
	any, anyNeeded       int
}

func (t tally) isEnough() bool { return t.strong >= t.strongNeeded || t.any >= t.anyNeeded }

// tallyOf counts the crashes that are evidence against a part, given those that no
// other ban explains, and of these the ones without another suspect.
func tallyOf(part uint64, against, unexplained, open []*crash, v view) tally {
	t := tally{strongNeeded: minCrashes, anyNeeded: minWeakCrashes}
	weakPerOther, settling := weakCrashesPerOther, settlingTime
	if v.ever(part) {
		t = tally{strongNeeded: minCrashesIfAnswered, anyNeeded: minWeakCrashesIfAnswered}
		weakPerOther, settling = weakCrashesPerOtherIfAnswered, settlingTimeIfAnswered
	}
	strong := filter(against, func(c *crash) bool { return c.isStrongAgainst(part) })
	counting := filter(against, func(c *crash) bool { return c.countsBy(v.now, part, settling) })
	t.strong, t.any = countCrashes(strong), countBalanced(counting, suspectWeight, v)
	first, last := period(strong)
	t.strongNeeded += countCrashes(others(unexplained, strong, first, last, func(c *crash) bool { return len(c.strong) > 0 })) / othersPerCrash
	first, last = period(against)
	always := func(*crash) bool { return true }
	t.anyNeeded += countBalanced(others(open, against, first, last, always), unweighted, v) * weakPerOther
	t.anyNeeded += countBalanced(others(open, against, first.Add(-lossTime), first, always), unweighted, v) / othersBeforePerCrash
	return t
}

// period returns the times of the first and the last of some crashes.
func period(crashes []*crash) (first, last time.Time) {
	for _, c := range crashes {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.at.After(last) {
			last = c.at
		}
	}
	return first, last
}

// others returns those of some crashes in a period that are not in a list.
func others(crashes, list []*crash, first, last time.Time, matches func(c *crash) bool) []*crash {
	return filter(crashes, func(c *crash) bool {
		return !c.at.Before(first) && !c.at.After(last) && !slices.Contains(list, c) && matches(c)
	})
}

// unrefuted returns those crashes that have not turned out to be none.
func unrefuted(crashes []*crash) []*crash {
	return filter(crashes, func(c *crash) bool { return !c.refuted })
}

func filter(crashes []*crash, keep func(c *crash) bool) []*crash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool { return !keep(c) })
}

// countCrashes returns the number of crashes, of which those in the same failure
// domain within the time that begins with the first of them count as one.
func countCrashes(crashes []*crash) int { return len(distinctCrashes(crashes)) }

// distinctCrashes returns one of the crashes of each failure domain that count as one,
// in their order.
func distinctCrashes(crashes []*crash) []*crash {
	sorted := slices.SortedFunc(slices.Values(crashes), func(x, y *crash) int { return x.at.Compare(y.at) })
	counted := make(map[string]time.Time)
	return filter(sorted, func(c *crash) bool {
		at, ok := counted[c.domain]
		if ok && c.at.Sub(at) <= simultaneous {
			return false
		}
		counted[c.domain] = c.at
		return true
	})
}

// countBalanced returns the number of crashes, but counts of one failure domain within
// lossTime at most one more than of all others: a lost domain is no evidence. That
// doesn't apply if there is only one.
func countBalanced(crashes []*crash, weightOf func(c *crash) float64, v view) int {
	distinct := distinctCrashes(crashes)
	n := 0.0
	for len(distinct) > 0 {
		end := distinct[0].at.Add(lossTime)
		inTime := slices.IndexFunc(distinct, func(c *crash) bool { return c.at.After(end) })
		if inTime < 0 {
			inTime = len(distinct)
		}
		byDomain, sum := make(map[string]float64), 0.0
		for _, c := range distinct[:inTime] {
			weight := weightOf(c)
			byDomain[c.domain] += weight
			sum += weight
		}
		only := v.onlyDomain(distinct[0].service)
		for domain, k := range byDomain {
			if domain != only {
				k = min(k, 1+sum-k)
			}
			n += k
		}
		distinct = distinct[inTime:]
	}
	return int(n)
}

// suspectWeight is what a crash counts against each of the prompts that the replica
// held.
func suspectWeight(c *crash) float64 { return min(1, manySuspects/float64(max(1, len(c.weak)))) }

func unweighted(*crash) float64 { return 1 }
