package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// hostState is the state of one incarnation of a host. The embedded Host is as
// first listed.
type hostState struct {
	infra.Host
	// leavingSeq is the value of Fleet.leaveSeq at which the host was marked as
	// draining, or 0. It orders marks against choices.
	leavingSeq atomic.Uint64
	// leavingReason is written once, before leavingSeq is set.
	leavingReason string
	economics     atomic.Pointer[hostEconomics]
}

func (h *hostState) leaving() bool { return h.leavingSeq.Load() != 0 }

// replica is the state of one endpoint.
type replica struct {
	endpoint infra.Endpoint
	host     *hostState
	stats    *groupStats
	// seed is the hash of the endpoint's ID, for the rendezvous hash.
	seed uint64
	// number identifies the endpoint in the prefix index.
	number uint32
	age    cacheAge

	mu        sync.Mutex
	load      endpoint.Load
	loadAt    time.Time
	hasReport bool
	own       ownWork
	events    cacheEventState
	health    health
	// lastLateness is a moving average of the delay of first frames against
	// their prediction, as of latenessAt.
	lastLateness time.Duration
	latenessAt   time.Time
}

// reservation is the work that a Choice has reserved on its replica.
type reservation struct {
	// hashes are the prompt's block hashes.
	hashes []uint64
	// uncachedTokens is the number of prompt tokens to prefill. bucket is the
	// bucket of ownWork in which they are counted.
	uncachedTokens int
	bucket         uint32
	at             time.Time
	progress       *progress
}

// progress is shared by all copies of a Choice. It is guarded by the
// replica's lock.
type progress struct {
	started bool
	done    bool
}

// reserve counts a request as in flight and returns its reservation, or false
// if the host is draining.
func (r *replica) reserve(req *Request, uncached int, now time.Time) (reservation, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.host.leaving() {
		return reservation{}, false
	}
	res := reservation{
		hashes:         req.Hashes,
		uncachedTokens: uncached,
		bucket:         r.own.add(uncached, now),
		at:             now,
		progress:       &progress{},
	}
	return res, true
}

// start records the end of the prefill of a reservation. It returns false for
// every call after the first. r.mu is held.
func (r *replica) start(res reservation) bool {
	if res.progress.started {
		return false
	}
	res.progress.started = true
	if !r.own.start(res) {
		r.load.QueuedPromptTokens = max(0, r.load.QueuedPromptTokens-res.uncachedTokens)
	}
	return true
}

// release ends a reservation. It returns false for every call after the first.
// r.mu is held.
func (r *replica) release(res reservation) bool {
	if res.progress.done {
		return false
	}
	res.progress.done = true
	r.start(res)
	if !r.own.release(res) {
		r.load.Running = max(0, r.load.Running-1)
	}
	return true
}

// setLoad applies a load report. r.mu is held.
func (r *replica) setLoad(l endpoint.Load, now time.Time) {
	r.load = l
	r.loadAt = now
	r.hasReport = true
	r.own.applyReport(now)
	if l.PrefillRate > 0 {
		r.stats.prefillRate.observe(l.PrefillRate)
	}
	if l.DecodeRate > 0 {
		r.stats.decodeRate.observe(l.DecodeRate)
	}
}
