package balance

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// loneEntry is an entry without peers, which owns all limits.
type loneEntry struct{ throttle.Peers }

func (loneEntry) Members() []string { return []string{"e"} }
func (loneEntry) MemberCount() int  { return 1 }

func newLimitedBalancer(set *replica.Set) *Balancer {
	t := throttle.New(throttle.Options{ID: "e", Peers: loneEntry{}, Log: nolog.Or(nil), Count: func(string) {}})
	return New(set, Options{FailureDomain: "d", Seed: 1, Throttle: t, Log: nolog.Or(nil)})
}

func (b *Balancer) replicaWithID(id string) *replica.Replica { return b.set.Current().All[id] }

// Guards against a limited replica, which runs few requests, getting all of them
// whatever it has cached.
func TestLimitedReplicaGetsThePromptsThatItHasCached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBalancer(newReplicas(4))
		b.opt.Throttle.Observe(b.replicaWithID("r0"), 2.5, time.Now())
		query := func(part uint64) Query {
			return Query{Service: "s", Slots: 64, Parts: []Part{{ID: part, Tokens: 6000}}, PromptTokens: 7000, LatencyObjective: time.Second}
		}
		const cachedThere = 7
		b.Begin(query(cachedThere), Choice{Replica: b.replicaWithID("r0")}).End(Answered)
		for part := uint64(100); part < 103; part++ {
			// The others are busy, and have other prompts cached.
			r := b.replicaWithID(fmt.Sprint("r", part-99))
			for range 8 {
				b.Begin(query(part), Choice{Replica: r, CachedTokens: 6000})
			}
		}
		for range 20 {
			c, err := b.Choose(query(cachedThere))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, c.Replica.ID, qt.Equals, "r0")
			c, err = b.Choose(query(101))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, c.Replica.ID, qt.Equals, "r2")
		}
	})
}

// Guards against replica counts that follow what the limits of replicas let
// through.
func TestRequestsThatLimitsDontAdmitCountAsDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBalancer(newReplicas(1))
		before := b.BusyEngines()["s"]
		for range 100 {
			b.RecordUnserved(longQuery)
		}
		qt.Check(t, b.BusyEngines()["s"] > before, qt.IsTrue)
	})
}

// Guards against a request that waits although no replica accepts it, and against
// one that is refused although a replica does.
func TestRequestIsBlockedOnlyIfAllReplicasAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBalancer(newReplicas(2))
		r0, r1 := b.replicaWithID("r0"), b.replicaWithID("r1")
		b.opt.Throttle.Pause(r0, 2*time.Second)
		c, err := b.Choose(shortQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, c.Replica, qt.Equals, r1)
		// A replica that fails often is better than none.
		for range 8 {
			b.Begin(shortQuery, Choice{Replica: r1}).End(Failed)
		}
		c, err = b.Choose(shortQuery)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, c.Replica, qt.Equals, r1)
		b.opt.Throttle.Pause(r1, 5*time.Second)
		_, err = b.Choose(shortQuery)
		var blocked *BlockedError
		qt.Assert(t, errors.As(err, &blocked), qt.IsTrue)
		qt.Check(t, blocked.Paused, qt.Equals, 2)
		wait := time.Until(blocked.Expected)
		qt.Check(t, wait >= 2*time.Second && wait < 3*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
	})
}
