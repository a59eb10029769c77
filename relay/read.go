package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// read relays a stream's frames until the answer is complete or the stream
// breaks or has to move.
func (c *call) read(ctx, streamCtx context.Context, r *runningStream, stream endpoint.Stream, b Binding) (bool, error) {
	for rereads := 0; ; {
		next, err := c.readOnce(ctx, streamCtx, r, stream, b.AttemptID)
		_ = stream.Close()
		if next == actionEnd {
			return true, nil
		}
		var sinkErr *sinkError
		if errors.As(err, &sinkErr) {
			c.cancelStream(r.engine, b.StreamID)
			return false, err
		}
		if m := moveOf(streamCtx); m != nil {
			c.moveAway(ctx, r, b, m)
			return false, m
		}
		if ctx.Err() != nil {
			if !c.request.Durable {
				c.cancelStream(r.engine, b.StreamID)
			}
			return false, context.Cause(ctx)
		}
		// A stream that waits in its engine's queue may legitimately be
		// unresponsive for long: it has not failed as long as the engine
		// allows it to be read again. Such stalls don't count towards
		// maxRereadsPerStream.
		if r.started || !errors.Is(err, errStalled) {
			rereads++
		}
		if next == actionAbandon || rereads > maxRereadsPerStream {
			return false, c.abandon(r, b, err)
		}
		// The engine retains the stream, so reading it again from the
		// answer's offset computes nothing twice.
		c.relay.counts.reread.Add(1)
		stream, err = c.open(r.cancel, func() (endpoint.Stream, error) {
			return r.engine.Attach(streamCtx, b.StreamID, c.answer.tokens)
		})
		if err != nil {
			return false, c.abandon(r, b, err)
		}
	}
}

// abandon cancels a stream and excludes its endpoint from the next choice.
func (c *call) abandon(r *runningStream, b Binding, err error) error {
	c.exclude = append(c.exclude, b.EndpointID)
	c.cancelStream(r.engine, b.StreamID)
	c.relay.counts.broken.Add(1)
	c.log.WithField("endpoint", b.EndpointID).WithField("offset", c.answer.tokens).
		WithError(err).Warn("relay: stream abandoned.")
	if err == nil {
		return errBroken
	}
	return fmt.Errorf("%w: %w", errBroken, err)
}

// readOnce reads one connection to a stream until the answer is complete, a
// frame requires another action or the connection fails.
func (c *call) readOnce(ctx, streamCtx context.Context, r *runningStream, stream endpoint.Stream, attempt string) (frameAction, error) {
	readCtx, cancel := context.WithCancelCause(streamCtx)
	defer cancel(nil)
	stall := time.AfterFunc(c.relay.options.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	for {
		f, err := stream.Next(readCtx)
		// The timer is stopped while the sink writes: a slow sink is
		// not a stall of the engine.
		stall.Stop()
		if err != nil {
			return actionReread, c.readError(readCtx, err)
		}
		switch next := c.answer.classifyFrame(attempt, f); next {
		case actionDrop:
			c.relay.counts.dropped.Add(1)
		case actionDeliver, actionEnd:
			if err := c.deliver(ctx, r, f); err != nil {
				return actionAbandon, &sinkError{err}
			}
			if next == actionEnd {
				c.result.Tokens = c.answer.tokens
				c.result.FinishReason = f.FinishReason
				c.relay.counts.tokens.Add(uint64(c.request.PromptTokens + c.answer.tokens))
				c.relay.counts.prefilled.Add(uint64(max(0, c.request.PromptTokens-c.result.CachedTokens)))
				return actionEnd, nil
			}
		default:
			return next, nil
		}
		stall.Reset(c.relay.options.StallTimeout)
	}
}

// readError returns the reason why a stream can't be read any further.
func (c *call) readError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return fmt.Errorf("%w before its end mark", errBroken)
	case errors.Is(context.Cause(ctx), errStalled):
		return errStalled
	default:
		return c.causeOf(ctx, err)
	}
}

// deliver appends the frame to the answer and writes it to the sink.
func (c *call) deliver(ctx context.Context, r *runningStream, f endpoint.Frame) error {
	first := c.recordProgress(r, f)
	chunk := c.answer.appendFrame(f)
	r.setTokens(c.answer.tokens)
	if first && c.result.FirstToken == 0 {
		c.result.FirstToken = time.Since(c.started)
	}
	if chunk.Tokens == 0 && chunk.Text == "" {
		return nil
	}
	return c.sink.Write(ctx, chunk)
}

// recordProgress passes the frame's load report to the fleet and reports
// whether the frame is the first of its attempt.
func (c *call) recordProgress(r *runningStream, f endpoint.Frame) bool {
	c.progress = time.Now()
	first := !r.started
	if first {
		r.started = true
		c.countPrefill(f)
		c.relay.options.Fleet.Started(r.choice, f)
		return true
	}
	if f.Load != nil {
		c.relay.options.Fleet.Progress(r.choice, *f.Load)
	}
	return false
}

// countPrefill records the cached prompt tokens of the first attempt. In later
// attempts it counts the tokens that were not cached as recomputed.
func (c *call) countPrefill(f endpoint.Frame) {
	if c.result.Attempts <= 1 {
		c.result.CachedTokens = f.CachedTokens
		return
	}
	recomputed := c.request.PromptTokens + c.answer.tokens - f.CachedTokens
	c.result.Recomputed += max(0, recomputed)
}
