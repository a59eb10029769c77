package member_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// Guards against a limit being handed out whole beside the part that a member hands
// out which is only cut off.
func TestSilentMemberSharesLimitsForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		gate := standin.NewGate(table)
		r := newRegistry(table, "a", "1")
		defer run(r)()
		stop := run(newRegistry(gate, "b", "1"))
		defer func() { _ = stop() }()
		time.Sleep(3 * time.Second)
		c.Assert(r.SharingCount(), qt.Equals, 2)
		gate.Kill()
		time.Sleep(r.FailureTimeout() + 100*time.Millisecond)
		c.Assert(r.Live(), qt.HasLen, 1)
		c.Assert(r.SharingCount(), qt.Equals, 2)
		time.Sleep(10 * time.Second)
		c.Assert(r.SharingCount(), qt.Equals, 1)
	})
}

// Guards against a part of each limit being left out after a planned stop.
func TestMemberThatLeavesSharesNoLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		table := standin.NewTable(1)
		r := newRegistry(table, "a", "1")
		defer run(r)()
		stop := run(newRegistry(table, "b", "1"))
		time.Sleep(3 * time.Second)
		c.Assert(stop(), qt.IsNil)
		time.Sleep(2 * r.FailureTimeout())
		c.Assert(r.SharingCount(), qt.Equals, 1)
	})
}
