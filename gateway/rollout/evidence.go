package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxReporters bounds the incarnations of entries whose reports are kept.
	maxReporters = 1000
	// crashSpread is the time over which the reports of the answers that one crash broke
	// off may be spread.
	crashSpread = 2 * time.Second
)

// evidence sums up the reports of all entries on one order and judges them window by
// window.
type evidence struct {
	// routes are the totals that the last window ended with.
	routes map[string]peer.RolloutEvidence
	old    map[string]*history
	scores map[string]*score
	total  score
	// failed counts the bad answers of the new version.
	failed int
	// at is the sum of the lengths of all windows, and brokenAt that at which a broken
	// answer of a replica counted last.
	at       time.Duration
	brokenAt map[string]time.Duration
}

func newEvidence() *evidence {
	return &evidence{routes: make(map[string]peer.RolloutEvidence), old: make(map[string]*history), scores: make(map[string]*score), brokenAt: make(map[string]time.Duration)}
}

// SavedEvidence is the evidence on the new version in the table.
type SavedEvidence struct {
	Scores map[string]score `json:"scores,omitempty"`
	Total  score            `json:"total"`
	// New are the answers of the new version that were judged, by route.
	New map[string]peer.VersionEvidence `json:"new,omitempty"`
	// Failed is the number of bad answers.
	Failed int `json:"failed,omitempty"`
}

// saved returns the evidence for the table.
func (e *evidence) saved() *SavedEvidence {
	out := &SavedEvidence{Scores: make(map[string]score), Total: e.total, New: make(map[string]peer.VersionEvidence), Failed: e.failed}
	for route, s := range e.scores {
		out.Scores[route] = *s
	}
	for route, r := range e.routes {
		if r.New.Answered+r.New.Failed+len(r.New.Broken) > 0 {
			out.New[route] = r.New
		}
	}
	return out
}

// restore continues from the evidence in the table.
func (e *evidence) restore(s *SavedEvidence) {
	if s == nil {
		return
	}
	e.total, e.failed = s.Total, s.Failed
	for route, sum := range s.Scores {
		e.old[route], e.scores[route] = &history{}, &sum
	}
	for route, v := range s.New {
		e.routes[route] = peer.RolloutEvidence{New: v}
	}
}

// restarted reports whether most of the answers in the last totals are missing from
// those of now, because the entries that reported them have restarted.
func restarted(now, last peer.VersionEvidence) bool {
	return 2*(now.Answered+now.Failed) < last.Answered+last.Failed
}

// window judges what was reported since the last window, given the totals and the length
// of the window.
func (e *evidence) window(totals map[string]peer.RolloutEvidence, length time.Duration) {
	e.at += length
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		last, now := e.routes[route], totals[route]
		if restarted(now.New, last.New) {
			last.New = peer.VersionEvidence{}
		}
		if e.old[route] == nil {
			e.old[route], e.scores[route] = &history{}, &score{}
		}
		oldPart, oldBroken := e.difference(now.Old, last.Old)
		newPart, newBroken := e.difference(now.New, last.New)
		e.old[route].update(oldPart, oldBroken, length)
		d := e.old[route].compare(newPart, newBroken)
		e.scores[route].add(d)
		e.total.add(d)
		e.failed += newPart.Failed + newBroken
	}
	e.routes = totals
}

// difference returns what was added to the totals. The broken answers of one replica
// in crashSpread count as one, because a crash breaks off all that it holds.
func (e *evidence) difference(now, last peer.VersionEvidence) (peer.VersionEvidence, int) {
	broken := 0
	for id, n := range now.Broken {
		if n <= last.Broken[id] {
			continue
		}
		if at, counted := e.brokenAt[id]; !counted || e.at-at >= crashSpread {
			e.brokenAt[id] = e.at
			broken++
		}
	}
	return peer.VersionEvidence{
		Answered: max(0, now.Answered-last.Answered), Failed: max(0, now.Failed-last.Failed),
		First: subtract(now.First, last.First), Pace: subtract(now.Pace, last.Pace),
	}, broken
}

func subtract(now, last map[int]int) map[int]int {
	out := make(map[int]int)
	for b, n := range now {
		if d := n - last[b]; d > 0 {
			out[b] = d
		}
	}
	return out
}

// totalsOf adds up the evidence of all reports.
func totalsOf(reports map[reporter]*lastReport) map[string]peer.RolloutEvidence {
	out := make(map[string]peer.RolloutEvidence)
	for _, r := range reports {
		for route, e := range r.Routes {
			sum, known := out[route]
			if !known && len(out) > 2*maxRoutes {
				continue
			}
			addVersion(&sum.New, e.New)
			addVersion(&sum.Old, e.Old)
			out[route] = sum
		}
	}
	return out
}

func addVersion(sum *peer.VersionEvidence, v peer.VersionEvidence) {
	sum.Answered += max(0, v.Answered)
	sum.Failed += max(0, v.Failed)
	addCounts(&sum.Broken, v.Broken)
	addCounts(&sum.First, v.First)
	addCounts(&sum.Pace, v.Pace)
}

func addCounts[K comparable](sum *map[K]int, counts map[K]int) {
	if *sum == nil {
		*sum = make(map[K]int, len(counts))
	}
	for k, n := range counts {
		(*sum)[k] += max(0, n)
	}
}
