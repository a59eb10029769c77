package contract

import (
	"cmp"
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// RunFaults runs the fault cases of engines. An adapter must not hide a fault:
// either the IDs, offsets and counts in the frames show it, or the stream ends
// with an error.
func RunFaults(t *testing.T, newEngine NewEngine) {
	runFrameFaults(t, newEngine)
	bubble(t, "death in mid stream", newEngine, crashMidStream)
	bubble(t, "hang", newEngine, hang)
	bubble(t, "a cut stream can be attached to", newEngine, reattachAfterReset)
	bubble(t, "lost cache events leave a gap", newEngine, lostEvents)
	bubble(t, "refused orders", newEngine, func(c *qt.C, f EngineFixture) {
		f.SetFault(FaultRefusedOrders)
		err := f.Engine.Order(c.TB.Context(), endpoint.Order{Kind: endpoint.OrderRole, Role: "r"})
		checkVerdict(c, err, verdict.NotRun, verdict.CodeUnavailable)
		f.SetFault(FaultNone)
		c.Assert(state(c, f.Engine).Role, qt.Equals, "")
	})
}

// receivedFrames holds the frames that a reader received under a fault: those
// of its own stream and those of others.
type receivedFrames struct {
	own, foreign []endpoint.Frame
	// distinct are the own frames in order of offset, without duplicates.
	distinct []endpoint.Frame
	tokens   int
	total    int
}

func runFrameFaults(t *testing.T, newEngine NewEngine) {
	for _, test := range []struct {
		fault Fault
		check func(c *qt.C, got receivedFrames)
	}{
		{FaultLate, func(c *qt.C, got receivedFrames) {
			ordered := slices.IsSortedFunc(got.own, byOffset)
			c.Assert(ordered, qt.IsFalse)
			c.Assert(got.distinct, qt.HasLen, len(got.own))
			c.Assert(got.tokens, qt.Equals, got.total)
		}},
		{FaultRepeat, func(c *qt.C, got receivedFrames) {
			c.Assert(len(got.own) > len(got.distinct), qt.IsTrue)
			c.Assert(got.tokens, qt.Equals, got.total)
		}},
		{FaultDrop, func(c *qt.C, got receivedFrames) { c.Assert(got.tokens < got.total, qt.IsTrue) }},
		{FaultCross, func(c *qt.C, got receivedFrames) {
			c.Assert(len(got.foreign) > 0, qt.IsTrue)
			c.Assert(got.tokens, qt.Equals, got.total)
		}},
		{FaultWrongTotal, func(c *qt.C, got receivedFrames) { c.Assert(got.tokens, qt.Not(qt.Equals), got.total) }},
	} {
		bubble(t, string(test.fault), newEngine, func(c *qt.C, f EngineFixture) {
			generate(c, f.Engine, request("other", prompt("other", 10)))
			r := request("own", prompt("own", 10))
			s := generate(c, f.Engine, r)
			f.SetFault(test.fault)
			all, err := readAll(c.TB.Context(), s)
			c.Assert(err, qt.IsNil)
			test.check(c, partitionFrames(r, all))
		})
	}
}

func byOffset(a, b endpoint.Frame) int { return cmp.Compare(a.Offset, b.Offset) }

// partitionFrames divides the frames into those of the request's attempt and
// others.
func partitionFrames(r endpoint.GenerateRequest, all []endpoint.Frame) receivedFrames {
	var got receivedFrames
	for _, f := range all {
		if f.AttemptID != r.AttemptID || f.RequestID != r.RequestID {
			got.foreign = append(got.foreign, f)
			continue
		}
		got.own = append(got.own, f)
		if f.End {
			got.total = f.Total
		}
	}
	got.distinct = slices.Clone(got.own)
	slices.SortFunc(got.distinct, byOffset)
	got.distinct = slices.CompactFunc(got.distinct, func(a, b endpoint.Frame) bool { return a.Offset == b.Offset })
	for _, f := range got.distinct {
		got.tokens += f.Tokens
	}
	return got
}

func crashMidStream(c *qt.C, f EngineFixture) {
	s := generate(c, f.Engine, request("a", prompt("wax", 10)))
	_, n := read(c, s, 3)
	f.SetFault(FaultDeath)
	rest, err := readAll(c.TB.Context(), s)
	checkVerdict(c, err, verdict.MayHaveRun, verdict.CodeUnavailable)
	for _, frame := range rest {
		c.Assert(frame.Offset, qt.Equals, n)
		c.Assert(frame.End, qt.IsFalse)
		n += frame.Tokens
	}
	_, err = f.Engine.Generate(c.TB.Context(), request("b", prompt("wax", 10)))
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeUnavailable, qt.Commentf("%v", err))
	f.SetFault(FaultNone)
	_, err = f.Engine.Attach(c.TB.Context(), s.ID(), 0)
	checkVerdict(c, err, verdict.NotRun, verdict.CodeNotFound)
}

