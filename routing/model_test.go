package routing

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportMix is a mix of long shared reports and short urgent questions over
// nine engines and six entries.
func reportMix(seed uint64) simParams {
	return simParams{
		seed: seed, entries: 6, engines: 9, cacheBlocks: 600, keptEvents: 100000,
		pollEvery: 500 * time.Millisecond, pollLate: 100 * time.Millisecond,
		perSecond: 20, duration: time.Minute, reports: 60, reportBlocks: 48,
		answerTokens: 80, urgentPart: 0.3,
	}
}

// runSeeds adds up runs over fixed seeds.
func runSeeds(change func(*simParams)) simResult {
	total := simResult{engines: map[string]int{}}
	seeds := []uint64{1, 2, 3}
	for _, seed := range seeds {
		p := reportMix(seed)
		change(&p)
		r := newSim(p).run()
		total.requests += r.requests
		total.refused += r.refused
		total.recomputed += r.recomputed
		total.estimateError += r.estimateError / float64(len(seeds))
		total.ttft = append(total.ttft, r.ttft...)
		total.urgentTTFT = append(total.urgentTTFT, r.urgentTTFT...)
		for id, n := range r.engines {
			total.engines[id] += n
		}
	}
	return total
}

func percentile(d []time.Duration, p int) time.Duration {
	d = slices.Clone(d)
	slices.Sort(d)
	return d[len(d)*p/100]
}

// TestSoftInvalidationBeatsHard compares what a gap in the cache events costs
// when the endpoint's entries are discounted and when they are dropped.
func TestSoftInvalidationBeatsHard(t *testing.T) {
	for _, lost := range []float64{0.1, 0.3} {
		soft := runSeeds(func(p *simParams) { p.lostPolls = lost })
		hard := runSeeds(func(p *simParams) { p.lostPolls = lost; p.opts.HardInvalidation = true })
		t.Logf("lost answers %.1f: soft: recomputed/request %.1f, estimate error %.4f; hard: %.1f, %.4f", lost,
			perRequest(soft), soft.estimateError, perRequest(hard), hard.estimateError)
		c := qt.New(t)
		c.Assert(soft.estimateError < hard.estimateError, qt.IsTrue)
		c.Assert(perRequest(soft) < perRequest(hard), qt.IsTrue)
	}
}

func perRequest(r simResult) float64 { return float64(r.recomputed) / float64(r.requests) }

// TestRecomputedAgainstRoundRobin holds the target of a quarter of the
// round-robin baseline for shared reports, with urgent questions in time.
func TestRecomputedAgainstRoundRobin(t *testing.T) {
	c := qt.New(t)
	ours := runSeeds(func(*simParams) {})
	base := runSeeds(func(p *simParams) { p.opts.Policy = PolicyRoundRobin })
	t.Logf("recomputed/request: %.1f, round robin %.1f; urgent p95 %v, round robin %v", perRequest(ours), perRequest(base),
		percentile(ours.urgentTTFT, 95), percentile(base.urgentTTFT, 95))
	c.Assert(perRequest(ours) < 0.25*perRequest(base), qt.IsTrue)
	c.Assert(percentile(ours.urgentTTFT, 95) < 460*time.Millisecond, qt.IsTrue)
	c.Assert(ours.refused, qt.Equals, 0)
}

// TestHotPrefixSpreads gives one report more requests than one endpoint can
// take: they spread, where affinity alone lets them queue. A cold report
// stays on one endpoint.
func TestHotPrefixSpreads(t *testing.T) {
	c := qt.New(t)
	hot := func(p *simParams) { p.reports = 2; p.perSecond = 24; p.urgentPart = 0 }
	ours := runSeeds(hot)
	alone := runSeeds(func(p *simParams) { hot(p); p.opts.Policy = PolicyAffinityOnly })
	t.Logf("p95 %v on %v; affinity alone %v on %v", percentile(ours.ttft, 95), ours.engines, percentile(alone.ttft, 95), alone.engines)
	c.Assert(percentile(ours.ttft, 95) < time.Second, qt.IsTrue)
	c.Assert(percentile(alone.ttft, 95) > 5*time.Second, qt.IsTrue)
	c.Assert(perRequest(ours) < 200, qt.IsTrue, qt.Commentf("%v", perRequest(ours)))

	cold := runSeeds(func(p *simParams) { p.reports = 2; p.perSecond = 1; p.urgentPart = 0 })
	c.Assert(len(cold.engines) <= 4, qt.IsTrue, qt.Commentf("%v", cold.engines))
}

// TestSamplingComesCloseToScan compares a large fleet with sampled candidates
// against one request that scans all: the mean prediction may be a little
// worse, not more.
func TestSamplingComesCloseToScan(t *testing.T) {
	c := qt.New(t)
	f, _ := loadedFleet(planReplicas, Options{Now: newClock().now})
	req := testRequest()
	var sampled, random time.Duration
	const rounds = 2000
	now := f.now()
	g := f.view.Load().groups[engineKey(testModel, testVersion)]
	for range rounds {
		choice, err := f.Choose(req)
		c.Assert(err, qt.IsNil)
		sampled += choice.PredictedTTFT
		f.Done(choice, Outcome{})
		random += f.sample(g).predict(demand{uncached: req.PromptTokens, before: 1}, now).ttft
	}
	least := time.Hour
	for _, r := range g.replicas {
		least = min(least, r.predict(demand{uncached: req.PromptTokens, before: 1}, now).ttft)
	}
	t.Logf("mean predicted wait: sampled %v, random %v, best of all %v", sampled/rounds, random/rounds, least)
	c.Assert(sampled/rounds < 100*time.Millisecond+least, qt.IsTrue)
}
