package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// fleet is a simulated deployment of entries and replicas, in virtual time and
// without a network.
type fleet struct {
	play     play
	quiet    bool // without the crashing parts
	guarded  bool // with the quarantine
	mu       sync.Mutex
	random   *rand.Rand
	entries  []*simEntry
	replicas []*simReplica
	start    time.Time
	ended    bool
	result   result
	bans     atomic.Int64
}

// play is one load.
type play struct {
	name string
	// crashing returns the shared parts of the next request that crashes
	// replicas, nil if there are none.
	crashing func(n int, r *rand.Rand) []uint64
	// sound returns the shared parts of the next sound request.
	sound func(n int, r *rand.Rand) []uint64
	// disturb runs beside the load.
	disturb func(f *fleet)
	// noBan is set if nothing may be banned.
	noBan bool
	// unbounded is set if no two crashing requests have the same part, so that
	// no part can be identified.
	unbounded bool
}

// result is what a play reports.
type result struct {
	crashes, crashingSent int
	// byPart holds what came of each part that crashes replicas, and sentAfter
	// the most requests with one of them that were sent too late.
	byPart    map[uint64]*partResult
	sentAfter int
	// fifthCrashAt is the time of the last fifth crash of a part.
	fifthCrashAt         time.Time
	sound, begun         int
	soundLate, begunLate int
	bytes                int
	knownAfter           time.Duration
	// bans counts those that any entry ever decided, refused the sound requests
	// that were refused.
	bans, refused int
}

// partResult is what came of one part.
type partResult struct {
	crashes, sentAfter int
	fifthCrashAt       time.Time
}

// of returns the result of the part of a prompt that crashes replicas.
func (r *result) of(parts []uint64) *partResult {
	for _, p := range parts {
		if p >= bad && r.byPart[p] == nil {
			r.byPart[p] = &partResult{}
		}
		if p >= bad {
			return r.byPart[p]
		}
	}
	return &partResult{}
}

func (r result) String() string {
	return fmt.Sprintf("%d crashes, %d crashing requests sent, %d of them later than %v after the fifth crash; sound requests begun at the first attempt %.3f, from %v after it on %.3f; all entries know %v after it; %d sound requests refused, %d bans; %d B/s an entry",
		r.crashes, r.crashingSent, r.sentAfter, contact, ratio(r.begun, r.sound), 2*contact, ratio(r.begunLate, r.soundLate), r.knownAfter, r.refused, r.bans, r.bytes)
}

func ratio(x, y int) float64 {
	if y == 0 {
		return 0
	}
	return float64(x) / float64(y)
}

type simEntry struct {
	f     *fleet
	id    string
	set   *Set
	links []*simLink
	cut   bool
}

type simReplica struct {
	*replica.Replica
	up bool
	// beginning holds the requests whose answers have begun and have no event
	// yet.
	beginning map[*simRequest]bool
}

type simRequest struct {
	entry    *simEntry
	parts    []uint64
	crashing bool
	late     bool
	counted  bool
	attempt  int
}

