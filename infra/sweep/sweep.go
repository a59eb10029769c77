// Package sweep deletes table rows that have not changed for a time to live
// (TTL). Rows hold no timestamps, and clocks of hosts are never compared.
//
// A Sweeper periodically writes a mark, a row of its own. The version of a mark
// is a commit number, as is the version of every row, so a row with a lower
// version was last changed before the mark was written. A sweeper writes the
// next mark only after it has seen the previous one unchanged for a fixed
// fraction of the TTL on its own monotonic clock. A sufficient number of marks
// therefore proves the age of a row, even if each sweeper runs for much less
// time than the TTL.
//
// Rows live for at least the TTL, and longer by any time without a running
// sweeper. Several sweepers at a time are safe but cost extra scans, so it is
// best to run one under a lease.
package sweep

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

const (
	// marksPerTTL is the number of marks that prove a row's age.
	marksPerTTL = 8
	// passesPerMark is the number of passes in the minimum time between two
	// marks.
	passesPerMark = 2
	// deletesPerCommit bounds the expired rows that one commit deletes.
	deletesPerCommit = 100
	// scanPause is the delay between the scans of a pass.
	scanPause           = 50 * time.Millisecond
	defaultTTL          = 24 * time.Hour
	defaultTableTimeout = 5 * time.Second
)

// Expire reports whether a row may be deleted, and returns further writes that
// are committed together with the deletion.
type Expire func(ctx context.Context, row infra.Row) (with []infra.Write, ok bool)

// Options are the settings of a Sweeper. Zero values mean defaults.
type Options struct {
	// Name identifies the mark row: sweepers with the same name share it.
	Name string
	// Prefixes are the key prefixes of the rows that are swept. They are
	// scanned one after another, to bound the size of a response of the table.
	Prefixes []string
	// TTL is the minimum time that rows live after their last change.
	TTL time.Duration
	// Expire is called for each row that is old enough; nil deletes all of
	// them.
	Expire Expire
	// TableTimeout bounds each call to the table.
	TableTimeout time.Duration
	Log          *logrus.Entry
}

// Sweeper deletes expired rows. It is not safe for concurrent use.
type Sweeper struct {
	table   infra.Table
	opt     Options
	markKey string

	// newestMark is the version of the newest mark, and newestSince the time at
	// which this sweeper first read that mark.
	newestMark  uint64
	newestSince time.Time
}

// marks is the value of the mark row: the versions of earlier marks, oldest
// first. The version of the newest mark is that of the row itself.
type marks struct {
	Versions []uint64 `json:"versions"`
}

// New returns a Sweeper.
func New(table infra.Table, options Options) *Sweeper {
	if options.TTL <= 0 {
		options.TTL = defaultTTL
	}
	if options.TableTimeout <= 0 {
		options.TableTimeout = defaultTableTimeout
	}
	if options.Expire == nil {
		options.Expire = func(context.Context, infra.Row) ([]infra.Write, bool) { return nil, true }
	}
	options.Log = nolog.Or(options.Log)
	return &Sweeper{table: table, opt: options, markKey: "sweep/" + options.Name}
}

// Run makes passes periodically until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	ticker := time.NewTicker(s.opt.TTL / marksPerTTL / passesPerMark)
	defer ticker.Stop()
	for {
		if err := s.Pass(ctx); err != nil {
			s.opt.Log.WithError(err).Warn("sweep: pass failed.")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pass writes the next mark if it is due, and deletes the expired rows.
func (s *Sweeper) Pass(ctx context.Context) error {
	ctx = infra.WithPriority(ctx, infra.PriorityCheckpoint)
	cutoff, err := s.updateMark(ctx)
	if err != nil || cutoff == 0 {
		return err
	}
	for _, prefix := range s.opt.Prefixes {
		err = errors.Join(err, s.sweepPrefix(ctx, prefix, cutoff))
		if !ctxtime.Sleep(ctx, scanPause) {
			break
		}
	}
	return err
}

// sweepPrefix deletes the expired rows under one prefix.
func (s *Sweeper) sweepPrefix(ctx context.Context, prefix string, cutoff uint64) error {
	bounded, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	rows, err := s.table.Scan(bounded, prefix)
	cancel()
	if err != nil {
		return fmt.Errorf("sweep: scan: %w", err)
	}
	s.delete(ctx, s.expired(ctx, rows, cutoff))
	return nil
}

// updateMark writes the next mark if it is due. It returns the version up to
// which rows are old enough, or 0 if there are not enough marks yet.
func (s *Sweeper) updateMark(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	defer cancel()
	row, ok, err := s.table.Get(ctx, s.markKey)
	if err != nil {
		return 0, fmt.Errorf("sweep: read mark: %w", err)
	}
	var m marks
	if ok {
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return 0, fmt.Errorf("sweep: decode mark: %w", err)
		}
	}
	if s.newestMark != row.Version {
		s.newestMark, s.newestSince = row.Version, time.Now()
	}
	// The monotonic clock may run slow or stop, for example while the host
	// sleeps. That only delays the mark, which is safe.
	if !ok || time.Since(s.newestSince) >= s.opt.TTL/marksPerTTL {
		s.advance(ctx, m, row.Version)
	}
	if len(m.Versions) < marksPerTTL {
		return 0, nil
	}
	return m.Versions[0], nil
}

// advance writes the next mark. A commit that fails, or that conflicts with a
// mark of another sweeper, needs no retry here: the next pass reads the row
// again.
func (s *Sweeper) advance(ctx context.Context, m marks, version uint64) {
	if version != infra.ExpectAbsent {
		m.Versions = append(slices.Clone(m.Versions), version)
	}
	if excess := len(m.Versions) - marksPerTTL; excess > 0 {
		m.Versions = m.Versions[excess:]
	}
	value, err := json.Marshal(m)
	if err != nil {
		s.opt.Log.WithError(err).Error("sweep: cannot encode mark.")
		return
	}
	if _, err := s.table.Commit(ctx, infra.Write{Key: s.markKey, Value: value, Expect: version}); err != nil {
		s.opt.Log.WithError(err).Debug("sweep: cannot write mark.")
	}
}

// expired returns a group of writes for each row that may be deleted.
func (s *Sweeper) expired(ctx context.Context, rows []infra.Row, cutoff uint64) [][]infra.Write {
	var groups [][]infra.Write
	for _, row := range rows {
		if row.Version > cutoff {
			continue
		}
		extra, ok := s.opt.Expire(ctx, row)
		if !ok {
			continue
		}
		deletion := infra.Write{Key: row.Key, Delete: true, Expect: row.Version}
		groups = append(groups, append(extra, deletion))
	}
	return groups
}

// delete commits the groups in batches. If one row of a batch changed in the
// meantime, the commit of the batch fails, and the next pass retries it.
func (s *Sweeper) delete(ctx context.Context, groups [][]infra.Write) {
	deleted := 0
	for batch := range slices.Chunk(groups, deletesPerCommit) {
		bounded, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
		_, err := s.table.Commit(bounded, slices.Concat(batch...)...)
		cancel()
		if err != nil {
			s.opt.Log.WithError(err).Debug("sweep: cannot delete rows.")
			continue
		}
		deleted += len(batch)
	}
	if deleted > 0 {
		s.opt.Log.WithField("rows", deleted).Info("sweep: expired rows deleted.")
	}
}
