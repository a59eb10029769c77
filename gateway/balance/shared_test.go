package balance

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// placer is a peer that places long prompts.
type placer struct {
	keeper *Balancer
	err    error
	asked  int
	answer *Placement
}

func (p *placer) Members() []string { return []string{"other"} }

func (p *placer) Place(_ context.Context, _ string, q Query) (Placement, error) {
	p.asked++
	switch {
	case p.err != nil:
		return Placement{}, p.err
	case p.answer != nil:
		return *p.answer, nil
	default:
		return p.keeper.Place(q)
	}
}

var (
	longQuery  = Query{Service: "s", Slots: 64, PromptTokens: 40_000, LatencyObjective: 500 * time.Millisecond}
	shortQuery = Query{Service: "s", Slots: 64, PromptTokens: 1_000, LatencyObjective: 500 * time.Millisecond}
)

func sharedBalancer(p *placer) *GlobalBalancer {
	set := replicas(8)
	p.keeper = balancer(set, 1)
	return NewGlobalBalancer(balancer(set, 2), "e", p, nolog.Or(nil))
}

func TestOnlyLongPromptsArePlacedByAnother(t *testing.T) {
	p := &placer{}
	s := sharedBalancer(p)
	c, err := s.ChooseGlobal(t.Context(), shortQuery)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.PlacedBy, qt.Equals, "")
	qt.Assert(t, p.asked, qt.Equals, 0)
	// Eight at once go to eight replicas.
	used := make(map[string]bool)
	for range 8 {
		c, err := s.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.PlacedBy, qt.Equals, "other")
		used[c.Replica.ID] = true
	}
	qt.Assert(t, len(used), qt.Equals, 8)
}

func TestEntryChoosesByItselfWhereTheOtherIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &placer{err: errors.New("not reached")}
		s := sharedBalancer(p)
		for range 5 {
			c, err := s.ChooseGlobal(t.Context(), longQuery)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.Replica, qt.IsNotNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "")
		}
		qt.Assert(t, p.asked, qt.Equals, 1)
		time.Sleep(2 * time.Second)
		p.err = nil
		c, err := s.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.PlacedBy, qt.Equals, "other")
	})
}

// A placement may be out of date, or made by an entry that knows other replicas.
func TestPlacementThatCannotBeUsed(t *testing.T) {
	for name, answer := range map[string]Placement{
		"unknown replica":     {Replica: "r99"},
		"another incarnation": {Replica: "r1", Incarnation: 7},
		"had it before":       {Replica: "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := sharedBalancer(&placer{answer: &answer})
			q := longQuery
			q.Exclude = map[string]bool{"r2": true}
			c, err := s.ChooseGlobal(t.Context(), q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "")
			qt.Assert(t, c.Replica.ID, qt.Not(qt.Equals), "r2")
		})
	}
}
