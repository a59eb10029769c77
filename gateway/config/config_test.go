package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

func TestRouteWithLongestPrefixIsChosen(t *testing.T) {
	c := (&config.Configuration{Routes: []config.Route{
		{Name: "short", Host: "a", Prefix: "/x/"},
		{Name: "long", Host: "a", Prefix: "/x/y/"},
		{Name: "other", Host: "b", Prefix: "/"},
	}}).Compile()
	for _, test := range []struct{ host, path, want string }{
		{"a", "/x/1", "short"},
		{"a", "/x/y/1", "long"},
		{"a", "/x/y", "short"},
		{"a", "/z/", ""},
		{"b", "/x/y/1", "other"},
		{"c", "/x/1", ""},
	} {
		got := ""
		if r := c.Route(test.host, test.path); r != nil {
			got = r.Name
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s%s", test.host, test.path))
	}
}

func TestWeightsDivideRequests(t *testing.T) {
	r := config.Route{Targets: []config.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range 100 {
		counts[r.Pick(float64(i)/100)]++
	}
	qt.Assert(t, counts, qt.DeepEquals, map[string]int{"a": 90, "b": 10})
}

func TestOfferIgnoresOlderVersions(t *testing.T) {
	var h config.Holder
	var seen []uint64
	h.OnChange(func(c *config.Configuration) { seen = append(seen, c.Version) })
	for _, v := range []uint64{3, 2, 3, 7, 5} {
		h.Offer((&config.Configuration{Version: v}).Compile())
	}
	qt.Assert(t, seen, qt.DeepEquals, []uint64{3, 7})
	qt.Assert(t, h.Current().Version, qt.Equals, uint64(7))
}
