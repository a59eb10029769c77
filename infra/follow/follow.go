package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// defaultWait is how long one call waits for a change. Longer waits cost
	// fewer calls; a connection that went silent is found out after it.
	defaultWait = 5 * time.Second
	// waitAfterLoss is how long the first call after a failure waits.
	waitAfterLoss = 50 * time.Millisecond
	// answerSlack is added to the wait to bound a call.
	answerSlack = 1500 * time.Millisecond
	// snapshotTimeout bounds a full read.
	snapshotTimeout = 2 * time.Second
	// firstPause and longestPause bound the pauses after failures. The
	// longest is short against the time in which a change must be in force.
	firstPause   = 100 * time.Millisecond
	longestPause = 700 * time.Millisecond
)

// Handler takes in what a follower reads. Its methods are called from one
// goroutine.
type Handler interface {
	// Replace takes all rows as of one moment.
	Replace(rows []infra.Row)
	// Change takes one change.
	Change(c infra.Change)
}

// Options set up a Follower.
type Options struct {
	// Name is used in log lines.
	Name string
	// Wait is how long one call waits for a change; 0 takes the default.
	Wait time.Duration
	// Spread is the longest random delay of the first read, so that entries
	// that start together don't read at the same moment.
	Spread time.Duration
	// Pause is how long to wait after changes before asking for more, so that
	// changes that come together cost one call; nil doesn't wait.
	Pause func() time.Duration
	// History gets what was read, for others that follow through this process;
	// it may be nil.
	History *History
	// OnBack is called when the service answers again after a failure, before
	// the handler gets what was read. It may be nil.
	OnBack func()
	Log    *logrus.Entry
}

// Follower follows one feed.
type Follower struct {
	feed    infra.Feed
	handler Handler
	opt     Options
	// confirmed is the Unix time in nanoseconds of the send of the last call
	// that succeeded.
	confirmed atomic.Int64
	start     time.Time
	lost      bool
	// loaded is closed after the first read.
	loaded chan struct{}
}

// New returns a Follower. Nothing happens before Run.
func New(feed infra.Feed, handler Handler, o Options) *Follower {
	if o.Wait <= 0 {
		o.Wait = defaultWait
	}
	return &Follower{feed: feed, handler: handler, opt: o, start: time.Now(), loaded: make(chan struct{})}
}

// Age returns how long ago the copy was known to be complete, and false
// before the first read. It is safe for concurrent use with Run.
func (f *Follower) Age() (time.Duration, bool) {
	at := f.confirmed.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(f.start) - time.Duration(at), true
}

// Loaded is closed after the first read.
func (f *Follower) Loaded() <-chan struct{} { return f.loaded }

// Run follows the feed until ctx ends. Failures are logged and tried again.
func (f *Follower) Run(ctx context.Context) {
	if f.opt.Spread > 0 && !ctxtime.Sleep(ctx, rand.N(f.opt.Spread)) {
		return
	}
	pauses := newPauses()
	version, known := uint64(0), false
	for ctx.Err() == nil {
		err := f.step(ctx, &version, &known)
		if err == nil {
			pauses.Reset()
			continue
		}
		if errors.Is(err, infra.ErrCompacted) {
			f.opt.Log.WithField("feed", f.opt.Name).Info("follow: history is gone, reading everything.")
			known = false
			continue
		}
		f.failed(ctx, err)
		if !ctxtime.Sleep(ctx, pauses.NextBackOff()) {
			return
		}
	}
}

func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstPause, longestPause
	return b
}

func (f *Follower) step(ctx context.Context, version *uint64, known *bool) error {
	if !*known {
		return f.readAll(ctx, version, known)
	}
	wait := f.opt.Wait
	if f.lost {
		// An answer is wanted soon, to know that the copy is complete again.
		wait = waitAfterLoss
	}
	callCtx, cancel := context.WithTimeout(ctx, wait+answerSlack)
	defer cancel()
	update, err := f.feed.Changes(callCtx, *version, wait)
	if err != nil {
		return err
	}
	f.regained()
	for _, c := range update.Changes {
		f.handler.Change(c)
	}
	*version = update.Version
	at := time.Now().Add(-update.Age)
	f.opt.History.add(update, at)
	f.confirm(at)
	if len(update.Changes) > 0 && f.opt.Pause != nil {
		ctxtime.Sleep(ctx, f.opt.Pause())
	}
	return nil
}

func (f *Follower) readAll(ctx context.Context, version *uint64, known *bool) error {
	callCtx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	sent := time.Now()
	rows, at, err := f.feed.Snapshot(callCtx)
	if err != nil {
		return err
	}
	f.regained()
	f.handler.Replace(rows)
	f.opt.History.replace(rows, at, sent)
	*version, *known = at, true
	if f.confirmed.Load() == 0 {
		close(f.loaded)
	}
	f.confirm(sent)
	return nil
}

func (f *Follower) confirm(at time.Time) {
	f.confirmed.Store(int64(max(1, at.Sub(f.start))))
}

func (f *Follower) failed(ctx context.Context, err error) {
	if f.lost || ctx.Err() != nil {
		return
	}
	f.lost = true
	f.opt.History.lose()
	f.opt.Log.WithField("feed", f.opt.Name).WithError(err).Warn("follow: feed is lost.")
}

func (f *Follower) regained() {
	if !f.lost {
		return
	}
	f.lost = false
	f.opt.Log.WithField("feed", f.opt.Name).Info("follow: feed is back.")
	if f.opt.OnBack != nil {
		f.opt.OnBack()
	}
}
