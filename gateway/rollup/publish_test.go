package rollup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Replies grew with the number of replicas: with 3,000 of them, the busiest entry of a fleet of
// 300 sent and received 6 MB a second. A bounded reply must leave out no sum for good, also if
// sums change between the replies.
func TestRepliesWithSpeedsAreBounded(t *testing.T) {
	p, now := newPublication(), time.Unix(1000, 0)
	sums := make(map[string]peer.SpeedSamples)
	for i := range 1000 {
		sums[fmt.Sprint(i)] = peer.SpeedSamples{Incarnation: 1, Kinds: [peer.SpeedKinds]peer.SpeedSample{{Weight: 1, Time: 1}}}
	}
	p.publish(sums, now)
	known, version := make(map[string]peer.SpeedSamples), uint64(wantAll)
	for i := range 12 {
		var reply map[string]peer.SpeedSamples
		reply, version = p.since(version, now)
		qt.Assert(t, len(reply) <= maxReplySums, qt.IsTrue)
		for id, s := range reply {
			known[id] = s
		}
		if i < 3 {
			sums["7"] = peer.SpeedSamples{Incarnation: int64(2 + i), Kinds: sums["7"].Kinds}
			p.publish(sums, now)
		}
	}
	qt.Assert(t, known, qt.DeepEquals, sums)
	reply, _ := p.since(version, now)
	qt.Assert(t, reply, qt.HasLen, 0)
}
