package plan

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/infra"
)

// bucketPeriod is the resolution of the table's load over time.
const bucketPeriod = 100 * time.Millisecond

// load counts calls of the table.
type load struct {
	Reads, Writes, Rows float64
}

func (l load) add(o load) load {
	return load{Reads: l.Reads + o.Reads, Writes: l.Writes + o.Writes, Rows: l.Rows + o.Rows}
}

// meteredTable counts the calls that reach a table.
type meteredTable struct {
	infra.Table
	start time.Time

	mu      sync.Mutex
	buckets []load
}

func newMeteredTable(table infra.Table) *meteredTable {
	return &meteredTable{Table: table, start: time.Now()}
}

// Get implements infra.Table.
func (t *meteredTable) Get(ctx context.Context, key string) (infra.Row, bool, error) {
	t.count(load{Reads: 1, Rows: 1})
	return t.Table.Get(ctx, key)
}

// Scan implements infra.Table.
func (t *meteredTable) Scan(ctx context.Context, prefix string) ([]infra.Row, error) {
	rows, err := t.Table.Scan(ctx, prefix)
	t.count(load{Reads: 1, Rows: float64(len(rows))})
	return rows, err
}

// Commit implements infra.Table.
func (t *meteredTable) Commit(ctx context.Context, writes ...infra.Write) (uint64, error) {
	t.count(load{Writes: 1})
	return t.Table.Commit(ctx, writes...)
}

func (t *meteredTable) count(l load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	i := t.bucketLocked(time.Now())
	t.buckets[i] = t.buckets[i].add(l)
}

// bucketLocked returns the index of the bucket of a time, which it makes.
func (t *meteredTable) bucketLocked(at time.Time) int {
	i := int(at.Sub(t.start) / bucketPeriod)
	for len(t.buckets) <= i {
		t.buckets = append(t.buckets, load{})
	}
	return i
}

// since returns the mean load per second since from, and the highest load in
// a window of one second.
func (t *meteredTable) since(from time.Time) (mean, peak load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := t.bucketLocked(from)
	last := t.bucketLocked(time.Now())
	window := int(time.Second / bucketPeriod)
	var sum, total load
	for i := first; i <= last; i++ {
		total = total.add(t.buckets[i])
		sum = sum.add(t.buckets[i])
		if i-window >= first {
			old := t.buckets[i-window]
			sum = sum.add(load{Reads: -old.Reads, Writes: -old.Writes, Rows: -old.Rows})
		}
		peak.Reads = max(peak.Reads, sum.Reads)
		peak.Writes = max(peak.Writes, sum.Writes)
		peak.Rows = max(peak.Rows, sum.Rows)
	}
	seconds := time.Since(from).Seconds()
	mean = load{Reads: total.Reads / seconds, Writes: total.Writes / seconds, Rows: total.Rows / seconds}
	return mean, peak
}

// memoryInUse returns the bytes of the heap and stacks after a collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse + stats.StackInuse)
}
