package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// The load of a deployment of 195 entries before 79 engines: short prompts and
// long ones, which engines read one after another. Each entry has only a few
// requests a second, so it knows next to nothing of a replica by itself.
const (
	fleetEntries         = 195
	fleetEngines         = 79
	fleetSlots           = 32
	fleetTokensPerSecond = 68_000.0
	fleetShortTokens     = 2_400
	fleetLongTokens      = 12_000
	fleetLongFraction    = 0.2
	fleetObjective       = 500 * time.Millisecond
	// fleetExchange is the time between two exchanges of loads.
	fleetExchange = 500 * time.Millisecond
	// fleetDecode is the mean time from the first token to the end.
	fleetDecode = 400 * time.Millisecond
)

// fleetRun describes one play of that load.
type fleetRun struct {
	// perSecond is the rate of requests over all entries.
	perSecond float64
	// shareOutcomes makes the entries share the outcomes of their requests.
	shareOutcomes bool
	// failing is the number of engines that fail the fraction failFraction of
	// their requests.
	failing      int
	failFraction float64
}

// fleetResult holds the fractions of requests that were late, and that failed.
type fleetResult struct{ late, failed float64 }

func playFleet(run fleetRun) fleetResult {
	const length = 20 * time.Second
	rng := rand.New(rand.NewPCG(3, 4))
	set := replica.NewSet(nolog.Or(nil))
	for i := range fleetEngines {
		set.Put(replica.Registration{ID: fmt.Sprintf("r%d", i), Service: "s", FailureDomain: "d", Slots: fleetSlots})
	}
	time.Sleep(time.Minute) // the replicas have run for a while
	balancers := make([]*Balancer, fleetEntries)
	for i := range balancers {
		balancers[i] = newBalancer(set, uint64(i))
	}
	freeAt := make(map[string]time.Duration)
	began := time.Now()
	var queue events
	var total, late, failed int
	nextExchange := time.Duration(0)
	for now := time.Duration(0); now < length; now += time.Duration(rng.ExpFloat64() / run.perSecond * float64(time.Second)) {
		for len(queue) > 0 && queue[0].at <= now {
			e := heap.Pop(&queue).(event)
			time.Sleep(time.Until(began.Add(e.at)))
			e.do()
		}
		time.Sleep(time.Until(began.Add(now)))
		if now >= nextExchange {
			exchangeFleetLoads(balancers, run.shareOutcomes)
			nextExchange += fleetExchange
		}
		q := Query{Service: "s", Slots: fleetSlots, PromptTokens: fleetShortTokens, LatencyObjective: fleetObjective}
		if rng.Float64() < fleetLongFraction {
			q.PromptTokens = fleetLongTokens
		}
		b := balancers[rng.IntN(fleetEntries)]
		c, err := b.Choose(q)
		if err != nil {
			panic(err)
		}
		ticket := b.Begin(q, c)
		total++
		var n int
		fmt.Sscanf(c.Replica.ID, "r%d", &n)
		if n < run.failing && rng.Float64() < run.failFraction {
			failed++
			heap.Push(&queue, event{now + 20*time.Millisecond, func() { ticket.End(Failed) }})
			continue
		}
		start := max(now, freeAt[c.Replica.ID])
		first := start + time.Duration(float64(q.PromptTokens)/fleetTokensPerSecond*float64(time.Second))
		freeAt[c.Replica.ID] = first
		if first-now > fleetObjective {
			late++
		}
		heap.Push(&queue, event{first, ticket.FirstTokenReceived})
		end := first + time.Duration(rng.ExpFloat64()*float64(fleetDecode))
		heap.Push(&queue, event{end, func() { ticket.End(Answered) }})
	}
	return fleetResult{late: float64(late) / float64(total), failed: float64(failed) / float64(total)}
}

// exchangeFleetLoads hands each entry the loads of all others as they were one
// exchange ago on average, and their outcomes if they are shared.
func exchangeFleetLoads(balancers []*Balancer, shareOutcomes bool) {
	services := make(map[string]peer.EndpointLoad)
	prefill := make(map[string]peer.PrefillLoad)
	outcomes := make(map[string]peer.Outcomes)
	for _, b := range balancers {
		for service, l := range b.OwnLoadByService() {
			services[service] = peer.EndpointLoad{InFlight: services[service].InFlight + l.InFlight, Tokens: services[service].Tokens + l.Tokens}
		}
		for service, l := range b.PrefillLoad() {
			prefill[service] = peer.PrefillLoad{All: prefill[service].All + l.All, Long: prefill[service].Long + l.Long}
		}
		for id, o := range b.OwnOutcomes() {
			outcomes[id] = peer.Outcomes{Answered: outcomes[id].Answered + o.Answered, Failed: outcomes[id].Failed + o.Failed}
		}
	}
	for _, b := range balancers {
		load := PeerLoad{Age: fleetExchange, PrefillLoad: prefill, Services: services}
		if shareOutcomes {
			load.Outcomes = outcomes
		}
		b.SetPeers([]PeerLoad{load})
	}
}

// TestFleetSharesFailures plays engines that fail most of their requests while
// their health checks pass. An entry sends such an engine a request every
// twenty seconds, so none of them notices by itself.
func TestFleetSharesFailures(t *testing.T) {
	for _, failFraction := range []float64{0.5, 0.9} {
		synctest.Test(t, func(t *testing.T) {
			run := fleetRun{perSecond: 600, failing: 11, failFraction: failFraction}
			alone := playFleet(run)
			run.shareOutcomes = true
			shared := playFleet(run)
			t.Logf("%.1f fail: failed %.4f by own outcomes, %.4f by those of all; late %.4f and %.4f",
				failFraction, alone.failed, shared.failed, alone.late, shared.late)
			qt.Check(t, shared.failed < alone.failed/2, qt.IsTrue)
			// The load of the ejected engines makes others a little later.
			qt.Check(t, shared.failed+shared.late < alone.failed+alone.late, qt.IsTrue)
		})
	}
}

// TestFleetIsNotMisledBySharedOutcomes plays the same load without failing
// engines.
func TestFleetIsNotMisledBySharedOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone := playFleet(fleetRun{perSecond: 900})
		shared := playFleet(fleetRun{perSecond: 900, shareOutcomes: true})
		t.Logf("late: %.4f by own outcomes, %.4f by those of all", alone.late, shared.late)
		qt.Check(t, shared.late <= 1.1*alone.late, qt.IsTrue)
	})
}

// TestFleetSpreadsWhileAllFail plays a moment in which every engine fails some
// of its requests. If the cost of a choice followed the shared outcomes, all
// entries would gather on the engines that failed least in the last second.
func TestFleetSpreadsWhileAllFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fleetRun{perSecond: 900, failing: fleetEngines, failFraction: 0.45}
		alone := playFleet(run)
		run.shareOutcomes = true
		shared := playFleet(run)
		t.Logf("late: %.4f by own outcomes, %.4f by those of all", alone.late, shared.late)
		qt.Check(t, shared.late <= alone.late+0.01, qt.IsTrue)
	})
}
