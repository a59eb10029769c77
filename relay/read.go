package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// read passes a stream's frames on until the answer is whole, or the stream
// breaks or has to move.
func (c *carrier) read(ctx, streamCtx context.Context, r *running, stream endpoint.Stream, b Binding) (bool, error) {
	for rereads := 0; ; {
		next, err := c.readOnce(ctx, streamCtx, r, stream, b.AttemptID)
		_ = stream.Close()
		if next == stepEnd {
			return true, nil
		}
		var broken *errSink
		if errors.As(err, &broken) {
			c.cancelStream(r.engine, b.StreamID)
			return false, err
		}
		if m := moveOf(streamCtx); m != nil {
			c.leave(ctx, r, b, m)
			return false, m
		}
		if ctx.Err() != nil {
			if !c.request.Durable {
				c.cancelStream(r.engine, b.StreamID)
			}
			return false, context.Cause(ctx)
		}
		// A stream that still waits in its engine's queue may be silent for
		// long: as long as the engine lets it be read again, it is alive.
		if r.started || !errors.Is(err, errStalled) {
			rereads++
		}
		if next == stepAbandon || rereads > rereadsPerStream {
			return false, c.abandon(r, b, err)
		}
		// The engine keeps the stream: reading it again from the answer's
		// offset computes nothing twice.
		c.relay.counts.reread.Add(1)
		stream, err = c.open(r.cancel, func() (endpoint.Stream, error) {
			return r.engine.Attach(streamCtx, b.StreamID, c.answer.tokens)
		})
		if err != nil {
			return false, c.abandon(r, b, err)
		}
	}
}

// abandon leaves a stream and excludes its endpoint from the next choice.
func (c *carrier) abandon(r *running, b Binding, err error) error {
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

// readOnce reads one connection to a stream until it ends in any way.
func (c *carrier) readOnce(ctx, streamCtx context.Context, r *running, stream endpoint.Stream, attempt string) (step, error) {
	readCtx, cancel := context.WithCancelCause(streamCtx)
	defer cancel(nil)
	stall := time.AfterFunc(c.relay.options.Stall, func() { cancel(errStalled) })
	defer stall.Stop()
	for {
		f, err := stream.Next(readCtx)
		// A slow reader of the answer is no stall of its engine.
		stall.Stop()
		if err != nil {
			return stepReread, c.readError(readCtx, err)
		}
		switch next := c.answer.judge(attempt, f); next {
		case stepDrop:
			c.relay.counts.dropped.Add(1)
		case stepDeliver, stepEnd:
			if err := c.deliver(ctx, r, f); err != nil {
				return stepAbandon, &errSink{err}
			}
			if next == stepEnd {
				c.result.Tokens = c.answer.tokens
				c.result.FinishReason = f.FinishReason
				c.relay.counts.tokens.Add(uint64(c.request.PromptTokens + c.answer.tokens))
				c.relay.counts.prefilled.Add(uint64(max(0, c.request.PromptTokens-c.result.CachedTokens)))
				return stepEnd, nil
			}
		default:
			return next, nil
		}
		stall.Reset(c.relay.options.Stall)
	}
}

// readError names the reason why a stream could not be read on.
func (c *carrier) readError(ctx context.Context, err error) error {
	switch {
	case errors.Is(err, io.EOF):
		return fmt.Errorf("%w before its end mark", errBroken)
	case errors.Is(context.Cause(ctx), errStalled):
		return errStalled
	default:
		return c.causeOf(ctx, err)
	}
}

func (c *carrier) deliver(ctx context.Context, r *running, f endpoint.Frame) error {
	first := c.progressed(r, f)
	p := c.answer.take(f)
	r.setTokens(c.answer.tokens)
	if first && c.result.FirstToken == 0 {
		c.result.FirstToken = time.Since(c.started)
	}
	if p.Tokens == 0 && p.Text == "" {
		return nil
	}
	return c.sink.Write(ctx, p)
}

// progressed tells the fleet about the frame and returns whether it is the
// first of its attempt.
func (c *carrier) progressed(r *running, f endpoint.Frame) bool {
	c.progress = time.Now()
	first := !r.started
	if first {
		r.started = true
		c.account(f)
		c.relay.options.Fleet.Started(r.choice, f)
		return true
	}
	if f.Load != nil {
		c.relay.options.Fleet.Progress(r.choice, *f.Load)
	}
	return false
}

// account counts the prompt tokens an attempt computed; those of any attempt
// after the first had been computed before.
func (c *carrier) account(f endpoint.Frame) {
	if c.result.Attempts <= 1 {
		c.result.CachedTokens = f.CachedTokens
		return
	}
	again := c.request.PromptTokens + c.answer.tokens - f.CachedTokens
	c.result.Recomputed += max(0, again)
}
