package peer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// limitWithin is the time within which all entries in touch must know the
	// limit of a replica.
	limitWithin = 3 * time.Second
	// maxLimitBytes bounds what one change of a limit costs an entry, in bytes
	// sent.
	maxLimitBytes = 2 << 10
)

func limitedReplica(number int) *replica.Replica {
	return &replica.Replica{Registration: replica.Registration{ID: fmt.Sprint("replica-", number), Service: "s", Incarnation: 1}}
}

func (cl *cluster) allKnowLimits(replicas int, limited bool, except ...*node) bool {
	for _, n := range cl.live() {
		if contains(except, n) {
			continue
		}
		for i := range replicas {
			if n.limits.Limited(limitedReplica(i)) != limited {
				return false
			}
		}
	}
	return true
}

// Guards against entries that don't learn of the limits, or of their end, that
// replicas named to other entries.
func TestLimitsNamedToOneEntryAreKnownToAll(t *testing.T) {
	const replicas = 30
	for _, size := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, size, func(cl *cluster) {
				cutOff, late := cl.nodes[1], cl.nodes[2]
				cl.isolate(cutOff, true)
				late.kill()
				time.Sleep(time.Second)
				quiet := cl.sentBytes()
				time.Sleep(limitWithin)
				quiet = cl.sentBytes() - quiet

				before := cl.sentBytes()
				live := cl.live()
				for i := range replicas {
					n := live[i%len(live)]
					if n == cutOff {
						n = live[0]
					}
					n.limits.Observe(limitedReplica(i), 2.5, time.Now())
				}
				took := cl.within(limitWithin, "limits", func() bool { return cl.allKnowLimits(replicas, true, cutOff) })
				time.Sleep(limitWithin - took)
				perChange := (float64(cl.sentBytes()-before) - float64(quiet)) / float64(replicas*len(live))
				t.Logf("known after %v, %.0f bytes an entry and change", took, perChange)
				qt.Check(t, perChange <= maxLimitBytes, qt.IsTrue, qt.Commentf("%.0f bytes", perChange))

				cl.isolate(cutOff, false)
				late.start()
				cl.within(15*time.Second, "limits at an entry that was cut off and at a new one", func() bool { return cl.allKnowLimits(replicas, true) })

				sent := time.Now()
				for i := range replicas {
					live[0].limits.Observe(limitedReplica(i), 0, sent)
					live[0].limits.Observe(limitedReplica(i), 0, sent)
				}
				cl.within(limitWithin, "the ends of limits", func() bool { return cl.allKnowLimits(replicas, false) })
			})
		})
	}
}

// limitPeers implements throttle.Peers over the mesh of a node.
type limitPeers struct{ n *node }

func (p limitPeers) Members() []string { return p.n.registry.Live() }
func (p limitPeers) MemberCount() int  { return p.n.registry.Count() }
func (p limitPeers) Permit(ctx context.Context, id string, r peer.PermitRequest) (peer.PermitResult, error) {
	return p.n.mesh.Permit(ctx, id, r)
}

// Guards against permits that are asked for over the mesh and don't come from the
// owner of the limit, or come without end.
func TestPermitsAreGrantedByTheOwnerOfALimit(t *testing.T) {
	inBubble(t, 9, func(cl *cluster) {
		time.Sleep(5 * time.Second)
		r := limitedReplica(0)
		cl.nodes[0].limits.Observe(r, 2.5, time.Now())
		cl.within(limitWithin, "the limit", func() bool { return cl.allKnowLimits(1, true) })
		granted, by := 0, make(map[string]bool)
		for i := range 400 {
			d := cl.nodes[i%9].limits.Acquire(context.Background(), r, throttle.Request{Customer: "c"})
			if d.OK {
				granted++
				by[d.By] = true
			}
			time.Sleep(25 * time.Millisecond)
		}
		qt.Check(t, by, qt.DeepEquals, map[string]bool{cl.nodes[0].limits.Owner(r.ID): true})
		qt.Check(t, granted >= 20 && granted <= 28, qt.IsTrue, qt.Commentf("%d permits in 10 s", granted))
	})
}
