package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

func TestIndexSizeIsBounded(t *testing.T) {
	c := qt.New(t)
	x := newPrefixIndex(indexShards * 4)
	for i := range uint64(10000) {
		x.add(mix(i), blockLocation{number: uint32(i)})
	}
	c.Assert(x.len() <= indexShards*4, qt.IsTrue)
}

func TestIndexRetainsUsedBlocks(t *testing.T) {
	c := qt.New(t)
	x := newPrefixIndex(indexShards * 8)
	var out [maxLocations]blockLocation
	x.add(1, blockLocation{number: 7})
	for i := range uint64(5000) {
		x.add(mix(i+10), blockLocation{})
		x.find(1, &out)
	}
	c.Assert(x.find(1, &out), qt.Equals, 1)
	c.Assert(out[0].number, qt.Equals, uint32(7))
}

func TestIndexLocations(t *testing.T) {
	c := qt.New(t)
	x := newPrefixIndex(1000)
	var out [maxLocations]blockLocation
	for n := range uint32(maxLocations + 2) {
		c.Assert(x.add(5, blockLocation{number: n}), qt.IsTrue)
	}
	c.Assert(x.add(5, blockLocation{number: 3, stamp: 9}), qt.IsFalse)
	c.Assert(x.find(5, &out), qt.Equals, maxLocations)
	c.Assert(x.remove(5, 0), qt.IsFalse)
	for n := uint32(2); n < maxLocations+2; n++ {
		c.Assert(x.remove(5, n), qt.IsTrue)
	}
	c.Assert(x.find(5, &out), qt.Equals, 0)
}

// expectCached returns the number of cached tokens that a choice expects on the
// only endpoint.
func expectCached(c *qt.C, f *Fleet, hashes []uint64) int {
	req := testRequest()
	req.Hashes = hashes
	req.PromptTokens = len(hashes) * prefix.BlockTokens
	choice, err := f.Choose(req)
	c.Assert(err, qt.IsNil)
	f.Done(choice, Outcome{})
	return choice.CachedTokens
}

func TestCacheEvents(t *testing.T) {
	prompt := promptHashes(1, 10)
	all := 10 * prefix.BlockTokens
	other := make([]endpoint.CacheEvent, 10)
	for i := range other {
		other[i] = endpoint.CacheEvent{Hash: uint64(i) + 1, Evicted: true}
	}
	evict := endpoint.CacheEvents{First: 10, Next: 11, Events: []endpoint.CacheEvent{{Hash: prompt[9], Evicted: true}}}
	tests := []struct {
		name string
		hard bool
		// requestedFrom and answer are the arguments of ApplyCacheEvents after
		// ten blocks have been recorded.
		requestedFrom uint64
		answer        endpoint.CacheEvents
		min, max      int
	}{
		{"nothing", false, 10, endpoint.CacheEvents{First: 10, Next: 10}, all, all},
		{"eviction", false, 10, evict, 9 * prefix.BlockTokens, 9 * prefix.BlockTokens},
		{"repeated answer", false, 0, cachedEvents(prompt[:3]), all, all},
		{"old eviction repeated", false, 0, endpoint.CacheEvents{First: 0, Next: 10, Events: other}, all, all},
		{"gap discounts", false, 10, endpoint.CacheEvents{First: 14, Next: 14}, 1, all - 1},
		{"gap drops", true, 10, endpoint.CacheEvents{First: 14, Next: 14}, 0, 0},
		{"long gap drops", false, 10, endpoint.CacheEvents{First: 500, Next: 500}, 0, 0},
		{"engine restarts numbering", false, 10, endpoint.CacheEvents{First: 0, Next: 2}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := NewFleet(Options{HardInvalidation: test.hard})
			f.SetHosts(testHosts(1))
			f.ApplyCacheEvents("e0", 0, cachedEvents(prompt))
			f.view.Load().byID["e0"].events.evictionFraction = 0.5
			f.ApplyCacheEvents("e0", test.requestedFrom, test.answer)
			got := expectCached(c, f, prompt)
			c.Assert(got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("%d tokens", got))
			if test.requestedFrom == 10 {
				c.Assert(f.EventsFrom("e0"), qt.Equals, test.answer.Next)
			}
		})
	}
}

func TestPrefixesDifferBetweenCustomers(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(1))
	text := ""
	for range 5 * prefix.BlockTokens {
		text += "word "
	}
	mine, _ := prefix.Hashes("a", text)
	others, _ := prefix.Hashes("b", text)
	f.ApplyCacheEvents("e0", 0, cachedEvents(mine))
	c.Assert(expectCached(c, f, mine) > 0, qt.IsTrue)
	c.Assert(expectCached(c, f, others), qt.Equals, 0)
}

// TestReusedNumberHasEmptyCache checks that an endpoint that reuses the number
// of a removed one has no cached blocks.
func TestReusedNumberHasEmptyCache(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(1))
	prompt := promptHashes(1, 10)
	f.ApplyCacheEvents("e0", 0, cachedEvents(prompt))
	replaced := testHosts(1)
	replaced[0].Incarnation = "2"
	f.SetHosts(replaced)
	c.Assert(expectCached(c, f, prompt), qt.Equals, 0)
	f.SetHosts(nil)
	f.SetHosts(testHosts(1))
	c.Assert(f.numbers.count() <= 2, qt.IsTrue)
	c.Assert(expectCached(c, f, prompt), qt.Equals, 0)
}

// TestStartedFillsIndex checks that a prompt counts as cached after its first
// frame, before any cache event arrives.
func TestStartedFillsIndex(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(1))
	req := testRequest()
	req.Hashes = promptHashes(1, 4)
	choice, err := f.Choose(req)
	c.Assert(err, qt.IsNil)
	f.Started(choice, endpoint.Frame{})
	c.Assert(expectCached(c, f, req.Hashes), qt.Equals, 4*prefix.BlockTokens)
}

func TestCachedTokensAndLoads(t *testing.T) {
	c := qt.New(t)
	f := NewFleet(Options{})
	f.SetHosts(testHosts(2))
	prompt := promptHashes(1, 10)
	f.ApplyCacheEvents("e1", 0, cachedEvents(prompt[:5]))
	c.Assert(f.CachedTokens(prompt), qt.DeepEquals, map[string]int{"e1": 5 * prefix.BlockTokens})
	f.ReportLoad("e0", endpoint.Load{Running: 3, Waiting: 2, MaxRunning: 4, PrefillRate: 9000, DecodeRate: 50, QueuedPromptTokens: 700})
	f.MarkLeaving("h0", "1", "notice")
	got := f.Loads()[0]
	got.Endpoint = f.Endpoints()[1].Endpoint
	c.Assert(got, qt.Equals, EndpointLoad{
		Endpoint: got.Endpoint, HostID: "h0", Leaving: true, PrefillRate: 9000, DecodeRate: 50,
		Batch: 4, FreeSlots: -1, QueuedPromptTokens: 700,
	})
}
