package rollup

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// fleet is a deployment of rollups whose calls take a millisecond.
type fleet struct {
	domains int
	entries []*Rollup

	mu sync.Mutex
	// cut holds the entries that nobody reaches and that reach nobody.
	cut map[string]bool
	// loads is the load of each entry.
	loads []peer.Load
	// bytes counts the bytes that each entry sends and receives.
	bytes map[string]int
	// served counts the bytes of the calls that each entry serves.
	served map[string]int
}

const oneWay = 500 * time.Microsecond

func newFleet(ctx context.Context, entries, domains int) *fleet {
	f := &fleet{domains: domains, cut: make(map[string]bool), bytes: make(map[string]int), served: make(map[string]int), loads: make([]peer.Load, entries)}
	for i := range entries {
		f.entries = append(f.entries, New(Options{
			ID: id(i), FailureDomain: f.domain(i), Log: nolog.Or(nil),
			Own: func() peer.Load {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.loads[i]
			},
			Peers:       fleetPeers{f, id(i)},
			Incarnation: func(string) (int64, bool) { return born, true },
		}))
	}
	for _, r := range f.entries {
		go r.Run(ctx)
	}
	return f
}

func id(i int) string { return fmt.Sprintf("e%d", i) }

func (f *fleet) domain(i int) string { return fmt.Sprintf("d%d", i%f.domains) }

// fleetPeers implements Peers for one entry.
type fleetPeers struct {
	f    *fleet
	self string
}

func (p fleetPeers) Aggregators() map[string][]string {
	out := make(map[string][]string)
	for i := range 2 * p.f.domains {
		out[p.f.domain(i)] = append(out[p.f.domain(i)], id(i))
	}
	return out
}

func (p fleetPeers) Exchange(ctx context.Context, to string, r peer.LoadReport) (peer.LoadSum, error) {
	ctxtime.Sleep(ctx, oneWay)
	p.f.mu.Lock()
	cut := p.f.cut[to] || p.f.cut[p.self]
	p.f.mu.Unlock()
	if cut {
		<-ctx.Done()
		return peer.LoadSum{}, errors.New("no answer")
	}
	var n int
	fmt.Sscanf(to, "e%d", &n)
	sum := p.f.entries[n].Serve(p.self, r)
	ctxtime.Sleep(ctx, oneWay)
	sent, _ := json.Marshal(r)
	received, _ := json.Marshal(sum)
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	p.f.bytes[p.self] += len(sent) + len(received)
	p.f.served[to] += len(sent) + len(received)
	return sum, nil
}

func (f *fleet) setLoad(i int, load peer.Load) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads[i] = load
}

func (f *fleet) setCut(i int, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[id(i)] = cut
}

// inFlight returns a load of n requests on a service.
func inFlight(service string, n int) peer.Load {
	return peer.Load{Services: map[string]peer.EndpointLoad{service: {InFlight: n}}}
}

// wrong returns the entries whose sum for a service isn't the expected one.
func (f *fleet) wrong(service string, want func(i int) int) []int {
	var out []int
	for i, r := range f.entries {
		load, _, ok := r.Others()
		if !f.cut[id(i)] && (!ok || load.Services[service].InFlight != want(i)) {
			out = append(out, i)
		}
	}
	return out
}

// TestSumsAreCurrent plays the load of deployments in which states from every
// entry to every other would be 6 and 13 s old.
func TestSumsAreCurrent(t *testing.T) {
	for _, entries := range []int{30, 195, 410} {
		t.Run(fmt.Sprintf("entries=%d", entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := newFleet(ctx, entries, 5)
				for i := range entries {
					f.setLoad(i, inFlight("a", 1))
				}
				time.Sleep(3 * time.Second)
				others := func(int) int { return entries - 1 }
				qt.Check(t, f.wrong("a", others), qt.HasLen, 0)
				// A change is known to all within a period at the aggregator, one
				// between aggregators and one at the entry.
				f.setLoad(7, inFlight("b", 5))
				time.Sleep(3*period + 10*time.Millisecond)
				qt.Check(t, f.wrong("b", func(i int) int {
					if i == 7 {
						return 0
					}
					return 5
				}), qt.HasLen, 0)
			})
		})
	}
}

func TestSumsSurviveTheLossOfAggregators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, domains = 195, 5
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, entries, domains)
		for i := range entries {
			f.setLoad(i, inFlight("a", 1))
		}
		time.Sleep(3 * time.Second)
		for domain := range domains {
			f.setCut(domain, true) // the first candidate of each domain
		}
		time.Sleep(3 * time.Second)
		qt.Check(t, f.wrong("a", func(int) int { return entries - domains - 1 }), qt.HasLen, 0)
		for domain := range domains {
			f.setCut(domain, false)
		}
		time.Sleep(unansweredBackoff + 2*time.Second)
		qt.Check(t, f.wrong("a", func(int) int { return entries - 1 }), qt.HasLen, 0)
	})
}

// TestSumsOfACutEntryExpire guards against choices by loads that are long gone.
func TestSumsOfACutEntryExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 60, 3)
		f.setLoad(9, inFlight("a", 1))
		time.Sleep(3 * time.Second)
		f.setCut(9, true)
		f.setCut(10, true)
		time.Sleep(2 * reportTTL)
		qt.Check(t, f.wrong("a", func(int) int { return 0 }), qt.HasLen, 0)
		_, _, ok := f.entries[10].Others()
		qt.Check(t, ok, qt.IsFalse)
	})
}

// TestTrafficStaysWithinTheControlBudget checks that the rollup stays below the
// 7 KB a second that an entry may spend on control: an entry with a few requests
// in flight, beside 85 replicas that all have load.
func TestTrafficStaysWithinTheControlBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const entries, replicas, seconds = 410, 85, 20
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, entries, 5)
		for i := range entries {
			own := inFlight("service-one", 3)
			own.Outcomes = make(map[string]peer.Outcomes)
			for k := range 12 {
				own.Outcomes[fmt.Sprintf("i-%010x", (i*12+k)%replicas)] = peer.Outcomes{Answered: 0.37, Failed: 0.1}
			}
			f.setLoad(i, own)
		}
		time.Sleep(seconds * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		perSecond := f.bytes[id(100)] / seconds
		qt.Check(t, perSecond <= 7*1000, qt.IsTrue, qt.Commentf("%d bytes a second", perSecond))
		t.Logf("%d bytes a second", perSecond)
	})
}
