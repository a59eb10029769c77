package guard

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sony/gobreaker/v2"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Defaults of Options.
const (
	defaultTimeout         = 2 * time.Second
	defaultWritesPerSecond = 40
	defaultMaxWait         = time.Second
	defaultMaxWaiting      = 4096
	defaultOpenAfter       = 5
	defaultOpenFor         = time.Second
)

// minWaitDivisor determines the shortest time, Options.Timeout divided by it,
// that a cancelled call must have waited to count as a failure of the table.
const minWaitDivisor = 4

// Options are the settings of a Guard. Zero values mean defaults.
type Options struct {
	// Timeout bounds each call to the table.
	Timeout time.Duration
	// WritesPerSecond is the write budget. Burst is the number of unused writes
	// that may accumulate; 0 means those of one second.
	WritesPerSecond float64
	Burst           int
	// MaxWait bounds how long a write waits for the budget, and MaxWaiting how
	// many writes of one priority may wait.
	MaxWait    time.Duration
	MaxWaiting int
	// OpenAfter is the number of consecutive failures that opens the breaker.
	OpenAfter uint32
	// OpenFor is the mean time that the breaker stays open before a probe.
	OpenFor time.Duration
	Log     *logrus.Entry
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.Burst <= 0 {
		o.Burst = max(1, int(o.WritesPerSecond))
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.OpenAfter == 0 {
		o.OpenAfter = defaultOpenAfter
	}
	if o.OpenFor <= 0 {
		o.OpenFor = defaultOpenFor
	}
	o.Log = nolog.Or(o.Log)
	return o
}

// Counts are numbers of calls since the Guard was created.
type Counts struct {
	// Reads and Writes are the calls that were sent to the table.
	Reads, Writes uint64
	// Failed is the number of these that failed because the table was down or
	// too slow.
	Failed uint64
	// Refused is the number of writes refused for lack of budget, FailedFast
	// the number of calls refused because the breaker was open.
	Refused, FailedFast uint64
}

// Guard is an infra.Table that wraps another with a write budget and a circuit
// breaker. It is safe for concurrent use.
type Guard struct {
	table   infra.Table
	opt     Options
	budget  *budget
	breaker *gobreaker.TwoStepCircuitBreaker[any]

	reads, writes, failed, refused, failedFast atomic.Uint64
}

// New returns a Guard that wraps the table.
func New(table infra.Table, options Options) *Guard {
	options = options.withDefaults()
	g := &Guard{table: table, opt: options, budget: newBudget(options)}
	g.breaker = gobreaker.NewTwoStepCircuitBreaker[any](gobreaker.Settings{
		Name:          "table",
		MaxRequests:   1,
		Timeout:       jitter(options.OpenFor),
		ReadyToTrip:   func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= options.OpenAfter },
		OnStateChange: g.stateChanged,
		IsExcluded:    func(err error) bool { return errors.Is(err, errCancelledEarly) },
		IsSuccessful:  func(err error) bool { return !tableFailed(err) },
	})
	return g
}

// jitter returns a random duration between 0.5 d and 1.5 d, so that the
// entries of a deployment don't probe at the same time.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }

// Get implements infra.Table.
func (g *Guard) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	var (
		row infra.Row
		ok  bool
	)
	err := g.call(ctx, &g.reads, func(ctx context.Context) (err error) {
		row, ok, err = g.table.Get(ctx, key)
		return err
	})
	return row, ok, err
}

// Scan implements infra.Table.
func (g *Guard) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	var rows []infra.Row
	err := g.call(ctx, &g.reads, func(ctx context.Context) (err error) {
		rows, err = g.table.Scan(ctx, prefix)
		return err
	})
	return rows, err
}

// Commit implements infra.Table. A commit takes one unit of the write budget,
// regardless of the number of rows.
func (g *Guard) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	if g.breaker.State() == gobreaker.StateOpen {
		return 0, g.failFast(gobreaker.ErrOpenState)
	}
	if err := g.budget.take(ctx, infra.PriorityOf(ctx)); err != nil {
		g.refused.Add(1)
		return 0, err
	}
	var version uint64
	err := g.call(ctx, &g.writes, func(ctx context.Context) (err error) {
		version, err = g.table.Commit(ctx, writes...)
		return err
	})
	return version, err
}

// Counts returns the numbers of calls.
func (g *Guard) Counts() Counts {
	return Counts{
		Reads:      g.reads.Load(),
		Writes:     g.writes.Load(),
		Failed:     g.failed.Load(),
		Refused:    g.refused.Load(),
		FailedFast: g.failedFast.Load(),
	}
}

// Open reports whether the breaker is open or probing, which means that the
// table is considered down.
func (g *Guard) Open() bool { return g.breaker.State() != gobreaker.StateClosed }

// call makes one call within the timeout and reports its outcome to the
// breaker.
func (g *Guard) call(ctx context.Context, count *atomic.Uint64, do func(context.Context) error) error {
	done, err := g.breaker.Allow()
	if err != nil {
		return g.failFast(err)
	}
	count.Add(1)
	bounded, cancel := context.WithTimeout(ctx, g.opt.Timeout)
	defer cancel()
	began := time.Now()
	err = do(bounded)
	if tableFailed(err) {
		g.failed.Add(1)
		if g.cancelledEarly(ctx, began) {
			done(errCancelledEarly)
			return err
		}
	}
	done(err)
	return err
}

// errCancelledEarly marks an outcome that the breaker doesn't count.
var errCancelledEarly = errors.New("caller cancelled early")

// cancelledEarly reports whether a call failed because its caller cancelled it
// too early for the failure to count against the table.
func (g *Guard) cancelledEarly(ctx context.Context, began time.Time) bool {
	return ctx.Err() != nil && time.Since(began) < g.opt.Timeout/minWaitDivisor
}

func (g *Guard) failFast(err error) error {
	g.failedFast.Add(1)
	refusal := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "guard: table is down: %w", err)
	return refusal.WithRetryAfter(g.opt.OpenFor)
}

func (g *Guard) stateChanged(_ string, from, to gobreaker.State) {
	if to == gobreaker.StateClosed {
		g.budget.discardBurst()
	}
	g.opt.Log.WithField("from", from.String()).WithField("to", to.String()).Warn("guard: table breaker changed.")
}

// tableFailed reports whether an error indicates that the table is down, as
// opposed to having refused a valid call.
func tableFailed(err error) bool {
	if err == nil {
		return false
	}
	var classified *verdict.Error
	if !errors.As(err, &classified) {
		return true
	}
	code := classified.Code
	return code == verdict.CodeUnavailable || code == verdict.CodeDeadline || code == verdict.CodeOverloaded
}