func hang(c *qt.C, f EngineFixture) {
	r := request("a", prompt("wax", 10))
	s := generate(c, f.Engine, r)
	text, n := read(c, s, 3)
	f.SetFault(FaultHang)
	for name, call := range map[string]func(ctx context.Context) error{
		"generate": func(ctx context.Context) error {
			_, err := f.Engine.Generate(ctx, request("b", prompt("wax", 10)))
			return err
		},
		"load":   func(ctx context.Context) error { _, err := f.Engine.Load(ctx); return err },
		"state":  func(ctx context.Context) error { _, err := f.Engine.State(ctx); return err },
		"events": func(ctx context.Context) error { _, err := f.Engine.CacheEvents(ctx, 0); return err },
		"cancel": func(ctx context.Context) error { return f.Engine.Cancel(ctx, "none") },
		"order":  func(ctx context.Context) error { return f.Engine.Order(ctx, endpoint.Order{Kind: endpoint.OrderRole}) },
	} {
		ctx, cancel := timeout(c)
		start := time.Now()
		err := call(ctx)
		cancel()
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun, qt.Commentf("%s: %v", name, err))
		c.Assert(time.Since(start), qt.Equals, callTimeout, qt.Commentf("%s", name))
	}
	f.SetFault(FaultNone)
	rest, err := readAll(c.TB.Context(), s)
	c.Assert(err, qt.IsNil)
	c.Assert(text, qt.Equals, f.Answer(r.Messages, n))
	checkComplete(c, f, r, n, rest)
}

func reattachAfterReset(c *qt.C, f EngineFixture) {
	r := request("a", prompt("wax", 10))
	s := generate(c, f.Engine, r)
	_, n := read(c, s, 3)
	f.SetFault(FaultCut)
	_, err := readAll(c.TB.Context(), s)
	checkVerdict(c, err, verdict.MayHaveRun, verdict.CodeUnavailable)
	f.SetFault(FaultNone)
	again, err := f.Engine.Attach(c.TB.Context(), s.ID(), n)
	c.Assert(err, qt.IsNil)
	defer again.Close()
	rest, err := readAll(c.TB.Context(), again)
	c.Assert(err, qt.IsNil)
	checkComplete(c, f, r, n, rest)
}

// lostEvents reads all events as a client would. Lost events must be visible as
// gaps in the sequence numbers.
func lostEvents(c *qt.C, f EngineFixture) {
	f.SetFault(FaultLostEvents)
	cachedTokens(c, f.Engine, request("a", prompt("report", 2000)))
	received, gaps, next := 0, 0, uint64(0)
	for {
		events, err := f.Engine.CacheEvents(c.TB.Context(), next)
		c.Assert(err, qt.IsNil)
		c.Assert(events.Next, qt.Equals, events.First+uint64(len(events.Events)))
		if events.First > next {
			gaps++
		}
		if events.Next == next {
			break
		}
		received += len(events.Events)
		next = events.Next
	}
	c.Assert(gaps > 0, qt.IsTrue)
	c.Assert(received > 0, qt.IsTrue)
	c.Assert(uint64(received) < next, qt.IsTrue)
}
