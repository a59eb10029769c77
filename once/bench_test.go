package once

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
)

// BenchmarkDo reports the commits, reads and row bytes of one call, with a
// table latency of 2 ms.
func BenchmarkDo(b *testing.B) {
	table := standin.NewTable(1)
	table.SetFaults(standin.TableFaults{Latency: 2 * time.Millisecond})
	store := New(table, Options{EntryID: "e1", Incarnation: "0a3f7c52-bench"})
	reply := endpoint.Reply{Status: 201, Body: make([]byte, 300)}
	body := sha256.Sum256([]byte("two boxes"))
	var n atomic.Int64
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			key := Key{Customer: "karoo-wick-dealer", Service: "orders", Key: fmt.Sprintf("5e0b7a1c-6f0e-4f55-9d2e-%012d", n.Add(1))}
			_, err := store.Do(context.Background(), key, body, func(context.Context, string) (endpoint.Reply, error) { return reply, nil })
			if err != nil {
				b.Error(err)
			}
		}
	})
	store.Close()
	b.StopTimer()
	counts := table.Counts()
	b.ReportMetric(float64(counts.Writes)/float64(b.N), "commits/call")
	b.ReportMetric(float64(counts.Reads)/float64(b.N), "reads/call")
	table.SetFaults(standin.TableFaults{})
	rows, err := table.Scan(context.Background(), rowPrefix)
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Key) + len(row.Value)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "row-bytes/call")
}
