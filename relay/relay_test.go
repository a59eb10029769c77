package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/infra"
	"github.com/coltsfootcleat/coltsfootcleat/relay"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

const answerTokens = 8

// tokenAt returns the token at an offset of the expected answer.
func tokenAt(i int) string { return fmt.Sprintf("w%d ", i) }

func completeAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(tokenAt(i))
	}
	return b.String()
}

// tamper changes the frames of a new stream, given those from the resume offset
// to the end.
type tamper func(frames []endpoint.Frame) []endpoint.Frame

// fakeEngine sends the expected answer. tamper changes the streams that
// Generate returns, but not those that Attach returns.
type fakeEngine struct {
	mu             sync.Mutex
	tamper         tamper
	pace           time.Duration
	refuse         error
	requests       map[string]endpoint.GenerateRequest
	attached       int
	canceled       int
	imported       []endpoint.KV
	forgetsStreams bool
}

func (e *fakeEngine) frames(r endpoint.GenerateRequest, from int) []endpoint.Frame {
	var out []endpoint.Frame
	for i := from; i < answerTokens; i++ {
		out = append(out, endpoint.Frame{RequestID: r.RequestID, AttemptID: r.AttemptID, Offset: i, Text: tokenAt(i), Tokens: 1, Model: "m", Version: "v1"})
	}
	return append(out, endpoint.Frame{RequestID: r.RequestID, AttemptID: r.AttemptID, Offset: answerTokens, End: true, Total: answerTokens, FinishReason: "stop", Model: "m", Version: "v1"})
}

func (e *fakeEngine) Generate(_ context.Context, r endpoint.GenerateRequest) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refuse != nil {
		return nil, e.refuse
	}
	id := "s-" + r.AttemptID
	e.requests[id] = r
	frames := e.frames(r, r.ResumeTokens)
	if e.tamper != nil {
		frames = e.tamper(frames)
	}
	return &fakeStream{id: id, frames: frames, pace: e.pace}, nil
}

func (e *fakeEngine) Attach(_ context.Context, id string, from int) (endpoint.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.requests[id]
	if !ok || e.forgetsStreams {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no stream %s", id)
	}
	e.attached++
	return &fakeStream{id: id, frames: e.frames(r, from), pace: e.pace}, nil
}

func (e *fakeEngine) Cancel(context.Context, string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled++
	return nil
}

func (e *fakeEngine) Export(_ context.Context, id string) (endpoint.KV, error) {
	return endpoint.KV{Source: "old", Handle: id}, nil
}

func (e *fakeEngine) Import(_ context.Context, kv endpoint.KV) (string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.imported = append(e.imported, kv)
	return "kv-1", nil
}

func (e *fakeEngine) Load(context.Context) (endpoint.Load, error) { return endpoint.Load{}, nil }
func (e *fakeEngine) CacheEvents(context.Context, uint64) (endpoint.CacheEvents, error) {
	return endpoint.CacheEvents{}, nil
}
func (e *fakeEngine) Order(context.Context, endpoint.Order) error { return nil }
func (e *fakeEngine) State(context.Context) (endpoint.State, error) {
	return endpoint.State{}, nil
}

type fakeStream struct {
	id     string
	frames []endpoint.Frame
	pace   time.Duration
}

