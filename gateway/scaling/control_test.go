package scaling

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// testLease is a lease that is held until it ends.
type testLease struct{ ended atomic.Bool }

func (l *testLease) Held() (uint64, bool) { return 3, !l.ended.Load() }

func (l *testLease) Do(ctx context.Context, effect func(ctx context.Context, fence uint64) error) error {
	if l.ended.Load() {
		return errors.New("not held")
	}
	return effect(ctx, 3)
}

// orders records orders. begun is called for each, unless it is nil.
type orders struct {
	received []Order
	begun    func()
}

func (o *orders) Order(_ context.Context, _ uint64, _, domain string, count int, reclaimable bool) error {
	o.received = append(o.received, Order{domain, reclaimable, count})
	if o.begun != nil {
		o.begun()
	}
	return nil
}

func controller(held bool) (*Controller, *orders, *replica.Set) {
	set := replica.NewSet(nolog.Or(nil))
	given := &orders{}
	holder := &config.Holder{}
	b := bounds()
	holder.Offer((&config.Configuration{Version: 1, Services: map[string]config.Service{"s": {Name: "s", Scaling: &b}}}).Compile())
	l := &testLease{}
	l.ended.Store(!held)
	return &Controller{
		Lease: l, Orders: given, Config: holder, Replicas: set, Domains: domains,
		Busy: func(string) float64 { return 1 }, Log: nolog.Or(nil), planners: make(map[string]*Planner),
	}, given, set
}

// The registrations of draining replicas don't state their remaining time, so
// the supply must count them by their state alone.
func TestReclaimShowsInTheSupply(t *testing.T) {
	c, _, set := controller(true)
	e := replica.Registration{ID: "r1", Service: "s", Addr: "10.0.0.1:1", FailureDomain: "a", Reclaimable: true}
	set.Put(e)
	set.Put(replica.Registration{ID: "r2", Service: "s", Addr: "10.0.0.2:1", FailureDomain: "b"})
	qt.Assert(t, c.supply("s"), qt.DeepEquals, map[string]Supply{"a": {Reclaimable: 1}, "b": {OnDemand: 1}, "c": {}})
	e.Draining = true
	set.Put(e)
	qt.Assert(t, c.supply("s"), qt.DeepEquals, map[string]Supply{"a": {Draining: 1}, "b": {OnDemand: 1}, "c": {}})
}

func TestOnlyLeaseHolderOrders(t *testing.T) {
	c, given, set := controller(false)
	set.Put(replica.Registration{ID: "r1", Service: "s", Addr: "10.0.0.1:1", FailureDomain: "a"})
	c.step(context.Background())
	qt.Assert(t, given.received, qt.HasLen, 0)
	qt.Assert(t, c.planners, qt.HasLen, 0)
}

// Guards against a former holder going on with the orders of a step beside those of
// its successor.
func TestNoOrderBeginsAfterTheLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, given, set := controller(true)
		for _, domain := range domains {
			set.Put(replica.Registration{ID: domain, Service: "s", Addr: "10.0.0.1:1", FailureDomain: domain, Slots: 1})
		}
		c.Busy = func(string) float64 { return 30 }
		given.begun = func() { c.Lease.(*testLease).ended.Store(true) }
		for range 50 {
			c.step(context.Background())
			time.Sleep(planPeriod)
		}
		qt.Check(t, given.received, qt.HasLen, 1)
	})
}
