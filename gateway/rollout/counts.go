package rollout

import (
	"maps"
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxRoutes bounds the routes with evidence of their own. The others are
	// counted together as otherRoutes.
	maxRoutes   = 12
	otherRoutes = "other"
	// bucketsPerOctave is the number of histogram buckets between a time and its
	// double, and maxBucket bounds their numbers.
	bucketsPerOctave = 2
	maxBucket        = 40
)

// Result is how an attempt ended, as evidence on the version of its replica.
type Result int

// Results of an attempt.
const (
	// Ignored is the result of attempts that say nothing about the version, such
	// as refused and cancelled ones.
	Ignored Result = iota
	Answered
	Failed
	// Broken is the result of attempts that got no complete answer, because the
	// connection failed or bytes were missing.
	Broken
)

// Answer describes the end of an attempt.
type Answer struct {
	Result Result
	// First is the time to the first token relative to the predicted one, or the
	// time of the whole answer in seconds, and Pace the time between tokens in
	// seconds. 0 means that it isn't known, or says nothing about the version.
	First, Pace float64
}

// counts are the totals of one entry since it learnt of an order.
type counts struct {
	requests, returned int
	routes             map[string]peer.RolloutEvidence
}

func (c *counts) add(route string, isNew bool, id string, a Answer) {
	if c.routes == nil {
		c.routes = make(map[string]peer.RolloutEvidence)
	}
	if _, known := c.routes[route]; !known && len(c.routes) >= maxRoutes {
		route = otherRoutes
	}
	e := c.routes[route]
	v := &e.Old
	if isNew {
		v = &e.New
	}
	switch a.Result {
	case Answered:
		v.Answered++
		v.First, v.Pace = observe(v.First, a.First), observe(v.Pace, a.Pace)
	case Failed:
		v.Failed++
	case Broken:
		if v.Broken == nil {
			v.Broken = make(map[string]int)
		}
		v.Broken[id]++
	}
	c.routes[route] = e
}

// observe counts a time in a histogram.
func observe(h map[int]int, v float64) map[int]int {
	if v <= 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return h
	}
	if h == nil {
		h = make(map[int]int)
	}
	bucket := int(math.Floor(bucketsPerOctave * math.Log2(v)))
	h[min(max(bucket, -maxBucket), maxBucket)]++
	return h
}

// clone returns a copy that later attempts don't change.
func (c *counts) clone() map[string]peer.RolloutEvidence {
	out := make(map[string]peer.RolloutEvidence, len(c.routes))
	for route, e := range c.routes {
		out[route] = peer.RolloutEvidence{New: cloneVersion(e.New), Old: cloneVersion(e.Old)}
	}
	return out
}

// changedSince returns a copy of the evidence without the numbers that are as in before.
func changedSince(before, now map[string]peer.RolloutEvidence) map[string]peer.RolloutEvidence {
	out := make(map[string]peer.RolloutEvidence)
	for route, e := range now {
		b := before[route]
		changed := peer.RolloutEvidence{New: changedVersion(b.New, e.New), Old: changedVersion(b.Old, e.Old)}
		if !isEmpty(changed.New) || !isEmpty(changed.Old) {
			out[route] = changed
		}
	}
	return out
}

func changedVersion(before, now peer.VersionEvidence) peer.VersionEvidence {
	out := peer.VersionEvidence{
		Broken: changedCounts(before.Broken, now.Broken), First: changedCounts(before.First, now.First), Pace: changedCounts(before.Pace, now.Pace),
	}
	if now.Answered != before.Answered {
		out.Answered = now.Answered
	}
	if now.Failed != before.Failed {
		out.Failed = now.Failed
	}
	return out
}

func changedCounts[K comparable](before, now map[K]int) map[K]int {
	var out map[K]int
	for k, n := range now {
		if n != before[k] {
			if out == nil {
				out = make(map[K]int)
			}
			out[k] = n
		}
	}
	return out
}

func isEmpty(v peer.VersionEvidence) bool {
	return v.Answered == 0 && v.Failed == 0 && len(v.Broken) == 0 && len(v.First) == 0 && len(v.Pace) == 0
}

// withChanges returns a copy of the evidence with the numbers of a report that left some
// out. Numbers only grow: a lower one comes from a report that was delayed.
func withChanges(known, changes map[string]peer.RolloutEvidence) map[string]peer.RolloutEvidence {
	if len(changes) == 0 {
		return known
	}
	out := maps.Clone(known)
	if out == nil {
		out = make(map[string]peer.RolloutEvidence)
	}
	for route, c := range changes {
		k := out[route]
		out[route] = peer.RolloutEvidence{New: versionWithChanges(k.New, c.New), Old: versionWithChanges(k.Old, c.Old)}
	}
	return out
}

func versionWithChanges(known, c peer.VersionEvidence) peer.VersionEvidence {
	return peer.VersionEvidence{
		Answered: max(known.Answered, c.Answered), Failed: max(known.Failed, c.Failed),
		Broken: withHigher(known.Broken, c.Broken), First: withHigher(known.First, c.First), Pace: withHigher(known.Pace, c.Pace),
	}
}

func withHigher[K comparable](known, changes map[K]int) map[K]int {
	out := maps.Clone(known)
	if out == nil {
		out = make(map[K]int)
	}
	for k, n := range changes {
		out[k] = max(out[k], n)
	}
	return out
}

func cloneVersion(v peer.VersionEvidence) peer.VersionEvidence {
	v.Broken, v.First, v.Pace = maps.Clone(v.Broken), maps.Clone(v.First), maps.Clone(v.Pace)
	return v
}

// Begin counts an attempt as in progress at a replica, before Check.
func (p Pass) Begin(r *replica.Replica) {
	if p.gate == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.serviceLocked(p.service).inFlight[r.Version]++
}

// End records how an attempt ended that Begin counted.
func (p Pass) End(now time.Time, r *replica.Replica, a Answer) {
	if p.gate == nil {
		return
	}
	if r.ColdRemaining > now.Sub(r.Seen) {
		// A replica that has just started is slow with any version.
		a.First, a.Pace = 0, 0
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	s := p.gate.serviceLocked(p.service)
	if s.inFlight[r.Version]--; s.inFlight[r.Version] <= 0 {
		delete(s.inFlight, r.Version)
	}
	if s.final() || s.state == nil || s.state.stage.Final() || a.Result == Ignored {
		return
	}
	s.counts.add(p.route, r.Version == s.state.to, r.ID, a)
}
