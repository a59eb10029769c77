package throttle_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// trace describes what came of a play: each arrival at each replica.
func (f *fleet) trace() string {
	var b strings.Builder
	for _, r := range f.replicas {
		fmt.Fprintln(&b, r.ID, r.arrivals)
	}
	fmt.Fprintln(&b, f.result, f.bytes)
	return b.String()
}

// Guards against plays that depend on anything but their seed.
func TestPlayIsAFunctionOfItsSeed(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	byName := make(map[string]play)
	for _, p := range plays {
		byName[p.name] = p
	}
	for _, name := range []string{"one replica", "the limit ends", "all replicas, twice the load", "the owner restarts"} {
		for _, entries := range []int{9, 74} {
			for seed := uint64(1); seed <= 3; seed++ {
				t.Run(fmt.Sprintf("%s/%d/seed=%d", name, entries, seed), func(t *testing.T) {
					var traces []string
					for _, processors := range []int{1, 8, 8} {
						runtime.GOMAXPROCS(processors)
						synctest.Test(t, func(t *testing.T) {
							traces = append(traces, byName[name].run(entries, seed, true).trace())
						})
					}
					qt.Check(t, len(traces[0]) > 1000, qt.IsTrue)
					qt.Check(t, traces[1] == traces[0], qt.IsTrue, qt.Commentf("1 and 8 processors differ"))
					qt.Check(t, traces[2] == traces[1], qt.IsTrue, qt.Commentf("two runs differ"))
				})
			}
		}
	}
}
