package throttle_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/balance"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/throttle"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// service is that of all simulated replicas.
	service = "s"
	// oneWay is the time of a message between two entries, or an entry and a
	// replica.
	oneWay = 2 * time.Millisecond
	// envelopeBytes is what the protocol adds to the JSON of a message.
	envelopeBytes = 60
	// viewDelay is the time until the entries' lists of reachable members follow
	// a change.
	viewDelay = time.Second
	// callTimeout is the time after which a call to an entry that is cut off or
	// frozen fails if its context doesn't end earlier.
	callTimeout = time.Second
	// maxPermitCalls is that of package gateway.
	maxPermitCalls = 3
	// entryStream and requestStream are the first of the random streams of entries
	// and of requests.
	entryStream, requestStream = 1 << 20, 1 << 40
	// linkPause is the time between two messages with limits on a link.
	linkPause = 50 * time.Millisecond
)

// fleet is a simulated deployment of entries and replicas, in virtual time and
// without a network.
type fleet struct {
	throttled bool
	seed      uint64
	// random is used by one goroutine at a time: the one that builds the fleet, and
	// then that of load. All others draw from sources of their own.
	random *rand.Rand
	start  time.Time

	mu       sync.Mutex
	entries  []*simEntry
	replicas []*simReplica
	ended    bool
	requests sync.WaitGroup
	bytes    int
	result   result
}

type simEntry struct {
	f  *fleet
	id string
	// boots is the number of its processes so far, number its own.
	number, boots uint64
	set           *replica.Set
	throttle      *throttle.Throttle
	balancer      *balance.Balancer
	links         []*simLink
	// out is set while the entry is cut off from its peers or frozen. excused is
	// set from then on, as its requests break no rule.
	out, excused bool
	// members is what the entry knows of the reachable members.
	members []string
}

type simReplica struct {
	replica.Registration
	// limit returns the limit that it states at a time since the start, or 0.
	limit    func(at time.Duration) float64
	arrivals []arrival
}

type arrival struct {
	at time.Duration
	// counts is set unless it came from an entry that was disturbed.
	counts bool
}

// request is one request of the load.
type request struct {
	class    throttle.Class
	customer string
	// counts is set if it is sent when the limits must hold.
	counts bool
	random *rand.Rand
}

// result counts what became of the requests of the load.
type result struct {
	sent, answered, firstTry, refused [3]int
	byCustomer                        map[string][2]int
	// refusedAfter is the longest time from a request to its refusal.
	refusedAfter time.Duration
	// knownAfter is the time from the first answer that states a limit until all
	// entries know it.
	knownAfter time.Duration
}

func newFleet(entries, replicas int, seed uint64, throttled bool) *fleet {
	f := &fleet{throttled: throttled, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), result: result{byCustomer: make(map[string][2]int)}}
	for i := range replicas {
		f.replicas = append(f.replicas, &simReplica{
			Registration: replica.Registration{ID: fmt.Sprintf("r%d", i), Service: service, Slots: 64, Incarnation: 1, FailureDomain: "d"},
			limit:        func(time.Duration) float64 { return 0 },
		})
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i, e := range f.entries {
		for j := range f.entries {
			if entries <= 16 && i != j || entries > 16 && (j == (i+1)%entries || i == (j+1)%entries) {
				f.link(e, f.entries[j])
			}
		}
		for range 2 {
			if to := f.entries[f.random.IntN(entries)]; entries > 16 && to != e {
				f.link(e, to)
				f.link(to, e)
			}
		}
	}
	f.updateViews()
	return f
}

func (f *fleet) newEntry(i int) *simEntry {
	e := &simEntry{f: f, id: fmt.Sprintf("e%d", i), number: uint64(i)}
	e.boot()
	return e
}

