package drain_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

func quietLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func host(id, incarnation, domain string, state infra.HostState) infra.Host {
	return infra.Host{ID: id, Incarnation: incarnation, FailureDomain: domain, State: state}
}

// leavingRecorder records the hosts that a Set reports as leaving.
type leavingRecorder struct {
	mu    sync.Mutex
	hosts []string
}

func (r *leavingRecorder) add(n drain.Notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = append(r.hosts, n.HostID+"/"+n.Incarnation)
}

func TestFirstNoticeWins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		set, reported := drain.NewSet(quietLog()), &leavingRecorder{}
		set.OnLeaving(reported.add)
		first := drain.Notice{HostID: "a", Incarnation: "1", Reason: drain.ReasonReclaim, Remaining: 30 * time.Second}
		c.Assert(set.Add(first), qt.IsTrue)
		time.Sleep(10 * time.Second)
		second := drain.Notice{HostID: "a", Incarnation: "1", Reason: drain.ReasonEngine, Remaining: time.Hour}
		c.Assert(set.Add(second), qt.IsFalse)
		set.UpdateHosts([]infra.Host{host("a", "1", "d", infra.HostLeaving)})
		n, ok := set.Get("a", "1")
		c.Assert(ok, qt.IsTrue)
		c.Assert(n.Reason, qt.Equals, drain.ReasonReclaim)
		c.Assert(n.Remaining, qt.Equals, 20*time.Second)

		// A host list that lags shows the host as live; the notice remains.
		set.UpdateHosts([]infra.Host{host("a", "1", "d", infra.HostLive)})
		c.Assert(set.Leaving("a", "1"), qt.IsTrue)
		// The next incarnation under the same ID is not leaving.
		c.Assert(set.Leaving("a", "2"), qt.IsFalse)
		c.Assert(reported.hosts, qt.DeepEquals, []string{"a/1"})

		time.Sleep(time.Hour)
		n, _ = set.Get("a", "1")
		c.Assert(n.Remaining > 0, qt.IsTrue, qt.Commentf("an expired notice must not look unlimited"))
	})
}

func TestDomainDrainMarksItsHosts(t *testing.T) {
	c := qt.New(t)
	set, reported := drain.NewSet(quietLog()), &leavingRecorder{}
	set.OnLeaving(reported.add)
	set.UpdateHosts([]infra.Host{host("a", "1", "north", infra.HostLive), host("b", "1", "south", infra.HostLive)})
	c.Assert(set.DrainDomain("drain-1", "north"), qt.IsTrue)
	c.Assert(set.DrainDomain("drain-1", "north"), qt.IsFalse)
	c.Assert(reported.hosts, qt.DeepEquals, []string{"a/1"})
	c.Assert(set.Leaving("b", "1"), qt.IsFalse)

	// A host that joins the domain later is marked, too.
	set.UpdateHosts([]infra.Host{host("a", "1", "north", infra.HostLive), host("c", "1", "north", infra.HostLive)})
	c.Assert(reported.hosts, qt.DeepEquals, []string{"a/1", "c/1"})

	// Peers receive only the notice of the domain, not those of its hosts.
	broadcast, _ := set.Since(0, 10)
	c.Assert(broadcast, qt.HasLen, 1)
	c.Assert(broadcast[0].FailureDomain, qt.Equals, "north")
}

func TestNoticesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		set := drain.NewSet(quietLog())
		listed := []infra.Host{host("a", "1", "d", infra.HostLeaving), host("b", "1", "d", infra.HostLive)}
		set.UpdateHosts(listed)
		set.Add(drain.Notice{HostID: "gone", Incarnation: "1"})
		for range 20 {
			time.Sleep(time.Minute)
			set.UpdateHosts(listed)
		}
		c.Assert(set.Leaving("a", "1"), qt.IsTrue, qt.Commentf("a listed host keeps its notice"))
		c.Assert(set.Leaving("gone", "1"), qt.IsFalse)
		broadcast, _ := set.Since(0, 10)
		c.Assert(broadcast, qt.HasLen, 1)

		// An old notice from a peer is ignored for a host that is not listed,
		// but not for a listed host.
		c.Assert(set.Add(drain.Notice{HostID: "gone", Incarnation: "1", Age: time.Hour}), qt.IsFalse)
		c.Assert(set.Add(drain.Notice{HostID: "b", Incarnation: "1", Age: time.Hour}), qt.IsTrue)
	})
}

func TestSinceReturnsBatches(t *testing.T) {
	c := qt.New(t)
	set := drain.NewSet(quietLog())
	for _, id := range []string{"a", "b", "c"} {
		set.Add(drain.Notice{HostID: id, Incarnation: "1"})
	}
	first, position := set.Since(0, 2)
	c.Assert(first, qt.HasLen, 2)
	rest, position := set.Since(position, 2)
	c.Assert(rest, qt.HasLen, 1)
	c.Assert(rest[0].HostID, qt.Equals, "c")
	rest, _ = set.Since(position, 2)
	c.Assert(rest, qt.HasLen, 0)
}

// fakeCloud returns a list of notices and hosts, or an error while it is
// unavailable.
type fakeCloud struct {
	infra.Cloud
	mu          sync.Mutex
	notices     []infra.Notice
	hosts       []infra.Host
	unavailable bool
	polls       int
}

func (f *fakeCloud) Notices(_ context.Context, after uint64) ([]infra.Notice, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	if f.unavailable {
		return nil, errors.New("down")
	}
	var out []infra.Notice
	for _, n := range f.notices {
		if n.Seq > after {
			out = append(out, n)
		}
	}
	return out, nil
}

func (f *fakeCloud) Hosts(context.Context) ([]infra.Host, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return nil, errors.New("down")
	}
	return f.hosts, nil
}

func TestWatchFindsNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cloud := &fakeCloud{hosts: []infra.Host{host("a", "1", "north", infra.HostLive)}}
		set, entries := drain.NewSet(quietLog()), 9
		w := &drain.Watch{Set: set, Cloud: cloud, List: cloud, Entries: func() int { return entries }, Log: quietLog()}
		ctx, cancel := context.WithCancel(context.Background())
		var done sync.WaitGroup
		done.Go(func() { _ = w.Run(ctx) })

		time.Sleep(2 * time.Second)
		cloud.mu.Lock()
		cloud.notices = []infra.Notice{{Seq: 4, HostID: "a", Incarnation: "1", Remaining: 25 * time.Second}}
		cloud.mu.Unlock()
		time.Sleep(1100 * time.Millisecond)
		n, ok := set.Get("a", "1")
		c.Assert(ok, qt.IsTrue)
		c.Assert(n.FailureDomain, qt.Equals, "north")

		// Notices and host states that appear during an outage are found
		// after it.
		cloud.mu.Lock()
		cloud.unavailable = true
		cloud.mu.Unlock()
		time.Sleep(time.Minute)
		cloud.mu.Lock()
		cloud.unavailable = false
		cloud.notices = append(cloud.notices, infra.Notice{Seq: 5, HostID: "b", Incarnation: "1"})
		cloud.hosts = append(cloud.hosts, host("c", "1", "north", infra.HostLeaving))
		cloud.mu.Unlock()
		time.Sleep(1100 * time.Millisecond)
		c.Assert(set.Leaving("b", "1"), qt.IsTrue)
		c.Assert(set.Leaving("c", "1"), qt.IsTrue)
		cancel()
		done.Wait()
	})
}
