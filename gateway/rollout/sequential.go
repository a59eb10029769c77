package rollout

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// The new version is compared with the old one by sequential probability ratio tests
// (Wald, "Sequential Tests of Statistical Hypotheses", 1945) in the form of the
// cumulative sum test (Page, "Continuous Inspection Schemes", 1954): the logarithm of
// the likelihood ratio of "bad" to "like the old version" is summed up over the
// answers and kept above a floor, so that a version that turns bad later is found as
// soon. Both likelihoods come from the answers of the old version in the same
// seconds: faults that affect both versions alike change both.
//
// With the bound badBound a good version of which n answers are seen is taken for
// bad with a probability of about n x exp(-badBound) at most, 0.0001 for each test at
// 1,000 answers.
const (
	// badBound is the sum from which on a version is bad.
	badBound = 9
	// goodFloor is the lower bound of the sums.
	goodFloor = -4
	// badFailures is by how much the share of failures of a bad version exceeds
	// that of the old one.
	badFailures = 0.045
	// minFailures is the least share of failures assumed of the old version, of
	// which only some answers are seen. marginFailures scales that share.
	minFailures, marginFailures = 0.004, 1.15
	// priorAnswers and priorFailures begin the share of failures.
	priorAnswers, priorFailures = 50, 0.2
	// badOctaves is by how many octaves a bad version is slower.
	badOctaves = 1
	// minTimes is the number of times of the old version that a comparison needs.
	minTimes = 20
	// timeWeight is the weight of a time relative to an independent one: times at
	// the same replica depend on the same queue.
	timeWeight = 0.5
	// minShare and maxShare bound the shares that are compared, so that one answer
	// decides little. minDifference is the least difference between them.
	minShare, maxShare, minDifference = 0.02, 0.98, 0.1
	// timeDecay and failureDecay are the weights of the old version's answers of a time
	// windowLength before. Failures are few, so more of them are needed for their share.
	timeDecay, failureDecay = 0.75, 0.88
	// keptTimes is the weight below which times of the old version don't decay, so that
	// a service with few requests has minTimes of them on each route.
	keptTimes = 2 * minTimes
	// minHistoryWeight is the weight below which old histogram entries are dropped.
	minHistoryWeight = 0.05
)

// score is the evidence on one route, or on all of them.
type score struct {
	Failures float64 `json:"failures"`
	First    float64 `json:"first"`
	Pace     float64 `json:"pace"`
	// Whole is the sum of failures without a floor, which a verdict without proof goes by.
	Whole float64 `json:"whole"`
	// Answers is the number of answers of the new version.
	Answers int `json:"answers"`
}

func (s *score) add(d score) {
	s.Failures = max(goodFloor, s.Failures+d.Failures)
	s.First = max(goodFloor, s.First+d.First)
	s.Pace = max(goodFloor, s.Pace+d.Pace)
	s.Whole += d.Failures
	s.Answers += d.Answers
}

// worst returns the test with the highest sum.
func (s *score) worst() (string, float64) {
	name, sum := "failures", s.Failures
	if s.First > sum {
		name, sum = "time to first token", s.First
	}
	if s.Pace > sum {
		name, sum = "time between tokens", s.Pace
	}
	return name, sum
}

// history holds the recent answers of the old version on a route, with decaying
// weights.
type history struct {
	answers, failures float64
	first, pace       map[int]float64
}

// update adds a window of a length.
func (h *history) update(w peer.VersionEvidence, broken int, length time.Duration) {
	if w.Answered+w.Failed+broken == 0 {
		return // the old version is no longer used, or the route is rarely
	}
	windows := length.Seconds() / windowLength.Seconds()
	keep := math.Pow(failureDecay, windows)
	h.answers = h.answers*keep + float64(w.Answered+w.Failed+broken)
	h.failures = h.failures*keep + float64(w.Failed+broken)
	keep = math.Pow(timeDecay, windows)
	h.first, h.pace = decay(h.first, w.First, keep), decay(h.pace, w.Pace, keep)
}

// decay multiplies a histogram by a factor, but not below a weight of keptTimes, and adds
// new times.
func decay(sum map[int]float64, w map[int]int, keep float64) map[int]float64 {
	if sum == nil {
		sum = make(map[int]float64)
	}
	total, added := 0.0, 0
	for _, v := range sum {
		total += v
	}
	for _, n := range w {
		added += n
	}
	keep = min(1, max(keep, (keptTimes-float64(added))/max(1, total)))
	for b := range sum {
		if sum[b] *= keep; sum[b] < minHistoryWeight {
			delete(sum, b)
		}
	}
	for b, n := range w {
		sum[b] += float64(n)
	}
	return sum
}

// compare returns the evidence of a window of answers of the new version, given those
// of the old one.
func (h *history) compare(w peer.VersionEvidence, broken int) score {
	n, failed := w.Answered+w.Failed+broken, w.Failed+broken
	p0 := min(maxShare, max(minFailures, marginFailures*(h.failures+priorFailures)/(h.answers+priorAnswers)))
	p1 := min(maxShare, p0+badFailures)
	return score{
		Answers: n, Failures: logRatio(failed, n, p0, p1),
		First: timeWeight * compareTimes(h.first, w.First), Pace: timeWeight * compareTimes(h.pace, w.Pace),
	}
}

// logRatio returns the logarithm of the ratio of the likelihoods of k of n under the
// shares p1 and p0.
func logRatio(k, n int, p0, p1 float64) float64 {
	if n == 0 || p1 <= p0 {
		return 0
	}
	return float64(k)*math.Log(p1/p0) + float64(n-k)*math.Log((1-p1)/(1-p0))
}

// compareTimes returns the logarithm of the ratio of the likelihoods of the new times
// if they are those of a version slower by badOctaves, and if they are distributed
// like the old ones. It compares the shares above the bound that separates the two
// best.
func compareTimes(old map[int]float64, times map[int]int) float64 {
	total, n := 0.0, 0
	for _, v := range old {
		total += v
	}
	for _, v := range times {
		n += v
	}
	if total < minTimes || n == 0 {
		return 0
	}
	above := func(bound int) float64 {
		sum := 0.0
		for b, v := range old {
			if b >= bound {
				sum += v
			}
		}
		return min(maxShare, max(minShare, sum/total))
	}
	best, bound, p0, p1 := 0.0, 0, 0.0, 0.0
	for b := range old {
		for t := b; t <= b+bucketsPerOctave*badOctaves; t++ {
			like, slow := above(t), above(t-bucketsPerOctave*badOctaves)
			information := slow*math.Log(slow/like) + (1-slow)*math.Log((1-slow)/(1-like))
			if slow-like >= minDifference && information > best {
				best, bound, p0, p1 = information, t, like, slow
			}
		}
	}
	k := 0
	for b, v := range times {
		if b >= bound {
			k += v
		}
	}
	if best == 0 {
		return 0
	}
	return logRatio(k, n, p0, p1)
}
