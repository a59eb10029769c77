package follow

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// maxRetainedChanges bounds the changes that a History retains, one for each row.
// A reader that is further behind must take a snapshot.
const maxRetainedChanges = 2048

// ErrUnavailable means that a History is not up to date, because its follower
// can't read the feed.
var ErrUnavailable = errors.New("feed is unavailable")

// History retains the recent changes that one Follower has read of a feed, so
// that other processes can read the feed through it. Of each row it retains the
// last change only, so that it holds no more values than the table has rows. Its
// versions are those of the feed, so a reader may switch at any time between the
// histories of several processes and the feed itself. It is safe for concurrent
// use; a nil History retains nothing.
type History struct {
	// staleAfter is how long the feed may return nothing before it counts as
	// unavailable; 0 means no limit.
	staleAfter time.Duration

	mu      sync.Mutex
	rows    map[string]infra.Row
	changes []infra.Change
	// The history holds all changes after the version floor, up to and
	// including version.
	version, floor uint64
	confirmed      time.Time
	unavailable    bool
	// updated is closed and replaced at each update.
	updated chan struct{}
}

// NewHistory returns a History that is unavailable until a follower has read
// the feed. It is also unavailable whenever the feed has returned nothing for
// longer than staleAfter, because the connection of the pending call may then
// be unresponsive. A staleAfter of 0 means no such limit and is for feeds that
// may go without a change for a long time.
func NewHistory(staleAfter time.Duration) *History {
	return &History{staleAfter: staleAfter, rows: make(map[string]infra.Row), unavailable: true, updated: make(chan struct{})}
}

// replace stores a snapshot as of a version. It records the differences from
// the previous rows as changes, so that readers need no snapshot of their own.
// Readers of an earlier epoch get all rows: they may have some that this process has
// never read and that the restored table doesn't have.
func (h *History) replace(rows []infra.Row, version uint64, at time.Time) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed.IsZero() || infra.EpochOf(version) != infra.EpochOf(h.version) {
		h.floor, h.rows, h.changes = version, nil, nil
	}
	next := make(map[string]infra.Row, len(rows))
	var changes []infra.Change
	for _, r := range rows {
		next[r.Key] = r
		if old, found := h.rows[r.Key]; !found || old.Version != r.Version {
			changes = append(changes, infra.Change{Row: r})
		}
	}
	for key := range h.rows {
		if _, found := next[key]; !found {
			changes = append(changes, infra.Change{Row: infra.Row{Key: key, Version: version}, Deleted: true})
		}
	}
	h.rows = next
	h.appendLocked(changes, version, at)
}

// add stores the changes of an update.
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
	h.changes = lastOfEachRow(append(h.changes, changes...))
	if over := len(h.changes) - maxRetainedChanges; over > 0 {
		for _, c := range h.changes[:over] {
			h.floor = max(h.floor, c.Version)
		}
		h.changes = append([]infra.Change(nil), h.changes[over:]...)
	}
	h.version, h.confirmed, h.unavailable = max(h.version, version), at, false
	h.notifyLocked()
}

// lastOfEachRow removes the changes that a later one of the same row replaces, and
// returns the others in their order.
func lastOfEachRow(changes []infra.Change) []infra.Change {
	seen := make(map[string]bool, len(changes))
	first := len(changes)
	for i := len(changes) - 1; i >= 0; i-- {
		if seen[changes[i].Key] {
			continue
		}
		seen[changes[i].Key] = true
		first--
		changes[first] = changes[i]
	}
	// The values that are replaced must not stay reachable.
	return slices.Clone(changes[first:])
}

// markUnavailable ends the waiting calls with an error, so that their callers
// don't mistake the failure of the feed for the absence of changes.
func (h *History) markUnavailable() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unavailable = true
	h.notifyLocked()
}

func (h *History) notifyLocked() {
	close(h.updated)
	h.updated = make(chan struct{})
}

// Since returns the changes after a version, as infra.Feed.Changes does, or all rows
// if the version is of an earlier epoch. It
// returns ErrUnavailable while the feed can't be read or this process has not read
// it in the epoch of the version, and infra.ErrCompacted when the changes after the
// version are no longer retained.
func (h *History) Since(ctx context.Context, after uint64, wait time.Duration) (infra.Update, error) {
	timer := time.NewTimer(h.boundWait(wait))
	defer timer.Stop()
	for timedOut := false; ; {
		u, updated, err := h.since(after)
		if err != nil || len(u.Changes) > 0 || u.Complete || timedOut {
			return u, err
		}
		select {
		case <-updated:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			return infra.Update{}, ctx.Err()
		}
	}
}

// boundWait shortens a wait so that it ends no later than just after the feed
// would count as unavailable.
func (h *History) boundWait(wait time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.staleAfter <= 0 {
		return wait
	}
	return min(wait, max(0, h.staleAfter-time.Since(h.confirmed))+time.Millisecond)
}

// completeLocked returns all rows as one update.
func (h *History) completeLocked() infra.Update {
	u := infra.Update{Complete: true, Version: h.version, Age: time.Since(h.confirmed)}
	for _, r := range h.rows {
		u.Changes = append(u.Changes, infra.Change{Row: r})
	}
	return u
}

// Rows returns all rows in the order of their keys and the version up to which they are
// complete, and false while the feed can't be read.
func (h *History) Rows() ([]infra.Row, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable {
		return nil, 0, false
	}
	rows := slices.SortedFunc(maps.Values(h.rows), func(x, y infra.Row) int { return cmp.Compare(x.Key, y.Key) })
	return rows, h.version, true
}

func (h *History) since(after uint64) (infra.Update, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.unavailable || h.staleAfter > 0 && time.Since(h.confirmed) > h.staleAfter {
		return infra.Update{}, nil, ErrUnavailable
	}
	switch epoch := infra.EpochOf(h.version); {
	case infra.EpochOf(after) > epoch:
		return infra.Update{}, nil, ErrUnavailable
	case infra.EpochOf(after) < epoch:
		return h.completeLocked(), h.updated, nil
	case after < h.floor:
		return infra.Update{}, nil, infra.ErrCompacted
	}
	u := infra.Update{Version: max(after, h.version), Age: time.Since(h.confirmed)}
	for _, c := range h.changes {
		if c.Version > after {
			u.Changes = append(u.Changes, c)
		}
	}
	return u, h.updated, nil
}
