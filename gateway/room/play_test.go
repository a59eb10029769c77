package room

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The plays put the load of deployment A on fake engines, in virtual time. CI runs them
// at 58 entries; -entries 9,58,195 runs them at others as well.
var entriesFlag = flag.String("entries", "58", "numbers of entries of the plays")

func forEntries(t *testing.T, f func(t *testing.T, entries int)) {
	for _, n := range []int{9, 58, 195} {
		if slices.Contains(splitList(*entriesFlag), fmt.Sprint(n)) {
			t.Run(fmt.Sprintf("entries=%d", n), func(t *testing.T) { f(t, n) })
		}
	}
}

func (s scenario) with(p policy, entries int) scenario {
	s.policy, s.entries, s.seed = p, entries, 1
	return s
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[len(v)/2]
}

// together is the load with everything at once.
var together = scenario{burst: true, large: true, domainLost: true, limited: true, impatient: 0.3}

// shortages are the loads that are far beyond the engines.
var shortages = map[string]scenario{
	"burst at twice the load": {load: 2, burst: true},
	"burst and domain lost":   {load: 1.5, burst: true, domainLost: true},
	"everything at once":      together,
}

// TestEverythingIsAdmittedWhereThereIsRoom guards against the worst failure of
// admission control: refusals while there is room, also where the estimate of the work
// is far off.
func TestEverythingIsAdmittedWhereThereIsRoom(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		for name, s := range map[string]scenario{
			"calm": {}, "burst": {burst: true}, "engines frozen": {frozen: true}, "large customer": {large: true}, "domain lost": {domainLost: true},
			"work estimated at double": {burst: true, estimate: 2}, "work estimated at half": {burst: true, estimate: 0.5},
			"no views": {burst: true, fault: func(_ *play, _ int, _ float64, v *View) { v.Known = false }},
		} {
			before, p := s.with(current, entries).run(), s.with(withRoom, entries).run()
			t.Logf("%s: worth %.4f of %.4f, %d of %d refused", name, p.worth/p.possible, before.worth/before.possible, p.firstRefused, p.asked)
			qt.Check(t, p.worth >= 0.99*before.worth, qt.IsTrue, qt.Commentf("%s", name))
			most := 0.001
			if s.estimate != 0 {
				most = 0.01
			}
			qt.Check(t, float64(p.firstRefused) <= most*float64(p.asked), qt.IsTrue, qt.Commentf("%s: %d refused", name, p.firstRefused))
		}
	})
}

// TestMoreWorthIsServedWhereRoomIsShort guards against queues in which everything is
// late.
func TestMoreWorthIsServedWhereRoomIsShort(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		for name, s := range shortages {
			before, first, p := s.with(current, entries).run(), s.with(firstCome, entries).run(), s.with(withRoom, entries).run()
			t.Logf("%s: %.3f of the current code, %.3f of first come; worth %.3f", name, p.worth/before.worth, p.worth/first.worth, p.worth/p.possible)
			qt.Check(t, p.worth >= 1.25*before.worth, qt.IsTrue, qt.Commentf("%s", name))
			qt.Check(t, p.worth >= 1.25*first.worth, qt.IsTrue, qt.Commentf("%s", name))
		}
	})
}

// TestSlightShortageLosesNothing plays a burst in which a third of the engines is lost,
// which the code without room serves for the most part. It guards against refusals that
// cost more than they gain.
func TestSlightShortageLosesNothing(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		s := scenario{burst: true, domainLost: true}
		before, p := s.with(current, entries).run(), s.with(withRoom, entries).run()
		t.Logf("worth %.3f, %.3f by the current code; %d of %d refused", p.worth/p.possible, before.worth/before.possible, p.firstRefused, p.asked)
		qt.Check(t, p.worth >= before.worth, qt.IsTrue)
	})
}

// TestSmallCustomersKeepTheirShare guards against a large customer that harms others.
func TestSmallCustomersKeepTheirShare(t *testing.T) {
	part := func(p *play) float64 {
		worth, possible := 0.0, 0.0
		for c := 2; c < 16; c++ {
			worth, possible = worth+p.byCustomer[c], possible+p.possibleBy[c]
		}
		return worth / possible
	}
	forEntries(t, func(t *testing.T, entries int) {
		for _, load := range []float64{2.5, 3} {
			t.Run(fmt.Sprintf("load=%v", load), func(t *testing.T) {
				without := part(scenario{load: load}.with(withRoom, entries).run())
				with := part(scenario{load: load, large: true}.with(withRoom, entries).run())
				before := part(scenario{load: load, large: true}.with(current, entries).run())
				t.Logf("the others get %.3f, without the large customer %.3f, by the current code %.3f", with, without, before)
				qt.Check(t, with >= 0.9*without, qt.IsTrue)
			})
		}
	})
}

// TestFloorsAndOrder guards against classes that are served nothing, and urgent
// requests that are refused while others are served.
func TestFloorsAndOrder(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		for name, s := range shortages {
			p := s.with(withRoom, entries).run()
			for from := 5; from+8 <= 22; from++ {
				served := func(class string) float64 {
					return p.servedBy.in(class, from, from+8) / p.askedBy.in(class, from, from+8)
				}
				for class := range p.askedBy {
					if p.askedBy.in(class, from, from+8) >= 100 {
						qt.Check(t, served(class) >= 0.25*served("all"), qt.IsTrue, qt.Commentf("%s from %v: %s %.3f of %.3f", name, from, class, served(class), served("all")))
					}
				}
				qt.Check(t, served("urgency 2") <= served("urgency 0")+0.05, qt.IsTrue, qt.Commentf("%s from %v: %.3f and %.3f", name, from, served("urgency 2"), served("urgency 0")))
			}
		}
	})
}

// TestImpatientClientsGetNoMore guards against room for clients that ignore
// Retry-After.
func TestImpatientClientsGetNoMore(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		p := scenario{load: 2, burst: true, impatient: 0.3}.with(withRoom, entries).run()
		served := func(class string) float64 { return p.servedBy.in(class, 5, 15) / p.askedBy.in(class, 5, 15) }
		impatient, patient := served("impatient true"), served("impatient false")
		t.Logf("impatient %.3f, patient %.3f", impatient, patient)
		qt.Check(t, impatient <= patient+0.01, qt.IsTrue)
	})
}

// TestRetryAfterIsAccurate guards against clients that come back before there is room,
// or long after.
func TestRetryAfterIsAccurate(t *testing.T) {
	forEntries(t, func(t *testing.T, entries int) {
		for name, s := range shortages {
			p := s.with(withRoom, entries).run()
			t.Logf("%s: of %v clients that came back when they were told to, late and soon, %v were admitted", name, p.came, p.cameInTime)
			t.Logf("%s: median error %.2f of all (%d), %.2f of those within a second (%d)", name, median(p.errors), len(p.errors), median(p.soonErrors), len(p.soonErrors))
			t.Run("within a second/"+name, func(t *testing.T) { qt.Check(t, median(p.soonErrors) < 0.3, qt.IsTrue) })
			t.Run("admitted/"+name, func(t *testing.T) { qt.Check(t, float64(p.cameInTime[1]) >= 0.7*float64(p.came[1]), qt.IsTrue) })
			t.Run("all/"+name, func(t *testing.T) { qt.Check(t, median(p.errors) < 0.3, qt.IsTrue) })
		}
	})
}