func (s *fakeStream) ID() string   { return s.id }
func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Next(ctx context.Context) (endpoint.Frame, error) {
	select {
	case <-time.After(s.pace):
	case <-ctx.Done():
		return endpoint.Frame{}, ctx.Err()
	}
	if len(s.frames) == 0 {
		return endpoint.Frame{}, io.EOF
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	if f.Text == "hang" {
		<-ctx.Done()
		return endpoint.Frame{}, ctx.Err()
	}
	return f, nil
}

// fakeFleet chooses the first of its engines that is not excluded.
type fakeFleet struct {
	names       []string
	engines     map[string]*fakeEngine
	outstanding int
}

func (f *fakeFleet) Choose(r routing.Request) (routing.Choice, error) {
	for _, name := range f.names {
		excluded := false
		for _, x := range r.Exclude {
			excluded = excluded || x == name
		}
		if !excluded {
			f.outstanding++
			return routing.Choice{Endpoint: infra.Endpoint{ID: name, Addr: name}, HostID: "host-" + name}, nil
		}
	}
	return routing.Choice{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no endpoint")
}

func (f *fakeFleet) Started(routing.Choice, endpoint.Frame) {}
func (f *fakeFleet) Progress(routing.Choice, endpoint.Load) {}
func (f *fakeFleet) Done(routing.Choice, routing.Outcome)   { f.outstanding-- }
func (f *fakeFleet) Engine(addr string) endpoint.Engine     { return f.engines[addr] }
func (f *fakeFleet) Service(string) endpoint.Service        { return nil }

func newFakeFleet() *fakeFleet {
	f := &fakeFleet{names: []string{"a", "b"}, engines: make(map[string]*fakeEngine)}
	for _, name := range f.names {
		f.engines[name] = &fakeEngine{requests: make(map[string]endpoint.GenerateRequest), pace: time.Millisecond}
	}
	return f
}

// textSink collects the answer. It calls callback when it has received
// callbackAt tokens.
type textSink struct {
	text       strings.Builder
	tokens     int
	bound      []relay.Binding
	callbackAt int
	callback   func()
	err        error
	// pause is the duration of each write.
	pause time.Duration
}

func (s *textSink) Bound(_ context.Context, b relay.Binding) error {
	s.bound = append(s.bound, b)
	return nil
}

func (s *textSink) Write(_ context.Context, chunk relay.Chunk) error {
	if s.err != nil {
		return s.err
	}
	time.Sleep(s.pause)
	if chunk.Offset != s.tokens {
		return fmt.Errorf("chunk at %d, want %d", chunk.Offset, s.tokens)
	}
	s.text.WriteString(chunk.Text)
	s.tokens += chunk.Tokens
	if s.callback != nil && s.tokens == s.callbackAt {
		s.callback()
	}
	return nil
}

func newRelay(f *fakeFleet) *relay.Relay { return newRelayWith(f, nil) }

func newRelayWith(f *fakeFleet, retries relay.Retries) *relay.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := 0
	return relay.New(relay.Options{
		Fleet: f, Client: f, Retries: retries, Log: logrus.NewEntry(log),
		StallTimeout: time.Second, ProgressTimeout: time.Minute,
		NewID: func() string { n++; return fmt.Sprintf("attempt-%d", n) },
	})
}

func request() *relay.Request {
	return &relay.Request{ID: "r1", Customer: "c", Model: "m", Version: "v1", MaxTokens: answerTokens, Deadline: time.Second}
}

func changeFrame(i int, change func(*endpoint.Frame)) tamper {
	return func(frames []endpoint.Frame) []endpoint.Frame {
		change(&frames[i])
		return frames
	}
}

func TestAnswerIsCompleteDespiteStreamFaults(t *testing.T) {
	cases := []struct {
		name   string
		tamper tamper
		// forgetsStreams makes the engine unable to attach to earlier
		// streams.
		forgetsStreams bool
		// check verifies the relay's counts and the requests to the
		// engines.
		check func(c *qt.C, n relay.Counts, f *fakeFleet)
	}{{
		name: "no fault",
		check: func(c *qt.C, n relay.Counts, _ *fakeFleet) {
			c.Assert(n, qt.Equals, relay.Counts{})
		},
	}, {
		name: "frame of another request",
		tamper: func(fs []endpoint.Frame) []endpoint.Frame {
			misdelivered := fs[2]
			misdelivered.RequestID, misdelivered.Text = "other", "SECRET "
			return append(append(append([]endpoint.Frame{}, fs[:2]...), misdelivered), fs[2:]...)
		},
		check: func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Dropped, qt.Equals, uint64(1)) },
	}, {
		name: "frame of an earlier attempt",
		tamper: func(fs []endpoint.Frame) []endpoint.Frame {
			late := fs[2]
			late.AttemptID, late.Text = "attempt-0", "LATE "
			return append(append(append([]endpoint.Frame{}, fs[:2]...), late), fs[2:]...)
		},
		check: func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Dropped, qt.Equals, uint64(1)) },
	}, {
		name: "repeated frame",
		tamper: func(fs []endpoint.Frame) []endpoint.Frame {
			return append(append(append([]endpoint.Frame{}, fs[:3]...), fs[2]), fs[3:]...)
		},
		check: func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Dropped, qt.Equals, uint64(1)) },
	}, {
		name: "missing frame",
		tamper: func(fs []endpoint.Frame) []endpoint.Frame {
			return append(append([]endpoint.Frame{}, fs[:3]...), fs[4:]...)
		},
		check: func(c *qt.C, n relay.Counts, f *fakeFleet) {
			c.Assert(n.Reread, qt.Equals, uint64(1))
			c.Assert(f.engines["b"].requests, qt.HasLen, 0)
		},
	}, {
		name:   "end mark with a wrong count",
		tamper: changeFrame(answerTokens, func(f *endpoint.Frame) { f.Total = answerTokens + 3 }),
		check:  func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Reread, qt.Equals, uint64(1)) },
	}, {
		name:   "early end mark",
		tamper: changeFrame(4, func(f *endpoint.Frame) { f.End, f.Total = true, answerTokens }),
		check:  func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Reread, qt.Equals, uint64(1)) },
	}, {
		name:   "stream ends without end mark",
		tamper: func(fs []endpoint.Frame) []endpoint.Frame { return fs[:5] },
		check:  func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Reread, qt.Equals, uint64(1)) },
	}, {
		name:           "endpoint fails in mid-stream",
		tamper:         func(fs []endpoint.Frame) []endpoint.Frame { return fs[:5] },
		forgetsStreams: true,
		check: func(c *qt.C, n relay.Counts, f *fakeFleet) {
			c.Assert(n.Broken, qt.Equals, uint64(1))
			c.Assert(n.Resumed, qt.Equals, uint64(1))
			c.Assert(onlyRequest(c, f.engines["b"]).ResumeTokens, qt.Equals, 5)
		},
	}, {
		name:   "another model version answers",
		tamper: changeFrame(3, func(f *endpoint.Frame) { f.Version = "v0" }),
		check: func(c *qt.C, n relay.Counts, f *fakeFleet) {
			c.Assert(n.Broken, qt.Equals, uint64(1))
			c.Assert(onlyRequest(c, f.engines["b"]).ResumeTokens, qt.Equals, 3)
		},
	}, {
		name:   "stream stalls",
		tamper: changeFrame(3, func(f *endpoint.Frame) { f.Text = "hang" }),
		check:  func(c *qt.C, n relay.Counts, _ *fakeFleet) { c.Assert(n.Reread, qt.Equals, uint64(1)) },
	}}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFakeFleet()
				f.engines["a"].tamper, f.engines["a"].forgetsStreams = tc.tamper, tc.forgetsStreams
				r := newRelay(f)
				sink := &textSink{}
				result, err := r.Run(t.Context(), request(), sink)
				c.Assert(err, qt.IsNil)
				c.Assert(sink.text.String(), qt.Equals, completeAnswer())
				c.Assert(result.Tokens, qt.Equals, answerTokens)
				c.Assert(f.outstanding, qt.Equals, 0)
				tc.check(c, r.Counts(), f)
			})
		})
	}
}

