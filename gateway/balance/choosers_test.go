package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

func least(candidates []int, cost func(i int) float64) int {
	return slices.MinFunc(candidates, func(x, y int) int { return cmp.Compare(cost(x), cost(y)) })
}

// idealChooser sees the engines as they are.
type idealChooser struct{}

func (idealChooser) begin(p *play, r *playRequest, send func(int)) {
	r.onFirst, r.onEnd = func() {}, func() {}
	send(least(indices(playEngines), func(i int) float64 {
		e := p.engines[i]
		ahead, decoding := 0.0, 0.0
		for _, o := range e.running {
			ahead += float64(o.left)
			if o.left == 0 {
				decoding++
			}
		}
		for _, o := range slices.Concat(e.queue, e.coming) {
			if !o.long || r.long {
				ahead += float64(e.uncached(o, p.now))
			}
		}
		n, uncached := len(e.running)+len(e.queue)+len(e.coming), float64(e.uncached(r, p.now))
		steps := math.Ceil((ahead+uncached)/playChunk) + 9
		ms := (ahead+uncached)/playRate + steps*(2.97+0.0222*decoding) + 12*float64(n) + 1000*float64(max(0, n+1-playSlots))
		return ms/e.current(p.now) + 2*latency(r.domain, i) + 1.5*(uncached-float64(r.own))/playRate
	}))
}

// viewChooser chooses by records of loads: those of the entry or of a placer.
type viewChooser struct {
	records []*[playEngines]float64
	cached  map[uint64]*[playEngines]float64
	// pick returns the record that decides, and the candidates.
	pick func(p *play, r *playRequest) (record int, candidates []int)
	// call is the duration of a call to the decider, in ms, and lag the delay after
	// which it learns of an end.
	call, lag float64
	// truth is the record of all, which replaces the others at the given age, in ms, if
	// that isn't 0. The others then learn of no end.
	truth [playEngines]float64
	age   float64
}

func newViewChooser(records int) *viewChooser {
	c := &viewChooser{cached: make(map[uint64]*[playEngines]float64)}
	for range records {
		c.records = append(c.records, new([playEngines]float64))
	}
	return c
}

func (c *viewChooser) begin(p *play, r *playRequest, send func(int)) {
	p.after(c.call/2, func() {
		record, candidates := c.pick(p, r)
		ms := c.records[record]
		cached := c.cached[r.part]
		if cached == nil {
			cached = new([playEngines]float64)
			c.cached[r.part] = cached
		}
		work := func(i int) float64 {
			tokens := r.prompt()
			if cached[i] > 0 && p.now-cached[i] < playCacheMS {
				tokens = r.own
			}
			return float64(tokens)/playRate + 3*float64(r.answer)/4
		}
		i := least(candidates, func(i int) float64 { return (ms[i] + work(i)) / engineSpeed(i) })
		added := work(i)
		ms[i] += added
		c.truth[i] += added
		cached[i] = p.now
		// Half of the work is done at the first token.
		half := func() {
			c.truth[i] -= added / 2
			if c.age == 0 {
				p.after(c.lag, func() { ms[i] -= added / 2 })
			}
		}
		r.onFirst, r.onEnd = half, half
		p.after(c.call/2, func() { send(i) })
	})
}

// refresh replaces the records by the truth of half the age ago, once in an age.
func (c *viewChooser) refresh(p *play) {
	truth := c.truth
	p.after(c.age/2, func() {
		for _, ms := range c.records {
			*ms = truth
		}
	})
	if p.now < playLength {
		p.after(c.age, func() { c.refresh(p) })
	}
}

// leaseChooser gives each entry a fixed part of the slots of all engines. An entry
// without a free one borrows a free one of any other by a call.
type leaseChooser struct {
	// free holds the engines of the free slots of each entry.
	free [][]int
}

func newLeaseChooser(entries int) *leaseChooser {
	c := &leaseChooser{free: make([][]int, entries)}
	for i := range playEngines * playSlots {
		c.free[i%entries] = append(c.free[i%entries], i%playEngines)
	}
	return c
}

func (c *leaseChooser) begin(p *play, r *playRequest, send func(int)) {
	lender, wait := r.entry, 0.0
	for tries := 0; len(c.free[lender]) == 0 && tries < 10; tries++ {
		lender, wait = p.rng.IntN(p.entries), wait+2
		p.calls++
	}
	r.onFirst, r.onEnd = func() {}, func() {}
	i := weighted(p)
	if free := c.free[lender]; len(free) > 0 {
		// The best is the fastest, and the longest unused of these.
		best := least(indices(len(free)), func(k int) float64 { return -engineSpeed(free[k]) })
		i = free[best]
		c.free[lender] = slices.Delete(free, best, best+1)
		r.onEnd = func() { c.free[lender] = append(c.free[lender], i) }
	}
	p.after(wait, func() { send(i) })
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// enginesOf returns the engines of one of some groups of the same size.
func enginesOf(group, groups int) []int {
	var out []int
	for i := range playEngines {
		if i*groups/playEngines == group {
			out = append(out, i)
		}
	}
	return out
}

func weighted(p *play) int {
	for {
		if i := p.rng.IntN(playEngines); p.rng.Float64()*1.7 < engineSpeed(i) {
			return i
		}
	}
}

// alternatives returns the choosers that the built one is compared with.
func alternatives(entries int) map[string]playChooser {
	out := map[string]playChooser{"ideal": idealChooser{}, "leased slots": newLeaseChooser(entries)}
	two := newViewChooser(entries)
	two.pick = func(p *play, r *playRequest) (int, []int) { return r.entry, []int{weighted(p), weighted(p)} }
	out["two choices"] = two
	for _, age := range []float64{100, 500, 1000} {
		c := newViewChooser(entries)
		c.age = age
		c.pick = func(p *play, r *playRequest) (int, []int) {
			var some []int
			for range 8 {
				some = append(some, weighted(p))
			}
			return r.entry, some
		}
		out[fmt.Sprint("view of age ", age)] = c
	}
	for _, groups := range []int{1, 3, 12} {
		for name, lag := range map[string]float64{"": 1, ", ends 250 ms late": 250} {
			c := newViewChooser(groups)
			c.call, c.lag = 2, lag
			c.pick = func(p *play, r *playRequest) (int, []int) {
				group := p.rng.IntN(groups)
				return group, enginesOf(group, groups)
			}
			out[fmt.Sprint(groups, " placers of all", name)] = c
		}
	}
	return out
}
