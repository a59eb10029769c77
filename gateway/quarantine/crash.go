package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxParts is the number of shared parts of a prompt that are considered.
	// Those at its end are shared with the fewest other prompts.
	maxParts = 32
	// maxStrongParts and maxWeakParts bound the parts of one crash.
	maxStrongParts = 2 * maxParts
	maxWeakParts   = 4 * maxParts
	// justAnswered is how long after an answer on a part a crash is no weak evidence
	// against it. It keeps the parts of most prompts out of the evidence.
	justAnswered = 2 * time.Second
	// settlingTime is how long weak evidence waits for answers that clear its parts,
	// before it counts. An announcement of answers takes maxAnnounceDelay and the
	// way from entry to entry.
	settlingTime = maxAnnounceDelay + 400*time.Millisecond
	// settlingTimeIfAnswered is that time for a part that was answered before.
	settlingTimeIfAnswered = 2 * settlingTime
)

// crashKey identifies the crash of one incarnation of a replica, as evidence on
// the parts of one customer.
type crashKey struct {
	customer, replica string
	// number is the incarnation of the replica.
	number int64
}

// crash is evidence against prompt parts. It is replaced and never modified.
type crash struct {
	crashKey
	service, version, domain string
	// strong are the shared parts of all requests whose answers the replica
	// was beginning when it crashed, and weak the prompts of those that waited or
	// whose answers had just begun. Both are sorted and without duplicates.
	strong []uint64
	weak   []weakPrompt
	// at is the time of the crash by the clock of this process.
	at time.Time
	// refuted is set if the replica is known to have lived on until at. There is no
	// evidence then.
	refuted bool
	// all is the result of parts, nil before the first call.
	all []uint64
}

// weakPrompt holds the shared parts of a request that a crashed replica held.
type weakPrompt struct {
	parts []uint64
	// knownAt is when this entry learned of it.
	knownAt time.Time
}

func (p weakPrompt) hasPart(part uint64) bool {
	_, found := slices.BinarySearch(p.parts, part)
	return found
}

// isStrongAgainst reports whether the crash is strong evidence against a part,
// whether or not it was answered since.
func (c *crash) isStrongAgainst(part uint64) bool {
	_, found := slices.BinarySearch(c.strong, part)
	return found
}

// hasPart reports whether the crash is evidence against a part, whether or not it
// was answered since.
func (c *crash) hasPart(part uint64) bool {
	return c.isStrongAgainst(part) || slices.ContainsFunc(c.weak, func(p weakPrompt) bool { return p.hasPart(part) })
}

// countsBy reports whether the crash counts against one of its parts at a time:
// strong evidence at once, weak evidence after a time.
func (c *crash) countsBy(now time.Time, part uint64, settling time.Duration) bool {
	return c.isStrongAgainst(part) || slices.ContainsFunc(c.weak, func(p weakPrompt) bool {
		return p.hasPart(part) && now.Sub(p.knownAt) >= settling
	})
}

