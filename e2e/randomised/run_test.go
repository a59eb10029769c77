package randomised

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/bench/history"
	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/invariant"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first `seed` of the randomised runs")
	seedCount = flag.Uint64("seeds", 20, "number of seeds to run")
)

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func TestMain(m *testing.M) {
	invariant.SetFatal(true)
	m.Run()
}

// TestPromisesUnderRandomFaults runs each seed's load under its faults.
func TestPromisesUnderRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
		})
	}
}

// TestSeedsThatFailed keeps the seeds that once showed a fault.
func TestSeedsThatFailed(t *testing.T) {
	for _, tc := range []struct {
		seed  uint64
		fault string
	}{
		{35, "an entry that was paused while it stopped could not be resumed"},
		{894, "a dial over a cut link outlived its run"},
	} {
		t.Run(fmt.Sprintf("seed=%d", tc.seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeed(t, tc.seed) })
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	defer w.close()
	faults := append(drawFaults(seed), drawPlatformFaults(seed)...)
	for _, f := range faults {
		t.Logf("at %6.2fs for %5.2fs: %s", f.at.Seconds(), f.lasts.Seconds(), f.name)
	}
	w.run(workload.Arrivals(mix(), seed, loadTime, 1), faults)
	w.check()
}

// run plays load and faults and returns once every caller has ended.
func (w *world) run(load []workload.Request, faults []fault) {
	balance, stopBalance := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { w.callers.Balance(balance) })
	for _, f := range faults {
		background.Go(func() {
			time.Sleep(f.at)
			f.do(w)
			time.Sleep(f.lasts)
			f.undo(w)
		})
	}
	var requests sync.WaitGroup
	start := time.Now()
	for _, q := range load {
		time.Sleep(q.At - time.Since(start))
		requests.Go(func() { w.history.Add(w.callers.Do(context.Background(), q)) })
	}
	requests.Wait()
	stopBalance()
	background.Wait()
}

func (w *world) check() {
	records := w.history.Records()
	outcomes := make(map[history.Outcome]int)
	for _, r := range records {
		outcomes[r.Outcome]++
	}
	w.t.Logf("%d requests: %s", len(records), describe(outcomes))
	violations := history.Check(records, w.deploy.Standins.Records(), history.Allow{CutAttached: w.killed})
	for _, v := range violations {
		w.t.Errorf("broken: %s: %s", v.Promise, v.Detail)
	}
}

func describe(outcomes map[history.Outcome]int) string {
	var lines []string
	for outcome, n := range outcomes {
		lines = append(lines, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(lines)
	return fmt.Sprint(lines)
}
