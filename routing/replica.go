package routing

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/platform"
)

// hostState is what the Fleet knows of one incarnation of a host. All but
// leavingSeq is immutable.
type hostState struct {
	platform.Host
	// leavingSeq orders MarkLeaving against choices; 0 while the host stays.
	leavingSeq atomic.Uint64
	// reason is written once, before leavingSeq is set.
	reason string
}

func (h *hostState) leaving() bool { return h.leavingSeq.Load() != 0 }

// replica is the state of one endpoint.
type replica struct {
	endpoint platform.Endpoint
	host     *hostState
	// seed is the endpoint's part of the rendezvous hash.
	seed uint64

	mu       sync.Mutex
	load     endpoint.Load
	loadAt   time.Time
	reported bool
	// report numbers load reports, so that a reservation is taken off
	// sinceReport only while the report is the one it was made under.
	report uint32
	// inFlight counts own reservations, unstarted own uncached prompt tokens
	// of those without a first frame.
	inFlight  int
	unstarted int
	// sinceReport is what was reserved after the last report.
	sinceReport work
}

// work is an amount of reserved work.
type work struct {
	requests int
	tokens   int
}

// reservation is what a Choice holds on its replica.
type reservation struct {
	uncached int
	report   uint32
	at       time.Time
	*progress
}

// progress is shared by all copies of a Choice.
type progress struct {
	started bool
	done    bool
}
