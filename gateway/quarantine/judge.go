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
	// othersPerCrash is the number of crashes without the part, in the same
	// period, that raise the number of crashes needed by one. If replicas crash
	// for other reasons, a part may be in several of the prompts by chance.
	othersPerCrash = 8
	// simultaneous is the time within which replicas of one failure domain that
	// crash count as one, because they have a common cause other than a prompt.
	simultaneous = 100 * time.Millisecond
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

// judge returns the bans that explain the crashes of one customer's prompts.
// ownAnswer returns when this entry last had an answer on a part, the zero time
// for never. Each crash is explained by one ban at most: the parts that account
// for most crashes are banned first, so that a sound part that is in the prompts
// of some of these isn't banned with them.
func judge(customer string, crashes []*crash, ownAnswer func(part uint64) time.Time) []*ban {
	var bans []*ban
	for unexplained := crashes; ; {
		against := crashesByPart(unexplained, ownAnswer)
		maps.DeleteFunc(against, func(part uint64, list []*crash) bool {
			return countCrashes(list) < neededForBan(part, list, unexplained, crashes, ownAnswer)
		})
		if len(against) == 0 {
			return bans
		}
		explained := against[mostBlamed(against)]
		b := &ban{customer: customer, crashes: explained}
		for part, list := range against {
			if slices.Equal(list, explained) {
				b.parts = append(b.parts, part)
			}
		}
		slices.Sort(b.parts)
		b.proven = slices.ContainsFunc(explained, func(c *crash) bool { return c.provenBy(b.parts, ownAnswer) })
		bans = append(bans, b)
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c *crash) bool { return slices.Contains(explained, c) })
	}
}

// provenBy reports whether a crash can only be due to the given parts, because
// all others of its prompts were answered.
func (c *crash) provenBy(parts []uint64, ownAnswer func(part uint64) time.Time) bool {
	return !slices.ContainsFunc(c.parts, func(part uint64) bool {
		return !slices.Contains(parts, part) && !c.isAnswered(part) && ownAnswer(part).IsZero()
	})
}

// crashesByPart returns the crashes that count against each part.
func crashesByPart(crashes []*crash, ownAnswer func(part uint64) time.Time) map[uint64][]*crash {
	out := make(map[uint64][]*crash)
	for _, c := range crashes {
		for _, part := range c.parts {
			if c.countsAgainst(part, ownAnswer(part)) {
				out[part] = append(out[part], c)
			}
		}
	}
	return out
}

// countsAgainst reports whether a part wasn't answered since the crash, at the
// others or at this entry.
func (c *crash) countsAgainst(part uint64, ownAnswer time.Time) bool {
	return c.at.After(ownAnswer) && !c.isAnswered(part)
}

// mostBlamed returns the part that most crashes count against.
func mostBlamed(against map[uint64][]*crash) uint64 {
	return slices.MinFunc(slices.Collect(maps.Keys(against)), func(x, y uint64) int {
		return cmp.Or(cmp.Compare(len(against[y]), len(against[x])), cmp.Compare(x, y))
	})
}

// countOthers returns the number of crashes that are not in a list, from its
// first one on.
func countOthers(list, crashes []*crash) int {
	first := slices.MinFunc(list, func(x, y *crash) int { return x.at.Compare(y.at) }).at
	return countCrashes(slices.DeleteFunc(slices.Clone(crashes), func(c *crash) bool {
		return c.at.Before(first) || slices.Contains(list, c)
	}))
}

// countCrashes returns the number of crashes, of which those in the same failure
// domain within the time that begins with the first of them count as one.
func countCrashes(crashes []*crash) int {
	sorted := slices.SortedFunc(slices.Values(crashes), func(x, y *crash) int { return x.at.Compare(y.at) })
	counted := make(map[string]time.Time)
	n := 0
	for _, c := range sorted {
		if at, ok := counted[c.domain]; !ok || c.at.Sub(at) > simultaneous {
			counted[c.domain] = c.at
			n++
		}
	}
	return n
}

// neededForBan returns the number of crashes after which a part is banned, given
// those that count against it and those that no other ban explains.
func neededForBan(part uint64, against, unexplained, all []*crash, ownAnswer func(part uint64) time.Time) int {
	n := crashesNeeded(part, all, ownAnswer(part))
	if len(against) > 0 {
		n += countOthers(against, unexplained) / othersPerCrash
	}
	return n
}

// crashesNeeded returns the number of crashes after which a part is banned if
// nothing else crashes replicas.
func crashesNeeded(part uint64, all []*crash, ownAnswer time.Time) int {
	if ownAnswer.IsZero() && !slices.ContainsFunc(all, func(c *crash) bool { return c.isAnswered(part) }) {
		return minCrashes
	}
	return minCrashesIfAnswered
}
