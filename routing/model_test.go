package routing

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// reportMix returns the parameters of a simulation of six entries and nine
// engines, with long prompts on shared reports and short urgent prompts.
func reportMix(seed uint64) simParams {
	return simParams{
		seed: seed, entries: 6, engines: 9, cacheBlocks: 600, retainedEvents: 100000,
		pollEvery: 500 * time.Millisecond, pollDelay: 100 * time.Millisecond,
		requestsPerSecond: 20, duration: time.Minute, reports: 60, reportBlocks: 48,
		answerTokens: 80, urgentFraction: 0.3,
	}
}

// runSeeds runs the simulation with fixed seeds and returns the sum of the
// results.
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

// TestSoftInvalidationBeatsHard checks that after gaps in the cache events
// discounting an endpoint's index entries gives a smaller estimate error and
// fewer recomputed tokens than dropping them.
func TestSoftInvalidationBeatsHard(t *testing.T) {
	for _, lost := range []float64{0.1, 0.3} {
		soft := runSeeds(func(p *simParams) { p.lostPollFraction = lost })
		hard := runSeeds(func(p *simParams) { p.lostPollFraction = lost; p.opts.HardInvalidation = true })
		t.Logf("lost answers %.1f: soft: recomputed/request %.1f, estimate error %.4f; hard: %.1f, %.4f", lost,
			perRequest(soft), soft.estimateError, perRequest(hard), hard.estimateError)
		c := qt.New(t)
		c.Assert(soft.estimateError < hard.estimateError, qt.IsTrue)
		c.Assert(perRequest(soft) < perRequest(hard), qt.IsTrue)
	}
}

func perRequest(r simResult) float64 { return float64(r.recomputed) / float64(r.requests) }

// TestRecomputedAgainstRoundRobin checks that for shared reports the recomputed
// tokens are below a quarter of those of the round-robin baseline, and that 95
// percent of the urgent requests meet their deadline.
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

// TestHotPrefixSpreads sends more requests for one report than one endpoint can
// serve. They must use several endpoints, while they queue under the
// affinity-only policy. Two reports with few requests must stay on at most four
// endpoints.
func TestHotPrefixSpreads(t *testing.T) {
	c := qt.New(t)
	hot := func(p *simParams) { p.reports = 2; p.requestsPerSecond = 24; p.urgentFraction = 0 }
	ours := runSeeds(hot)
	affinityOnly := runSeeds(func(p *simParams) { hot(p); p.opts.Policy = PolicyAffinityOnly })
	t.Logf("p95 %v on %v; affinity alone %v on %v", percentile(ours.ttft, 95), ours.engines, percentile(affinityOnly.ttft, 95), affinityOnly.engines)
	c.Assert(percentile(ours.ttft, 95) < time.Second, qt.IsTrue)
	c.Assert(percentile(affinityOnly.ttft, 95) > 5*time.Second, qt.IsTrue)
	c.Assert(perRequest(ours) < 200, qt.IsTrue, qt.Commentf("%v", perRequest(ours)))

	cold := runSeeds(func(p *simParams) { p.reports = 2; p.requestsPerSecond = 1; p.urgentFraction = 0 })
	c.Assert(len(cold.engines) <= 4, qt.IsTrue, qt.Commentf("%v", cold.engines))
}

// TestSampledChoiceIsCloseToBest checks that in a large fleet the mean
// prediction with sampled candidates is at most 100 ms above that of the best
// endpoint.
func TestSampledChoiceIsCloseToBest(t *testing.T) {
	c := qt.New(t)
	f, _ := loadedFleet(plannedReplicas, Options{Now: newClock().now})
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
		random += f.sample(g).predict(predictionInput{uncachedTokens: req.PromptTokens, precedingFraction: 1}, now).ttft
	}
	least := time.Hour
	for _, r := range g.replicas {
		least = min(least, r.predict(predictionInput{uncachedTokens: req.PromptTokens, precedingFraction: 1}, now).ttft)
	}
	t.Logf("mean predicted wait: sampled %v, random %v, best of all %v", sampled/rounds, random/rounds, least)
	c.Assert(sampled/rounds < 100*time.Millisecond+least, qt.IsTrue)
}