func newFleet(p play, entries int, seed uint64, quiet, guarded bool) *fleet {
	f := &fleet{play: p, quiet: quiet, guarded: guarded, random: rand.New(rand.NewPCG(seed, 1)), result: result{byPart: make(map[uint64]*partResult)}}
	for i := range max(12, entries*replicasPerEntry/9*2) {
		r := &simReplica{up: true, beginning: make(map[*simRequest]bool)}
		r.Replica = &replica.Replica{Registration: replica.Registration{ID: fmt.Sprintf("r%d", i), Service: "s", Version: "v1", FailureDomain: fmt.Sprintf("d%d", i%3), Incarnation: 1}}
		f.replicas = append(f.replicas, r)
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i, e := range f.entries {
		if entries <= 16 {
			for _, to := range f.entries {
				if to != e {
					f.connect(e, to)
				}
			}
			continue
		}
		f.connectBoth(e, f.entries[(i+1)%entries])
		for range 2 {
			if to := f.entries[f.random.IntN(entries)]; to != e {
				f.connectBoth(e, to)
			}
		}
	}
	return f
}

func (f *fleet) newEntry(i int) *simEntry {
	e := &simEntry{f: f, id: fmt.Sprintf("e%d", i)}
	e.set = New(Options{
		ID: e.id, Log: nolog.Or(nil), Count: func(event string) {
			if event == "ban" {
				f.bans.Add(1)
			}
		},
		Members: func() []string {
			out := make([]string, 0, len(f.entries))
			for _, e := range f.entries {
				out = append(out, e.id)
			}
			return out
		},
		Ready: func(string) []*replica.Replica { return nil },
	})
	e.set.OnBroadcast(e.wake)
	return e
}

const customer = "c"

// run plays the load.
func (f *fleet) run() result {
	start := time.Now()
	f.start = start
	if f.play.disturb != nil && !f.quiet {
		go f.play.disturb(f)
	}
	sound := soundPerEntry * float64(len(f.entries))
	step := 10 * time.Millisecond
	soundDue, crashingDue := 0.0, 0.0
	for n, m := 0, 0; time.Since(start) < warmUp+playTime; time.Sleep(step) {
		for soundDue += sound * step.Seconds(); soundDue >= 1; soundDue-- {
			n++
			f.arrive(f.play.sound(n, f.random), false)
		}
		if f.quiet || f.play.crashing == nil || time.Since(start) < warmUp {
			continue
		}
		for crashingDue += crashingPerSecond * step.Seconds(); crashingDue >= 1; crashingDue-- {
			m++
			f.arrive(f.play.crashing(m, f.random), true)
		}
		f.checkKnown()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	f.result.bytes /= len(f.entries) * int((warmUp+playTime)/time.Second)
	f.result.bans = int(f.bans.Load())
	return f.result
}

// checkKnown records how long after the fifth crash all entries that are in
// touch refuse the crashing requests.
func (f *fleet) checkKnown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.result.fifthCrashAt.IsZero() || f.result.knownAfter > 0 {
		return
	}
	for _, e := range f.entries {
		if _, err := e.set.Check(customer, f.play.crashing(1, f.random)); !e.cut && err == nil {
			return
		}
	}
	f.result.knownAfter = max(time.Since(f.result.fifthCrashAt), time.Millisecond)
}

// arrive begins a request at a random entry.
func (f *fleet) arrive(parts []uint64, crashing bool) {
	f.mu.Lock()
	q := &simRequest{entry: f.entries[f.random.IntN(len(f.entries))], parts: parts, crashing: crashing}
	q.late = !crashing && (f.quiet || !f.result.fifthCrashAt.IsZero() && time.Since(f.result.fifthCrashAt) > 2*contact)
	// Requests that arrive shortly before the end may not begin before it.
	if q.counted = !crashing && !q.entry.cut && time.Since(f.start) < warmUp+playTime-settleTime; q.counted {
		f.result.sound++
		if q.late {
			f.result.soundLate++
		}
	}
	f.mu.Unlock()
	f.attempt(q)
}

// attempt offers a request to a replica.
func (f *fleet) attempt(q *simRequest) {
	q.attempt++
	if _, err := q.entry.set.Check(customer, q.parts); f.guarded && err != nil {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !q.crashing {
			f.result.refused++
		}
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	var up []*simReplica
	for _, r := range f.replicas {
		if r.up {
			up = append(up, r)
		}
	}
	if len(up) == 0 {
		return
	}
	r := up[f.random.IntN(len(up))]
	if q.crashing {
		f.result.crashingSent++
		if r := f.result.of(q.parts); !r.fifthCrashAt.IsZero() && time.Since(r.fifthCrashAt) > contact && !q.entry.cut {
			r.sentAfter++
			f.result.sentAfter = max(f.result.sentAfter, r.sentAfter)
		}
	}
	incarnation := r.Replica
	wait := time.Duration(f.random.ExpFloat64() * float64(meanQueueTime))
	time.AfterFunc(wait, func() { f.begin(q, r, incarnation) })
}

// begin begins the answer, unless the replica has crashed while the request
// waited.
func (f *fleet) begin(q *simRequest, r *simReplica, incarnation *replica.Replica) {
	f.mu.Lock()
	if r.Replica != incarnation || !r.up {
		f.mu.Unlock()
		if q.attempt < 2 {
			f.attempt(q)
		}
		return
	}
	r.beginning[q] = true
	f.mu.Unlock()
	if q.crashing {
		time.AfterFunc(beginsToCrash, func() {
			if f.isBeginning(q, r) {
				f.crash(r)
			}
		})
		return
	}
	time.AfterFunc(beginsToEvent, func() {
		f.mu.Lock()
		alive := r.beginning[q]
		delete(r.beginning, q)
		if alive && q.attempt == 1 && q.counted && !q.entry.cut {
			f.result.begun++
			if q.late {
				f.result.begunLate++
			}
		}
		f.mu.Unlock()
		if alive {
			q.entry.set.Answered(customer, q.parts)
		}
	})
}

func (f *fleet) isBeginning(q *simRequest, r *simReplica) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return r.beginning[q]
}

// crash ends a replica, which is back after downtime.
func (f *fleet) crash(r *simReplica) {
	f.mu.Lock()
	if !r.up {
		f.mu.Unlock()
		return
	}
	r.up = false
	crashed, broken := r.Replica, r.beginning
	r.beginning = make(map[*simRequest]bool)
	f.result.crashes++
	for q := range broken {
		if !q.crashing {
			continue
		}
		p := f.result.of(q.parts)
		if p.crashes++; p.crashes == 5 {
			p.fifthCrashAt = time.Now()
			f.result.fifthCrashAt = p.fifthCrashAt
		}
	}
	f.mu.Unlock()
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		next := *crashed
		next.Incarnation++
		r.Replica, r.up = &next, true
	})
	for q := range broken {
		suspect := false
		if f.guarded {
			suspect = q.entry.set.Suspect(customer, q.parts, Beginning)
			q.entry.set.Crashed(crashed, customer, q.parts, Beginning, time.Now())
		}
		if !suspect && q.attempt < 2 {
			f.attempt(q)
		}
	}
}
