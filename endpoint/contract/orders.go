package contract

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// maxLoadTime is longer than a fixture's engines take to load a model.
const maxLoadTime = time.Minute

// RunOrders runs the tests of Engine.Order, Engine.State and Engine.Load.
func RunOrders(t *testing.T, newEngine NewEngine) {
	runFences(t, newEngine)
	bubble(t, "a version is loaded, served and unloaded", newEngine, loadAndUnload)
	bubble(t, "a drain shows in state and load", newEngine, drain)
	bubble(t, "a role is reported", newEngine, func(c *qt.C, f EngineFixture) {
		order(c, f.Engine, endpoint.Order{Kind: endpoint.OrderRole, Role: "prefill"})
		c.Assert(state(c, f.Engine).Role, qt.Equals, "prefill")
	})
	bubble(t, "an unknown order is refused", newEngine, func(c *qt.C, f EngineFixture) {
		err := f.Engine.Order(c.TB.Context(), endpoint.Order{Kind: "dance"})
		checkVerdict(c, err, verdict.NotRun, verdict.CodeInvalid)
	})
	bubble(t, "the load counts streams", newEngine, countStreams)
}

func order(c *qt.C, e endpoint.Engine, o endpoint.Order) {
	c.Helper()
	c.Assert(e.Order(c.TB.Context(), o), qt.IsNil)
}

func state(c *qt.C, e endpoint.Engine) endpoint.State {
	c.Helper()
	s, err := e.State(c.TB.Context())
	c.Assert(err, qt.IsNil)
	return s
}

func runFences(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		name    string
		checks  bool
		fences  []uint64
		refused int // the order that is refused; -1 for none
		highest uint64
	}{
		{"rising", true, []uint64{1, 2, 5}, -1, 5},
		{"the same again", true, []uint64{3, 3}, -1, 3},
		{"an old one where it is checked", true, []uint64{4, 3}, 1, 4},
		{"an old one where it is ignored", false, []uint64{4, 3}, -1, 0},
	} {
		t.Run("fence: "+test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newEngine(t, EngineOptions{ChecksFence: test.checks})
				for i, fence := range test.fences {
					role := string(rune('a' + i))
					err := f.Engine.Order(t.Context(), endpoint.Order{Kind: endpoint.OrderRole, Role: role, Fence: fence})
					if i == test.refused {
						checkVerdict(c, err, verdict.NotRun, verdict.CodeFenced)
						c.Assert(state(c, f.Engine).Role, qt.Not(qt.Equals), role)
						continue
					}
					c.Assert(err, qt.IsNil)
					c.Assert(state(c, f.Engine).Role, qt.Equals, role)
				}
				c.Assert(state(c, f.Engine).Fence, qt.Equals, test.highest)
			})
		})
	}
}

func loadAndUnload(c *qt.C, f EngineFixture) {
	old := endpoint.LoadedModel{Model: Model, Version: Version}
	next := endpoint.LoadedModel{Model: Model, Version: "v2"}
	load := endpoint.Order{Kind: endpoint.OrderLoad, Model: next.Model, Version: next.Version}
	order(c, f.Engine, load)
	order(c, f.Engine, load)
	c.Assert(state(c, f.Engine).Loading, qt.IsTrue)
	c.Assert(state(c, f.Engine).Models, qt.DeepEquals, []endpoint.LoadedModel{old})
	time.Sleep(maxLoadTime)
	c.Assert(state(c, f.Engine).Loading, qt.IsFalse)
	c.Assert(state(c, f.Engine).Models, qt.DeepEquals, []endpoint.LoadedModel{old, next})
	r := request("a", prompt("wax", 5))
	r.Version = "v2"
	frames, err := readAll(c.TB.Context(), generate(c, f.Engine, r))
	c.Assert(err, qt.IsNil)
	c.Assert(frames[0].Version, qt.Equals, "v2")
	unload := endpoint.Order{Kind: endpoint.OrderUnload, Model: old.Model, Version: old.Version}
	order(c, f.Engine, unload)
	order(c, f.Engine, unload)
	c.Assert(slices.Contains(state(c, f.Engine).Models, old), qt.IsFalse)
	_, err = f.Engine.Generate(c.TB.Context(), request("b", prompt("wax", 5)))
	checkVerdict(c, err, verdict.NotRun, verdict.CodeNotFound)
}

func drain(c *qt.C, f EngineFixture) {
	c.Assert(state(c, f.Engine).Leaving, qt.IsFalse)
	order(c, f.Engine, endpoint.Order{Kind: endpoint.OrderDrain})
	c.Assert(state(c, f.Engine).Leaving, qt.IsTrue)
	load, err := f.Engine.Load(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(load.Leaving, qt.IsTrue)
}

func countStreams(c *qt.C, f EngineFixture) {
	for _, name := range []string{"a", "b", "c"} {
		generate(c, f.Engine, request(name, prompt(name, 100)))
	}
	load, err := f.Engine.Load(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(load.Running, qt.Equals, MaxRunning)
	c.Assert(load.Waiting, qt.Equals, 1)
	c.Assert(load.MaxRunning, qt.Equals, MaxRunning)
	c.Assert(load.QueuedPromptTokens > 200, qt.IsTrue, qt.Commentf("%d", load.QueuedPromptTokens))
	c.Assert(load.PrefillRate > 0 && load.DecodeRate > 0, qt.IsTrue)
	time.Sleep(30 * time.Second)
	load, err = f.Engine.Load(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(load.Running+load.Waiting+load.QueuedPromptTokens, qt.Equals, 0)
}
