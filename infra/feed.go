package infra

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted says that the changes asked for are no longer kept. The
// reader must take a Snapshot and go on from there.
var ErrCompacted = errors.New("history is gone")

// Change is one changed row of a feed.
type Change struct {
	Row
	// Deleted marks a row that was deleted; its Value is empty.
	Deleted bool
}

// Update is what a Feed tells at one time.
type Update struct {
	// Changes are in order, the oldest first.
	Changes []Change
	// Version is the one to go on from.
	Version uint64
	// Age is how long ago the update was known to be complete.
	Age time.Duration
}

// Feed tells the changes of one group of rows, in order. Implementations are
// safe for concurrent use.
type Feed interface {
	// Snapshot returns all rows as of one moment, and the version to go on
	// from.
	Snapshot(ctx context.Context) (rows []Row, version uint64, err error)
	// Changes returns the rows changed after a version. Without a change it
	// returns after the wait. It fails with ErrHistoryGone where the changes
	// are no longer kept.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Update, error)
}
