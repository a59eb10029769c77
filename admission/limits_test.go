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

// TestGlobalLimitAcrossEntries sends three times a customer's limit to six
// entries, with a distribution that shifts and state updates that are a second
// old. The admitted total must be within 90% and 102% of the limit.
func TestGlobalLimitAcrossEntries(t *testing.T) {
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
		// weight is the relative demand that entry i receives in a
		// given second.
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
				ctls[i] = New(Options{Now: clock.now, MemberCount: entries, MaxInFlight: 1 << 30})
				ctls[i].SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: limit, BurstTokens: burst}))
			}
			var pending []func()
			admitted := 0.0
			for second := range seconds {
				for _, set := range pending {
					set()
				}
				pending = captureDemand(ctls)
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

// captureDemand reads the current demand of all entries and returns functions
// that deliver it to the peers later.
func captureDemand(ctls []*Controller) []func() {
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
		set = append(set, func() { ctl.SetPeerDemand(peers) })
	}
	return set
}

// TestLoneEntryNeverExceedsLimit checks that an entry enforces an equal share
// of the limit while it has received no state from its peers, and the full
// limit when it is the only entry.
func TestLoneEntryNeverExceedsLimit(t *testing.T) {
	for members, want := range map[int]float64{0: 1, 1: 1, 6: 1.0 / 6} {
		c := qt.New(t)
		clock := newClock()
		ctl := New(Options{Now: clock.now, MemberCount: members})
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

// TestLocalSharesAddUpToOne checks that the local shares of all entries add up
// to the global limit when state was received from only some peers, or from
// none.
func TestLocalSharesAddUpToOne(t *testing.T) {
	for _, reporting := range []int{0, 1, 3, 5} {
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
			for j := range reporting {
				peers[fmt.Sprint((i+j+1)%entries)] = own
			}
			ctl.SetMemberCount(entries)
			ctl.SetPeerDemand(peers)
			sum += ctl.localLimitShare("a", ctl.customers["a"])
		}
		c.Assert(sum > 0.99 && sum < 1.01, qt.IsTrue, qt.Commentf("%d peers reporting: local shares add up to %v", reporting, sum))
	}
}

func TestPeerSpendCountsAgainstCeiling(t *testing.T) {
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
