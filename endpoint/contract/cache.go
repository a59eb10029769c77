package contract

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// RunCache runs the tests of the prefix cache and of KV migration.
func RunCache(t *testing.T, newEngine NewEngine) {
	bubble(t, "a prompt is cached for its customer only", newEngine, customerCache)
	bubble(t, "cache events name the prompt's blocks", newEngine, cacheEvents)
	bubble(t, "an imported KV cache leaves nothing to prefill", newEngine, importKV)
	runRefusedImports(t, newEngine)
	bubble(t, "export of no stream", newEngine, func(c *qt.C, f EngineFixture) {
		_, err := f.Engine.Export(c.TB.Context(), "none")
		checkVerdict(c, err, verdict.NotRun, verdict.CodeNotFound)
	})
	bubble(t, "import of an unknown KV cache", newEngine, func(c *qt.C, f EngineFixture) {
		_, err := f.Other.Import(c.TB.Context(), endpoint.KV{Source: "10.9.9.9:1", Handle: "none"})
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
	})
}

// cachedTokens runs an attempt to its end and returns the number of its cached
// tokens.
func cachedTokens(c *qt.C, e endpoint.Engine, r endpoint.GenerateRequest) int {
	c.Helper()
	frames, err := readAll(c.TB.Context(), generate(c, e, r))
	c.Assert(err, qt.IsNil)
	for _, f := range frames[1:] {
		c.Assert(f.CachedTokens, qt.Equals, 0)
	}
	return frames[0].CachedTokens
}

func customerCache(c *qt.C, f EngineFixture) {
	messages := prompt("report", 200)
	blocks := prefix.Count(prefix.Text(messages)) / prefix.BlockTokens * prefix.BlockTokens
	c.Assert(cachedTokens(c, f.Engine, request("a", messages)), qt.Equals, 0)
	c.Assert(cachedTokens(c, f.Engine, request("b", messages)), qt.Equals, blocks)
	rival := request("c", messages)
	rival.Customer = "rival"
	c.Assert(cachedTokens(c, f.Engine, rival), qt.Equals, 0)
	// Only the first block is the same.
	other := prompt("report", 80)
	other[1].Content += " and more" + messages[1].Content
	c.Assert(cachedTokens(c, f.Engine, request("d", other)), qt.Equals, prefix.BlockTokens)
}

func cacheEvents(c *qt.C, f EngineFixture) {
	ctx := c.TB.Context()
	messages := prompt("report", 200)
	cachedTokens(c, f.Engine, request("a", messages))
	events, err := f.Engine.CacheEvents(ctx, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(events.First, qt.Equals, uint64(0))
	c.Assert(events.Next, qt.Equals, uint64(len(events.Events)))
	seen := make(map[uint64]bool)
	for _, e := range events.Events {
		c.Assert(e.Evicted, qt.IsFalse)
		seen[e.Hash] = true
	}
	hashes, _ := prefix.Hashes(customer, prefix.Text(messages))
	c.Assert(len(hashes) > 0, qt.IsTrue)
	for _, h := range hashes {
		c.Assert(seen[h], qt.IsTrue)
	}
	rest, err := f.Engine.CacheEvents(ctx, events.Next)
	c.Assert(err, qt.IsNil)
	c.Assert(rest, qt.DeepEquals, endpoint.CacheEvents{First: events.Next, Next: events.Next})
	last, err := f.Engine.CacheEvents(ctx, events.Next-1)
	c.Assert(err, qt.IsNil)
	c.Assert(last.Events, qt.DeepEquals, events.Events[len(events.Events)-1:])
}

// export generates at least eight tokens of a stream and exports it. It also
// returns the text and the number of tokens read.
func export(c *qt.C, f EngineFixture, r endpoint.GenerateRequest) (endpoint.KV, string, int) {
	c.Helper()
	s := generate(c, f.Engine, r)
	text, n := read(c, s, 8)
	kv, err := f.Engine.Export(c.TB.Context(), s.ID())
	c.Assert(err, qt.IsNil)
	c.Assert(kv.Tokens >= n, qt.IsTrue)
	c.Assert(kv.Bytes > 0, qt.IsTrue)
	_, err = readAll(c.TB.Context(), s)
	checkVerdict(c, err, verdict.MayHaveRun, verdict.CodeCancelled)
	return kv, text, n
}

func importKV(c *qt.C, f EngineFixture) {
	r := request("a", prompt("report", 100))
	kv, text, n := export(c, f, r)
	name, err := f.Other.Import(c.TB.Context(), kv)
	c.Assert(err, qt.IsNil)
	r.AttemptID, r.KV, r.Resume, r.ResumeTokens = "b", name, text, n
	frames, err := readAll(c.TB.Context(), generate(c, f.Other, r))
	c.Assert(err, qt.IsNil)
	checkComplete(c, f, r, n, frames)
	c.Assert(frames[0].CachedTokens, qt.Equals, prefix.Count(prefix.Text(r.Messages))+n)
}

// runRefusedImports checks that an imported KV cache can't be used by a request
// of another customer or with another prompt.
func runRefusedImports(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		name   string
		change func(r *endpoint.GenerateRequest)
	}{
		{"another customer", func(r *endpoint.GenerateRequest) { r.Customer = "rival" }},
		{"another prompt", func(r *endpoint.GenerateRequest) {
			r.Messages, r.Resume, r.ResumeTokens = prompt("other", 100), "", 0
		}},
	} {
		bubble(t, "an imported KV cache refuses "+test.name, newEngine, func(c *qt.C, f EngineFixture) {
			r := request("a", prompt("report", 100))
			kv, text, n := export(c, f, r)
			name, err := f.Other.Import(c.TB.Context(), kv)
			c.Assert(err, qt.IsNil)
			r.KV, r.Resume, r.ResumeTokens = name, text, n
			test.change(&r)
			_, err = f.Other.Generate(c.TB.Context(), r)
			checkVerdict(c, err, verdict.NotRun, verdict.CodeInvalid)
		})
	}
}
