package lease

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Guards against effects of a former holder beside those of its successor.
func TestEffectsOfTwoHoldersDoNotOverlap(t *testing.T) {
	for _, test := range []struct {
		name string
		// end ends the hold of a contender.
		end func(cs *contenders, holder int)
		// lasts is how long the effect in progress lasts, and finishes is set if it
		// must finish.
		lasts    time.Duration
		finishes bool
	}{
		{"release", func(cs *contenders, holder int) { cs.leases[holder].Release() }, 2 * time.Second, true},
		{"release, effect lasts longer than the lease", func(cs *contenders, holder int) { cs.leases[holder].Release() }, time.Minute, false},
		{"process ends contending", func(cs *contenders, _ int) { cs.cancel() }, 2 * time.Second, true},
		{"table is out of reach", func(cs *contenders, holder int) { cs.gates[holder].Kill() }, time.Minute, false},
		{"table hangs", func(cs *contenders, holder int) { cs.gates[holder].Pause() }, time.Minute, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cs := newContenders(t, 1, 3)
				defer cs.close()
				time.Sleep(2 * time.Second)
				first := cs.currentHolder()
				qt.Assert(t, first >= 0, qt.IsTrue)
				ended := make(chan error, 1)
				go func() {
					ended <- cs.leases[first].Do(context.Background(), func(ctx context.Context, _ uint64) error {
						select {
						case <-time.After(test.lasts):
							return nil
						case <-ctx.Done():
							return ctx.Err()
						}
					})
				}()
				time.Sleep(100 * time.Millisecond)
				test.end(cs, first)
				for {
					select {
					case err := <-ended:
						if test.finishes {
							qt.Check(t, err, qt.IsNil)
						} else {
							qt.Check(t, err, qt.ErrorIs, context.Canceled)
						}
						_ = cs.leases[first].Do(context.Background(), func(context.Context, uint64) error {
							t.Error("an effect began without the lease")
							return nil
						})
						return
					case <-time.After(10 * time.Millisecond):
					}
					for i, l := range cs.leases {
						if _, held := l.Held(); held && i != first {
							t.Fatalf("contender %d holds the lease while an effect of contender %d is in progress", i, first)
						}
					}
				}
			})
		})
	}
}

func TestEffectWithoutTheLeaseHasNotRun(t *testing.T) {
	l := New(nil, Options{Name: "l"})
	err := l.Do(context.Background(), func(context.Context, uint64) error {
		t.Error("effect was called")
		return nil
	})
	qt.Check(t, verdict.Of(err), qt.Equals, verdict.NotRun)
}
