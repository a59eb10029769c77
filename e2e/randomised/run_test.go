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
func (c *testCluster) run(load []workload.Request, faults []fault) {
	healthCtx, stopHealthChecks := context.WithCancel(context.Background())
	var background sync.WaitGroup
	background.Go(func() { c.clients.RunHealthChecks(healthCtx) })
	for _, f := range faults {
		background.Go(func() {
			time.Sleep(f.at)
			f.do(c)
			time.Sleep(f.duration)
			f.undo(c)
		})
	}
	var requests sync.WaitGroup
	start := time.Now()
	for _, q := range load {
		time.Sleep(q.At - time.Since(start))
		requests.Go(func() { c.history.Add(c.clients.Do(context.Background(), q)) })
	}
	requests.Wait()
	stopHealthChecks()
	background.Wait()
}

func (c *testCluster) check() {
	records := c.history.Records()
	outcomes := make(map[history.Outcome]int)
	for _, r := range records {
		outcomes[r.Outcome]++
	}
	c.t.Logf("%d requests: %s", len(records), formatOutcomes(outcomes))
	violations := history.Check(records, c.deployment.Standins.Records(), history.Exemptions{InterruptedAttached: c.entryKilled})
	for _, v := range violations {
		c.t.Errorf("guarantee violated: %s: %s", v.Guarantee, v.Detail)
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
