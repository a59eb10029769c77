package job

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra/standin"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// benchLatency is the latency of the table in the benchmarks.
const benchLatency = 2 * time.Millisecond

// benchRequest returns a request with a prompt and an idempotency key of
// typical length.
func benchRequest(id string) *Record {
	r := newRequest("karoo-wick-dealer", id)
	r.IdempotencyKey = "5e0b7a1c-6f0e-4f55-9d2e-" + id
	r.BodyHash = strings.Repeat("a", 64)
	r.Messages = []endpoint.Message{{Role: "user", Content: strings.Repeat("stand refill ", 80)}}
	return r
}

func benchStore(b *testing.B, table *standin.Table, owner string) *Store {
	s := New(table, standin.NewObjects(1), Options{Owner: owner, Incarnation: "bench"})
	b.Cleanup(s.Close)
	return s
}

// parallel calls fn b.N times, with at most width concurrent calls.
func parallel(b *testing.B, width int, fn func(n int) error) {
	var next atomic.Int64
	var all sync.WaitGroup
	for range width {
		all.Go(func() {
			for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
				if err := fn(int(n)); err != nil {
					b.Error(err)
				}
			}
		})
	}
	all.Wait()
}

// BenchmarkAccept reports the commits and row bytes of an accepted request for
// several numbers of concurrent requests.
func BenchmarkAccept(b *testing.B) {
	for _, width := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("width=%d", width), func(b *testing.B) {
			table := standin.NewTable(1)
			table.SetFaults(standin.TableFaults{Latency: benchLatency})
			s := benchStore(b, table, "e1")
			b.ResetTimer()
			parallel(b, width, func(n int) error { return s.Accept(context.Background(), benchRequest(fmt.Sprint(n))) })
			b.StopTimer()
			b.ReportMetric(float64(table.Counts().Writes)/float64(b.N), "commits/request")
			b.ReportMetric(tableBytes(b, table)/float64(b.N), "row-bytes/request")
		})
	}
}

// BenchmarkRequestLifecycle reports the commits and row bytes of a request from
// accept to answer, with one binding, two checkpoints and 256 concurrent
// requests.
func BenchmarkRequestLifecycle(b *testing.B) {
	table := standin.NewTable(1)
	table.SetFaults(standin.TableFaults{Latency: benchLatency})
	s := benchStore(b, table, "e1")
	text := strings.Repeat("a restock plan ", 60)
	ctx := context.Background()
	b.ResetTimer()
	parallel(b, 256, func(n int) error {
		id := fmt.Sprint(n)
		for _, step := range []func() error{
			func() error { return s.Accept(ctx, benchRequest(id)) },
			func() error { return s.Bind(ctx, id, Stream{Addr: "10.0.0.1:8000", ID: "stream-" + id}) },
			func() error { return s.Checkpoint(ctx, id, 100, text) },
			func() error { return s.Checkpoint(ctx, id, 200, text+text) },
			func() error { return s.Finish(ctx, id, answer(text+text+text), verdict.Ran) },
		} {
			if err := step(); err != nil {
				return err
			}
		}
		return nil
	})
	b.StopTimer()
	b.ReportMetric(float64(table.Counts().Writes)/float64(b.N), "commits/request")
	b.ReportMetric(tableBytes(b, table)/float64(b.N), "row-bytes/request")
}

// BenchmarkClaim reports the rate at which one entry claims requests, without
// the rate limit of the adopter.
func BenchmarkClaim(b *testing.B) {
	table := standin.NewTable(1)
	owner, other := benchStore(b, table, "e1"), benchStore(b, table, "e2")
	parallel(b, 256, func(n int) error { return owner.Accept(context.Background(), benchRequest(fmt.Sprint(n))) })
	table.SetFaults(standin.TableFaults{Latency: benchLatency})
	before := table.Counts()
	b.ResetTimer()
	parallel(b, defaultParallelClaims, func(n int) error {
		_, err := other.Claim(context.Background(), "karoo-wick-dealer", fmt.Sprint(n), 1)
		return err
	})
	b.StopTimer()
	after := table.Counts()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/float64(b.N), "commits/claim")
	b.ReportMetric(float64(after.Reads-before.Reads)/float64(b.N), "reads/claim")
}

// tableBytes returns the size of all rows and their keys.
func tableBytes(b *testing.B, table *standin.Table) float64 {
	table.SetFaults(standin.TableFaults{})
	rows, err := table.Scan(context.Background(), "job")
	if err != nil {
		b.Fatal(err)
	}
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Key) + len(row.Value)
	}
	return float64(bytes)
}
