package app

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/infra/rowcopy"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/member"
)

// Guards against a start in which requests wait for the random delay of the first
// reads rather than for the reads.
func TestFeedsAreReadSoonAfterAStart(t *testing.T) {
	const starts = 200
	synctest.Test(t, func(t *testing.T) {
		var sum time.Duration
		for range starts {
			f := newFollowers(GatewayDeps{
				Config: &hangingFeed{}, Registry: &hangingFeed{}, IsConfig: func(string) bool { return false },
			}, rowcopy.Options{}, nil, member.New(nil, member.Options{ID: "e", Log: nolog.Or(nil)}), &config.Holder{},
				replica.NewSet(nolog.Or(nil)), quota.NewLimiter(gateway.Settings{}.LimitTolerance), nil, nolog.Or(nil))
			ctx, cancel := context.WithCancel(t.Context())
			began := time.Now()
			go f.config.Run(ctx)
			go f.registry.Run(ctx)
			<-f.config.Loaded()
			<-f.registry.Loaded()
			sum += time.Since(began)
			cancel()
			time.Sleep(time.Second) // the followers end
		}
		t.Logf("mean delay of both first reads: %v", sum/starts)
		qt.Check(t, sum/starts <= 16*time.Millisecond, qt.IsTrue, qt.Commentf("%v", sum/starts))
	})
}
