package contract

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// loadInterval is the time between two loads in the weight store of New.
const loadInterval = 10 * time.Second

// RunObjects runs the tests of infra.Objects without faults.
func RunObjects(t *testing.T, newFixture New) {
	for _, test := range []struct {
		name, key string
		body      []byte
	}{
		{"small", "a/b", []byte("body")},
		{"empty", "a/b", []byte{}},
		{"large", "a/b", bytes.Repeat([]byte{0, 1, 0xff}, 1<<20)},
		{"odd key", "a b/ü?x=1&y#z%2F", []byte("body")},
	} {
		bubble(t, test.name, newFixture, func(c *qt.C, f Fixture) {
			ctx := c.TB.Context()
			_, found, err := f.Objects.Get(ctx, test.key)
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.IsFalse)
			c.Assert(f.Objects.Put(ctx, test.key, []byte("first")), qt.IsNil)
			c.Assert(f.Objects.Put(ctx, test.key, test.body), qt.IsNil)
			body, found, err := f.Objects.Get(ctx, test.key)
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.IsTrue)
			c.Assert(bytes.Equal(body, test.body), qt.IsTrue)
			c.Assert(f.Objects.Delete(ctx, test.key), qt.IsNil)
			c.Assert(f.Objects.Delete(ctx, test.key), qt.IsNil)
			_, found, err = f.Objects.Get(ctx, test.key)
			c.Assert(err, qt.IsNil)
			c.Assert(found, qt.IsFalse)
		})
	}
}

func exampleHost(id string) infra.Host {
	return infra.Host{
		ID: id, Incarnation: id + "-1", FailureDomain: "midrand", Region: "gauteng", Class: "gpu", Reclaimable: true,
		State: infra.HostLive, PricePerHour: 0.25,
		Endpoints: []infra.Endpoint{{ID: "e", Kind: infra.KindEngine, Addr: "10.0.0.9:80", Name: "m", Version: "1", ChecksFence: true}},
	}
}

