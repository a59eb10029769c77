package app

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/room"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/telemetry"
)

func testRoomControl(t *testing.T) (*roomControl, *replica.Set) {
	m, err := telemetry.NewMetrics()
	qt.Assert(t, err, qt.IsNil)
	set, holder := replica.NewSet(nolog.Or(nil)), &config.Holder{}
	holder.Offer((&config.Configuration{Version: 1, Services: map[string]config.Service{
		"s": {Name: "s", Engine: &config.Engine{Slots: 16}, Scaling: &config.Scaling{Boot: 4 * time.Second}},
	}}).Compile())
	return newRoomControl(set, holder, newSpeeds(set, nolog.Or(nil)), m, nolog.Or(nil)), set
}

// TestSmallDeploymentsAndOtherServicesHaveNoRoomControl guards against a change for
// deployments in service.
func TestSmallDeploymentsAndOtherServicesHaveNoRoomControl(t *testing.T) {
	r, _ := testRoomControl(t)
	engines, plain := config.Service{Engine: &config.Engine{Slots: 16}}, config.Service{Name: "p"}
	qt.Check(t, r.of(engines), qt.IsNil)
	qt.Check(t, r.demand(), qt.HasLen, 0)
	r.on.Store(true)
	qt.Check(t, r.of(engines), qt.IsNotNil)
	qt.Check(t, r.of(config.Service{Scaling: &config.Scaling{}}), qt.IsNotNil)
	qt.Check(t, r.of(plain), qt.IsNil)
}

// TestCapacityFollowsTheRegistry guards against room that is counted on replicas that
// leave, and against replacements that are not expected.
func TestCapacityFollowsTheRegistry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, set := testRoomControl(t)
		for _, id := range []string{"a", "b", "c"} {
			set.Put(replica.Registration{ID: id, Service: "s", Addr: id, Slots: 8, Incarnation: 1})
		}
		set.Put(replica.Registration{ID: "other", Service: "o", Addr: "o", Slots: 8, Incarnation: 1})
		qt.Check(t, r.capacity("s"), qt.Equals, room.Capacity{Replicas: 3, Slots: 48})
		set.MarkLeaving("b", 1, replica.SourceAnswer)
		qt.Check(t, r.capacity("s"), qt.Equals, room.Capacity{Replicas: 2, Slots: 32, Starting: 1, StartsIn: 4 * time.Second})
		time.Sleep(time.Second)
		qt.Check(t, r.capacity("s").StartsIn, qt.Equals, 3*time.Second)
		r.speed = func(x *replica.Replica) float64 { return map[string]float64{"a": 0.7, "c": 1.7}[x.ID] }
		time.Sleep(time.Second)
		qt.Check(t, r.capacity("s").Replicas, qt.Equals, 2.4)
	})
}
