package routing

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/template"
)

// plannedReplicas is the planned number of replicas for the next two years.
const plannedReplicas = 2900

// loadedFleet returns a fleet of n endpoints with random load from a fixed
// seed, and prompts whose prefixes are cached on some of the endpoints.
func loadedFleet(n int, opts Options) (*Fleet, [][]uint64) {
	f := NewFleet(opts)
	f.SetHosts(testHosts(n))
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range n {
		f.ReportLoad(fmt.Sprintf("e%d", i), endpoint.Load{
			Running: rng.IntN(12), MaxRunning: 16, PrefillRate: 8000, DecodeRate: 40,
			QueuedPromptTokens: rng.IntN(4000),
		})
	}
	prompts := make([][]uint64, 64)
	for i := range prompts {
		prompts[i] = promptHashes(uint64(i), 64)
		for range 3 {
			id := fmt.Sprintf("e%d", rng.IntN(n))
			f.ApplyCacheEvents(id, 0, cachedEvents(prompts[i][:32]))
		}
	}
	return f, prompts
}

// promptHashes returns n hashes that are distinct for each seed, in place of
// the chained hashes of a prompt.
func promptHashes(seed uint64, n int) []uint64 {
	hashes := make([]uint64, n)
	for i := range hashes {
		hashes[i] = mix(seed<<20 + uint64(i) + 1)
	}
	return hashes
}

// cachedEvents returns the events of blocks that were added to a cache.
func cachedEvents(hashes []uint64) endpoint.CacheEvents {
	e := endpoint.CacheEvents{Next: uint64(len(hashes))}
	for _, h := range hashes {
		e.Events = append(e.Events, endpoint.CacheEvent{Hash: h})
	}
	return e
}

func benchmarkChoose(b *testing.B, n int, opts Options) {
	f, prompts := loadedFleet(n, opts)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		req := testRequest()
		req.PromptTokens = 64 * prefix.BlockTokens
		req.Urgency = template.UrgencyNormal
		for i := 0; pb.Next(); i++ {
			req.Hashes = prompts[i%len(prompts)]
			c, err := f.Choose(req)
			if err != nil {
				b.Error(err)
				return
			}
			f.Done(c, Outcome{})
		}
	})
}

func BenchmarkChoose12(b *testing.B)   { benchmarkChoose(b, 12, Options{}) }
func BenchmarkChoose2900(b *testing.B) { benchmarkChoose(b, plannedReplicas, Options{}) }

// BenchmarkChoose2900Log includes the log line of each choice.
func BenchmarkChoose2900Log(b *testing.B) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	benchmarkChoose(b, plannedReplicas, Options{Log: logrus.NewEntry(logger)})
}

func BenchmarkChooseService(b *testing.B) {
	f := NewFleet(Options{})
	f.SetHosts(serviceHosts(3))
	b.ReportAllocs()
	for b.Loop() {
		c, err := f.ChooseService("market", nil)
		if err != nil {
			b.Fatal(err)
		}
		f.Done(c, Outcome{})
	}
}

func BenchmarkSetHosts2900(b *testing.B) {
	f, _ := loadedFleet(plannedReplicas, Options{})
	hosts := testHosts(plannedReplicas)
	b.ReportAllocs()
	for b.Loop() {
		f.SetHosts(hosts)
	}
}

// BenchmarkMemoryPerEndpoint reports the heap memory of a fleet per endpoint,
// without the host list itself.
func BenchmarkMemoryPerEndpoint(b *testing.B) {
	for b.Loop() {
		hosts := testHosts(plannedReplicas)
		f := NewFleet(Options{})
		before := heapBytes()
		f.SetHosts(hosts)
		b.ReportMetric(float64(heapBytes()-before)/plannedReplicas, "B/endpoint")
		runtime.KeepAlive(hosts)
		runtime.KeepAlive(f)
	}
}

// BenchmarkMemoryPerPrefix reports the heap memory of a full prefix index per
// block.
func BenchmarkMemoryPerPrefix(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		x := newPrefixIndex(DefaultIndexEntries)
		for i := range 2 * DefaultIndexEntries {
			x.add(mix(uint64(i)), blockLocation{number: uint32(i)})
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(x.len()), "B/prefix")
		b.ReportMetric(float64(x.len()), "prefixes")
		runtime.KeepAlive(x)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
