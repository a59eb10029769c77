package follow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// defaultWait is how long one call waits for a change. Longer waits need
	// fewer calls, but an unresponsive connection is detected only after the
	// wait.
	defaultWait = 5 * time.Second
	// waitAfterFailure is how long the first call after a failure waits for a
	// change.
	waitAfterFailure = 50 * time.Millisecond
	// callSlack plus the wait for a change is the timeout of a call.
	callSlack = 1500 * time.Millisecond
	// snapshotTimeout bounds the time without any progress of a snapshot, and
	// maxSnapshotTime a whole one. A link of 10 Mbit/s transfers 2.5 MB in 2 s, the
	// largest answer that is read (8 MB) in 7 s.
	snapshotTimeout = 2 * time.Second
	maxSnapshotTime = 15 * time.Second
	// minRefreshAge is the age of a call from which on Refresh repeats it.
	minRefreshAge = 500 * time.Millisecond
	// minBackoff is the mean delay before the first retry, and maxBackoff the
	// longest delay, jitter included. Readers deny requests by the age of the
	// copy, which must be known within a second of the end of an outage.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 700 * time.Millisecond
	// backoffJitter is the largest deviation of a delay, as a share of its mean.
	backoffJitter = 0.25
)

// Handler receives the rows and changes that a Follower reads. Its methods are
// called from one goroutine.
type Handler interface {
	// Replace receives all rows of a consistent snapshot, which replace all
	// earlier rows.
	Replace(rows []infra.Row)
	// Change receives one change.
	Change(c infra.Change)
}

// Options configures a Follower.
type Options struct {
	// Name is used in log lines.
	Name string
	// Wait is how long one call waits for a change; 0 means the default.
	Wait time.Duration
	// StartJitter is the maximum random delay before the first snapshot, so
	// that entries that start together don't all read at the same time.
	StartJitter time.Duration
	// Pause returns how long to wait after changes before the next call, so
	// that changes made shortly after one another are read in one call. Nil
	// means no wait.
	Pause func() time.Duration
	// History receives everything that the follower reads, to serve it to
	// peers that read the feed through this process. It may be nil.
	History *History
	// OnRecovered is called when a call succeeds again after a failure, or when the
	// rows of a restored table are read for the first time, before the handler
	// receives the result. It may be nil.
	OnRecovered func()
	// Epoch is that of the table, for log lines. It may be nil.
	Epoch *infra.Epoch
	Log   *logrus.Entry
}

// Follower keeps its Handler up to date with one feed.
type Follower struct {
	feed    infra.Feed
	handler Handler
	opt     Options
	// confirmed is the time at which the copy was last known to be complete,
	// in nanoseconds since start; 0 before the first snapshot.
	confirmed   atomic.Int64
	start       time.Time
	unavailable bool
	// refresh ends the call in progress, which began at callSince in nanoseconds
	// since start; 0 if there is none.
	refresh   chan struct{}
	callSince atomic.Int64
	// loaded is closed after the first snapshot.
	loaded chan struct{}
}

// New returns a Follower, which reads nothing before Run.
func New(feed infra.Feed, handler Handler, o Options) *Follower {
	if o.Wait <= 0 {
		o.Wait = defaultWait
	}
	return &Follower{feed: feed, handler: handler, opt: o, start: time.Now(), refresh: make(chan struct{}, 1), loaded: make(chan struct{})}
}

// Age returns how long ago the copy was last known to be complete, and false
// before the first snapshot. It is safe for concurrent use with Run.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(f.start) - time.Duration(at), true
}

// Loaded returns a channel that is closed after the first snapshot.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Refresh repeats the call that is in progress, unless it has just begun. The call
// may have met an outage of the service and never be answered, although other calls
// show that it is over. Refresh is safe for concurrent use with Run and doesn't
// block.
func (f *Follower) Refresh() {
	since := f.callSince.Load()
	if since == 0 || time.Since(f.start)-time.Duration(since) < minRefreshAge {
		return
	}
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Run reads the feed until ctx ends. It logs failures and retries with backoff.
func (f *Follower) Run(ctx context.Context) {
	if f.opt.StartJitter > 0 && !ctxtime.Sleep(ctx, rand.N(f.opt.StartJitter)) {
		return
	}
	retryDelay := newBackoff()
	version, synced := uint64(0), false
	for ctx.Err() == nil {
		err := f.step(ctx, &version, &synced)
		if err == nil {
			retryDelay.Reset()
			continue
		}
		if errors.Is(err, errRefreshed) {
			continue
		}
		if errors.Is(err, infra.ErrCompacted) {
			f.opt.Log.WithFields(logrus.Fields{"feed": f.opt.Name, "after": version, "epoch": f.opt.Epoch.Current()}).WithError(err).Info("follow: history compacted, reading a snapshot.")
			synced = false
			continue
		}
		f.recordFailure(ctx, err)
		if !ctxtime.Sleep(ctx, retryDelay.NextBackOff()) {
			return
		}
	}
}

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.RandomizationFactor = minBackoff, backoffJitter
	b.MaxInterval = time.Duration(float64(maxBackoff) / (1 + backoffJitter))
	return b
}

