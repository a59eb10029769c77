package replica_test

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func registration(id string, incarnation int64) replica.Registration {
	return replica.Registration{ID: id, Service: "s", Addr: "10.0.0.1:1", Incarnation: incarnation}
}

func draining(reg replica.Registration) replica.Registration {
	reg.Draining = true
	return reg
}

func ready(s *replica.Set) int { return len(s.Current().Ready["s"]) }

func TestDrainingIncarnationGetsNoNewWork(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	drains := 0
	s.OnDrain(func(*replica.Replica, replica.Source) { drains++ })
	s.Put(registration("a", 1))
	qt.Assert(t, ready(s), qt.Equals, 1)
	s.Put(draining(registration("a", 1)))
	s.Put(draining(registration("a", 1)))
	qt.Assert(t, ready(s), qt.Equals, 0)
	qt.Assert(t, drains, qt.Equals, 1)
	// A late row, from before the drain, doesn't make the replica ready again.
	s.Put(registration("a", 1))
	qt.Assert(t, ready(s), qt.Equals, 0)
	// Another incarnation with the same ID is ready.
	s.Put(registration("a", 2))
	qt.Assert(t, ready(s), qt.Equals, 1)
}

func TestPeerNoticePrecedesRegistryRow(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	s.MarkLeaving("a", 1, "peer")
	s.Put(registration("a", 1))
	s.Put(registration("b", 1))
	qt.Assert(t, ready(s), qt.Equals, 1)
}

func TestMissingRowAfterRegistryRecovery(t *testing.T) {
	for _, test := range []struct {
		name      string
		rewritten bool
		want      int
	}{{"is written again", true, 1}, {"stays away", false, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := replica.NewSet(nolog.Or(nil))
				s.Put(registration("a", 1))
				time.Sleep(time.Minute)
				s.RegistryRecovered()
				s.Replace(nil)
				qt.Assert(t, ready(s), qt.Equals, 1)
				time.Sleep(time.Second)
				if test.rewritten {
					s.Put(registration("a", 1))
				}
				time.Sleep(2 * time.Second)
				qt.Assert(t, ready(s), qt.Equals, test.want)
			})
		})
	}
}

func TestDeletedRowRemovesReplicaAtOnce(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	s.Replace([]replica.Registration{registration("a", 1), registration("b", 1)})
	s.Remove("a")
	qt.Assert(t, ready(s), qt.Equals, 1)
	s.Replace(nil)
	qt.Assert(t, ready(s), qt.Equals, 0)
}

// Guards against a leaving replica that is taken for ready again because of
// what the registry says of it later.
func TestLeavingReplicaStaysOutWhateverRowsFollow(t *testing.T) {
	withoutStart := registration("a", 0)
	for _, test := range []struct {
		name string
		rows func(s *replica.Set)
		want int
	}{
		{"late row", func(s *replica.Set) { s.Put(registration("a", 7)) }, 0},
		{"row without the start of the replica", func(s *replica.Set) { s.Put(withoutStart) }, 0},
		{"the same after the row was deleted", func(s *replica.Set) { s.Remove("a"); s.Put(withoutStart) }, 0},
		{"row deleted for longer than a minute", func(s *replica.Set) {
			s.Remove("a")
			time.Sleep(5 * time.Minute)
			s.Put(registration("b", 1))
			s.Remove("b")
			s.Put(registration("a", 7))
		}, 0},
		{"full read", func(s *replica.Set) { s.Replace([]replica.Registration{registration("a", 7)}) }, 0},
		{"next incarnation", func(s *replica.Set) { s.Put(registration("a", 8)) }, 1},
		{"next incarnation, later a row without its start", func(s *replica.Set) { s.Put(registration("a", 8)); s.Put(withoutStart) }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := replica.NewSet(nolog.Or(nil))
				s.Put(registration("a", 7))
				s.MarkLeaving("a", 7, "test")
				test.rows(s)
				qt.Assert(t, ready(s), qt.Equals, test.want)
			})
		})
	}
}

// Guards against a leaving that a replica states to one entry and no other
// entry learns of.
func TestLeavingThatAReplicaStatesIsPassedOn(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	var passedOn []string
	s.OnDrain(func(r *replica.Replica, _ replica.Source) { passedOn = append(passedOn, r.ID) })
	for _, id := range []string{"a", "b"} {
		s.Put(registration(id, 1))
	}
	s.MarkLeaving("a", 1, replica.SourceAnswer)
	s.MarkLeaving("a", 1, replica.SourceAnswer)
	// Peers pass on what they learn themselves.
	s.MarkLeaving("b", 1, replica.SourcePeer)
	s.Put(draining(registration("a", 1)))
	qt.Assert(t, passedOn, qt.DeepEquals, []string{"a"})
}

// Guards against the row of an earlier incarnation, which a restored registry brings
// back and which replaced the replica that runs.
func TestRestoredRowOfAnEarlierIncarnationReplacesNoReplica(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	first := replica.Registration{ID: "r", Service: "s", Addr: "10.0.0.1:80", Incarnation: 1}
	second := replica.Registration{ID: "r", Service: "s", Addr: "10.0.0.2:80", Incarnation: 2}
	s.Put(first)
	s.Put(second)
	s.RegistryRecovered()
	s.Replace([]replica.Registration{first})
	qt.Check(t, s.Current().Ready["s"][0].Addr, qt.Equals, second.Addr)
	s.Put(second)
	qt.Check(t, s.Current().Ready["s"][0].Addr, qt.Equals, second.Addr)
}

// A snapshot for each row made the start of thousands of replicas take time that grew with the
// square of their number.
func TestStartOfManyReplicasTakesLinearMemory(t *testing.T) {
	allocated := func(replicas int) float64 {
		s := replica.NewSet(nolog.Or(nil))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		for i := range replicas {
			s.Put(registration(fmt.Sprint(i), 1))
		}
		qt.Assert(t, s.Current().Ready["s"], qt.HasLen, replicas)
		runtime.ReadMemStats(&after)
		return float64(after.TotalAlloc - before.TotalAlloc)
	}
	small, large := allocated(500), allocated(4000)
	qt.Assert(t, large < 12*small, qt.IsTrue, qt.Commentf("%.0f bytes for 500 replicas, %.0f for 4000", small, large))
}
