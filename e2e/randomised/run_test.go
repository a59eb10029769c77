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

// TestGuaranteesUnderRandomFaults runs the load of each seed under its faults
// and checks the guarantees afterwards.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
		})
	}
}

// TestRegressionSeeds runs seeds that found a fault in the past.
func TestRegressionSeeds(t *testing.T) {
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
	w := newTestCluster(t, seed)
	defer w.close()
	faults := append(drawFaults(seed), drawPlatformFaults(seed)...)
	for _, f := range faults {
		t.Logf("at %6.2fs for %5.2fs: %s", f.at.Seconds(), f.duration.Seconds(), f.name)
	}
	w.run(workload.Arrivals(mix(), seed, loadDuration, 1), faults)
	w.check()
}

// run sends the load, injects the faults, and returns once every request and
// every fault has ended.
func (w *testCluster) run(load []workload.Request, faults []fault) {
	balance, stopBalance := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { w.clients.RunHealthChecks(balance) })
	for _, f := range faults {
		background.Go(func() {
			time.Sleep(f.at)
			f.do(w)
			time.Sleep(f.duration)
			f.undo(w)
		})
	}
	var requests sync.WaitGroup
	start := time.Now()
	for _, q := range load {
		time.Sleep(q.At - time.Since(start))
		requests.Go(func() { w.history.Add(w.clients.Do(context.Background(), q)) })
	}
	requests.Wait()
	stopBalance()
	background.Wait()
}

func (w *testCluster) check() {
	records := w.history.Records()
	outcomes := make(map[history.Outcome]int)
	for _, r := range records {
		outcomes[r.Outcome]++
	}
	w.t.Logf("%d requests: %s", len(records), formatOutcomes(outcomes))
	violations := history.Check(records, w.deployment.Standins.Records(), history.Exemptions{InterruptedAttached: w.entryKilled})
	for _, v := range violations {
		w.t.Errorf("guarantee violated: %s: %s", v.Guarantee, v.Detail)
	}
}

func formatOutcomes(outcomes map[history.Outcome]int) string {
	var lines []string
	for outcome, n := range outcomes {
		lines = append(lines, fmt.Sprintf("%s %d", outcome, n))
	}
	sort.Strings(lines)
	return fmt.Sprint(lines)
}
