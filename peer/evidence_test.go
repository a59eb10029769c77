package peer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/quarantine"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// evidenceWithin is the time within which all entries in touch must know
	// which part crashes replicas.
	evidenceWithin = 3 * time.Second
	// maxEvidenceBytes bounds what one crash costs an entry, in bytes sent.
	maxEvidenceBytes = 4 << 10
)

const crashingPart = 0xbad

// crash records that a replica crashed on crashingPart, and another that sound
// requests share.
func (n *node) crash(number int) {
	n.evidence.Crashed(&replica.Replica{Registration: replica.Registration{
		ID: fmt.Sprint("replica-", number), Service: "s", Version: "v1", FailureDomain: fmt.Sprint("domain-", number), Incarnation: 1,
	}}, "customer", []uint64{1, crashingPart}, quarantine.Beginning, time.Now())
}

func (n *node) refuses() bool {
	_, err := n.evidence.Check("customer", []uint64{1, crashingPart})
	return err != nil
}

func (cl *cluster) allRefuse(except ...*node) bool {
	for _, n := range cl.live() {
		if !contains(except, n) && !n.refuses() {
			return false
		}
	}
	return true
}

func (cl *cluster) sentBytes() uint64 {
	sum := uint64(0)
	for _, n := range cl.live() {
		sum += n.mesh.Traffic().SentBytes
	}
	return sum
}

// Guards against each entry seeing too few of the crashes that one prompt part
// causes at all of them.
func TestCrashesAtDifferentEntriesAreKnownToAll(t *testing.T) {
	for _, size := range []int{3, 9, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, size, func(cl *cluster) {
				cutOff := cl.nodes[1]
				cl.isolate(cutOff, true)
				late := cl.nodes[2]
				late.kill()
				time.Sleep(time.Second)
				quiet := cl.sentBytes()
				time.Sleep(evidenceWithin)
				quiet = cl.sentBytes() - quiet

				before := cl.sentBytes()
				live := cl.live()
				for i := range 5 {
					n := live[i%len(live)]
					if n == cutOff {
						n = live[0]
					}
					n.crash(i)
				}
				took := cl.within(evidenceWithin, "evidence", func() bool { return cl.allRefuse(cutOff) })
				time.Sleep(evidenceWithin - took)
				perCrash := (float64(cl.sentBytes()-before) - float64(quiet)) / float64(5*len(live))
				t.Logf("known after %v, %.0f bytes an entry and crash", took, perCrash)
				qt.Check(t, perCrash <= maxEvidenceBytes, qt.IsTrue, qt.Commentf("%.0f bytes", perCrash))

				cl.isolate(cutOff, false)
				late.start()
				cl.within(15*time.Second, "evidence at an entry that was cut off and at a new one", func() bool { return cl.allRefuse() })
			})
		})
	}
}

// Guards against a piece of evidence that is longer than the burst of a connection never
// being sent, nor what follows it.
func TestEvidenceLongerThanTheBurstIsSent(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		const requests, firstPart = 96, 1 << 60
		from, to := cl.nodes[0], cl.nodes[1]
		r := &replica.Replica{Registration: replica.Registration{ID: "replica", Service: "s", FailureDomain: "d", Incarnation: 1}}
		parts := func(n uint64) []uint64 { return []uint64{firstPart + 2*n, firstPart + 2*n + 1} }
		for n := range uint64(requests) {
			from.evidence.Answered("customer", parts(n))
		}
		time.Sleep(10 * time.Second)
		for n := range uint64(requests) {
			progress := quarantine.Waiting
			if n%3 == 0 {
				progress = quarantine.Beginning
			}
			from.evidence.Crashed(r, "customer", parts(n), progress, time.Now())
		}
		cl.within(10*time.Second, "long evidence", func() bool {
			known, _ := to.evidence.Since("", true, peer.EvidencePosition{}, 10)
			return len(known) > 0 && len(known[0].Parts) == 2*requests/3
		})
	})
}
