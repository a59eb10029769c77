package invariant_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

func TestViolationsAreCountedAndPanicIfFatal(t *testing.T) {
	c := qt.New(t)
	const name invariant.Name = "test_only"
	invariant.SetFatal(false)
	invariant.Check(true, name, "holds")
	c.Assert(invariant.Counts()[name], qt.Equals, uint64(0))
	invariant.Check(false, name, "broken")
	c.Assert(invariant.Counts()[name], qt.Equals, uint64(1))

	invariant.SetFatal(true)
	defer invariant.SetFatal(false)
	c.Assert(func() { invariant.Check(false, name, "value %d", 7) }, qt.PanicMatches, "invariant test_only broken: value 7")
	c.Assert(invariant.Counts()[name], qt.Equals, uint64(2))
}
