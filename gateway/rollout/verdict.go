package rollout

import (
	"fmt"
	"maps"
	"slices"
)

const (
	// A version is proved when its verdict is due if the whole sum of its failures is at
	// most provedFailures, or provedPerAnswer for each answer if there are few of them,
	// the sum with a floor at most provedRecent, and those of the times at most
	// provedTimes, by provedAnswers. At the last moment, lastFailures, lastRecent and
	// leastAnswers will do. Routes, with fewer answers, may have sums up to provedRoute.
	provedFailures, provedPerAnswer, lastFailures = -3.0, -0.02, 1.0
	provedRecent, lastRecent                      = 0.0, 3.0
	provedTimes, provedRoute                      = 0.0, 4.0
	provedAnswers                                 = 150
	// movingBound is the sum of failures from which on a version is closed while the
	// requests move. It is higher than badBound, because no answers of the old version
	// show whether a fault affects both.
	movingBound = 20
)

// bad reports whether a test proves that the version is bad, and which one.
func (e *evidence) bad() (string, bool) {
	for _, route := range slices.Sorted(maps.Keys(e.scores)) {
		if name, sum := e.scores[route].worst(); sum >= badBound {
			return fmt.Sprintf("bad on route %q by %s (%.1f, %d answers)", route, name, sum, e.scores[route].Answers), true
		}
	}
	if name, sum := e.total.worst(); sum >= badBound {
		return fmt.Sprintf("bad by %s (%.1f, %d answers)", name, sum, e.total.Answers), true
	}
	return "", false
}

// badWhileMoving reports whether failures while the requests move prove that the
// version is bad.
func (e *evidence) badWhileMoving() (string, bool) {
	for _, route := range slices.Sorted(maps.Keys(e.scores)) {
		if s := e.scores[route]; s.Failures >= movingBound {
			return fmt.Sprintf("bad on route %q by failures while requests moved (%.1f, %d answers)", route, s.Failures, s.Answers), true
		}
	}
	return "", false
}

// good reports whether the version is proved, and why not. last is set at the last
// moment for a verdict.
func (e *evidence) good(last bool) (string, bool) {
	t, limit, recent, answers := e.total, provedFailures, provedRecent, provedAnswers
	if last {
		limit, recent, answers = lastFailures, lastRecent, leastAnswers
	}
	switch {
	case t.Answers < answers:
		return fmt.Sprintf("not proved: %d answers", t.Answers), false
	case t.Whole > max(limit, provedPerAnswer*float64(t.Answers)), t.Failures > recent:
		return fmt.Sprintf("not proved by failures (%.1f, lately %.1f, %d answers)", t.Whole, t.Failures, t.Answers), false
	case max(t.First, t.Pace) > provedTimes:
		return fmt.Sprintf("not proved by times (%.1f and %.1f, %d answers)", t.First, t.Pace, t.Answers), false
	}
	for _, route := range slices.Sorted(maps.Keys(e.scores)) {
		if name, sum := e.scores[route].worst(); sum > provedRoute {
			return fmt.Sprintf("not proved on route %q by %s (%.1f, %d answers)", route, name, sum, e.scores[route].Answers), false
		}
	}
	return "", true
}

// provedEarly reports whether the evidence suffices before the verdict is due.
func (e *evidence) provedEarly() bool {
	_, good := e.good(false)
	return good && e.total.Answers >= minAnswers && e.total.Failures <= goodFloor+1
}
