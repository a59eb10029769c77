package quota

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

var (
	fleetSeeds = flag.Int("seeds", 20, "number of seeds of TestLimitHoldsUnderFaults")
	fleetSizes = flag.String("entries", defaultSizes, "numbers of entries of the tests that compare deployments")
	firstSeed  = flag.Int("first-seed", 1, "first seed of TestLimitHoldsUnderFaults")
)

const (
	defaultSizes = "9,58"
	fleetStep    = 10 * time.Millisecond
	// viewLag is the time for which a member that ended is in the views of the
	// others, as in a deployment of 58 entries.
	viewLag = 7 * time.Second
	// startLag is the time until a new process has read the members.
	startLag = 200 * time.Millisecond
)

// ownerFleet simulates the entries of a deployment and the requests of one customer.
type ownerFleet struct {
	now       time.Time
	rng       *rand.Rand
	ids       []string
	entries   map[string]*fleetEntry
	perSecond float64
	tolerance Tolerance
	processes uint64
	// taken is the number of units that began to run, by step. asked and refused
	// count requests.
	taken          []float64
	asked, refused int
	// calls counts the calls to owners by other entries.
	calls int
	// routed gives long requests a route of their own, of a lower urgency, and makes a
	// quarter of all requests return after a refusal.
	routed bool
	// ordered is Replication.Ordered.
	ordered bool
}

type fleetEntry struct {
	*GlobalLimiter
	startedAt, diedAt time.Time
	dead, frozen      bool
	// side is the part of the network in which the entry is.
	side int
}

var errUnreachable = errors.New("peer unreachable")

func newOwnerFleet(entries int, perSecond float64, seed uint64) *ownerFleet {
	f := &ownerFleet{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), entries: make(map[string]*fleetEntry),
		perSecond: perSecond, tolerance: Tolerance{Fraction: 0.1, Units: 140_000}, ordered: true,
	}
	for i := range entries {
		f.ids = append(f.ids, fmt.Sprintf("e%d", i))
		f.start(f.ids[i])
	}
	return f
}

// start starts a new process of an entry.
func (f *ownerFleet) start(id string) {
	l := NewLimiter(f.tolerance)
	l.now = func() time.Time { return f.now }
	e := &fleetEntry{startedAt: f.now}
	f.entries[id] = e
	e.GlobalLimiter = NewGlobalLimiter(l, id, fleetPeers{f, id}, nolog.Or(nil))
	f.processes++
	e.ReplicateWith(fleetPeers{f, id}, Replication{
		Ordered: f.ordered,
		Process: f.processes, Active: func() bool { return true }, Settled: func() bool { return true },
	})
	l.SetConfiguration((&config.Configuration{Customers: []config.Customer{
		{Name: "a", PerSecond: f.perSecond, Burst: f.perSecond, CountTokens: true}}}).Compile())
}

func (f *ownerFleet) kill(id string) { f.entries[id].dead, f.entries[id].diedAt = true, f.now }

// fleetPeers implements Peers and ReplicaPeers for one entry.
type fleetPeers struct {
	f  *ownerFleet
	id string
}

func (p fleetPeers) Members() []string {
	self := p.f.entries[p.id]
	out := []string{p.id}
	for _, id := range p.f.ids {
		e := p.f.entries[id]
		if id != p.id && p.f.now.Sub(self.startedAt) >= startLag && (!e.dead || p.f.now.Sub(e.diedAt) < viewLag) {
			out = append(out, id)
		}
	}
	return out
}

func (p fleetPeers) reach(id string) error {
	from, to := p.f.entries[p.id], p.f.entries[id]
	if to.dead || to.frozen || from.side != to.side {
		return errUnreachable
	}
	return nil
}

func (p fleetPeers) Reserve(context.Context, string, string, float64, time.Duration) (rate.Reservation, error) {
	return rate.Reservation{}, errUnreachable // replicated limits don't use it
}

func (p fleetPeers) ReserveReplica(_ context.Context, id, customer string, r peer.LimitRequest) (rate.Reservation, error) {
	if err := p.reach(id); err != nil {
		return rate.Reservation{}, err
	}
	p.f.calls++
	reservation, owned := p.f.entries[id].ReserveReplica(customer, r)
	if !owned {
		return reservation, ErrNotOwner
	}
	return reservation, nil
}

