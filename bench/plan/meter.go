package plan

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// bucketPeriod is the resolution at which the load on the table is counted.
const bucketPeriod = 100 * time.Millisecond

// tableLoad counts calls of a table and the rows that they read. A scan is one
// read of many rows.
type tableLoad struct {
	Reads, Writes, Rows float64
}

func (l tableLoad) add(o tableLoad) tableLoad {
	return tableLoad{Reads: l.Reads + o.Reads, Writes: l.Writes + o.Writes, Rows: l.Rows + o.Rows}
}

// countingTable counts the calls that reach a table. It is safe for concurrent
// use.
type countingTable struct {
	infra.Table
	start time.Time

	mu      sync.Mutex
	buckets []tableLoad
}

func newCountingTable(table infra.Table) *countingTable {
	return &countingTable{Table: table, start: time.Now()}
}

// Get implements infra.Table.
func (t *countingTable) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	t.count(tableLoad{Reads: 1, Rows: 1})
	return t.Table.Get(ctx, key)
}

// Scan implements infra.Table.
func (t *countingTable) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix)
	t.count(tableLoad{Reads: 1, Rows: float64(len(rows))})
	return rows, err
}

// Commit implements infra.Table.
func (t *countingTable) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	t.count(tableLoad{Writes: 1})
	return t.Table.Commit(ctx, writes...)
}

func (t *countingTable) count(l tableLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.bucketLocked(time.Now())
	t.buckets[i] = t.buckets[i].add(l)
}

// bucketLocked returns the index of the bucket that holds a time, and creates
// the bucket if necessary.
func (t *countingTable) bucketLocked(at time.Time) int {
	i := int(at.Sub(t.start) / bucketPeriod)
	for len(t.buckets) <= i {
		t.buckets = append(t.buckets, tableLoad{})
	}
	return i
}

// since returns the mean load per second since from, and the highest load
// within one second.
func (t *countingTable) since(from time.Time) (mean, peak tableLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.bucketLocked(from)
	last := t.bucketLocked(time.Now())
	window := int(time.Second / bucketPeriod)
	var sum, total tableLoad
	for i := first; i <= last; i++ {
		total = total.add(t.buckets[i])
		sum = sum.add(t.buckets[i])
		if i-window >= first {
			old := t.buckets[i-window]
			sum = sum.add(tableLoad{Reads: -old.Reads, Writes: -old.Writes, Rows: -old.Rows})
		}
		peak.Reads = max(peak.Reads, sum.Reads)
		peak.Writes = max(peak.Writes, sum.Writes)
		peak.Rows = max(peak.Rows, sum.Rows)
	}
	seconds := time.Since(from).Seconds()
	mean = tableLoad{Reads: total.Reads / seconds, Writes: total.Writes / seconds, Rows: total.Rows / seconds}
	return mean, peak
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
