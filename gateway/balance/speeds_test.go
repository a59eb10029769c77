package balance

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/speed"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

var (
	speedSeconds = flag.Int("speeds.seconds", 60, "seconds of load of TestFleetUsesSpeeds")
	speedWarm    = flag.Int("speeds.warm", 40, "seconds of TestFleetUsesSpeeds before the measurement")
	speedSeed    = flag.Uint64("speeds.seed", 1, "seed of TestFleetUsesSpeeds")
)

// The load of a deployment of 78 entries before 90 engines, a third of which is 2.4
// times as fast as the others.
const (
	mixedEntries, mixedEngines     = 78, 90
	mixedSlots, mixedChunk         = 16, 2048
	mixedTokensPerMS               = 101.0
	mixedStepMS, mixedStepPerRunMS = 2.97, 0.0222
	mixedLongRate, mixedShortRate  = 196.0, 535.0
	mixedParts                     = 60
	spellLength, spellFraction     = 600 * time.Millisecond, 0.15
	spellFactor                    = 2.5
	mixedLongGoal, mixedShortGoal  = 600 * time.Millisecond, 400 * time.Millisecond
	mixedCacheTTL                  = 20 * time.Second
)

var mixedSpeeds = []float64{0.7, 0.7, 1.7}

// mixedRequest is a request at an engine.
type mixedRequest struct {
	sent            time.Duration
	long            bool
	part            uint64
	shared, own     int
	prefill, decode int
	measured        bool
	ticket          *Ticket
}

// mixedEngine processes a chunk of the most urgent prompt in each decode step.
type mixedEngine struct {
	f                *mixedFleet
	number           int
	waiting, running []*mixedRequest
	cached           map[uint64]time.Duration
	busy             bool
}

// mixedFleet simulates the deployment.
type mixedFleet struct {
	now         time.Duration
	began       time.Time
	queue       events
	random      *rand.Rand
	engines     []*mixedEngine
	entries     []*Balancer
	speeds      []*speed.Estimator
	byID        map[string]*mixedEngine
	short, long []time.Duration
	uncached    int
}

func newMixedFleet(seed uint64) *mixedFleet {
	f := &mixedFleet{random: rand.New(rand.NewPCG(seed, 4)), began: time.Now(), byID: make(map[string]*mixedEngine)}
	set := replica.NewSet(nolog.Or(nil))
	for i := range mixedEngines {
		id := fmt.Sprintf("r%02d", i)
		set.Put(replica.Registration{ID: id, Service: "s", FailureDomain: "d", Slots: mixedSlots})
		e := &mixedEngine{f: f, number: i, cached: make(map[uint64]time.Duration)}
		f.engines, f.byID[id] = append(f.engines, e), e
	}
	for i := range mixedEntries {
		s := NewSpeeds(set, Options{})
		f.speeds = append(f.speeds, s)
		f.entries = append(f.entries, New(set, Options{FailureDomain: "d", Seed: uint64(i), Speeds: s, Log: nolog.Or(nil)}))
	}
	return f
}

func (f *mixedFleet) at(at time.Duration, do func()) { heap.Push(&f.queue, event{at, do}) }

func (f *mixedFleet) every(period time.Duration, do func()) {
	f.at(f.now+period, func() { do(); f.every(period, do) })
}

func (f *mixedFleet) arrivals(perSecond float64, do func()) {
	f.at(f.now+time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() { do(); f.arrivals(perSecond, do) })
}

// run runs the load. share makes the entries share their samples of speeds.
func (f *mixedFleet) run(share bool) {
	f.arrivals(mixedLongRate, func() { f.send(true) })
	f.arrivals(mixedShortRate, func() { f.send(false) })
	f.every(fleetExchange, func() { exchangeFleetLoads(f.entries, true) })
	if share {
		f.every(time.Second, f.exchangeSpeeds)
	}
	for end := time.Duration(*speedSeconds) * time.Second; f.now < end; {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		time.Sleep(time.Until(f.began.Add(f.now)))
		e.do()
	}
	slices.Sort(f.short)
	slices.Sort(f.long)
}

// exchangeSpeeds hands each entry the sum of all samples. The entry's own are one in
// eighty of them.
func (f *mixedFleet) exchangeSpeeds() {
	total := make(map[string]peer.SpeedSamples)
	for _, s := range f.speeds {
		for id, samples := range s.Report(time.Now()) {
			total[id] = total[id].Plus(samples)
		}
	}
	for _, s := range f.speeds {
		s.SetPeers(time.Now(), total, 800*time.Millisecond)
	}
}