// boot starts the process of an entry, which knows nothing yet.
func (e *simEntry) boot() {
	e.set = replica.NewSet(nolog.Or(nil))
	for _, r := range e.f.replicas {
		e.set.Put(r.Registration)
	}
	e.boots++
	// The throttle uses it under its lock.
	random := rand.New(rand.NewPCG(e.f.seed, entryStream+e.number<<10+e.boots))
	balancerSeed := random.Uint64()
	e.throttle = throttle.New(throttle.Options{ID: e.id, Peers: e, Log: nolog.Or(nil), Count: func(string) {}, Random: random.Float64})
	e.throttle.OnBroadcast(e.wake)
	o := balance.Options{FailureDomain: "d", Seed: balancerSeed, Log: nolog.Or(nil)}
	if e.f.throttled {
		o.Throttle = e.throttle
	}
	e.balancer = balance.New(e.set, o)
}

// Members implements throttle.Peers.
func (e *simEntry) Members() []string {
	e.f.mu.Lock()
	defer e.f.mu.Unlock()
	return e.members
}

// MemberCount implements throttle.Peers.
func (e *simEntry) MemberCount() int { return len(e.f.entries) }

// Permit implements throttle.Peers.
func (e *simEntry) Permit(ctx context.Context, id string, q peer.PermitRequest) (peer.PermitResult, error) {
	e.f.count(q)
	time.Sleep(oneWay)
	e.f.mu.Lock()
	i := slices.IndexFunc(e.f.entries, func(x *simEntry) bool { return x.id == id })
	reached := !e.out && !e.f.entries[i].out
	t := e.f.entries[i].throttle
	e.f.mu.Unlock()
	if !reached {
		select {
		case <-ctx.Done():
		case <-time.After(callTimeout):
		}
		return peer.PermitResult{}, errors.New("no answer")
	}
	result := t.Grant(e.id, q)
	e.f.count(result)
	time.Sleep(oneWay)
	return result, nil
}

// setOut cuts an entry off from its peers, or connects it again with new
// connections. The lists of members follow later.
func (f *fleet) setOut(i int, out bool) {
	f.mu.Lock()
	e := f.entries[i]
	e.out, e.excused = out, true
	for _, x := range f.entries {
		for _, l := range x.links {
			if l.from == e || l.to == e {
				l.position = 0
				f.schedule(l, oneWay)
			}
		}
	}
	f.mu.Unlock()
	time.AfterFunc(viewDelay, f.updateViews)
}

// restart replaces the process of an entry.
func (f *fleet) restart(i int) {
	f.setOut(i, true)
	f.mu.Lock()
	f.entries[i].boot()
	f.mu.Unlock()
	f.setOut(i, false)
}

func (f *fleet) updateViews() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reachable []string
	for _, e := range f.entries {
		if !e.out {
			reachable = append(reachable, e.id)
		}
	}
	for _, e := range f.entries {
		e.members = reachable
		if e.out {
			e.members = []string{e.id}
		}
	}
}

// nextIncarnation restarts a replica under its ID.
func (f *fleet) nextIncarnation(i int) {
	f.mu.Lock()
	r := f.replicas[i]
	r.Incarnation++
	registration, entries := r.Registration, slices.Clone(f.entries)
	f.mu.Unlock()
	for _, e := range entries {
		e.set.Put(registration)
	}
}

// serve plays one request at an entry, which is sent to at most one replica.
func (e *simEntry) serve(q request) {
	f := e.f
	f.mu.Lock()
	balancer, limits := e.balancer, e.throttle
	f.mu.Unlock()
	began := time.Now()
	query := balance.Query{Service: service, Class: q.class}
	for tried := 1; ; tried++ {
		choice, err := balancer.Choose(query)
		if err != nil || tried > maxPermitCalls {
			f.refuse(q, time.Since(began))
			return
		}
		d := throttle.Decision{OK: true}
		if f.throttled {
			ask := throttle.Request{Class: q.class, Customer: q.customer, Alternatives: choice.Alternatives}
			if !choice.Alternatives {
				ask.Within = 100 * time.Millisecond
			}
			d = limits.Acquire(context.Background(), choice.Replica, ask)
		}
		if !d.OK {
			continue
		}
		time.Sleep(d.Delay)
		ticket := balancer.Begin(query, choice)
		sent := time.Now()
		stated := f.run(e, choice.Replica, q.random)
		limits.Observe(choice.Replica, stated, sent)
		ticket.FirstTokenReceived()
		ticket.End(balance.Answered)
		f.answer(q, tried == 1)
		return
	}
}

