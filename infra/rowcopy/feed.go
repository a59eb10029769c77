package rowcopy

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

const (
	// callTimeout bounds the calls that read the header and confirm its version, each
	// of which takes 1 to 4 ms and the queue of a link in use. The snapshot goes on
	// meanwhile.
	callTimeout = 300 * time.Millisecond
	// firstHeaderTimeout bounds the read of the header that precedes the first snapshot.
	// A slow store delays the start by no more than this.
	firstHeaderTimeout = 50 * time.Millisecond
	// confirmWait is how long the service waits for changes that may confirm a copy:
	// the shortest time that the platform's encoding can express.
	confirmWait = time.Millisecond
	// linkBytesPerSecond is half of a link of 10 Mbit/s. It determines, on top of
	// callTimeout, how long the parts may take.
	linkBytesPerSecond = 625_000
	// skipAfterFailure is how long no copy is read after one that was read for
	// nothing: for the duration of any one start.
	skipAfterFailure = 30 * time.Second
)

// Events, for Options.Count.
const (
	eventLoaded    = "loaded"
	eventNotLoaded = "not loaded"
	eventWritten   = "written"
	eventRenewed   = "renewed"
	eventDeleted   = "deleted"
	eventFailed    = "write failed"
)

// errOvertaken means that the snapshot was complete before the copy was.
var errOvertaken = errors.New("snapshot arrived before the copy")

// errLongChanges means that the changes since the copy are as large as a snapshot.
var errLongChanges = errors.New("changes since the copy are large")

// errReplaced means that the content was replaced after its header was confirmed.
var errReplaced = errors.New("copy was replaced while it was read")

// errSkipped means that another copy was read for nothing a short time ago.
var errSkipped = errors.New("an earlier copy could not be used")

// Options configure a Feed or a Writer.
type Options struct {
	// Table holds the copy, in rows whose keys begin with Prefix. It must be of the
	// same store as the feed.
	Table  infra.Table
	Prefix string
	// Count counts an event. It may be nil.
	Count func(event string)
	Log   *logrus.Entry
}

func (o Options) withDefaults() Options {
	o.Log = nolog.Or(o.Log)
	if o.Count == nil {
		o.Count = func(string) {}
	}
	return o
}

// Feed is an infra.Feed whose large snapshots come from a copy where possible. It is
// safe for concurrent use.
type Feed struct {
	infra.Feed
	opt Options

	// started is set once the first snapshot has begun.
	started atomic.Bool

	mu sync.Mutex
	// skipUntil is the time until which no copy is read.
	skipUntil time.Time
}

// NewFeed returns a Feed that reads from direct, the feed of the service.
func NewFeed(direct infra.Feed, o Options) *Feed {
	return &Feed{Feed: direct, opt: o.withDefaults()}
}

// snapshot is the result of a Snapshot.
type snapshot struct {
	rows    []infra.Row
	version uint64
	err     error
}

// Snapshot implements infra.Feed.
func (f *Feed) Snapshot(ctx context.Context) ([]infra.Row, uint64, error) {
	if !f.started.Swap(true) && f.opt.Table != nil {
		return f.firstSnapshot(ctx)
	}
	return f.laterSnapshot(ctx)
}

// firstSnapshot reads the header before it begins a snapshot. What the service has sent of
// an abandoned snapshot still occupies the link: 200 to 290 KB in a played restart of 58
// entries, 0.2 s of a link of 10 Mbit/s. Where there is no copy this costs a start one call.
func (f *Feed) firstSnapshot(ctx context.Context) ([]infra.Row, uint64, error) {
	began := time.Now()
	c, err := f.readHeader(ctx, firstHeaderTimeout)
	if err == nil {
		var rows []infra.Row
		if rows, err = f.readParts(ctx, c); err == nil {
			f.logLoaded(c, rows, 0, began)
			return rows, c.update.Version, nil
		}
		f.skip()
	}
	var s snapshot
	s.rows, s.version, s.err = f.Feed.Snapshot(ctx)
	if s.err == nil {
		if wireBytes(s.rows) < MinWireBytes {
			err = nil // no copy is wanted
		}
		f.logDirect(s, began, err)
	}
	return s.rows, s.version, s.err
}

// laterSnapshot reads the header only once the answer turns out to be large.
func (f *Feed) laterSnapshot(ctx context.Context) ([]infra.Row, uint64, error) {
	began := time.Now()
	var received atomic.Int64
	directCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	large := make(chan struct{})
	notice := sync.OnceFunc(func() { close(large) })
	directCtx = infra.WithProgress(directCtx, func(n, length int64) {
		received.Store(n)
		if max(n, length) >= MinWireBytes {
			notice()
		}
	})
	direct := make(chan snapshot, 1)
	go func() {
		var s snapshot
		s.rows, s.version, s.err = f.Feed.Snapshot(directCtx)
		direct <- s
	}()
	select {
	case s := <-direct:
		if s.err == nil {
			f.logDirect(s, began, nil)
		}
		return s.rows, s.version, s.err
	case <-large:
	}
	c, overtaken, err := f.confirm(ctx, direct)
	if overtaken != nil {
		f.logDirect(*overtaken, began, cmp.Or(err, errOvertaken))
		return overtaken.rows, overtaken.version, overtaken.err
	}
	cancel()
	if s := <-direct; s.err == nil {
		f.logDirect(s, began, errOvertaken)
		return s.rows, s.version, nil
	}
	rows, err := f.readParts(ctx, c)
	if err == nil {
		f.logLoaded(c, rows, received.Load(), began)
		return rows, c.update.Version, nil
	}
	f.skip()
	var s snapshot
	s.rows, s.version, s.err = f.Feed.Snapshot(ctx)
	f.logDirect(s, began, err)
	return s.rows, s.version, s.err
}

