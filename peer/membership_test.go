package peer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// failedWithin bounds the time until all nodes see a killed member as failed.
const failedWithin = 25 * time.Second

// allSee reports whether Registry.Alive returns alive for an incarnation of n
// on all live nodes other than n.
func (cl *cluster) allSee(n *node, incarnation string, alive bool) bool {
	for _, o := range cl.live() {
		if o != n && o.registry.Alive(n.id, incarnation) != alive {
			return false
		}
	}
	return true
}

func TestKilledMemberFailsAndRejoins(t *testing.T) {
	for _, size := range []int{3, 9, 40} {
		inBubble(t, size, func(cl *cluster) {
			victim := cl.nodes[1]
			old := victim.registry.Self().Incarnation
			victim.kill()
			took := cl.within(failedWithin, "member gone", func() bool { return cl.allSee(victim, old, false) })
			t.Logf("%d members: gone after %v", size, took)

			victim.start()
			cl.within(20*time.Second, "member back", func() bool {
				return cl.allSee(victim, victim.registry.Self().Incarnation, true)
			})
			cl.c.Assert(cl.allSee(victim, old, false), qt.IsTrue)
		})
	}
}

func TestQuickRestartReplacesTheIncarnation(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		victim := cl.nodes[0]
		old := victim.registry.Self().Incarnation
		victim.kill()
		victim.start()
		cl.within(10*time.Second, "new incarnation", func() bool {
			return cl.allSee(victim, victim.registry.Self().Incarnation, true) && cl.allSee(victim, old, false)
		})
		cl.within(10*time.Second, "mesh", cl.meshed)
	})
}

func TestMembersStayKnownDuringTableOutage(t *testing.T) {
	for _, faults := range []standin.TableFaults{{Outage: true}, {Hang: true}} {
		inBubble(t, 9, func(cl *cluster) {
			cl.table.SetFaults(faults)
			for range 60 {
				time.Sleep(5 * time.Second)
				cl.c.Assert(cl.meshed(), qt.IsTrue)
			}
			// A failure is detected without the table.
			victim := cl.nodes[3]
			victim.kill()
			cl.within(failedWithin, "member gone", func() bool {
				return cl.allSee(victim, victim.registry.Self().Incarnation, false)
			})
			cl.table.SetFaults(standin.TableFaults{})
			time.Sleep(time.Minute)
			cl.c.Assert(cl.meshed(), qt.IsTrue)
		})
	}
}

func TestPausedMemberRejoins(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		paused := cl.nodes[4]
		cl.isolate(paused, true)
		time.Sleep(time.Minute)
		cl.isolate(paused, false)
		cl.within(15*time.Second, "mesh", cl.meshed)
	})
}

func TestCutLinkLeavesBothAlive(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		a, b := cl.nodes[0], cl.nodes[5]
		cl.network.SetCut(a.host, b.host, true)
		for range 60 {
			time.Sleep(time.Second)
			cl.c.Assert(a.registry.Alive(b.id, b.registry.Self().Incarnation), qt.IsTrue)
			cl.c.Assert(b.registry.Alive(a.id, a.registry.Self().Incarnation), qt.IsTrue)
		}
	})
}

func TestCutLinkLeavesBothAliveInALargeMesh(t *testing.T) {
	// With this many members the periodic state updates are too infrequent to
	// refute a report in time.
	inBubble(t, 120, func(cl *cluster) {
		a := cl.nodes[0]
		for _, id := range a.mesh.Peers()[:2] {
			for _, b := range cl.nodes {
				if b.id == id {
					cl.network.SetCut(a.host, b.host, true)
				}
			}
		}
		cl.table.SetFaults(standin.TableFaults{Outage: true})
		for range 90 {
			time.Sleep(time.Second)
			cl.c.Assert(cl.allSee(a, a.registry.Self().Incarnation, true), qt.IsTrue)
		}
	})
}

func TestPlannedLeave(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		leaver := cl.nodes[2]
		incarnation := leaver.registry.Self().Incarnation
		leaver.registry.SetLeaving()
		cl.within(3*time.Second, "leaving", func() bool {
			for _, o := range cl.live() {
				m, _ := o.registry.Lookup(leaver.id)
				if m.State != member.Leaving {
					return false
				}
			}
			return true
		})
		cl.c.Assert(cl.allSee(leaver, incarnation, true), qt.IsTrue)
		leaver.cancel()
		leaver.done.Wait()
		cl.c.Assert(leaver.registry.Leave(context.Background()), qt.IsNil)
		leaver.kill()
		cl.within(5*time.Second, "left", func() bool { return cl.allSee(leaver, incarnation, false) })
		_, ok, err := cl.table.Get(context.Background(), "member/"+leaver.id)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(ok, qt.IsFalse)
	})
}

func TestFailedMemberIsNotResurrected(t *testing.T) {
	inBubble(t, 40, func(cl *cluster) {
		victim := cl.nodes[7]
		old := victim.registry.Self().Incarnation
		victim.kill()
		cl.within(failedWithin, "member gone", func() bool { return cl.allSee(victim, old, false) })
		// New links must not make it live again.
		for _, n := range cl.nodes[10:20] {
			n.kill()
			n.start()
		}
		for range 60 {
			time.Sleep(time.Second)
			for _, n := range cl.nodes[20:] {
				cl.c.Assert(n.registry.Alive(victim.id, old), qt.IsFalse)
			}
		}
	})
}