// RunHostList runs the tests of infra.HostList without faults.
func RunHostList(t *testing.T, newFixture New) {
	bubble(t, "hosts keep all fields", newFixture, func(c *qt.C, f Fixture) {
		f.SetHosts(exampleHost("h1"), exampleHost("h2"))
		hosts, err := f.HostList.Hosts(c.TB.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(hosts, qt.DeepEquals, []infra.Host{exampleHost("h1"), exampleHost("h2")})
	})
	bubble(t, "a change shows after the lag", newFixture, func(c *qt.C, f Fixture) {
		f.SetListLag(5 * time.Second)
		f.SetHosts(exampleHost("h1"))
		time.Sleep(time.Minute)
		leaving := exampleHost("h1")
		leaving.State = infra.HostLeaving
		f.SetHosts(leaving)
		time.Sleep(4 * time.Second)
		c.Assert(stateOf(c, f), qt.Equals, infra.HostLive)
		time.Sleep(2 * time.Second)
		c.Assert(stateOf(c, f), qt.Equals, infra.HostLeaving)
	})
}

func stateOf(c *qt.C, f Fixture) infra.HostState {
	hosts, err := f.HostList.Hosts(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(hosts, qt.HasLen, 1)
	return hosts[0].State
}

var (
	exampleOffer   = infra.Offer{FailureDomain: "midrand", Region: "gauteng", Class: "gpu", Reclaimable: true, PricePerHour: 0.25, LossPerHour: 0.1}
	exampleRequest = infra.HostRequest{RequestID: "r1", FailureDomain: "midrand", Class: "gpu", Reclaimable: true, Model: "m", Version: "1"}
)

// RunCloud runs the tests of infra.Cloud.
func RunCloud(t *testing.T, newFixture New) {
	bubble(t, "a request is idempotent", newFixture, idempotentRequest)
	bubble(t, "a request without an offer or without capacity is not run", newFixture, refusedRequest)
	for _, test := range []struct {
		name  string
		delay time.Duration
		twice bool
		want  int
	}{
		{name: "a notice in time", want: 1},
		{name: "a late notice", delay: 10 * time.Second, want: 1},
		{name: "a notice given twice", twice: true, want: 2},
	} {
		bubble(t, test.name, newFixture, func(c *qt.C, f Fixture) {
			f.SetHosts(exampleHost("h1"))
			f.Announce("h1", 30*time.Second, test.delay, test.twice)
			if test.delay > 0 {
				early, err := f.Cloud.Notices(c.TB.Context(), 0)
				c.Assert(err, qt.IsNil)
				c.Assert(early, qt.HasLen, 0)
			}
			time.Sleep(test.delay + time.Second)
			notices, err := f.Cloud.Notices(c.TB.Context(), 0)
			c.Assert(err, qt.IsNil)
			c.Assert(notices, qt.HasLen, test.want)
			for i, n := range notices {
				c.Assert(n.HostID, qt.Equals, "h1")
				c.Assert(n.Incarnation, qt.Equals, "h1-1")
				c.Assert(n.Remaining, qt.Equals, 29*time.Second-test.delay)
				c.Assert(i == 0 || n.Seq > notices[i-1].Seq, qt.IsTrue)
			}
			rest, err := f.Cloud.Notices(c.TB.Context(), notices[len(notices)-1].Seq)
			c.Assert(err, qt.IsNil)
			c.Assert(rest, qt.HasLen, 0)
		})
	}
}

func idempotentRequest(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	f.SetOffers(exampleOffer)
	offers, err := f.Cloud.Offers(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(offers, qt.DeepEquals, []infra.Offer{exampleOffer})
	first, err := f.Cloud.Request(ctx, exampleRequest)
	c.Assert(err, qt.IsNil)
	c.Assert(first.FailureDomain, qt.Equals, "midrand")
	c.Assert(first.Reclaimable, qt.IsTrue)
	again, err := f.Cloud.Request(ctx, exampleRequest)
	c.Assert(err, qt.IsNil)
	c.Assert(again.ID, qt.Equals, first.ID)
	other := exampleRequest
	other.RequestID = "r2"
	second, err := f.Cloud.Request(ctx, other)
	c.Assert(err, qt.IsNil)
	c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	c.Assert(f.Cloud.Release(ctx, first.ID), qt.IsNil)
	c.Assert(f.Cloud.Release(ctx, first.ID), qt.IsNil)
	c.Assert(f.Cloud.Release(ctx, "unknown"), qt.IsNil)
	hosts, err := f.HostList.Hosts(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(hosts, qt.HasLen, 1)
	c.Assert(hosts[0].ID, qt.Equals, second.ID)
}

func refusedRequest(c *qt.C, f Fixture) {
	ctx := c.TB.Context()
	other := exampleOffer
	other.FailureDomain = "centurion"
	f.SetOffers(exampleOffer, other)
	notOffered := exampleRequest
	notOffered.Class = "tpu"
	_, err := f.Cloud.Request(ctx, notOffered)
	checkVerdict(c, err, verdict.NotRun)
	f.Refuse("midrand")
	_, err = f.Cloud.Request(ctx, exampleRequest)
	checkVerdict(c, err, verdict.NotRun)
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable)
	elsewhere := exampleRequest
	elsewhere.FailureDomain = "centurion"
	_, err = f.Cloud.Request(ctx, elsewhere)
	c.Assert(err, qt.IsNil)
}

// RunWeightStore runs the tests of infra.WeightStore without faults.
func RunWeightStore(t *testing.T, newFixture New) {
	bubble(t, "loads are paced", newFixture, func(c *qt.C, f Fixture) {
		f.Publish("m", "1")
		var waits []time.Duration
		for range 3 {
			wait, err := f.WeightStore.Reserve(c.TB.Context(), "m", "1")
			c.Assert(err, qt.IsNil)
			waits = append(waits, wait)
		}
		c.Assert(waits, qt.DeepEquals, []time.Duration{0, loadInterval, 2 * loadInterval})
		time.Sleep(3 * loadInterval)
		wait, err := f.WeightStore.Reserve(c.TB.Context(), "m", "1")
		c.Assert(err, qt.IsNil)
		c.Assert(wait, qt.Equals, time.Duration(0))
	})
	bubble(t, "versions", newFixture, func(c *qt.C, f Fixture) {
		f.Publish("m", "1")
		f.Publish("m", "2")
		versions, err := f.WeightStore.Versions(c.TB.Context(), "m")
		c.Assert(err, qt.IsNil)
		c.Assert(versions, qt.DeepEquals, []string{"1", "2"})
		_, err = f.WeightStore.Reserve(c.TB.Context(), "m", "3")
		checkVerdict(c, err, verdict.NotRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
	})
}