// run runs a request at a replica and returns the limit that its answer states.
func (f *fleet) run(e *simEntry, to *replica.Replica, random *rand.Rand) float64 {
	time.Sleep(oneWay)
	f.mu.Lock()
	i := slices.IndexFunc(f.replicas, func(r *simReplica) bool { return r.ID == to.ID })
	r := f.replicas[i]
	at := time.Since(f.start)
	r.arrivals = append(r.arrivals, arrival{at: at, counts: !e.excused})
	f.mu.Unlock()
	took := time.Duration(50+random.IntN(150)) * time.Millisecond
	time.Sleep(took)
	f.mu.Lock()
	stated := r.limit(time.Since(f.start))
	f.mu.Unlock()
	// Answers overtake each other on the way.
	time.Sleep(oneWay + time.Duration(random.IntN(10))*time.Millisecond)
	return stated
}

func (f *fleet) refuse(q request, after time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !q.counts {
		return
	}
	f.result.refused[q.class]++
	f.result.refusedAfter = max(f.result.refusedAfter, after)
}

func (f *fleet) answer(q request, firstTry bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !q.counts {
		return
	}
	f.result.answered[q.class]++
	c := f.result.byCustomer[q.customer]
	c[1]++
	f.result.byCustomer[q.customer] = c
	if firstTry {
		f.result.firstTry[q.class]++
	}
}

// load sends requests to all entries at a total rate until a time since the
// start. Their customers are drawn with the given weights.
func (f *fleet) load(perSecond float64, until time.Duration, customers []int) {
	for n := uint64(0); time.Since(f.start) < until; n++ {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		f.mu.Lock()
		q := request{class: throttle.Urgent, random: rand.New(rand.NewPCG(f.seed, requestStream+n))}
		if f.random.IntN(3) == 0 {
			q.class = throttle.Normal
		}
		q.customer = fmt.Sprintf("c%d", customers[f.random.IntN(len(customers))])
		q.counts = time.Since(f.start) > namedAt+limitKnown
		if q.counts {
			f.result.sent[q.class]++
			c := f.result.byCustomer[q.customer]
			c[0]++
			f.result.byCustomer[q.customer] = c
		}
		e := f.entries[f.random.IntN(len(f.entries))]
		f.mu.Unlock()
		f.requests.Go(func() { e.serve(q) })
	}
	f.requests.Wait()
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
}

// watch measures how long it takes until all entries know the limit of the first
// replica.
func (f *fleet) watch(until time.Duration) {
	var first time.Time
	for time.Since(f.start) < until {
		time.Sleep(5 * time.Millisecond)
		f.mu.Lock()
		r, entries := &replica.Replica{Registration: f.replicas[0].Registration}, slices.Clone(f.entries)
		f.mu.Unlock()
		known := 0
		for _, e := range entries {
			if e.throttle.Limited(r) {
				known++
			}
		}
		if known > 0 && first.IsZero() {
			first = time.Now()
		}
		if known == len(entries) {
			f.result.knownAfter = time.Since(first)
			return
		}
	}
}

// most returns the most arrivals at a replica in any window of the rule within a
// time, from all entries that were not disturbed, whether or not they have seen the
// limit themselves.
func (r *simReplica) most(after, before time.Duration) int {
	most := 0
	for i, first := range r.arrivals {
		if first.at < after || first.at > before-limitWindow {
			continue
		}
		n := 0
		for _, a := range r.arrivals[i:] {
			if a.at-first.at >= limitWindow {
				break
			}
			if a.counts {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// between returns the number of arrivals at a replica in a time.
func (r *simReplica) between(from, to time.Duration) int {
	n := 0
	for _, a := range r.arrivals {
		if a.at >= from && a.at < to {
			n++
		}
	}
	return n
}
