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

// placer is a peer that places long prompts, with a fixed error or answer if
// set.
type placer struct {
	owner  *Balancer
	err    error
	calls  int
	answer *Placement
}

func (p *placer) Members() []string { return []string{"other"} }

func (p *placer) Place(_ context.Context, _ string, q Query) (Placement, error) {
	p.calls++
	switch {
	case p.err != nil:
		return Placement{}, p.err
	case p.answer != nil:
		return *p.answer, nil
	default:
		return p.owner.PlaceForPeer(q)
	}
}

func (p *placer) EndPlacement(_ context.Context, e End) error {
	p.owner.EndPlacement(e.Replica)
	return p.err
}

var (
	longQuery  = Query{Service: "s", Slots: 64, PromptTokens: 40_000, LatencyObjective: 500 * time.Millisecond}
	shortQuery = Query{Service: "s", Slots: 64, PromptTokens: 1_000, LatencyObjective: 500 * time.Millisecond}
)

func newGlobalBalancer(p *placer) *GlobalBalancer {
	set := newReplicas(8)
	p.owner = newBalancer(set, 1)
	return NewGlobalBalancer(newBalancer(set, 2), "e", p, nolog.Or(nil))
}

func TestOnlyLongPromptsArePlacedByOwner(t *testing.T) {
	p := &placer{}
	s := newGlobalBalancer(p)
	c, err := s.ChooseGlobal(t.Context(), shortQuery)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, c.PlacedBy, qt.Equals, "")
	qt.Assert(t, p.calls, qt.Equals, 0)
	// Eight long prompts at the same time go to eight replicas.
	used := make(map[string]bool)
	for range 8 {
		c, err := s.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.PlacedBy, qt.Equals, "other")
		used[c.Replica.ID] = true
	}
	qt.Assert(t, len(used), qt.Equals, 8)
}

func TestLocalChoiceWhileOwnerIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &placer{err: errors.New("not reached")}
		s := newGlobalBalancer(p)
		for range 5 {
			c, err := s.ChooseGlobal(t.Context(), longQuery)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.Replica, qt.IsNotNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "")
		}
		qt.Assert(t, p.calls, qt.Equals, 1)
		time.Sleep(2 * time.Second)
		p.err = nil
		c, err := s.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.PlacedBy, qt.Equals, "other")
	})
}

// A placement may be out of date, or come from an entry whose set of replicas
// differs.
func TestUnusablePlacementIsIgnored(t *testing.T) {
	for name, answer := range map[string]Placement{
		"unknown replica":     {Replica: "r99"},
		"another incarnation": {Replica: "r1", Incarnation: 7},
		"excluded replica":    {Replica: "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newGlobalBalancer(&placer{answer: &answer})
			q := longQuery
			q.Exclude = map[string]bool{"r2": true}
			c, err := s.ChooseGlobal(t.Context(), q)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, c.PlacedBy, qt.Equals, "")
			qt.Assert(t, c.Replica.ID, qt.Not(qt.Equals), "r2")
		})
	}
}

// Guards against long prompts that the owner of a service, whose registry is
// behind, places on a replica that this entry knows to be leaving.
func TestPlacementOnALeavingReplicaIsIgnored(t *testing.T) {
	set := newReplicas(8)
	s := NewGlobalBalancer(newBalancer(set, 2), "e", &placer{answer: &Placement{Replica: "r1"}}, nolog.Or(nil))
	set.MarkLeaving("r1", 0, "test")
	for range 20 {
		c, err := s.ChooseGlobal(t.Context(), longQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Replica.ID, qt.Not(qt.Equals), "r1")
	}
}
