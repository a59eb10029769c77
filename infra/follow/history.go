package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// changesKept bounds the changes that a History keeps. Whoever is further
// behind reads everything again.
const changesKept = 2048

// ErrLost says that a History isn't kept up to date now, because the feed
// can't be read.
var ErrLost = errors.New("feed is lost")

// History keeps what one follower reads of a feed, so that others can follow
// through it. The versions are those of the feed: a reader may change between
// histories of several processes and the feed itself at any time. It is safe
// for concurrent use; a nil History keeps nothing.
type History struct {
	// quiet is how long the feed may tell nothing until it counts as lost; 0
	// is for ever.
	quiet time.Duration

	mu      sync.Mutex
	rows    map[string]infra.Row
	changes []infra.Change
	// version is up to where the history is complete, floor from where on.
	version, floor uint64
	confirmed      time.Time
	lost           bool
	// news is closed and replaced at each change.
	news chan struct{}
}

// NewHistory returns a History that is lost until a follower has read the
// feed, and whenever the feed told nothing for longer than quiet: the call
// that waits for it may have gone silent. A quiet of 0 is for feeds that have
// nothing to tell for long.
func NewHistory(quiet time.Duration) *History {
	return &History{quiet: quiet, rows: make(map[string]infra.Row), lost: true, news: make(chan struct{})}
}

// replace takes in all rows as of a version. What differs from the rows
// before becomes changes, so that readers need not read everything again.
func (h *History) replace(rows []infra.Row, version uint64, at time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed.IsZero() {
		h.floor = version
	}
	next := make(map[string]infra.Row, len(rows))
	var changes []infra.Change
	for _, r := range rows {
		next[r.Key] = r
		if old, known := h.rows[r.Key]; !known || old.Version != r.Version {
			changes = append(changes, infra.Change{Row: r})
		}
	}
	for key := range h.rows {
		if _, kept := next[key]; !kept {
			changes = append(changes, infra.Change{Row: infra.Row{Key: key, Version: version}, Deleted: true})
		}
	}
	h.rows = next
	h.appendLocked(changes, version, at)
}

// add takes in an update.
func (h *History) add(u infra.Update, at time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range u.Changes {
		if c.Deleted {
			delete(h.rows, c.Key)
		} else {
			h.rows[c.Key] = c.Row
		}
	}
	h.appendLocked(u.Changes, u.Version, at)
}

func (h *History) appendLocked(changes []infra.Change, version uint64, at time.Time) {
	h.changes = append(h.changes, changes...)
	if over := len(h.changes) - changesKept; over > 0 {
		for _, c := range h.changes[:over] {
			h.floor = max(h.floor, c.Version)
		}
		h.changes = append([]infra.Change(nil), h.changes[over:]...)
	}
	h.version, h.confirmed, h.lost = max(h.version, version), at, false
	h.tellLocked()
}

// lose ends the calls that wait: their callers must not take silence for
// there being no change.
func (h *History) lose() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
	h.tellLocked()
}

func (h *History) tellLocked() {
	close(h.news)
	h.news = make(chan struct{})
}

// Since returns the changes after a version, as infra.Feed.Changes does. It
// fails with ErrLost while the feed can't be read.
func (h *History) Since(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	timer := time.NewTimer(h.mostWait(wait))
	defer timer.Stop()
	for last := false; ; {
		u, news, err := h.since(after)
		if err != nil || len(u.Changes) > 0 || last {
			return u, err
		}
		select {
		case <-news:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return infra.Update{}, ctx.Err()
		}
	}
}

// mostWait shortens a wait that would outlast the feed's quiet.
func (h *History) mostWait(wait time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.quiet <= 0 {
		return wait
	}
	return min(wait, max(0, h.quiet-time.Since(h.confirmed))+time.Millisecond)
}

func (h *History) since(after uint64) (infra.Update, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost || h.quiet > 0 && time.Since(h.confirmed) > h.quiet {
		return infra.Update{}, nil, ErrLost
	}
	if after < h.floor {
		return infra.Update{}, nil, infra.ErrCompacted
	}
	u := infra.Update{Version: max(after, h.version), Age: time.Since(h.confirmed)}
	for _, c := range h.changes {
		if c.Version > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, h.news, nil
}
