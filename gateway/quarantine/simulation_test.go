package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
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
	form     Progress
	quiet    bool // without the crashing parts
	guarded  bool // with the quarantine
	mu       sync.Mutex
	random   *rand.Rand
	entries  []*simEntry
	replicas []*simReplica
	start    time.Time
	ended    bool
	arrived  int
	result   result
	bans     atomic.Int64
}

// form is how far the answer on a part that crashes replicas comes.
type form struct {
	name string
	at   Progress
}

var forms = []form{
	{"in the header", Beginning},
	{"before the first byte", Waiting},
	{"after an event", Begun},
}

// play is one load.
type play struct {
	name string
	// crashingPerSecond is the rate of the requests that crash replicas,
	// crashingPerSecond by default.
	crashingPerSecond float64
	// witness is called when a replica crashes on a part for the n-th time, before
	// the entry whose request it was knows.
	witness func(f *fleet, n int, e *simEntry)
	// crashing returns the shared parts of the next request that crashes
	// replicas, nil if there are none.
	crashing func(n int, r *rand.Rand) []uint64
	// sound returns the shared parts of the next sound request.
	sound func(n int, r *rand.Rand) []uint64
	// disturb runs beside the load.
	disturb func(f *fleet)
	// evidenceLost is set if evidence of some of the first five crashes is lost, so
	// that the fifth one may not suffice.
	evidenceLost bool
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
	// stopped entries receive no requests.
	stopped bool
	starts  int
}

// name is unique among the processes.
func (e *simEntry) name() string { return fmt.Sprint(e.id, "/", e.starts) }

type simReplica struct {
	*replica.Replica
	up bool
	// held holds the requests whose answers are not whole, and how far these are.
	held map[*simRequest]Progress
}

type simRequest struct {
	entry    *simEntry
	parts    []uint64
	crashing bool
	late     bool
	counted  bool
	attempt  int
	// number is that of the request in the order of their arrival.
	number int
}

func newFleet(p play, at Progress, entries int, seed uint64, quiet, guarded bool) *fleet {
	f := &fleet{play: p, form: at, quiet: quiet, guarded: guarded, random: rand.New(rand.NewPCG(seed, 1)), result: result{byPart: make(map[uint64]*partResult)}}
	for i := range max(12, entries*replicasPerEntry/9*2) {
		r := &simReplica{up: true, held: make(map[*simRequest]Progress)}
		r.Replica = &replica.Replica{Registration: replica.Registration{ID: fmt.Sprintf("r%d", i), Service: "s", Version: "v1", FailureDomain: fmt.Sprintf("d%d", i%3), Incarnation: 1}}
		f.replicas = append(f.replicas, r)
	}
	for i := range entries {
		f.entries = append(f.entries, f.newEntry(i))
	}
	for i, e := range f.entries {
		if entries <= 16 {
			for j, to := range f.entries {
				if to != e {
					f.connect(e, to, (i-j+entries)%entries <= linkRelays)
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
	if f.play.disturb != nil && (f.play.crashing != nil || !f.quiet) {
		go f.play.disturb(f)
	}
	sound := soundPerEntry * float64(len(f.entries))
	crashing := crashingPerSecond
	if f.play.crashingPerSecond > 0 {
		crashing = f.play.crashingPerSecond
	}
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
		for crashingDue += crashing * step.Seconds(); crashingDue >= 1; crashingDue-- {
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
	var running []*simEntry
	for _, e := range f.entries {
		if !e.stopped {
			running = append(running, e)
		}
	}
	q := &simRequest{entry: running[f.random.IntN(len(running))], parts: parts, crashing: crashing, number: f.arrived}
	f.arrived++
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
	r.held[q] = Waiting
	wait := time.Duration(f.random.ExpFloat64() * float64(meanQueueTime))
	time.AfterFunc(wait, func() { f.begin(q, r) })
}

// progress notes that the answer to a request has come that far. It returns false
// if its replica has crashed.
func (f *fleet) progress(q *simRequest, r *simReplica, to Progress) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, holds := r.held[q]; !holds {
		return false
	}
	r.held[q] = to
	return true
}

// begin begins the answer, unless the replica has crashed while the request
// waited.
func (f *fleet) begin(q *simRequest, r *simReplica) {
	if q.crashing {
		if f.progress(q, r, min(f.form, Beginning)) {
			time.AfterFunc(beginsToCrash, func() {
				if f.progress(q, r, f.form) {
					f.crash(r, q, 0)
				}
			})
		}
		return
	}
	if !f.progress(q, r, Beginning) {
		return
	}
	time.AfterFunc(beginsToEvent, func() {
		if !f.progress(q, r, Begun) {
			return
		}
		f.mu.Lock()
		if q.attempt == 1 && q.counted && !q.entry.cut {
			f.result.begun++
			if q.late {
				f.result.begunLate++
			}
		}
		length := time.Duration(f.random.ExpFloat64() * float64(meanAnswerTime))
		f.mu.Unlock()
		time.AfterFunc(min(length, eventToSettled), func() {
			if f.progress(q, r, Settled) {
				q.entry.set.Answered(customer, q.parts)
			}
		})
		time.AfterFunc(length, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(r.held, q)
		})
	})
}

// crash ends a replica, which is back after downtime, because of a request if cause
// isn't nil. The connections of its requests break off within spread.
func (f *fleet) crash(r *simReplica, cause *simRequest, spread time.Duration) {
	f.mu.Lock()
	if !r.up {
		f.mu.Unlock()
		return
	}
	r.up = false
	crashed, broken := r.Replica, r.held
	r.held = make(map[*simRequest]Progress)
	f.result.crashes++
	var witness func()
	if cause != nil {
		p := f.result.of(cause.parts)
		if p.crashes++; p.crashes == 5 {
			p.fifthCrashAt = time.Now()
			f.result.fifthCrashAt = p.fifthCrashAt
		}
		if number := p.crashes; f.play.witness != nil {
			witness = func() { f.play.witness(f, number, cause.entry) }
		}
	}
	f.mu.Unlock()
	if witness != nil {
		witness()
	}
	time.AfterFunc(downtime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		next := *crashed
		next.Incarnation++
		r.Replica, r.up = &next, true
	})
	inOrder := slices.SortedFunc(maps.Keys(broken), func(x, y *simRequest) int { return cmp.Compare(x.number, y.number) })
	for _, q := range inOrder {
		progress := broken[q]
		delay := time.Duration(0)
		if spread > 0 {
			f.mu.Lock()
			delay = time.Duration(f.random.Int64N(int64(spread)))
			f.mu.Unlock()
		}
		time.AfterFunc(delay, func() { f.breakOff(q, crashed, progress) })
	}
}

// replace replaces a replica by one of another version, as a release does.
func (f *fleet) replace(r *simReplica, version string) {
	f.mu.Lock()
	held := r.held
	next := *r.Replica
	next.Incarnation++
	next.Version = version
	r.Replica, r.held = &next, make(map[*simRequest]Progress)
	f.mu.Unlock()
	for q := range held {
		f.attempt(q)
	}
}

// breakOff ends a request whose replica has crashed.
func (f *fleet) breakOff(q *simRequest, crashed *replica.Replica, progress Progress) {
	if progress == Settled {
		return
	}
	suspect := false
	if f.guarded {
		suspect = q.entry.set.Suspect(customer, q.parts, progress)
		q.entry.set.Crashed(crashed, customer, q.parts, progress, time.Now())
	}
	if !suspect && q.attempt < 2 {
		f.attempt(q)
	}
}
