package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// config prefills a token in 1 ms and decodes a token in 25 ms.
func config() standin.EngineConfig {
	return standin.EngineConfig{
		Model: "m", Version: "1", PrefillRate: 1000, DecodeRate: 40, MaxRunning: 4, CacheBlocks: 8,
		KVBytesPerToken: 1000, KVBandwidth: 1e5, LoadTime: 10 * time.Second, Retention: time.Minute, Seed: 1,
	}
}

// withEngine runs a test with an engine in virtual time.
func withEngine(t *testing.T, cfg standin.EngineConfig, test func(c *qt.C, e *standin.Engine)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		e := standin.NewEngine(cfg)
		defer e.Close()
		test(qt.New(t), e)
	})
}

// request returns a request with a prompt of words+1 tokens.
func request(name string, words int) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		RequestID: name, AttemptID: name, Customer: "c", Model: "m", Version: "1", MaxTokens: 40,
		Messages: []endpoint.Message{{Role: "user", Content: strings.Repeat(name+" ", words)}},
	}
}

func generate(c *qt.C, e *standin.Engine, r endpoint.GenerateRequest) endpoint.Stream {
	c.Helper()
	s, err := e.Generate(c.TB.Context(), r)
	c.Assert(err, qt.IsNil)
	return s
}

// firstToken returns the time from start to a stream's first frame.
func firstToken(c *qt.C, s endpoint.Stream, start time.Time) time.Duration {
	c.Helper()
	_, err := s.Next(c.TB.Context())
	c.Assert(err, qt.IsNil)
	return time.Since(start)
}

func TestPrefillsShareTheEngine(t *testing.T) {
	for _, test := range []struct {
		name string
		// priority is that of the last of three streams with prompts of 100
		// tokens, which arrives when half of the first prefill is done.
		priority endpoint.Priority
		want     [3]time.Duration
	}{
		{"in order of arrival", endpoint.PriorityPatient, [3]time.Duration{100, 200, 300}},
		{"urgent takes over at once", endpoint.PriorityUrgent, [3]time.Duration{200, 300, 150}},
	} {
		t.Run(test.name, func(t *testing.T) {
			withEngine(t, config(), func(c *qt.C, e *standin.Engine) {
				start := time.Now()
				streams := []endpoint.Stream{generate(c, e, request("a", 99)), generate(c, e, request("b", 99))}
				time.Sleep(50 * time.Millisecond)
				last := request("c", 99)
				last.Priority = test.priority
				streams = append(streams, generate(c, e, last))
				var got [3]time.Duration
				var wg sync.WaitGroup
				for i, s := range streams {
					wg.Go(func() { got[i] = firstToken(c, s, start) / time.Millisecond })
				}
				wg.Wait()
				c.Assert(got, qt.Equals, test.want)
			})
		})
	}
}

func TestBatchIsBounded(t *testing.T) {
	cfg := config()
	cfg.MaxRunning, cfg.MaxWaiting = 1, 1
	withEngine(t, cfg, func(c *qt.C, e *standin.Engine) {
		start := time.Now()
		first, second := request("a", 9), request("b", 9)
		generate(c, e, first)
		waiting := generate(c, e, second)
		_, err := e.Generate(c.TB.Context(), request("c", 9))
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeOverloaded)
		tokens := standin.AnswerTokens(prefix.Text(first.Messages), first.MaxTokens)
		decode := time.Duration(tokens-1) * 25 * time.Millisecond
		c.Assert(firstToken(c, waiting, start), qt.Equals, 10*time.Millisecond+decode+10*time.Millisecond)
	})
}

