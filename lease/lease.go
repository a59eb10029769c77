package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/elapsed"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

// Defaults of Options.
const (
	defaultDuration      = 6 * time.Second
	defaultMarginDivisor = 10 // of the duration
	defaultTableTimeout  = time.Second
	// renewalsPerLease is the number of renewals that the holder sends per
	// duration.
	renewalsPerLease = 4
	// nonCandidateBackoff is the factor by which the delay between two reads of
	// the row is longer for a contender that is not a candidate.
	nonCandidateBackoff = 8
	// candidacyCheckPeriod is the time between two checks whether this process
	// has become a candidate, which need no call.
	candidacyCheckPeriod = 200 * time.Millisecond
	// effectCheckPeriod is the time after which an effect in progress ends if
	// another process is found to hold the lease.
	effectCheckPeriod = 100 * time.Millisecond
	// maxNonCandidateReads bounds the reads per second of all contenders that
	// are not candidates.
	maxNonCandidateReads = 2
)

// Options configure a Lease. A Duration, Margin, TableTimeout or Log that is
// zero gets a default.
type Options struct {
	// Name is the lease's name, shared by all contenders.
	Name string
	// Owner and Incarnation identify this process in the row.
	Owner       string
	Incarnation string
	// Duration is the time for which the lease lasts after a renewal.
	Duration time.Duration
	// Margin allows for clocks that run at different speeds. It is subtracted
	// from the duration for the holder and added for all others.
	Margin time.Duration
	// SuccessorWait is the time that a new holder waits before MayOrder allows
	// orders. It must be at least the longest timeout of an order to an
	// endpoint that does not check fencing tokens.
	SuccessorWait time.Duration
	// Candidate reports whether this process contends at the full rate; nil
	// means that it always does. Processes that are not candidates read the row
	// rarely, which limits the table calls of many contenders.
	Candidate func() bool
	// Contenders returns the number of contenders, which bounds the rate at
	// which those that are not candidates read the row. It may be nil.
	Contenders func() int
	// TableTimeout bounds each call to the table.
	TableTimeout time.Duration
	// Epoch is that of the table. It may be nil.
	Epoch *infra.Epoch
	Log   *logrus.Entry
}

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Margin <= 0 {
		o.Margin = o.Duration / defaultMarginDivisor
	}
	if o.TableTimeout <= 0 {
		o.TableTimeout = min(defaultTableTimeout, o.Duration/renewalsPerLease)
	}
	o.Log = nolog.Or(o.Log)
	o.Log = o.Log.WithField("lease", o.Name)
	return o
}

// Lease is one process's contender for a lease. Do, Held, MayOrder, HighestFence
// and Release are safe for concurrent use with Run.
type Lease struct {
	table  infra.Table
	opt    Options
	log    *logrus.Entry
	rowKey string

	releaseOnce sync.Once
	released    chan struct{}

	// effects counts the effects in progress.
	effects sync.WaitGroup

	mu   sync.Mutex
	hold hold
	// highestFence is the highest fencing token seen in the row.
	highestFence uint64

	// The fields below are used only by the goroutine of Run.

	observed observedRow
	// epoch is the last epoch of the table that was observed, since epochSince.
	epoch      uint64
	epochSince time.Time
	// lastStep is the time of the last step, and idleJitter the random part of
	// the delay after it while this process is not a candidate, in [0, 1).
	lastStep   time.Time
	idleJitter float64
}

// hold is the state of a lease that this process holds or has held. A fence of
// 0 means that it does not hold the lease.
type hold struct {
	fence   uint64
	version uint64
	// renewedAt is the time before the last confirmed renewal was sent,
	// acquiredAt the time before the takeover was sent.
	renewedAt, acquiredAt time.Time
	// lost is set once another process has been found to hold the lease.
	lost bool
}

// observedRow is the version of another holder's row and the time at which this
// process first read that version.
type observedRow struct {
	version uint64
	since   time.Time
}

// New returns a contender, which makes no calls before Run.
func New(table infra.Table, options Options) *Lease {
	options = options.withDefaults()
	return &Lease{
		table:    table,
		opt:      options,
		log:      options.Log,
		rowKey:   "lease/" + options.Name,
		released: make(chan struct{}),

		idleJitter: rand.Float64(),
	}
}

// Run contends for the lease and renews it until ctx ends or Release is
// called, and then releases it. It logs failures and retries.
func (l *Lease) Run(ctx context.Context) {
	ctx = infra.WithPriority(ctx, infra.PriorityLease)
	l.lastStep = time.Now()
	for {
		if l.due() {
			l.step(ctx)
			l.lastStep, l.idleJitter = time.Now(), rand.Float64()
		}
		if !l.waitForNextStep(ctx) {
			l.releaseRow(ctx)
			return
		}
	}
}

// Release makes Run release the lease and return, once all effects of Do have
// returned. Held returns false from now on.
func (l *Lease) Release() {
	l.releaseOnce.Do(func() { close(l.released) })
	l.clearHold()
}

// Held returns the fencing token and whether this process holds the lease now.
// The lease may be lost at any time afterwards; effects that must not take place
// then are called through Do.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldLocked()
}

// MayOrder returns the fencing token and whether this process may send orders
// to endpoints that don't check it: it holds the lease, and SuccessorWait has
// passed since its takeover.
func (l *Lease) MayOrder() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, ok = l.heldLocked()
	// The monotonic clock stops while the machine is suspended, so time.Since
	// may return too short a time, but never too long a time. Too short is
	// safe: orders are only allowed later.
	return fence, ok && time.Since(l.hold.acquiredAt) >= l.opt.SuccessorWait
}

// HighestFence returns the highest fencing token seen in the row.
func (l *Lease) HighestFence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highestFence
}

func (l *Lease) heldLocked() (uint64, bool) {
	if l.hold.fence == 0 || l.isReleased() {
		return 0, false
	}
	if elapsed.Since(l.hold.renewedAt) >= l.opt.Duration-l.opt.Margin {
		return 0, false
	}
	return l.hold.fence, true
}

func (l *Lease) isReleased() bool {
	select {
	case <-l.released:
		return true
	default:
		return false
	}
}

// waitForNextStep waits until the next step, with jitter, so that contenders
// don't call the table all at once. It returns false when Run must end.
func (l *Lease) waitForNextStep(ctx context.Context) bool {
	delay := l.opt.Duration / renewalsPerLease
	delay -= rand.N(delay/renewalsPerLease + 1)
	if !l.active() {
		delay = min(delay, candidacyCheckPeriod)
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.released:
		return false
	case <-ctx.Done():
		return false
	}
}

// due reports whether the next step is due. A process that becomes a candidate
// does not wait for the end of its idle delay.
func (l *Lease) due() bool {
	return l.active() || time.Since(l.lastStep) >= l.nonCandidateDelay()
}

// active reports whether this process holds the lease or is a candidate.
func (l *Lease) active() bool {
	if l.opt.Candidate == nil || l.opt.Candidate() {
		return true
	}
	_, held := l.Held()
	return held
}

// nonCandidateDelay returns the delay between two reads of the row by a
// contender that is not a candidate.
func (l *Lease) nonCandidateDelay() time.Duration {
	delay := l.opt.Duration / renewalsPerLease * nonCandidateBackoff
	if l.opt.Contenders == nil {
		return delay
	}
	mean := float64(l.opt.Contenders()) / maxNonCandidateReads
	return max(delay, time.Duration((0.5+l.idleJitter)*mean*float64(time.Second)))
}

// clearHold marks the lease as not held and returns the previous state.
func (l *Lease) clearHold() hold {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.hold
	l.hold.fence = 0
	return h
}
