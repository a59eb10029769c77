package infra

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrCompacted is returned if the requested changes are no longer retained. The
// reader must take a Snapshot and continue from its version.
var ErrCompacted = errors.New("changes are compacted")

// ErrRestored is the ErrCompacted of a table that was restored from a copy after
// the version to continue from.
var ErrRestored = fmt.Errorf("table was restored from a copy: %w", ErrCompacted)

// Change is one changed row of a feed.
type Change struct {
	Row
	// Deleted marks a row that was deleted; its Value is empty.
	Deleted bool
}

// Update is the result of one call of Feed.Changes.
type Update struct {
	// Changes are in order, the oldest first.
	Changes []Change
	// Complete is set if Changes are all rows. Any others no longer exist.
	Complete bool
	// Version is the version to pass to the next call.
	Version uint64
	// Age is the time since the update was last known to be complete; changes
	// made since then may be missing.
	Age time.Duration
}

// Feed returns the changes of one group of rows, in order. Implementations are
// safe for concurrent use.
type Feed interface {
	// Snapshot returns a consistent snapshot of all rows, and the version to
	// pass to Changes.
	Snapshot(ctx context.Context) (rows []Row, version uint64, err error)
	// Changes returns the rows changed after a version. If there are none, it
	// waits for a change for up to wait and may return an update without
	// changes. It fails with ErrCompacted if the changes are no longer
	// retained.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Update, error)
}
