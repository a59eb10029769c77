package rollout

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// A slow version of a service with few requests is completed, because the old version has
// too few recent answers for a comparison of times.
func TestTimesAreComparedAtFewRequests(t *testing.T) {
	for _, test := range []struct {
		octaves    int
		from, upTo float64
	}{{2, badBound, 100}, {0, goodFloor, 0}} {
		h, s := &history{}, &score{}
		for range 40 {
			w := peer.VersionEvidence{Answered: 3, First: map[int]int{0: 1, 1: 1, 2: 1}}
			h.update(w, 0, windowLength)
			s.add(h.compare(peer.VersionEvidence{Answered: 1, First: map[int]int{1 + bucketsPerOctave*test.octaves: 1}}, 0))
		}
		qt.Check(t, s.First >= test.from && s.First <= test.upTo, qt.IsTrue, qt.Commentf("%d octaves: %v", test.octaves, s.First))
		qt.Check(t, s.First != 0, qt.IsTrue, qt.Commentf("no time was compared"))
	}
}
