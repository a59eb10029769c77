package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// hostState is what the Fleet knows of one incarnation of a host. The Host is
// as first listed.
type hostState struct {
	infra.Host
	// leavingSeq orders MarkLeaving against choices; 0 while the host stays.
	leavingSeq atomic.Uint64
	// reason is written once, before leavingSeq is set.
	reason string
	econ   atomic.Pointer[econ]
}

func (h *hostState) leaving() bool { return h.leavingSeq.Load() != 0 }

// replica is the state of one endpoint.
type replica struct {
	endpoint infra.Endpoint
	host     *hostState
	stats    *groupStats
	// seed is the endpoint's part of the rendezvous hash.
	seed uint64
	// number names the endpoint in the prefix index.
	number uint32
	age    cacheAge

	mu       sync.Mutex
	load     endpoint.Load
	loadAt   time.Time
	reported bool
	own      ownWork
	events   eventLog
	health   health
	// late is how much later than predicted first frames come.
	late   time.Duration
	lateAt time.Time
}

// reservation is what a Choice holds on its replica.
type reservation struct {
	hashes   []uint64
	uncached int
	bucket   uint32
	at       time.Time
	progress *progress
}

// progress is shared by all copies of a Choice. It is guarded by the
// replica's lock.
type progress struct {
	started bool
	done    bool
}

// reserve counts a request in, unless the host is leaving.
func (r *replica) reserve(req *Request, uncached int, now time.Time) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host.leaving() {
		return reservation{}, false
	}
	held := reservation{
		hashes:   req.Hashes,
		uncached: uncached,
		bucket:   r.own.add(uncached, now),
		at:       now,
		progress: &progress{},
	}
	return held, true
}

// start ends the prefill of a reservation. It returns false the second time.
// r.mu is held.
func (r *replica) start(held reservation) bool {
	if held.progress.started {
		return false
	}
	held.progress.started = true
	if !r.own.start(held) {
		r.load.QueuedPromptTokens = max(0, r.load.QueuedPromptTokens-held.uncached)
	}
	return true
}

// release takes a reservation back. It returns false the second time. r.mu is
// held.
func (r *replica) release(held reservation) bool {
	if held.progress.done {
		return false
	}
	held.progress.done = true
	r.start(held)
	if !r.own.release(held) {
		r.load.Running = max(0, r.load.Running-1)
	}
	return true
}

// setLoad takes over a load report. r.mu is held.
func (r *replica) setLoad(l endpoint.Load, now time.Time) {
	r.load = l
	r.loadAt = now
	r.reported = true
	r.own.report(now)
	if l.PrefillRate > 0 {
		r.stats.prefillRate.observe(l.PrefillRate)
	}
	if l.DecodeRate > 0 {
		r.stats.decodeRate.observe(l.DecodeRate)
	}
}
