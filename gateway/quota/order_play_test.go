package quota

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// playKind is a route of deployment A.
type playKind struct {
	urgency             int
	objective, deadline time.Duration
	inTime, late        float64 // worth
}

var (
	shortPrompts = playKind{0, 400 * time.Millisecond, 2500 * time.Millisecond, 2.8, 0.11}
	longPrompts  = playKind{2, 1200 * time.Millisecond, 12 * time.Second, 2.9, 0.44}
)

type playRequest struct {
	playKind
	units   float64
	arrived time.Time
}

// class returns the class of the request among all of its kind.
func (r playRequest) class() int {
	bounds := [sizeClasses - 1]float64{2_728, 3_088}
	if r.urgency > 0 {
		bounds = [sizeClasses - 1]float64{13_300, 20_600}
	}
	class := 0
	for _, bound := range bounds {
		if r.units > bound {
			class++
		}
	}
	return class
}

// playResult counts the requests of one kind or class of sizes.
type playResult struct{ asked, served, inTime float64 }

func (r playResult) fraction() float64 { return r.served / max(1, r.asked) }

// orderPlay plays requests of one customer whose clients return once, after Retry-After
// or a third of the time that they have left.
type orderPlay struct {
	*ownerFleet
	kinds       map[int]*playResult
	classes     map[int]*[sizeClasses]playResult // by urgency
	used, worth float64
	// missing counts the returns that were refused again.
	returned, missing float64
	returns           map[int64][]playRequest
}

func (p *orderPlay) send(r playRequest) {
	e := p.entries[p.ids[p.rng.IntN(len(p.ids))]]
	elapsed := p.now.Sub(r.arrived)
	d := e.Reserve(context.Background(), "a", Request{
		Units: r.units, MaxDelay: 100 * time.Millisecond, Urgency: r.urgency, Objective: r.objective, Remaining: r.deadline - elapsed,
	})
	if elapsed > 0 {
		p.returned++
		if !d.OK {
			p.missing++
		}
	}
	switch {
	case d.OK:
		p.used += r.units
		p.kinds[r.urgency].served++
		p.classes[r.urgency][r.class()].served++
		if elapsed+d.Delay <= r.objective {
			p.worth += r.inTime
			p.kinds[r.urgency].inTime++
		} else {
			p.worth += r.late
		}
	case elapsed == 0:
		at := p.now.Add(min(d.Delay, r.deadline/3)).UnixNano() / int64(fleetStep)
		p.returns[at+1] = append(p.returns[at+1], r)
	}
}

func (p *orderPlay) run(d time.Duration, demand float64) {
	const mean = 0.833*2_368 + 0.167*11_992
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(fleetStep) {
		step := p.now.UnixNano() / int64(fleetStep)
		if step%25 == 0 {
			p.report()
		}
		if step%5 == 0 {
			p.exchange()
		}
		before := p.used
		for _, r := range p.returns[step] {
			p.send(r)
		}
		delete(p.returns, step)
		for owed := demand * p.perSecond * fleetStep.Seconds() / mean; p.rng.Float64() < owed; owed-- {
			r := playRequest{shortPrompts, 568 + 1_800*(0.5+p.rng.Float64()), p.now}
			if p.rng.Float64() < 0.167 {
				r.playKind, r.units = longPrompts, min(60_000, 5_382+6_610*p.rng.ExpFloat64())
			}
			p.kinds[r.urgency].asked++
			p.classes[r.urgency][r.class()].asked++
			p.send(r)
		}
		p.taken = append(p.taken, p.used-before)
	}
}

// bySize returns the served fractions of an urgency by class.
func (p *orderPlay) bySize(urgency int) [sizeClasses]float64 {
	var out [sizeClasses]float64
	for i, r := range p.classes[urgency] {
		out[i] = r.fraction()
	}
	return out
}

func playOrder(entries int, perSecond, demand float64, ordered bool) *orderPlay {
	f := newOwnerFleet(entries, perSecond, 11)
	f.ordered = ordered
	for _, id := range f.ids {
		f.start(id)
	}
	p := &orderPlay{ownerFleet: f, returns: make(map[int64][]playRequest)}
	reset := func() {
		p.kinds = map[int]*playResult{0: {}, 2: {}}
		p.classes = map[int]*[sizeClasses]playResult{0: {}, 2: {}}
		p.used, p.worth, p.returned, p.missing, p.calls = 0, 0, 0, 0, 0
	}
	reset()
	p.run(15*time.Second, demand)
	reset()
	p.run(playSpan(perSecond), demand)
	return p
}

// playSpan is longer for small limits, whose requests are few.
func playSpan(perSecond float64) time.Duration {
	return time.Duration(max(20, 6e6/perSecond)) * time.Second
}

// Guards against urgent requests that are refused for less urgent ones, and against a
// limit that isn't used: one customer of deployment A asks for 5 times its usual demand,
// which is 2.8 times its limit.
func TestUrgentRequestsComeFirstWithinAnExceededLimit(t *testing.T) {
	for _, entries := range playEntries() {
		for _, perSecond := range []float64{36_000, 300_000, 1_600_000} {
			for _, demand := range []float64{1.3, 5 / 1.8} {
				if entries == 9 == (perSecond == 300_000) && *fleetSizes == defaultSizes {
					continue // the others take long, and are run by hand
				}
				t.Run(fmt.Sprintf("%d/%v/%.1f", entries, perSecond, demand), func(t *testing.T) {
					now := playOrder(entries, perSecond, demand, false)
					p := playOrder(entries, perSecond, demand, true)
					for name, r := range map[string]*orderPlay{"first come": now, "ordered": p} {
						t.Logf("%-10s urgent %.3f (in time %.3f), long %.3f, by size %.3f %.3f, used %.3f, worth %.0f a second, returns refused %.3f, calls a request %.2f", name,
							r.kinds[0].fraction(), r.kinds[0].inTime/r.kinds[0].asked, r.kinds[2].fraction(), r.bySize(0), r.bySize(2), r.used/perSecond/playSpan(perSecond).Seconds(),
							r.worth/playSpan(perSecond).Seconds(), r.missing/max(1, r.returned), float64(r.calls)/float64(r.kinds[0].asked+r.kinds[2].asked+r.returned))
					}
					p.checkLimit(t)
					urgent, long := p.kinds[0].fraction(), p.kinds[2].fraction()
					// A few hundred requests of a small limit vary by about 0.02.
					qt.Check(t, urgent >= now.kinds[0].fraction()-0.02, qt.IsTrue)
					qt.Check(t, p.kinds[0].inTime >= 0.97*now.kinds[0].inTime, qt.IsTrue)
					qt.Check(t, urgent >= 0.99 || long <= 0.05, qt.IsTrue)
					qt.Check(t, p.used >= 0.98*now.used, qt.IsTrue)
					qt.Check(t, p.used >= 0.95*perSecond*playSpan(perSecond).Seconds(), qt.IsTrue)
					qt.Check(t, p.worth >= 0.95*now.worth, qt.IsTrue)
					for _, urgency := range []int{0, 2} {
						for _, served := range p.bySize(urgency) {
							qt.Check(t, served >= 0.5*p.kinds[urgency].fraction() || long <= 0.05 && urgency > 0, qt.IsTrue)
						}
					}
				})
			}
		}
	}
}

func playEntries() []int {
	var out []int
	for size := range strings.SplitSeq(*fleetSizes, ",") {
		n, _ := strconv.Atoi(size)
		out = append(out, n)
	}
	return out
}
