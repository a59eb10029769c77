package contract

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// RunEngine runs all tests of endpoint.Engine.
func RunEngine(t *testing.T, newEngine NewEngine) {
	t.Run("Streams", func(t *testing.T) { RunStreams(t, newEngine) })
	t.Run("Cache", func(t *testing.T) { RunCache(t, newEngine) })
	t.Run("Orders", func(t *testing.T) { RunOrders(t, newEngine) })
	t.Run("Faults", func(t *testing.T) { RunFaults(t, newEngine) })
}

// RunStreams runs the tests of generation, attaching and cancelling.
func RunStreams(t *testing.T, newEngine NewEngine) {
	bubble(t, "an answer is complete", newEngine, func(c *qt.C, f EngineFixture) {
		r := request("a1", prompt("wax", 30))
		s := generate(c, f.Engine, r)
		c.Assert(s.ID(), qt.Not(qt.Equals), "")
		frames, err := readAll(c.TB.Context(), s)
		c.Assert(err, qt.IsNil)
		checkComplete(c, f, r, 0, frames)
	})
	runResumes(t, newEngine)
	runRefusals(t, newEngine)
	runAttachments(t, newEngine)
	bubble(t, "a stream goes on without its reader", newEngine, continueWithoutReader)
	bubble(t, "a cancelled stream ends and frees its place", newEngine, cancelStreams)
	bubble(t, "an ended context ends a read", newEngine, endReadContext)
	bubble(t, "urgent before patient", newEngine, urgentFirst)
}

func runResumes(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		name string
		from func(total int) int
	}{
		{"from the start", func(int) int { return 0 }},
		{"after one token", func(int) int { return 1 }},
		{"half way", func(total int) int { return total / 2 }},
		{"before the last token", func(total int) int { return total - 1 }},
		{"at the end", func(total int) int { return total }},
	} {
		bubble(t, "resume "+test.name, newEngine, func(c *qt.C, f EngineFixture) {
			r := request("a2", prompt("wick", 10))
			r.ResumeTokens = test.from(f.Tokens(r.Messages, r.MaxTokens))
			r.Resume = f.Answer(r.Messages, r.ResumeTokens)
			frames, err := readAll(c.TB.Context(), generate(c, f.Engine, r))
			c.Assert(err, qt.IsNil)
			checkComplete(c, f, r, r.ResumeTokens, frames)
		})
	}
}

func runRefusals(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		name   string
		change func(r *endpoint.GenerateRequest)
		code   verdict.Code
	}{
		{"unknown model", func(r *endpoint.GenerateRequest) { r.Model = "other" }, verdict.CodeNotFound},
		{"version that is not loaded", func(r *endpoint.GenerateRequest) { r.Version = "v2" }, verdict.CodeNotFound},
		{"resumed text of another answer", func(r *endpoint.GenerateRequest) { r.Resume, r.ResumeTokens = "so far", 2 }, verdict.CodeInvalid},
		{"resumed count of another text", func(r *endpoint.GenerateRequest) { r.ResumeTokens = 2 }, verdict.CodeInvalid},
		{"resume behind the end", func(r *endpoint.GenerateRequest) { r.ResumeTokens = 1000 }, verdict.CodeInvalid},
		{"unknown KV cache", func(r *endpoint.GenerateRequest) { r.KV = "none" }, verdict.CodeNotFound},
	} {
		bubble(t, "refused: "+test.name, newEngine, func(c *qt.C, f EngineFixture) {
			r := request("a", prompt("wax", 5))
			test.change(&r)
			_, err := f.Engine.Generate(c.TB.Context(), r)
			checkVerdict(c, err, verdict.NotRun, test.code)
		})
	}
	bubble(t, "refused: ended context", newEngine, func(c *qt.C, f EngineFixture) {
		ctx, cancel := context.WithCancel(c.TB.Context())
		cancel()
		_, err := f.Engine.Generate(ctx, request("a", prompt("wax", 5)))
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun, qt.Commentf("%v", err))
	})
}

