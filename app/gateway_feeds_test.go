package app

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

func someMembers(n int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		out[i] = member.Member{ID: fmt.Sprintf("e%d", i), FailureDomain: fmt.Sprintf("d%d", i%3), State: member.Live}
	}
	return out
}

func TestFeedReadersPerFailureDomain(t *testing.T) {
	for _, test := range []struct{ members, alone int }{
		{1, 1}, {9, 9}, {16, 16}, {17, 6}, {74, 6}, {300, 6},
	} {
		members := someMembers(test.members)
		alone := 0
		for _, m := range members {
			readers := readersFor(m, members)
			if len(readers) == 0 {
				alone++
			}
			for _, id := range readers {
				reader := members[slices.IndexFunc(members, func(x member.Member) bool { return x.ID == id })]
				qt.Check(t, reader.FailureDomain, qt.Equals, m.FailureDomain)
				qt.Check(t, readersFor(reader, members), qt.HasLen, 0)
			}
		}
		qt.Check(t, alone, qt.Equals, test.alone, qt.Commentf("%d members", test.members))
	}
}

// Members may disagree on which members are live. Even then they must not read
// a feed through one another in a cycle.
func TestFeedReadersFormNoCycle(t *testing.T) {
	members := someMembers(60)
	for missing := range 60 {
		present := slices.Delete(slices.Clone(members), missing, missing+1)
		for _, m := range present {
			for _, id := range readersFor(m, present) {
				i := slices.IndexFunc(members, func(x member.Member) bool { return x.ID == id })
				qt.Assert(t, slices.Contains(readersFor(members[i], members), m.ID), qt.IsFalse)
			}
		}
	}
}

// All neighbours announce a new version at once, over a link that transfers one
// copy of it in time but not eight.
func TestConfigurationIsFetchedFromOnePeerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		holder := &config.Holder{}
		source := &configSource{
			holder: holder, log: nolog.Or(nil), fetchSlot: make(chan struct{}, 1),
			deps: GatewayDeps{DecodeConfig: func([]byte) (*config.Configuration, error) {
				return (&config.Configuration{Version: 7}).Compile(), nil
			}},
		}
		running := 0
		fetch := func(ctx context.Context) (json.RawMessage, bool, error) {
			running++
			defer func() { running-- }()
			for range 6 {
				// Concurrent copies share the link.
				if !ctxtime.Sleep(ctx, time.Duration(running)*100*time.Millisecond) {
					return nil, false, ctx.Err()
				}
			}
			return json.RawMessage("{}"), true, nil
		}
		for range 8 {
			go source.fetchFromPeer(t.Context(), 7, fetch)
		}
		time.Sleep(2 * time.Second)
		qt.Assert(t, source.hasVersion(7), qt.IsTrue)
	})
}
