// Package contract contains the tests that every implementation of the
// interfaces of package endpoint must pass, including their behaviour under
// faults. They run in virtual time (testing/synctest). Each implementation
// calls RunEngine or RunService with a function that returns a fixture.
package contract

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// Model and Version are the model and the version that a fixture's engines
// serve.
const (
	Model   = "model"
	Version = "v1"
)

// MaxRunning is the batch size of a fixture's engines.
const MaxRunning = 2

// Fault is a failure that a fixture can switch on.
type Fault string

// Faults of engines.
const (
	FaultNone Fault = "none"
	// FaultDeath aborts all streams and refuses all calls, as a crash of the
	// process would.
	FaultDeath Fault = "death"
	// FaultHang blocks all calls and withholds all frames.
	FaultHang Fault = "hang"
	// FaultCut resets the connection of each reader; streams continue.
	FaultCut Fault = "cut"
	// FaultLate, FaultRepeat and FaultDrop deliver some of the frames out of
	// order, twice, or never. Each end mark is delivered once.
	FaultLate   Fault = "late frames"
	FaultRepeat Fault = "repeated frames"
	FaultDrop   Fault = "missing frames"
	// FaultCross inserts frames of other streams into each stream.
	FaultCross Fault = "crossed frames"
	// FaultWrongTotal changes the token count of each end mark.
	FaultWrongTotal Fault = "wrong total"
	// FaultLostEvents loses some of the cache events.
	FaultLostEvents Fault = "lost cache events"
	// FaultRefusedOrders refuses all orders.
	FaultRefusedOrders Fault = "refused orders"
)

// Faults of services, besides FaultDeath.
const (
	// FaultDieBefore and FaultDieAfter reset the connection before, or after,
	// the call was executed.
	FaultDieBefore Fault = "death before the call"
	FaultDieAfter  Fault = "death after the call"
	// FaultSlow makes each call take longer than callTimeout.
	FaultSlow Fault = "slow"
)

// callTimeout bounds the calls of the fault cases.
const callTimeout = 2 * time.Second

// customer is the name of the customer in the tests' requests.
const customer = "customer"

// EngineFixture holds two engines under test.
type EngineFixture struct {
	Engine endpoint.Engine
	// Other can import KV caches that Engine exports.
	Other endpoint.Engine
	// Answer returns the first tokens of the answer that the engines
	// generate. Tokens returns the number of tokens of the complete answer.
	Answer func(messages []endpoint.Message, tokens int) string
	Tokens func(messages []endpoint.Message, maxTokens int) int
	// SetFault activates one fault on Engine and clears all others.
	SetFault func(Fault)
}

// EngineOptions configure the engines of a fixture.
type EngineOptions struct {
	// ChecksFence is set if the engines check fencing tokens.
	ChecksFence bool
}

// NewEngine returns a fixture. It is called inside the test's synctest bubble
// and registers its cleanup with t. The engines serve Model in Version with a
// batch size of MaxRunning, and retain finished streams for a minute.
type NewEngine func(t *testing.T, o EngineOptions) EngineFixture

// bubble runs one test in virtual time, in a synctest bubble.
func bubble(t *testing.T, name string, newEngine NewEngine, test func(c *qt.C, f EngineFixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			test(qt.New(t), newEngine(t, EngineOptions{}))
		})
	})
}

// prompt returns a prompt that starts with a topic and has a number of further
// words.
func prompt(topic string, words int) []endpoint.Message {
	text := topic
	for i := range words {
		text += fmt.Sprintf(" w%d", i)
	}
	return []endpoint.Message{{Role: "system", Content: "answer briefly"}, {Role: "user", Content: text}}
}

// request returns a request for an answer of up to 40 tokens.
func request(attempt string, messages []endpoint.Message) endpoint.GenerateRequest {
	return endpoint.GenerateRequest{
		RequestID: "request-" + attempt, AttemptID: attempt, Customer: customer,
		Model: Model, Version: Version, Messages: messages, MaxTokens: 40,
	}
}

// generate starts a stream and closes it at the end of the test.
func generate(c *qt.C, e endpoint.Engine, r endpoint.GenerateRequest) endpoint.Stream {
	c.Helper()
	s, err := e.Generate(c.TB.Context(), r)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = s.Close() })
	return s
}

// readAll reads a stream to its end or its failure.
func readAll(ctx context.Context, s endpoint.Stream) ([]endpoint.Frame, error) {
	var frames []endpoint.Frame
	for {
		f, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
}

// read reads frames until it has at least a number of tokens. It returns their
// text and count.
func read(c *qt.C, s endpoint.Stream, tokens int) (string, int) {
	c.Helper()
	text, n := "", 0
	for n < tokens {
		f, err := s.Next(c.TB.Context())
		c.Assert(err, qt.IsNil)
		text += f.Text
		n += f.Tokens
	}
	return text, n
}

// checkComplete asserts that frames contain the answer of an attempt from the
// token at offset from to the end without gaps, and that the end mark has the
// length of the complete answer.
func checkComplete(c *qt.C, f EngineFixture, r endpoint.GenerateRequest, from int, frames []endpoint.Frame) {
	c.Helper()
	text, next := f.Answer(r.Messages, from), from
	for i, frame := range frames {
		c.Assert(frame.RequestID, qt.Equals, r.RequestID)
		c.Assert(frame.AttemptID, qt.Equals, r.AttemptID)
		c.Assert(frame.Model, qt.Equals, r.Model)
		c.Assert(frame.Version, qt.Equals, r.Version)
		c.Assert(frame.Offset, qt.Equals, next)
		c.Assert(frame.End, qt.Equals, i == len(frames)-1)
		text += frame.Text
		next += frame.Tokens
	}
	total := f.Tokens(r.Messages, r.MaxTokens)
	c.Assert(next, qt.Equals, total)
	c.Assert(text, qt.Equals, f.Answer(r.Messages, total))
	last := frames[len(frames)-1]
	c.Assert(last.Total, qt.Equals, total)
	reason := "stop"
	if total == r.MaxTokens {
		reason = "length"
	}
	c.Assert(last.FinishReason, qt.Equals, reason)
}

// checkVerdict asserts that err is not nil and has the verdict and code.
func checkVerdict(c *qt.C, err error, v verdict.Verdict, code verdict.Code) {
	c.Helper()
	c.Assert(err, qt.IsNotNil)
	var verdictErr *verdict.Error
	c.Assert(errors.As(err, &verdictErr), qt.IsTrue, qt.Commentf("%v has no verdict", err))
	c.Assert(verdict.Of(err), qt.Equals, v, qt.Commentf("%v", err))
	c.Assert(verdict.CodeOf(err), qt.Equals, code, qt.Commentf("%v", err))
}

// timeout returns a context for a call of a fault case.
func timeout(c *qt.C) (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.TB.Context(), callTimeout)
}
