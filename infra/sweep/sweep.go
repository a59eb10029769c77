// Package sweep deletes rows of the table that have not changed for a time to
// live, without any clock in the rows and without comparing clocks of hosts.
//
// A sweeper writes a mark row from time to time. The version of the mark is
// the number of a commit, as is the version of every row: a row with a lower
// version was last changed before the mark was written. Each mark waits until
// its writer has seen the one before it unchanged for a part of the time to
// live on its own monotonic clock; so enough marks prove the age of a row,
// also when each sweeper lives much shorter than the rows.
//
// Rows live for at least TTL, and as much longer as no sweeper runs. Several
// sweepers do no harm, but cost scans: run it under a lease.
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
	// passesPerMark is how often the marks are looked at.
	passesPerMark = 2
	// deletesPerCommit bounds a commit.
	deletesPerCommit = 100
	// scanPause is the time between two scans of a pass.
	scanPause           = 50 * time.Millisecond
	defaultTTL          = 24 * time.Hour
	defaultTableTimeout = 5 * time.Second
)

// Expire says whether a row may go, and what is to be deleted with it.
type Expire func(ctx context.Context, row infra.Row) (with []infra.Write, ok bool)

// Options are the settings of a Sweeper. Zero values take defaults.
type Options struct {
	// Name names the marks.
	Name string
	// Prefixes say which rows are swept. They are scanned one after another,
	// so that no answer of the table grows with all rows.
	Prefixes []string
	// TTL is how long rows live after their last change, at least.
	TTL time.Duration
	// Expire is asked about each row that is old enough; nil deletes all.
	Expire Expire
	// TableTimeout bounds each call of the table.
	TableTimeout time.Duration
	Log          *logrus.Entry
}

// Sweeper deletes old rows. It is used by one goroutine.
type Sweeper struct {
	table infra.Table
	opt   Options
	row   string

	// seen is the version of the newest mark, first seen at since.
	seen  uint64
	since time.Time
}

// marks is the value of the mark row: versions of earlier marks, oldest
// first. The newest mark is the row's own version.
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
	return &Sweeper{table: table, opt: options, row: "sweep/" + options.Name}
}

// Run makes a pass now and then until ctx ends.
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

// Pass sets a mark if it is time, and deletes the rows that are old enough.
func (s *Sweeper) Pass(ctx context.Context) error {
	ctx = infra.WithPriority(ctx, infra.PriorityCheckpoint)
	cutoff, err := s.mark(ctx)
	if err != nil || cutoff == 0 {
		return err
	}
	for _, prefix := range s.opt.Prefixes {
		err = errors.Join(err, s.passOver(ctx, prefix, cutoff))
		if !ctxtime.Sleep(ctx, scanPause) {
			break
		}
	}
	return err
}

// passOver deletes the old rows under one prefix.
func (s *Sweeper) passOver(ctx context.Context, prefix string, cutoff uint64) error {
	bounded, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	rows, err := s.table.Scan(bounded, prefix)
	cancel()
	if err != nil {
		return fmt.Errorf("sweep: scan: %w", err)
	}
	s.delete(ctx, s.expired(ctx, rows, cutoff))
	return nil
}

// mark returns the version up to which rows are old enough, 0 for none.
func (s *Sweeper) mark(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
	defer cancel()
	row, ok, err := s.table.Get(ctx, s.row)
	if err != nil {
		return 0, fmt.Errorf("sweep: read mark: %w", err)
	}
	var m marks
	if ok {
		if err := json.Unmarshal(row.Value, &m); err != nil {
			return 0, fmt.Errorf("sweep: decode mark: %w", err)
		}
	}
	if s.seen != row.Version {
		s.seen, s.since = row.Version, time.Now()
	}
	// time.Since rather counts too little, which is the safe side here.
	if !ok || time.Since(s.since) >= s.opt.TTL/marksPerTTL {
		s.advance(ctx, m, row.Version)
	}
	if len(m.Versions) < marksPerTTL {
		return 0, nil
	}
	return m.Versions[0], nil
}

// advance writes the next mark. A failure, or another sweeper that was
// quicker, is seen at the next pass.
func (s *Sweeper) advance(ctx context.Context, m marks, version uint64) {
	if version != infra.ExpectAbsent {
		m.Versions = append(slices.Clone(m.Versions), version)
	}
	if extra := len(m.Versions) - marksPerTTL; extra > 0 {
		m.Versions = m.Versions[extra:]
	}
	value, err := json.Marshal(m)
	if err != nil {
		s.opt.Log.WithError(err).Error("sweep: mark not encoded.")
		return
	}
	if _, err := s.table.Commit(ctx, infra.Write{Key: s.row, Value: value, Expect: version}); err != nil {
		s.opt.Log.WithError(err).Debug("sweep: mark not set.")
	}
}

// expired returns the deletes of each row that may go.
func (s *Sweeper) expired(ctx context.Context, rows []infra.Row, cutoff uint64) [][]infra.Write {
	var groups [][]infra.Write
	for _, row := range rows {
		if row.Version > cutoff {
			continue
		}
		with, ok := s.opt.Expire(ctx, row)
		if !ok {
			continue
		}
		gone := infra.Write{Key: row.Key, Delete: true, Expect: row.Version}
		groups = append(groups, append(with, gone))
	}
	return groups
}

// delete commits the groups, many at a time. Where one row changed meanwhile
// the whole commit is left for the next pass.
func (s *Sweeper) delete(ctx context.Context, groups [][]infra.Write) {
	deleted := 0
	for batch := range slices.Chunk(groups, deletesPerCommit) {
		bounded, cancel := context.WithTimeout(ctx, s.opt.TableTimeout)
		_, err := s.table.Commit(bounded, slices.Concat(batch...)...)
		cancel()
		if err != nil {
			s.opt.Log.WithError(err).Debug("sweep: rows not deleted.")
			continue
		}
		deleted += len(batch)
	}
	if deleted > 0 {
		s.opt.Log.WithField("rows", deleted).Info("sweep: old rows deleted.")
	}
}
