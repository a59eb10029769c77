package quarantine

import (
	"math/rand/v2"
	"time"
)

var plays = []play{
	{name: "one part", sound: soundPrompt,
		crashing: onePart},
	{name: "one part at the start", sound: soundPrompt,
		crashing: func(_ int, r *rand.Rand) []uint64 { return []uint64{bad, document + r.Uint64N(40)} }},
	{name: "all but one part shared with sound requests", sound: soundPrompt,
		crashing: func(int, *rand.Rand) []uint64 { return []uint64{common, document, bad} }},
	{name: "all other parts shared with few sound requests", sound: func(n int, r *rand.Rand) []uint64 {
		if n%200 == 0 {
			return []uint64{common, sparse}
		}
		return soundPrompt(n, r)
	}, crashing: func(int, *rand.Rand) []uint64 { return []uint64{common, sparse, bad} }},
	{name: "three parts at once", sound: soundPrompt,
		crashing: func(n int, _ *rand.Rand) []uint64 { return []uint64{common, document, bad + uint64(n%3)} }},
	{name: "unrelated crashes", sound: soundPrompt, noBan: true, disturb: unrelatedCrashes(crashingPerSecond)},
	{name: "unrelated crashes beside rare parts", sound: rarePrompt, noBan: true, disturb: unrelatedCrashes(crashingPerSecond)},
	{name: "unrelated crashes beside one part", sound: soundPrompt, crashing: onePart, disturb: unrelatedCrashes(2)},
	{name: "a failure domain is reclaimed", sound: soundPrompt, noBan: true, disturb: loseDomain(0)},
	{name: "a failure domain is lost", sound: soundPrompt, noBan: true, disturb: loseDomain(breakOffSpread)},
	{name: "a failure domain is lost beside rare parts", sound: rarePrompt, noBan: true, disturb: loseDomain(breakOffSpread)},
	{name: "a failure domain is lost beside one part", sound: soundPrompt, crashing: onePart, disturb: loseDomain(breakOffSpread)},
	{name: "a release beside one part", sound: soundPrompt, crashing: onePart, disturb: func(f *fleet) {
		for _, r := range f.replicas {
			time.Sleep(playTime / time.Duration(len(f.replicas)))
			f.replace(r, "v2")
		}
	}},
	{name: "five witnesses", evidenceLost: true, sound: soundPrompt, crashing: onePart, crashingPerSecond: 1, witness: loseWitnesses},
	{name: "an entry is cut off meanwhile", sound: soundPrompt,
		crashing: onePart,
		disturb: func(f *fleet) {
			f.setCut(f.entries[1], true)
			time.Sleep(warmUp + 6*time.Second)
			f.setCut(f.entries[1], false)
		}},
	{name: "an entry starts after it", sound: soundPrompt,
		crashing: onePart,
		disturb: func(f *fleet) {
			time.Sleep(warmUp + 6*time.Second)
			f.restart(f.entries[1])
		}},
	{name: "made-up parts without end", unbounded: true,
		sound: func(n int, r *rand.Rand) []uint64 {
			return []uint64{common, document + r.Uint64N(40), 1 << 40 * uint64(n)}
		},
		crashing: func(n int, _ *rand.Rand) []uint64 { return []uint64{common, document, 1<<40*uint64(n) + 1} }},
}

func soundPrompt(_ int, r *rand.Rand) []uint64 {
	return []uint64{common, document + r.Uint64N(40)}
}

// rarePrompt returns prompts of which some have a part that occurs in few others.
func rarePrompt(n int, r *rand.Rand) []uint64 {
	if n%10 == 0 {
		return []uint64{common, rare + uint64(n/40)}
	}
	return soundPrompt(n, r)
}

func onePart(_ int, r *rand.Rand) []uint64 {
	return []uint64{common, document + r.Uint64N(40), bad}
}

// unrelatedCrashes crashes replicas at a rate, whatever they do.
func unrelatedCrashes(perSecond float64) func(f *fleet) {
	return func(f *fleet) {
		for i := range int(perSecond * playTime.Seconds()) {
			time.Sleep(time.Duration(float64(time.Second) / perSecond))
			f.crash(f.replicas[i*7%len(f.replicas)], nil, 0)
		}
	}
}

// loseDomain crashes all replicas of a failure domain, several times. The
// connections of each of them break off within spread.
func loseDomain(spread time.Duration) func(f *fleet) {
	return func(f *fleet) {
		for range 3 {
			time.Sleep(5 * time.Second)
			for _, r := range f.replicas {
				if r.FailureDomain == "d1" {
					f.crash(r, nil, spread)
				}
			}
		}
	}
}

// loseWitnesses disturbs the entries that see the first crashes of a part: the
// first one freezes for some seconds, the second one ends with its evidence, the
// third one is cut off, and the fourth one has just started.
func loseWitnesses(f *fleet, n int, e *simEntry) {
	switch n {
	case 1:
		f.setCut(e, true)
		time.AfterFunc(4*time.Second, func() { f.setCut(e, false) })
	case 2:
		f.mu.Lock()
		e.stopped, e.links = true, nil
		f.mu.Unlock()
	case 3:
		f.setCut(e, true)
	case 4:
		f.restart(e)
	}
}
