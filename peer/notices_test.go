package peer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/drain"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// noticeWithin bounds the time until every entry has a notice.
const noticeWithin = 2 * time.Second

func TestNoticeReachesAllEntriesDespiteFaults(t *testing.T) {
	cases := []struct {
		name string
		// fault is injected before the notice. It returns the entries that it
		// cuts off, which need not receive the notice during the fault.
		fault func(cl *cluster) []*node
	}{
		{"none", func(*cluster) []*node { return nil }},
		{"stalled peer", func(cl *cluster) []*node {
			stalled := cl.nodes[1]
			cl.isolate(stalled, true)
			return []*node{stalled}
		}},
		{"cut link to the first entry", func(cl *cluster) []*node {
			cl.network.SetCut(cl.nodes[0].host, cl.nodes[2].host, true)
			return nil
		}},
		{"entry killed", func(cl *cluster) []*node {
			cl.nodes[1].kill()
			return nil
		}},
		{"second notice", func(cl *cluster) []*node {
			n := notice("host-1")
			n.Reason = drain.ReasonEngine
			cl.nodes[2].mesh.BroadcastNotice(n)
			return nil
		}},
		{"early reclaim", func(cl *cluster) []*node {
			for _, n := range cl.nodes {
				n.notices.UpdateHosts([]infra.Host{{ID: "host-2", Incarnation: "1", State: infra.HostLive}})
			}
			return nil
		}},
		{"table outage", func(cl *cluster) []*node {
			cl.table.SetFaults(standin.TableFaults{Outage: true})
			return nil
		}},
		{"table hangs", func(cl *cluster) []*node {
			cl.table.SetFaults(standin.TableFaults{Hang: true})
			return nil
		}},
	}
	for _, size := range []int{3, 9} {
		for _, tc := range cases {
			t.Run(fmt.Sprintf("%d/%s", size, tc.name), func(t *testing.T) {
				inBubble(t, size, func(cl *cluster) {
					cutOff := tc.fault(cl)
					cl.nodes[0].mesh.BroadcastNotice(notice("host-1"))
					took := cl.within(noticeWithin, "notice", func() bool { return cl.allHaveNotice("host-1", "1", cutOff...) })
					t.Logf("known everywhere after %v", took)
					cl.table.SetFaults(standin.TableFaults{})
					// Entries that were cut off receive the notice after the
					// fault.
					for _, n := range cutOff {
						cl.isolate(n, false)
					}
					cl.within(15*time.Second, "notice after the fault", func() bool { return cl.allHaveNotice("host-1", "1") })
				})
			})
		}
	}
}

func TestDomainDrainReachesAllEntries(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		hosts := []infra.Host{
			{ID: "a", Incarnation: "1", FailureDomain: "north"},
			{ID: "b", Incarnation: "1", FailureDomain: "north"},
			{ID: "c", Incarnation: "1", FailureDomain: "south"},
		}
		for _, n := range cl.nodes {
			n.notices.UpdateHosts(hosts)
		}
		cl.nodes[4].notices.DrainDomain("drain-1", "north")
		cl.within(noticeWithin, "drain", func() bool { return cl.allHaveNotice("a", "1") && cl.allHaveNotice("b", "1") })
		for _, n := range cl.nodes {
			cl.c.Assert(n.notices.Leaving("c", "1"), qt.IsFalse)
		}
	})
}

func TestNewEntryReceivesNoticesAndVersions(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		late := cl.nodes[2]
		late.kill()
		cl.nodes[0].mesh.BroadcastNotice(notice("host-1"))
		cl.nodes[1].apply("karoo", 5)
		late.start()
		cl.within(10*time.Second, "notice and version at the new entry", func() bool {
			return late.notices.Leaving("host-1", "1") && late.version("karoo") == 5
		})
	})
}

// isolate cuts all links of a node, as if its process were paused, or restores
// them.
func (cl *cluster) isolate(n *node, on bool) {
	for _, o := range cl.nodes {
		if o != n {
			cl.network.SetCut(n.host, o.host, on)
		}
	}
}
