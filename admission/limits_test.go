package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// TestLimitHoldsOverEntries sends three times the limit to six entries, in
// parts that shift, with digests that lag by a second: over all entries the
// customer gets its limit, hardly more and hardly less.
func TestLimitHoldsOverEntries(t *testing.T) {
	const (
		entries = 6
		limit   = 6000.0
		burst   = 6000.0
		tokens  = 100
		step    = 10 * time.Millisecond
		seconds = 120
	)
	tests := []struct {
		name string
		// weight is the part of the demand that entry i gets in a second.
		weight func(second, i int) float64
	}{
		{"even", func(_, _ int) float64 { return 1 }},
		{"one entry has most", func(_, i int) float64 {
			if i == 0 {
				return 20
			}
			return 1
		}},
		{"shifting", func(second, i int) float64 {
			if second/20%entries == i {
				return 10
			}
			return 1
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			clock := newClock()
			rng := rand.New(rand.NewPCG(1, 1))
			ctls := make([]*Controller, entries)
			for i := range ctls {
				ctls[i] = New(Options{Now: clock.now, Members: entries, MaxInFlight: 1 << 30})
				ctls[i].SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: limit, BurstTokens: burst}))
			}
			var late []func()
			admitted := 0.0
			for second := range seconds {
				for _, set := range late {
					set()
				}
				late = digests(ctls)
				sum := 0.0
				for i := range ctls {
					sum += test.weight(second, i)
				}
				for range time.Second / step {
					for i, ctl := range ctls {
						want := 3 * limit * step.Seconds() / tokens * test.weight(second, i) / sum
						for ; want > 0; want-- {
							if rng.Float64() >= want {
								break
							}
							if _, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "plan", Tokens: tokens}); err == nil {
								admitted += tokens
							}
						}
					}
					clock.advance(step)
				}
			}
			allowed := limit*seconds + burst
			t.Logf("%s: admitted %.0f of %.0f allowed", test.name, admitted, allowed)
			c.Assert(admitted <= 1.02*allowed, qt.IsTrue)
			c.Assert(admitted >= 0.9*allowed, qt.IsTrue)
		})
	}
}

// digests takes the demand now and returns what tells it to the others later.
func digests(ctls []*Controller) []func() {
	demands := make([]map[string]float64, len(ctls))
	for i, ctl := range ctls {
		demands[i] = ctl.Demand()
	}
	var set []func()
	for i, ctl := range ctls {
		peers := map[string]map[string]float64{}
		for j := range ctls {
			if j != i {
				peers[fmt.Sprint("entry", j)] = demands[j]
			}
		}
		set = append(set, func() { ctl.SetPeers(peers) })
	}
	return set
}

// TestLoneEntryNeverExceedsLimit has an entry that hears of others, but gets
// no digest, and one that is alone.
func TestLoneEntryNeverExceedsLimit(t *testing.T) {
	for members, want := range map[int]float64{0: 1, 1: 1, 6: 1.0 / 6} {
		c := qt.New(t)
		clock := newClock()
		ctl := New(Options{Now: clock.now, Members: members})
		ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 600, BurstTokens: 600}))
		clock.advance(time.Minute)
		admitted := 0
		for {
			ticket, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "plan", Tokens: 10})
			if err != nil {
				break
			}
			ticket.Done(Usage{})
			admitted += 10
		}
		c.Assert(float64(admitted) <= 600*want, qt.IsTrue, qt.Commentf("%d members: %d", members, admitted))
		c.Assert(float64(admitted) >= 600*want-10, qt.IsTrue)
	}
}

// TestPartsNeverExceedWhole hears of some members only, or of none.
func TestPartsNeverExceedWhole(t *testing.T) {
	for _, heard := range []int{0, 1, 3, 5} {
		c := qt.New(t)
		const entries = 6
		sum := 0.0
		for i := range entries {
			ctl := New(Options{Now: newClock().now})
			ctl.SetTemplate(testTemplate(unlimited("a", 1)))
			_, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "plan", Tokens: 100})
			c.Assert(err, qt.IsNil)
			own := ctl.Demand()
			peers := map[string]map[string]float64{}
			for j := range heard {
				peers[fmt.Sprint((i+j+1)%entries)] = own
			}
			ctl.SetMembers(entries)
			ctl.SetPeers(peers)
			sum += ctl.limitPart("a", ctl.customers["a"])
		}
		c.Assert(sum > 0.99 && sum < 1.01, qt.IsTrue, qt.Commentf("%d heard: parts add up to %v", heard, sum))
	}
}

func TestPeersCountAgainstCeiling(t *testing.T) {
	c := qt.New(t)
	ctl := New(Options{Now: newClock().now})
	ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 1e6, BurstTokens: 1e6, CostPerHour: 5}))
	r := Request{Customer: "a", Kind: "plan", Tokens: 1}
	ticket, err := ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
	ticket.Done(Usage{Cost: 2})
	ctl.SetPeerSpend(map[string]map[string]float64{"b": {"a": 2}})
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
	ctl.SetPeerSpend(map[string]map[string]float64{"b": {"a": 3}})
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeLimited)
	r.Resumed = true
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
}