func (p fleetPeers) ExchangeLevels(_ context.Context, id string, levels []peer.LimitLevel) ([]peer.LimitLevel, error) {
	if err := p.reach(id); err != nil {
		return nil, err
	}
	return p.f.entries[id].MergeLevels(p.id, levels), nil
}

// run simulates a time with a demand as a fraction of the limit.
func (f *ownerFleet) run(d time.Duration, demand float64) {
	owed := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		step := len(f.taken)
		if step%25 == 0 {
			f.report()
		}
		if step%5 == 0 {
			f.exchange()
		}
		sum := 0.0
		for owed += demand * f.perSecond * fleetStep.Seconds(); owed > 0; {
			units := f.size()
			owed -= units
			sum += f.request(units)
		}
		f.taken = append(f.taken, sum)
	}
}

// size returns the units of a request: two sizes, as in deployment A, with a mean of
// about 4,000.
func (f *ownerFleet) size() float64 {
	if f.rng.Float64() < 0.83 {
		return 2_400
	}
	return min(60_000, 5_400+6_600*f.rng.ExpFloat64())
}

// request sends a request to some live entry and returns the units that ran.
func (f *ownerFleet) request(units float64) float64 {
	var e *fleetEntry
	for range 100 {
		if e = f.entries[f.ids[f.rng.IntN(len(f.ids))]]; !e.dead && !e.frozen && e.knowsPeers() {
			break
		}
	}
	if e.dead || e.frozen || !e.knowsPeers() {
		return 0
	}
	f.asked++
	r := unordered(units)
	if f.routed && units > 2_400 {
		r.Urgency, r.Objective, r.Remaining = 2, 1200*time.Millisecond, 12*time.Second
	}
	if f.routed && f.rng.IntN(4) == 0 {
		r.Remaining /= 2 // it returns
	}
	if !e.Reserve(context.Background(), "a", r).OK {
		f.refused++
		return 0
	}
	return units
}

// unordered is a request of an urgency that all requests have. It may wait for 50 ms.
func unordered(units float64) Request {
	return Request{Units: units, MaxDelay: 50 * time.Millisecond, Objective: 400 * time.Millisecond, Remaining: time.Second}
}

func (f *ownerFleet) report() {
	demands := make(map[string]map[string]float64)
	for id, e := range f.entries {
		demands[id] = e.Demand()
	}
	for id, e := range f.entries {
		peers := make(map[string]map[string]float64)
		members := fleetPeers{f, id}.Members()
		for _, other := range members {
			if other != id {
				peers[other] = demands[other]
			}
		}
		if !e.dead && f.now.Sub(e.startedAt) >= startLag {
			e.SetPeers(len(f.ids), len(members), peers)
		}
	}
}

func (f *ownerFleet) exchange() {
	for _, id := range f.ids {
		if e := f.entries[id]; !e.dead && !e.frozen {
			for partner, levels := range e.dueLevels() {
				e.exchange(context.Background(), partner, levels)
			}
		}
	}
}

// owner returns the owner of the limit with a rank, of all entries.
func (f *ownerFleet) owner(rank int) string {
	all := ownership.New(time.Now, func() []string { return f.ids }, nolog.Or(nil))
	return all.Ranked("a", ownerRanks)[rank-1]
}

// refusedFraction returns the fraction refused since it was last called.
func (f *ownerFleet) refusedFraction() float64 {
	fraction := float64(f.refused) / float64(max(1, f.asked))
	f.refused, f.asked = 0, 0
	return fraction
}

func (f *ownerFleet) checkLimit(t *testing.T) {
	t.Helper()
	worst := maxWindowSum(f.taken, int(8*time.Second/fleetStep))
	allowed := (8*f.perSecond+f.perSecond)*(1+f.tolerance.Fraction) + f.tolerance.Units
	t.Logf("at most %.3f of what is allowed taken in 8 s", worst/allowed)
	qt.Check(t, worst <= allowed, qt.IsTrue, qt.Commentf("%.3g taken in 8 s, %.3g allowed", worst, allowed))
}
