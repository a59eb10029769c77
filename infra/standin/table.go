// Package standin implements the interfaces of package infra in memory, for
// tests and local deployments. Platform holds all services and can be served
// over HTTP. Faults can be switched on while the services run.
package standin

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// TableFaults are the faults of a Table. The zero value has none.
type TableFaults struct {
	// Outage refuses every call before it has an effect.
	Outage bool `json:"outage"`
	// Hang blocks every call until its context ends, without an effect.
	Hang bool `json:"hang"`
	// Latency is added before each call takes effect.
	Latency time.Duration `json:"latency_ns"`
	// LoseAnswer is the probability in [0, 1] that a commit takes effect but
	// its answer is lost.
	LoseAnswer float64 `json:"lose_answer"`
	// LoseRequest is the probability in [0, 1] that a commit is lost before
	// it takes effect; the caller can't distinguish it from a lost answer.
	LoseRequest float64 `json:"lose_request"`
	// LateCommitDelay is the time after which a commit that was lost by
	// LoseRequest takes effect, counted from the failure that its caller
	// received. 0 means never.
	LateCommitDelay time.Duration `json:"late_ns"`
}

// TableCounts counts calls since the start.
type TableCounts struct {
	Reads, Writes uint64
}

// Table is an in-memory transactional table. It is safe for concurrent use
// and works under testing/synctest.
type Table struct {
	mu          sync.Mutex
	rows        map[string]infra.Row
	version     uint64
	epoch       *infra.Epoch
	faults      TableFaults
	counts      TableCounts
	rng         *rand.Rand
	lateCommits sync.WaitGroup
}

// NewTable returns an empty table; seed seeds its random faults.
func NewTable(seed uint64) *Table {
	return &Table{
		rows:  make(map[string]infra.Row),
		epoch: infra.NewEpoch(),
		rng:   rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f TableFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Faults returns the current faults.
func (t *Table) Faults() TableFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Counts returns the number of calls since the start.
func (t *Table) Counts() TableCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

// Close waits for delayed commits to take effect.
func (t *Table) Close() { t.lateCommits.Wait() }

// TableCopy is a copy of a table at some moment.
type TableCopy struct {
	rows    map[string]infra.Row
	version uint64
}

// Copy returns a copy of the table.
func (t *Table) Copy() TableCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCopy{rows: maps.Clone(t.rows), version: t.version}
}

// Restore replaces the table by a copy, in a new epoch. All commits since the copy
// are lost.
func (t *Table) Restore(c TableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	epoch := t.epoch.Current() + 1
	t.version = infra.NewVersion(epoch, infra.CounterOf(c.version))
	t.rows = make(map[string]infra.Row, len(c.rows))
	for key, row := range c.rows {
		row.Version = infra.NewVersion(epoch, infra.CounterOf(row.Version))
		t.rows[key] = row
	}
	t.epoch.Observe(epoch)
}

// Epoch returns the epoch of the table.
func (t *Table) Epoch() *infra.Epoch { return t.epoch }

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	if err := t.beginCall(ctx); err != nil {
		return infra.Row{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	row, ok := t.rows[key]
	return cloneRow(row), ok, nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	if err := t.beginCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Reads++
	var rows []infra.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, cloneRow(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	if err := t.beginCall(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Writes++
	if t.rng.Float64() < t.faults.LoseRequest {
		t.applyLateLocked(writes)
		return 0, lostAnswerError()
	}
	version, err := t.applyLocked(writes)
	if t.rng.Float64() < t.faults.LoseAnswer {
		return 0, lostAnswerError()
	}
	return version, err
}

func (t *Table) beginCall(ctx context.Context) error {
	f := t.Faults()
	return CallFaults{Outage: f.Outage, Hang: f.Hang, Latency: f.Latency}.beginCall(ctx, "table")
}

func (t *Table) applyLocked(writes []infra.Write) (uint64, error) {
	for _, w := range writes {
		actual := t.rows[w.Key].Version
		if w.Expect != infra.ExpectAny && w.Expect != actual {
			return 0, infra.Conflict(w.Key, w.Expect, actual)
		}
	}
	t.version++
	for _, w := range writes {
		if w.Delete {
			delete(t.rows, w.Key)
			continue
		}
		value := append([]byte(nil), w.Value...)
		t.rows[w.Key] = infra.Row{Key: w.Key, Value: value, Version: t.version}
	}
	return t.version, nil
}

// applyLateLocked schedules a commit to take effect after its caller received
// an error.
func (t *Table) applyLateLocked(writes []infra.Write) {
	if t.faults.LateCommitDelay <= 0 {
		return
	}
	delay := t.faults.LateCommitDelay
	t.lateCommits.Go(func() {
		time.Sleep(delay)
		t.mu.Lock()
		defer t.mu.Unlock()
		_, _ = t.applyLocked(writes)
	})
}

// cloneRow returns a deep copy of a row, so that callers can't change the
// table.
func cloneRow(row infra.Row) infra.Row {
	row.Value = bytes.Clone(row.Value)
	return row
}

func lostAnswerError() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "table: %w", errConnectionLost)
}

var errConnectionLost = fmt.Errorf("connection lost before the answer")