func onlyRequest(c *qt.C, e *fakeEngine) endpoint.GenerateRequest {
	c.Assert(e.requests, qt.HasLen, 1)
	for _, r := range e.requests {
		return r
	}
	return endpoint.GenerateRequest{}
}

func TestMoveOnNotice(t *testing.T) {
	for _, withKV := range []bool{false, true} {
		t.Run(fmt.Sprintf("kv=%v", withKV), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFakeFleet()
				r := newRelay(f)
				sink := &textSink{callbackAt: 4}
				sink.callback = func() {
					streams := r.Streams("host-a")
					c.Check(streams, qt.HasLen, 1)
					c.Check(r.Move("host-a", "r1", relay.Move{MigrateKV: withKV, Reason: "reclaim"}), qt.IsTrue)
				}
				_, err := r.Run(t.Context(), request(), sink)
				c.Assert(err, qt.IsNil)
				c.Assert(sink.text.String(), qt.Equals, completeAnswer())
				moved := onlyRequest(c, f.engines["b"])
				c.Assert(moved.ResumeTokens, qt.Equals, 4)
				c.Assert(moved.KV != "", qt.Equals, withKV)
				c.Assert(f.outstanding, qt.Equals, 0)
				c.Assert(r.Streams("host-a"), qt.HasLen, 0)
				c.Assert(sink.bound, qt.HasLen, 2)
			})
		})
	}
}

func TestRefusedBeforeAnythingRanIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		for _, e := range f.engines {
			e.refuse = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
		}
		_, err := newRelay(f).Run(t.Context(), request(), &textSink{})
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(f.outstanding, qt.Equals, 0)
	})
}

// noRetries is an exhausted retry budget.
type noRetries struct{ calls int }

func (n *noRetries) Retry(string) bool {
	n.calls++
	return false
}

func TestExhaustedRetryBudgetEndsRefusedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		f.engines["a"].refuse = verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full")
		budget := &noRetries{}
		_, err := newRelayWith(f, budget).Run(t.Context(), request(), &textSink{})
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(budget.calls, qt.Equals, 1)
		c.Assert(f.engines["b"].requests, qt.HasLen, 0)

		durable := request()
		durable.Durable = true
		sink := &textSink{}
		_, err = newRelayWith(f, budget).Run(t.Context(), durable, sink)
		c.Assert(err, qt.IsNil)
		c.Assert(sink.text.String(), qt.Equals, completeAnswer())
		c.Assert(budget.calls, qt.Equals, 1)
	})
}

func TestAmbiguousStartIsMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		for _, e := range f.engines {
			e.refuse = verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "connection lost")
		}
		_, err := newRelay(f).Run(t.Context(), request(), &textSink{})
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	})
}

func TestSinkErrorCancelsTheEngineStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		_, err := newRelay(f).Run(t.Context(), request(), &textSink{err: errors.New("gone")})
		c.Assert(err, qt.ErrorMatches, ".*gone")
		c.Assert(verdict.Of(err), qt.Equals, verdict.Ran)
		c.Assert(f.engines["a"].canceled, qt.Equals, 1)
		c.Assert(f.engines["b"].requests, qt.HasLen, 0)
	})
}

func TestAdoptedStreamIsContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		old := endpoint.GenerateRequest{RequestID: "r1", AttemptID: "old"}
		f.engines["a"].requests["s-old"] = old
		q := request()
		q.Resume, q.ResumeTokens = tokenAt(0)+tokenAt(1), 2
		q.Attach = &relay.Binding{HostID: "host-a", EndpointID: "a", Addr: "a", StreamID: "s-old", AttemptID: "old"}
		sink := &textSink{tokens: 2}
		result, err := newRelay(f).Run(t.Context(), q, sink)
		c.Assert(err, qt.IsNil)
		c.Assert(tokenAt(0)+tokenAt(1)+sink.text.String(), qt.Equals, completeAnswer())
		c.Assert(result.Recomputed, qt.Equals, 0)
		c.Assert(f.engines["a"].attached, qt.Equals, 1)
	})
}

// TestSlowSinkIsNotAStall makes each write to the sink take longer than the
// stall timeout. The time spent in the sink must not count as a stall of the
// engine.
func TestSlowSinkIsNotAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFakeFleet()
		r := newRelay(f)
		sink := &textSink{pause: 3 * time.Second}
		result, err := r.Run(t.Context(), request(), sink)
		c.Assert(err, qt.IsNil)
		c.Assert(sink.text.String(), qt.Equals, completeAnswer())
		c.Assert(result.Attempts, qt.Equals, 1)
		c.Assert(r.Counts(), qt.Equals, relay.Counts{})
	})
}