func (f *Feed) logLoaded(c confirmed, rows []infra.Row, abandoned int64, began time.Time) {
	f.opt.Count(eventLoaded)
	f.opt.Log.WithFields(logrus.Fields{
		"rows": len(rows), "bytes": c.header.Bytes, "abandoned": abandoned, "took_ms": time.Since(began).Milliseconds(),
		"behind": infra.CounterOf(c.update.Version) - infra.CounterOf(c.header.Version), "changes": len(c.update.Changes),
	}).Info("rowcopy: loaded from the copy.")
}

func (f *Feed) logDirect(s snapshot, began time.Time, reason error) {
	line := f.opt.Log.WithFields(logrus.Fields{"rows": len(s.rows), "bytes": wireBytes(s.rows), "took_ms": time.Since(began).Milliseconds()})
	if reason != nil {
		f.opt.Count(eventNotLoaded)
		line = line.WithField("reason", reason.Error())
	}
	if s.err != nil {
		line = line.WithError(s.err)
	}
	line.Info("rowcopy: loaded from the service.")
}

// confirmed is a header, and the changes since its version.
type confirmed struct {
	header header
	update infra.Update
}

// confirm reads the header, and the changes since its version, while the snapshot goes
// on. If the header can't be confirmed, or the snapshot ends first, it returns the
// snapshot, and the error of the header if there is one.
func (f *Feed) confirm(ctx context.Context, direct <-chan snapshot) (confirmed, *snapshot, error) {
	if f.skips() {
		s := <-direct
		return confirmed{}, &s, errSkipped
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var c confirmed
	done := make(chan error, 1)
	go func() {
		var err error
		c, err = f.readHeader(ctx, callTimeout)
		done <- err
	}()
	select {
	case s := <-direct:
		return confirmed{}, &s, nil
	case err := <-done:
		if err != nil {
			s := <-direct
			return confirmed{}, &s, err
		}
		return c, nil, nil
	}
}

// readHeader reads the header within a timeout, and the changes since its version.
func (f *Feed) readHeader(ctx context.Context, timeout time.Duration) (confirmed, error) {
	headerCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	row, found, err := f.opt.Table.Get(headerCtx, f.opt.Prefix+headerKey)
	if err != nil {
		return confirmed{}, err
	}
	if !found {
		return confirmed{}, errAbsent
	}
	h, err := decodeHeader(row)
	if err != nil {
		return confirmed{}, err
	}
	changesCtx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	timer := time.AfterFunc(callTimeout, func() { stop(context.DeadlineExceeded) })
	defer timer.Stop()
	u, err := f.Changes(infra.WithProgress(changesCtx, func(n, length int64) {
		if max(n, length) >= MinWireBytes {
			stop(errLongChanges)
		}
	}), h.Version, confirmWait)
	if err != nil {
		return confirmed{}, cmp.Or(context.Cause(changesCtx), err)
	}
	return confirmed{h, u}, nil
}

// readParts reads the content of a confirmed header and applies the changes to it.
func (f *Feed) readParts(ctx context.Context, c confirmed) ([]infra.Row, error) {
	transfer := time.Duration(c.header.Bytes) * 4 / 3 * time.Second / linkBytesPerSecond
	ctx, cancel := context.WithTimeout(ctx, callTimeout+transfer)
	defer cancel()
	scanned, err := f.opt.Table.Scan(ctx, f.opt.Prefix)
	if err != nil {
		return nil, err
	}
	h, rows, err := decode(f.opt.Prefix, scanned)
	if err != nil {
		return nil, err
	}
	// A header that was renewed meanwhile states the same content. Content that was
	// replaced may contain changes after the confirmed ones.
	if h.Hash != c.header.Hash {
		return nil, errReplaced
	}
	return apply(rows, c.update), nil
}

// apply returns rows with the changes of an update.
func apply(rows []infra.Row, u infra.Update) []infra.Row {
	byKey := make(map[string]infra.Row, len(rows))
	if !u.Complete {
		for _, r := range rows {
			byKey[r.Key] = r
		}
	}
	for _, c := range u.Changes {
		if c.Deleted {
			delete(byKey, c.Key)
		} else {
			byKey[c.Key] = c.Row
		}
	}
	return slices.SortedFunc(maps.Values(byKey), func(x, y infra.Row) int { return cmp.Compare(x.Key, y.Key) })
}

func (f *Feed) skip() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.skipUntil = time.Now().Add(skipAfterFailure)
}

func (f *Feed) skips() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Now().Before(f.skipUntil)
}
