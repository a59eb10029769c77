package peer_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/infra/follow"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Versions for which onChanges returns an error or waits. For all others it
// returns someUpdate.
const (
	versionCompacted   = 1
	versionUnavailable = 2
	versionSlow        = 3
	versionLong        = 4
	versionRestored    = 5
)

var someUpdate = infra.Update{
	Changes: []infra.Change{
		{Row: infra.Row{Key: "a", Value: []byte("x"), Version: 8}},
		{Row: infra.Row{Key: "b", Version: 9}, Deleted: true},
	},
	Version: 9, Age: 70 * time.Millisecond,
}

var restoredUpdate = infra.Update{
	Changes:  []infra.Change{{Row: infra.Row{Key: "a", Value: []byte("x"), Version: infra.NewVersion(infra.MaxEpoch, 8)}}},
	Complete: true, Version: infra.NewVersion(infra.MaxEpoch, infra.MaxCounter), Age: 70 * time.Millisecond,
}

var someCounts = []peer.IncarnationCounts{
	{Member: "gone", Incarnation: "i1", Started: map[int64]map[string]int{7: {"house": 3}}},
}

func (n *node) onChanges(ctx context.Context, _ string, after uint64, wait time.Duration) (infra.Update, error) {
	switch after {
	case versionCompacted:
		return infra.Update{}, infra.ErrCompacted
	case versionUnavailable:
		return infra.Update{}, follow.ErrUnavailable
	case versionSlow:
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return infra.Update{Version: versionSlow}, ctx.Err()
	case versionLong:
		return infra.Update{Changes: []infra.Change{{Row: infra.Row{Key: "a", Value: n.longValue, Version: 9}}}, Version: 9}, nil
	case versionRestored:
		return restoredUpdate, nil
	default:
		return someUpdate, nil
	}
}

func TestChangesOfAFeedFromAPeer(t *testing.T) {
	inBubble(t, 3, func(cl *cluster) {
		c, ctx, mesh, id := cl.c, context.Background(), cl.nodes[0].mesh, cl.nodes[1].id
		cl.within(4*time.Second, "answer", func() bool {
			_, err := mesh.Changes(ctx, id, "f", 7, time.Second)
			return err == nil
		})
		u, err := mesh.Changes(ctx, id, "f", 7, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(u, qt.DeepEquals, someUpdate)
		u, err = mesh.Changes(ctx, id, "f", versionRestored, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(u, qt.DeepEquals, restoredUpdate)
		_, err = mesh.Changes(ctx, id, "f", versionCompacted, time.Second)
		c.Assert(err, qt.ErrorIs, infra.ErrCompacted)
		_, err = mesh.Changes(ctx, id, "f", versionUnavailable, time.Second)
		c.Assert(err, qt.ErrorIs, follow.ErrUnavailable)
		// A call that waits doesn't block other calls.
		slow := make(chan error, 1)
		go func() {
			_, err := mesh.Changes(ctx, id, "f", versionSlow, time.Second)
			slow <- err
		}()
		began := time.Now()
		_, err = mesh.Changes(ctx, id, "f", 7, time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(began) < 100*time.Millisecond, qt.IsTrue)
		c.Assert(<-slow, qt.IsNil)
	})
}

func TestCountsOfEndedIncarnationsFromAPeer(t *testing.T) {
	inBubble(t, 2, func(cl *cluster) {
		c, ctx := cl.c, context.Background()
		cl.within(4*time.Second, "answer", func() bool {
			counts, err := cl.nodes[0].mesh.Counts(ctx, cl.nodes[1].id)
			if err != nil {
				return false
			}
			c.Assert(counts, qt.DeepEquals, someCounts)
			return true
		})
	})
}

// IDs of prompt parts and incarnations need all 64 bits.
func TestPlacementByAPeer(t *testing.T) {
	inBubble(t, 2, func(cl *cluster) {
		c, ctx := cl.c, context.Background()
		q := peer.PlaceRequest{Service: "s", PromptTokens: 40_000, Parts: []peer.PlacePart{{ID: "fedcba9876543211", Tokens: 512}}}
		cl.within(4*time.Second, "answer", func() bool {
			r, err := cl.nodes[0].mesh.Place(ctx, cl.nodes[1].id, q)
			if err != nil {
				return false
			}
			c.Assert(r, qt.DeepEquals, peer.PlaceResult{Endpoint: "fedcba9876543211", Incarnation: 1 << 60})
			return true
		})
	})
}