func runAttachments(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		name string
		// wait is the time between the start and the attachment.
		wait time.Duration
		from func(total int) int
	}{
		{"at once", 0, func(int) int { return 0 }},
		{"while it runs", 300 * time.Millisecond, func(int) int { return 5 }},
		{"ahead of it", 0, func(total int) int { return total - 2 }},
		{"after its end", 30 * time.Second, func(int) int { return 5 }},
		{"after its end, at its end", 30 * time.Second, func(total int) int { return total }},
	} {
		bubble(t, "attach "+test.name, newEngine, func(c *qt.C, f EngineFixture) {
			r := request("a3", prompt("stand", 10))
			s := generate(c, f.Engine, r)
			time.Sleep(test.wait)
			from := test.from(f.Tokens(r.Messages, r.MaxTokens))
			again, err := f.Engine.Attach(c.TB.Context(), s.ID(), from)
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = again.Close() })
			c.Assert(again.ID(), qt.Equals, s.ID())
			frames, err := readAll(c.TB.Context(), again)
			c.Assert(err, qt.IsNil)
			checkComplete(c, f, r, from, frames)
		})
	}
	bubble(t, "attach to no stream", newEngine, func(c *qt.C, f EngineFixture) {
		_, err := f.Engine.Attach(c.TB.Context(), "none", 0)
		checkVerdict(c, err, verdict.NotRun, verdict.CodeNotFound)
	})
	bubble(t, "attach behind the end", newEngine, func(c *qt.C, f EngineFixture) {
		s := generate(c, f.Engine, request("a", prompt("stand", 10)))
		_, err := f.Engine.Attach(c.TB.Context(), s.ID(), 1000)
		checkVerdict(c, err, verdict.NotRun, verdict.CodeInvalid)
	})
}

func continueWithoutReader(c *qt.C, f EngineFixture) {
	r := request("a4", prompt("donation", 10))
	s := generate(c, f.Engine, r)
	_, from := read(c, s, 3)
	c.Assert(s.Close(), qt.IsNil)
	time.Sleep(20 * time.Second)
	load, err := f.Engine.Load(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(load.Running, qt.Equals, 0)
	again, err := f.Engine.Attach(c.TB.Context(), s.ID(), from)
	c.Assert(err, qt.IsNil)
	defer again.Close()
	start := time.Now()
	frames, err := readAll(c.TB.Context(), again)
	c.Assert(err, qt.IsNil)
	c.Assert(time.Since(start), qt.Equals, time.Duration(0))
	checkComplete(c, f, r, from, frames)
}

func cancelStreams(c *qt.C, f EngineFixture) {
	ctx := c.TB.Context()
	first := generate(c, f.Engine, request("a", prompt("one", 5)))
	generate(c, f.Engine, request("b", prompt("two", 5)))
	third := request("c", prompt("three", 5))
	waiting := generate(c, f.Engine, third)
	read(c, first, 2)
	c.Assert(f.Engine.Cancel(ctx, first.ID()), qt.IsNil)
	_, err := readAll(ctx, first)
	checkVerdict(c, err, verdict.MayHaveRun, verdict.CodeCancelled)
	c.Assert(f.Engine.Cancel(ctx, first.ID()), qt.IsNil)
	c.Assert(f.Engine.Cancel(ctx, "none"), qt.IsNil)
	load, err := f.Engine.Load(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert(load.Running, qt.Equals, MaxRunning)
	c.Assert(load.Waiting, qt.Equals, 0)
	frames, err := readAll(ctx, waiting)
	c.Assert(err, qt.IsNil)
	checkComplete(c, f, third, 0, frames)
}

func endReadContext(c *qt.C, f EngineFixture) {
	s := generate(c, f.Engine, request("a", prompt("wax", 5)))
	read(c, s, 1)
	ctx, cancel := context.WithTimeout(c.TB.Context(), 100*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := readAll(ctx, s)
	checkVerdict(c, err, verdict.MayHaveRun, verdict.CodeCancelled)
	c.Assert(time.Since(start), qt.Equals, 100*time.Millisecond)
}

// urgentFirst fills the batch and queues a patient and an urgent stream. The
// urgent one must start first although it arrived later.
func urgentFirst(c *qt.C, f EngineFixture) {
	for _, name := range []string{"a", "b"} {
		generate(c, f.Engine, request(name, prompt(name, 5)))
	}
	began := make(chan string, 2)
	for _, w := range []struct {
		name     string
		priority endpoint.Priority
	}{{"patient", endpoint.PriorityPatient}, {"urgent", endpoint.PriorityUrgent}} {
		r := request(w.name, prompt(w.name, 5))
		r.Priority = w.priority
		s := generate(c, f.Engine, r)
		go func() {
			if _, err := s.Next(c.TB.Context()); err == nil {
				began <- w.name
			}
		}()
		synctest.Wait()
	}
	load, err := f.Engine.Load(c.TB.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(load.Waiting, qt.Equals, 2)
	c.Assert(<-began, qt.Equals, "urgent")
	c.Assert(<-began, qt.Equals, "patient")
}
