package replica_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

func entry(id string, born int64) replica.Registration {
	return replica.Registration{ID: id, Service: "s", Addr: "10.0.0.1:1", Incarnation: born}
}

func draining(e replica.Registration) replica.Registration {
	e.Draining = true
	return e
}

func ready(s *replica.Set) int { return len(s.Current().Ready["s"]) }

func TestLeavingReplicaGetsNoWorkInTheSameIncarnation(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	told := 0
	s.OnDrain(func(*replica.Replica) { told++ })
	s.Put(entry("a", 1))
	qt.Assert(t, ready(s), qt.Equals, 1)
	s.Put(draining(entry("a", 1)))
	s.Put(draining(entry("a", 1)))
	qt.Assert(t, ready(s), qt.Equals, 0)
	qt.Assert(t, told, qt.Equals, 1)
	// A late row of before the notice.
	s.Put(entry("a", 1))
	qt.Assert(t, ready(s), qt.Equals, 0)
	// Another incarnation under the same ID.
	s.Put(entry("a", 2))
	qt.Assert(t, ready(s), qt.Equals, 1)
}

func TestNoticeOfAPeerCountsBeforeTheRegistry(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	s.MarkLeaving("a", 1, "peer")
	s.Put(entry("a", 1))
	s.Put(entry("b", 1))
	qt.Assert(t, ready(s), qt.Equals, 1)
}

func TestEntryThatLapsedWhileTheRegistryWasAway(t *testing.T) {
	for _, test := range []struct {
		name string
		back bool
		want int
	}{{"is written again", true, 1}, {"stays away", false, 0}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := replica.NewSet(nolog.Or(nil))
				s.Put(entry("a", 1))
				time.Sleep(time.Minute)
				s.RegistryBack()
				s.Replace(nil)
				qt.Assert(t, ready(s), qt.Equals, 1)
				time.Sleep(time.Second)
				if test.back {
					s.Put(entry("a", 1))
				}
				time.Sleep(2 * time.Second)
				qt.Assert(t, ready(s), qt.Equals, test.want)
			})
		})
	}
}

func TestEntryThatIsRemovedIsGoneAtOnce(t *testing.T) {
	s := replica.NewSet(nolog.Or(nil))
	s.Replace([]replica.Registration{entry("a", 1), entry("b", 1)})
	s.Remove("a")
	qt.Assert(t, ready(s), qt.Equals, 1)
	s.Replace(nil)
	qt.Assert(t, ready(s), qt.Equals, 0)
}
