package replica_test

import (
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
	s.OnDrain(func(*replica.Replica) { drains++ })
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