func TestSlowReaderGetsLongerFrames(t *testing.T) {
	withEngine(t, config(), func(c *qt.C, e *standin.Engine) {
		s := generate(c, e, request("a", 9))
		firstToken(c, s, time.Now())
		time.Sleep(250 * time.Millisecond)
		f, err := s.Next(c.TB.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(f.Tokens, qt.Equals, 10)
		f, err = s.Next(c.TB.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(f.Tokens, qt.Equals, 1)
	})
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	withEngine(t, config(), func(c *qt.C, e *standin.Engine) {
		run := func(name string) {
			s := generate(c, e, request(name, 4*prefix.BlockTokens))
			for {
				if f, err := s.Next(c.TB.Context()); err != nil || f.End {
					return
				}
			}
		}
		// The cache of eight blocks has room for two prompts of four blocks.
		for _, name := range []string{"a", "b", "a", "c", "a", "b"} {
			run(name)
		}
		var cached []int
		for _, a := range e.Attempts() {
			cached = append(cached, a.CachedTokens/prefix.BlockTokens)
		}
		c.Assert(cached, qt.DeepEquals, []int{0, 0, 4, 0, 4, 0})
		events, err := e.CacheEvents(c.TB.Context(), 0)
		c.Assert(err, qt.IsNil)
		held := make(map[uint64]bool)
		for _, event := range events.Events {
			c.Assert(held[event.Hash], qt.Equals, event.Evicted)
			held[event.Hash] = !event.Evicted
		}
		hashes, _ := prefix.Hashes("c", prefix.Text(request("c", 4*prefix.BlockTokens).Messages))
		for _, h := range hashes {
			c.Assert(held[h], qt.IsFalse)
		}
	})
}

func TestReportsLag(t *testing.T) {
	cfg := config()
	cfg.LoadLag, cfg.EventLag = 300*time.Millisecond, 2*time.Second
	withEngine(t, cfg, func(c *qt.C, e *standin.Engine) {
		generate(c, e, request("a", 2*prefix.BlockTokens))
		running := func() int {
			l, err := e.Load(c.TB.Context())
			c.Assert(err, qt.IsNil)
			return l.Running
		}
		events := func() int {
			got, err := e.CacheEvents(c.TB.Context(), 0)
			c.Assert(err, qt.IsNil)
			return len(got.Events)
		}
		time.Sleep(290 * time.Millisecond)
		c.Assert(running(), qt.Equals, 0)
		time.Sleep(20 * time.Millisecond)
		c.Assert(running(), qt.Equals, 1)
		c.Assert(events(), qt.Equals, 0)
		time.Sleep(2 * time.Second)
		c.Assert(events(), qt.Equals, 2)
	})
}

func TestEventRingDropsOldEvents(t *testing.T) {
	cfg := config()
	cfg.EventRing, cfg.CacheBlocks = 4, 100
	withEngine(t, cfg, func(c *qt.C, e *standin.Engine) {
		generate(c, e, request("a", 10*prefix.BlockTokens))
		time.Sleep(time.Second)
		events, err := e.CacheEvents(c.TB.Context(), 0)
		c.Assert(err, qt.IsNil)
		c.Assert(events.First, qt.Equals, uint64(6))
		c.Assert(events.Next, qt.Equals, uint64(10))
	})
}

func TestFinishedStreamExpires(t *testing.T) {
	withEngine(t, config(), func(c *qt.C, e *standin.Engine) {
		s := generate(c, e, request("a", 9))
		time.Sleep(30 * time.Second)
		_, err := e.Attach(c.TB.Context(), s.ID(), 0)
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Minute)
		_, err = e.Attach(c.TB.Context(), s.ID(), 0)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
	})
}

func TestCrashLosesAllState(t *testing.T) {
	withEngine(t, config(), func(c *qt.C, e *standin.Engine) {
		s := generate(c, e, request("a", 2*prefix.BlockTokens))
		firstToken(c, s, time.Now())
		e.SetFaults(standin.EngineFaults{Dead: true})
		e.SetFaults(standin.EngineFaults{})
		_, err := e.Generate(c.TB.Context(), request("a", 2*prefix.BlockTokens))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeNotFound)
		time.Sleep(11 * time.Second)
		generate(c, e, request("a", 2*prefix.BlockTokens))
		attempts := e.Attempts()
		c.Assert(attempts, qt.HasLen, 2)
		c.Assert(attempts[0].GeneratedTokens, qt.Equals, 1)
		c.Assert(attempts[1].CachedTokens, qt.Equals, 0)
		load, err := e.Load(c.TB.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(load.Running, qt.Equals, 1)
	})
}

// TestFaultsChangeOverHTTP posts some of the faults to each stand-in. The
// others must stay as they were.
func TestFaultsChangeOverHTTP(t *testing.T) {
	engine, service := standin.NewEngine(config()), standin.NewService(standin.ServiceConfig{})
	defer engine.Close()
	engine.SetFaults(standin.EngineFaults{LoadLag: time.Second})
	service.SetFaults(standin.ServiceFaults{ExtraLatency: time.Second})
	for _, test := range []struct {
		name    string
		handler http.Handler
		body    string
		status  int
	}{
		{"engine", engine.Handler(), `{"repeat_frame":0.5}`, http.StatusOK},
		{"engine, no JSON", engine.Handler(), `{`, http.StatusBadRequest},
		{"service", service.Handler(), `{"die_after":1}`, http.StatusOK},
		{"service, no JSON", service.Handler(), `{`, http.StatusBadRequest},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			test.handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/faults", strings.NewReader(test.body)))
			qt.Assert(t, w.Code, qt.Equals, test.status)
		})
	}
	qt.Assert(t, engine.Faults(), qt.Equals, standin.EngineFaults{LoadLag: time.Second, RepeatFrame: 0.5})
	qt.Assert(t, service.Faults(), qt.Equals, standin.ServiceFaults{ExtraLatency: time.Second, DieAfter: 1})
}

// BenchmarkDecode runs 300 streams at 40 tokens per second each and reports the
// tokens generated per run; the time of a run is bound by the decode rate.
func BenchmarkDecode(b *testing.B) {
	cfg := config()
	cfg.MaxRunning, cfg.PrefillRate = 300, 1e9
	for b.Loop() {
		e := standin.NewEngine(cfg)
		var wg sync.WaitGroup
		for i := range 300 {
			s, err := e.Generate(context.Background(), request(fmt.Sprint(i), 50))
			if err != nil {
				b.Fatal(err)
			}
			wg.Go(func() {
				for {
					if _, err := s.Next(context.Background()); err != nil {
						return
					}
				}
			})
		}
		wg.Wait()
		b.ReportMetric(float64(e.Totals().GeneratedTokens), "tokens/op")
		e.Close()
	}
}
