package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// errBroken is returned for a stream that can't be read any further; the answer
// is resumed.
var errBroken = errors.New("stream broke")

// errStalled is returned when an engine was unresponsive for the stall timeout.
var errStalled = errors.New("engine stalled")

// attempt runs one engine stream. It returns true once the answer is complete.
func (c *call) attempt(ctx context.Context) (bool, error) {
	choice, err := c.choose()
	if err != nil {
		return false, verdict.Wrap(verdict.Of(err), fmt.Errorf("choose endpoint: %w", err))
	}
	before := c.answer.tokens
	done, err := c.generate(ctx, choice)
	c.relay.options.Fleet.Done(choice, routing.Outcome{Err: endpointError(err), GeneratedTokens: c.answer.tokens - before})
	return done, err
}

// endpointError returns the error that the fleet attributes to the endpoint:
// nil for moves, sink errors and cancellations, which are not the endpoint's
// fault.
func endpointError(err error) error {
	var m *Move
	var sinkErr *sinkError
	if errors.As(err, &m) || errors.As(err, &sinkErr) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// generate starts an engine stream on the chosen endpoint and reads it. It
// returns true once the answer is complete.
func (c *call) generate(ctx context.Context, choice routing.Choice) (bool, error) {
	engine := c.relay.options.Client.Engine(choice.Endpoint.Addr)
	attempt := c.relay.options.NewID()
	r := &runningStream{choice: choice, engine: engine, answer: c.answer, tokens: c.answer.tokens}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.cancel = cancel
	// The stream is registered before it starts, so that a disruption
	// notice for its host can't be missed between the choice and the start.
	c.relay.streams.add(r)
	defer c.relay.streams.remove(r)

	stream, err := c.open(cancel, func() (endpoint.Stream, error) {
		return c.start(streamCtx, engine, choice, attempt)
	})
	if err != nil {
		c.exclude = append(c.exclude, choice.Endpoint.ID)
		c.refused = true
		c.mayHaveRun = c.mayHaveRun || verdict.Of(err) != verdict.NotRun
		c.log.WithError(err).WithField("endpoint", choice.Endpoint.ID).Warn("relay: endpoint did not accept the request.")
		return false, c.causeOf(streamCtx, err)
	}
	c.accepted = true
	c.result.Attempts++
	c.result.EndpointID = choice.Endpoint.ID
	b := Binding{
		HostID:     choice.HostID,
		EndpointID: choice.Endpoint.ID,
		Addr:       choice.Endpoint.Addr,
		StreamID:   stream.ID(),
		AttemptID:  attempt,
	}
	if err := c.sink.Bound(ctx, b); err != nil {
		_ = stream.Close()
		c.cancelStream(engine, b.StreamID)
		return false, &sinkError{err}
	}
	return c.read(ctx, streamCtx, r, stream, b)
}

// open opens a stream with f, and calls cancel if f takes longer than the stall
// timeout. cancel must end the context that f uses, which the open stream
// continues to use.
func (c *call) open(cancel context.CancelCauseFunc, f func() (endpoint.Stream, error)) (endpoint.Stream, error) {
	timer := time.AfterFunc(c.relay.options.StallTimeout, func() { cancel(errStalled) })
	stream, err := f()
	if !timer.Stop() && err == nil {
		_ = stream.Close()
		return nil, errStalled
	}
	return stream, err
}

// start starts the attempt on the engine. It uses the imported KV cache, if
// any, only once.
func (c *call) start(ctx context.Context, engine endpoint.Engine, choice routing.Choice, attempt string) (endpoint.Stream, error) {
	kv := c.kv
	c.kv = ""
	stream, err := engine.Generate(ctx, endpoint.GenerateRequest{
		RequestID:    c.request.ID,
		AttemptID:    attempt,
		Customer:     c.request.Customer,
		Model:        c.request.Model,
		Version:      c.request.Version,
		Messages:     c.request.Messages,
		MaxTokens:    c.request.MaxTokens,
		Priority:     c.priority(),
		Resume:       c.resumeText(),
		ResumeTokens: c.resumeTokens(),
		KV:           kv,
	})
	if err != nil {
		return nil, fmt.Errorf("start on %s: %w", choice.Endpoint.ID, err)
	}
	if c.answer.tokens > 0 {
		c.relay.counts.resumed.Add(1)
		c.relay.options.OnResume(resumeMethod(kv))
		c.log.WithField("endpoint", choice.Endpoint.ID).
			WithField("offset", c.answer.tokens).
			WithField("kv", kv != "").
			Info("relay: answer resumed.")
	}
	return stream, nil
}

func (c *call) resumeText() string {
	if c.relay.options.Restart {
		return ""
	}
	return c.answer.text.String()
}

func (c *call) resumeTokens() int {
	if c.relay.options.Restart {
		return 0
	}
	return c.answer.tokens
}

// resumeMethod returns the method by which an answer is resumed: "kv" or
// "text".
func resumeMethod(kv string) string {
	if kv != "" {
		return "kv"
	}
	return "text"
}

func (c *call) priority() endpoint.Priority {
	p := endpoint.PriorityNormal
	switch c.request.Urgency {
	case template.UrgencyUrgent:
		p = endpoint.PriorityUrgent
	case template.UrgencyPatient:
		p = endpoint.PriorityPatient
	}
	if c.answer.tokens > 0 {
		p += endpoint.PriorityResumeBoost
	}
	return p
}

// causeOf returns the Move that cancelled ctx, if any, instead of the error
// that the cancellation led to.
func (c *call) causeOf(ctx context.Context, err error) error {
	if m := moveOf(ctx); m != nil {
		return m
	}
	return err
}

func moveOf(ctx context.Context) *Move {
	var m *Move
	if errors.As(context.Cause(ctx), &m) {
		return m
	}
	return nil
}

// cancelStream cancels a stream on its engine, within OrderTimeout. The
// cancellation proceeds even after the request's own context has ended.
func (c *call) cancelStream(engine endpoint.Engine, streamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), c.relay.options.OrderTimeout)
	defer cancel()
	if err := engine.Cancel(ctx, streamID); err != nil {
		c.log.WithError(err).Debug("relay: failed to cancel engine stream.")
	}
}