func (f *mixedFleet) send(long bool) {
	r := &mixedRequest{sent: f.now, long: long, part: uint64(f.random.IntN(mixedParts)), shared: 568, own: 1800, decode: 27}
	if long {
		r.part += mixedParts
		r.shared, r.decode = 5382, 378
		r.own = int(min(54_600, math.Exp(math.Log(6610)-0.32+0.8*f.random.NormFloat64())))
	}
	q := Query{
		Service: "s", Slots: mixedSlots, Parts: []Part{{ID: r.part, Tokens: r.shared}}, PromptTokens: r.shared + r.own,
		LatencyObjective: mixedShortGoal,
	}
	b := f.entries[f.random.IntN(len(f.entries))]
	c, err := b.Choose(q)
	if err != nil {
		panic(err)
	}
	if b.NeedsCentralPlacement(q, c) {
		if p, err := f.entries[0].Place(q); err == nil {
			if placed, ok := b.ChoiceOf(q, p, c); ok {
				c = placed
			}
		}
	}
	r.measured = f.now > time.Duration(*speedWarm)*time.Second
	r.ticket = b.Begin(q, c)
	e := f.byID[c.Replica.ID]
	e.waiting = append(e.waiting, r)
	e.start()
}

// spellFactorAt returns the slowness of an engine's spells.
func (e *mixedEngine) spellFactorAt(now time.Duration) float64 {
	if rand.New(rand.NewPCG(uint64(e.number), uint64(now/spellLength))).Float64() < spellFraction {
		return spellFactor
	}
	return 1
}

func urgentFirst(x, y *mixedRequest) int {
	switch {
	case x.long == y.long:
		return 0
	case y.long:
		return -1
	default:
		return 1
	}
}

// start begins the next step if the engine is idle.
func (e *mixedEngine) start() {
	if e.busy {
		return
	}
	slices.SortStableFunc(e.waiting, urgentFirst)
	for len(e.waiting) > 0 && len(e.running) < mixedSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		r.prefill = r.own
		if used, ok := e.cached[r.part]; !ok || e.f.now-used > mixedCacheTTL {
			r.prefill += r.shared
			if r.measured {
				e.f.uncached += r.shared
			}
		}
		e.cached[r.part] = e.f.now
		e.running = append(e.running, r)
	}
	if len(e.running) == 0 {
		return
	}
	var next *mixedRequest
	decoding := 0
	for _, r := range e.running {
		if r.prefill == 0 {
			decoding++
		} else if next == nil || urgentFirst(r, next) < 0 {
			next = r
		}
	}
	ms, chunk := 0.0, 0
	if decoding > 0 {
		ms = mixedStepMS + mixedStepPerRunMS*float64(decoding)
	}
	if next != nil {
		chunk = min(mixedChunk, next.prefill)
		ms += float64(chunk) / mixedTokensPerMS
	}
	ms *= e.spellFactorAt(e.f.now) / mixedSpeeds[e.number%len(mixedSpeeds)]
	e.busy = true
	e.f.at(e.f.now+time.Duration(ms*float64(time.Millisecond)), func() { e.finish(next, chunk) })
}

// finish ends a step: one token of each running request, and a chunk of a prompt.
func (e *mixedEngine) finish(next *mixedRequest, chunk int) {
	e.busy = false
	kept := e.running[:0]
	for _, r := range e.running {
		if r.prefill == 0 {
			if r.decode--; r.decode%9 == 0 {
				r.ticket.EventsReceived(1)
			}
		}
		if r.decode > 0 {
			kept = append(kept, r)
			continue
		}
		r.ticket.End(Answered)
	}
	e.running = kept
	if next != nil {
		if next.prefill -= chunk; next.prefill == 0 {
			next.ticket.FirstTokenReceived()
			next.ticket.EventsReceived(1)
			e.f.record(next)
		}
	}
	e.start()
}

func (f *mixedFleet) record(r *mixedRequest) {
	switch took := f.now - r.sent; {
	case !r.measured:
	case r.long:
		f.long = append(f.long, took)
	default:
		f.short = append(f.short, took)
	}
}

func lateThan(times []time.Duration, goal time.Duration) float64 {
	i, _ := slices.BinarySearch(times, goal)
	return float64(len(times)-i) / float64(len(times))
}

func quantile(times []time.Duration, q float64) time.Duration {
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
}

// TestFleetUsesSpeeds guards against long prompts that are late because an entry
// knows nothing of the speeds of replicas, and against short ones that pay for it.
func TestFleetUsesSpeeds(t *testing.T) {
	fleets := make(map[bool]*mixedFleet)
	for _, share := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newMixedFleet(*speedSeed)
			f.run(share)
			fleets[share] = f
			var estimates []string
			for i := range 6 {
				e := f.speeds[5].Of(time.Now(), "s", fmt.Sprintf("r%02d", i), 0)
				estimates = append(estimates, fmt.Sprintf("%.2f/%.2f", e.Prefill, e.Decode))
			}
			t.Logf("shared %v: long late %.4f, p50 %v, p99 %v; short late %.4f, p50 %v, p99 %v; recomputed %d; estimates %v", share,
				lateThan(f.long, mixedLongGoal), quantile(f.long, 0.5), quantile(f.long, 0.99),
				lateThan(f.short, mixedShortGoal), quantile(f.short, 0.5), quantile(f.short, 0.99), f.uncached, estimates)
		})
	}
	before, after := fleets[false], fleets[true]
	qt.Check(t, lateThan(after.long, mixedLongGoal) < lateThan(before.long, mixedLongGoal)/2, qt.IsTrue)
	qt.Check(t, lateThan(after.short, mixedShortGoal) <= lateThan(before.short, mixedShortGoal)+0.01, qt.IsTrue)
}