// settlesAt returns when the next weak evidence begins to count, the zero time if
// all of it does.
func (c *crash) settlesAt(now time.Time) time.Time {
	var next time.Time
	for _, p := range c.weak {
		for _, settling := range []time.Duration{settlingTime, settlingTimeIfAnswered} {
			if at := p.knownAt.Add(settling); at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next
}

// parts returns all parts that the crash is evidence against. They must not be
// modified.
func (c *crash) parts() []uint64 {
	if c.all == nil {
		all := slices.Clone(c.strong)
		for _, p := range c.weak {
			all = append(all, p.parts...)
		}
		slices.Sort(all)
		c.all = slices.Compact(all)
	}
	return c.all
}

// inOnePrompt reports whether a prompt of the crash may have had both parts.
func (c *crash) inOnePrompt(x, y uint64) bool {
	return c.isStrongAgainst(x) && c.isStrongAgainst(y) ||
		slices.ContainsFunc(c.weak, func(p weakPrompt) bool { return p.hasPart(x) && p.hasPart(y) })
}

// merge returns the crash with what another entry knows of it, and false if
// that is nothing new. If there is too much, the parts that most of the other
// crashes are evidence against are kept.
func (c *crash) merge(o *crash, others []*crash) (*crash, bool) {
	merged := *c
	switch {
	case o.refuted:
		if c.refuted || o.at.Before(c.at) {
			return c, false
		}
		return o, true
	case c.refuted:
		// It may crash later.
		if o.at.After(c.at) {
			return o, true
		}
		return c, false
	}
	merged.strong, merged.weak = union(c.strong, o.strong), unionOfPrompts(c.weak, o.weak)
	merged.all = nil
	merged.bound(others)
	return &merged, !merged.sameEvidence(c)
}

// sameEvidence reports whether two records of a crash hold the same evidence.
func (c *crash) sameEvidence(o *crash) bool {
	return c.refuted == o.refuted && slices.Equal(c.strong, o.strong) && slices.EqualFunc(c.weak, o.weak, func(x, y weakPrompt) bool { return slices.Equal(x.parts, y.parts) })
}

// bound drops what exceeds the bounds of one crash.
func (c *crash) bound(others []*crash) {
	weakParts := 0
	for _, p := range c.weak {
		weakParts += len(p.parts)
	}
	if len(c.strong) <= maxStrongParts && weakParts <= maxWeakParts {
		return
	}
	in := make(map[uint64]int)
	for _, o := range others {
		if o.crashKey == c.crashKey {
			continue
		}
		for _, part := range o.parts() {
			in[part]++
		}
	}
	c.strong = slices.SortedFunc(slices.Values(c.strong), func(x, y uint64) int {
		return cmp.Or(in[y]-in[x], cmp.Compare(c.rank(x), c.rank(y)))
	})
	c.strong = c.strong[:min(len(c.strong), maxStrongParts)]
	slices.Sort(c.strong)
	most := func(p weakPrompt) int {
		n := 0
		for _, part := range p.parts {
			n = max(n, in[part])
		}
		return n
	}
	byCount := slices.SortedFunc(slices.Values(c.weak), func(x, y weakPrompt) int {
		return cmp.Or(most(y)-most(x), cmp.Compare(c.rank(x.parts...), c.rank(y.parts...)))
	})
	c.weak, weakParts = nil, 0
	for _, p := range byCount {
		if weakParts += len(p.parts); weakParts > maxWeakParts {
			break
		}
		c.weak = append(c.weak, p)
	}
	slices.SortFunc(c.weak, comparePrompts)
}

// rank orders parts differently for each crash, so that none is dropped from all.
func (c *crash) rank(parts ...uint64) uint64 {
	h := xxhash.Sum64String(c.replica) + uint64(c.number)
	for _, p := range parts {
		h = (h ^ p) * 0x9e3779b97f4a7c15
		h ^= h >> 32
	}
	return h
}

// union returns the sorted union of two lists.
func union(x, y []uint64) []uint64 {
	out := slices.Concat(x, y)
	slices.Sort(out)
	return slices.Compact(out)
}

func comparePrompts(x, y weakPrompt) int { return slices.Compare(x.parts, y.parts) }

// unionOfPrompts returns the sorted union of two lists of prompts, each with the
// earlier of its times.
func unionOfPrompts(x, y []weakPrompt) []weakPrompt {
	out := slices.Concat(x, y)
	slices.SortFunc(out, func(x, y weakPrompt) int { return cmp.Or(comparePrompts(x, y), x.knownAt.Compare(y.knownAt)) })
	return slices.CompactFunc(out, func(x, y weakPrompt) bool { return slices.Equal(x.parts, y.parts) })
}

// sharedWithOthers returns for each crash the most other crashes that count against
// one of its parts.
func sharedWithOthers(crashes []*crash, known answers) map[*crash]int {
	against := crashesByPart(crashes, known)
	out := make(map[*crash]int)
	for list := range maps.Values(against) {
		for _, c := range list {
			out[c] = max(out[c], len(list)-1)
		}
	}
	return out
}
