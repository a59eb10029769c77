package peer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Guards against levels of limits that change on the way.
func TestLevelsOfLimitsAreExchanged(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		sent := []peer.LimitLevel{{Customer: "a", Process: 1<<53 - 1, Quality: 2, Units: -1.5, Granted: 3e9, Included: 4, IncludedOf: 7, Asked: 5}}
		cl.nodes[1].onLevels = func(_ string, levels []peer.LimitLevel) []peer.LimitLevel { return levels }
		var answer []peer.LimitLevel
		cl.within(4*time.Second, "answer", func() bool {
			var err error
			answer, err = cl.nodes[0].mesh.ExchangeLevels(context.Background(), cl.nodes[1].id, sent)
			return err == nil
		})
		cl.c.Assert(answer, qt.DeepEquals, sent)
	})
}

// Guards against a peer of an earlier release that takes levels for a violation of the
// protocol and refuses the sender for seconds: it knows only the call for units.
func TestLevelsAreNoViolationAtAnEarlierRelease(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		cl.within(4*time.Second, "answer", func() bool {
			answer, err := cl.nodes[0].mesh.ExchangeLevels(context.Background(), cl.nodes[1].id, []peer.LimitLevel{{Customer: "a"}})
			return err == nil && len(answer) == 0
		})
		_, isOwner, err := cl.nodes[0].mesh.ReserveReplicated(context.Background(), cl.nodes[1].id, "a", peer.LimitRequest{Units: 5, Urgency: 2, Returning: true})
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(isOwner, qt.IsTrue)
	})
}