func (f *Follower) step(ctx context.Context, version *uint64, synced *bool) error {
	if !*synced {
		return f.readSnapshot(ctx, version, synced)
	}
	wait := f.opt.Wait
	if f.unavailable {
		// With a short wait the call returns soon even if there is no change,
		// which confirms that the copy is complete again.
		wait = waitAfterFailure
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+callSlack)
	defer cancel()
	callCtx, stop := f.endOnRefresh(callCtx)
	update, err := f.feed.Changes(callCtx, *version, wait)
	refreshed := stop()
	switch {
	case err != nil && refreshed:
		return errRefreshed
	case err != nil:
		return err
	}
	at := time.Now().Add(-update.Age)
	if update.Complete {
		f.replace(rowsOf(update.Changes), update.Version, version, at)
	} else {
		f.recordSuccess(*version)
		for _, c := range update.Changes {
			f.handler.Change(c)
		}
		*version = update.Version
		f.opt.History.add(update, at)
	}
	f.confirm(at)
	if len(update.Changes) > 0 && f.opt.Pause != nil {
		ctxtime.Sleep(ctx, f.opt.Pause())
	}
	return nil
}

// errRefreshed reports that a call was ended by Refresh.
var errRefreshed = errors.New("call is repeated")

// endOnRefresh returns a context that Refresh ends. The returned function stops
// that, and reports whether it has happened.
func (f *Follower) endOnRefresh(ctx context.Context) (context.Context, func() bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.callSince.Store(int64(max(1, time.Since(f.start))))
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-f.refresh:
			cancel(errRefreshed)
		case <-ctx.Done():
		}
	}()
	return ctx, func() bool {
		f.callSince.Store(0)
		cancel(nil)
		<-done
		return errors.Is(context.Cause(ctx), errRefreshed)
	}
}

// errStalled reports that nothing arrived of a snapshot within snapshotTimeout.
var errStalled = errors.New("snapshot stalled")

func (f *Follower) readSnapshot(ctx context.Context, version *uint64, synced *bool) error {
	callCtx, cancel := context.WithTimeout(ctx, maxSnapshotTime)
	defer cancel()
	callCtx, stop := context.WithCancelCause(callCtx)
	defer stop(nil)
	stalled := time.AfterFunc(snapshotTimeout, func() { stop(errStalled) })
	defer stalled.Stop()
	callCtx = infra.WithProgress(callCtx, func(int64, int64) { stalled.Reset(snapshotTimeout) })
	sent := time.Now()
	rows, at, err := f.feed.Snapshot(callCtx)
	if err != nil {
		if cause := context.Cause(callCtx); errors.Is(cause, errStalled) {
			err = fmt.Errorf("%w: %w", cause, err)
		}
		return err
	}
	f.replace(rows, at, version, sent)
	*synced = true
	if f.confirmed.Load() == 0 {
		close(f.loaded)
	}
	f.confirm(sent)
	return nil
}

// replace passes on all rows as of a version, which were complete at a time, and
// updates the position.
func (f *Follower) replace(rows []infra.Row, version uint64, position *uint64, at time.Time) {
	restored := *position != 0 && infra.EpochOf(version) != infra.EpochOf(*position)
	if !f.recordSuccess(*position) && restored && f.opt.OnRecovered != nil {
		f.opt.OnRecovered()
	}
	f.handler.Replace(rows)
	f.opt.History.replace(rows, version, at)
	*position = version
}

func rowsOf(changes []infra.Change) []infra.Row {
	rows := make([]infra.Row, len(changes))
	for i, c := range changes {
		rows[i] = c.Row
	}
	return rows
}

func (f *Follower) confirm(at time.Time) {
	f.confirmed.Store(int64(max(1, at.Sub(f.start))))
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if f.unavailable || ctx.Err() != nil {
		return
	}
	f.unavailable = true
	f.opt.History.markUnavailable()
	f.opt.Log.WithField("feed", f.opt.Name).WithError(err).Warn("follow: feed is lost.")
}

// recordSuccess reports whether the success ended a failure of the feed.
func (f *Follower) recordSuccess(version uint64) bool {
	if !f.unavailable {
		return false
	}
	f.unavailable = false
	f.opt.Log.WithFields(logrus.Fields{"feed": f.opt.Name, "after": version, "epoch": f.opt.Epoch.Current()}).Info("follow: feed is back.")
	if f.opt.OnRecovered != nil {
		f.opt.OnRecovered()
	}
	return true
}
