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
	defaultDuration     = 6 * time.Second
	defaultMarginPart   = 10 // of the duration
	defaultTableTimeout = time.Second
	// renewalsPerLease is how many renewals fit into one duration.
	renewalsPerLease = 4
	// bystanderPauses is how many times longer a process that is no candidate
	// waits between two looks.
	bystanderPauses = 8
)

// Options are the settings of a Lease. Zero values take defaults.
type Options struct {
	// Name is the lease's name, shared by all contenders.
	Name string
	// Owner and Incarnation name this process.
	Owner       string
	Incarnation string
	// Duration is how long a renewal is good for.
	Duration time.Duration
	// Margin covers clocks that run at different speeds. It is taken off for
	// the holder and added for all others.
	Margin time.Duration
	// SuccessorWait is the longest timeout of an order to an endpoint that
	// does not check fencing numbers.
	SuccessorWait time.Duration
	// Candidate says whether this process contends as often as it can; nil
	// always does. Others look rarely, so that many contenders cost few calls.
	Candidate func() bool
	// TableTimeout bounds each call of the table.
	TableTimeout time.Duration
	Log          *logrus.Entry
}

func (o Options) withDefaults() Options {
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Margin <= 0 {
		o.Margin = o.Duration / defaultMarginPart
	}
	if o.TableTimeout <= 0 {
		o.TableTimeout = min(defaultTableTimeout, o.Duration/renewalsPerLease)
	}
	o.Log = nolog.Or(o.Log)
	o.Log = o.Log.WithField("lease", o.Name)
	return o
}

// Lease is one process's contention for a lease. Held, MayOrder and Fence are
// safe for concurrent use with Run.
type Lease struct {
	table infra.Table
	opt   Options
	log   *logrus.Entry
	row   string

	stopOnce sync.Once
	stop     chan struct{}

	mu   sync.Mutex
	held holding
	// highest is the highest fencing number seen in the row.
	highest uint64

	// watched is used by Run alone.
	watched watch
}

// holding is what this process knows of its own hold; the zero value holds
// nothing.
type holding struct {
	fence   uint64
	version uint64
	// sent is when the renewal in force was sent, taken when the lease was
	// first acquired.
	sent, taken time.Time
}

// watch is another's row and when this process first saw it so.
type watch struct {
	version uint64
	since   time.Time
}

// New returns a contender. Nothing happens before Run.
func New(table infra.Table, options Options) *Lease {
	options = options.withDefaults()
	return &Lease{
		table: table,
		opt:   options,
		log:   options.Log,
		row:   "lease/" + options.Name,
		stop:  make(chan struct{}),
	}
}

// Run contends for the lease and renews it until ctx ends or Release is
// called, and then gives it back. It logs failures and goes on.
func (l *Lease) Run(ctx context.Context) {
	ctx = infra.WithPriority(ctx, infra.PriorityLease)
	for {
		l.step(ctx)
		if !l.rest(ctx) {
			l.giveBack(ctx)
			return
		}
	}
}

// Release ends Run, which gives the lease back. From now on Held is false.
func (l *Lease) Release() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.drop()
}

// Held returns the fencing number, and whether this process holds the lease
// now. It must be asked before every effect.
func (l *Lease) Held() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heldLocked()
}

// MayOrder is Held for orders to endpoints that don't check fencing numbers.
func (l *Lease) MayOrder() (fence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fence, ok = l.heldLocked()
	// time.Since counts too little rather than too much, which is the safe
	// side here.
	return fence, ok && time.Since(l.held.taken) >= l.opt.SuccessorWait
}

// Fence returns the highest fencing number seen.
func (l *Lease) Fence() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.highest
}

func (l *Lease) heldLocked() (uint64, bool) {
	if l.held.fence == 0 || l.stopped() {
		return 0, false
	}
	if elapsed.Since(l.held.sent) >= l.opt.Duration-l.opt.Margin {
		return 0, false
	}
	return l.held.fence, true
}

func (l *Lease) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// rest waits until the next step, a little less for some than for others, so
// that contenders don't come all at once.
func (l *Lease) rest(ctx context.Context) bool {
	pause := l.opt.Duration / renewalsPerLease
	pause -= rand.N(pause/renewalsPerLease + 1)
	if _, held := l.Held(); !held && l.opt.Candidate != nil && !l.opt.Candidate() {
		pause *= bystanderPauses
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stop:
		return false
	case <-ctx.Done():
		return false
	}
}

// drop forgets the hold and returns what it was.
func (l *Lease) drop() holding {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held
	l.held.fence = 0
	return h
}
