package relay

import (
	"context"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
)

// Follow reads a stream that another entry owns, from q.ResumeTokens on, until
// it ends, breaks or moves. It returns the offset after the last chunk, and an
// error only if the sink failed or ctx ended. It starts and cancels nothing on
// the engine.
func (r *Relay) Follow(ctx context.Context, q *Request, b Binding, sink Sink) (int, error) {
	c := &call{relay: r, request: q, answer: newAnswer(q), sink: sink, started: time.Now(), log: r.options.Log}
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := c.open(cancel, func() (endpoint.Stream, error) {
		return r.options.Client.Engine(b.Addr).Attach(streamCtx, b.StreamID, c.answer.tokens)
	})
	if err != nil {
		return c.answer.tokens, ctx.Err()
	}
	defer func() { _ = stream.Close() }()
	stall := time.AfterFunc(r.options.StallTimeout, func() { cancel(errStalled) })
	defer stall.Stop()
	return c.follow(ctx, streamCtx, stall, stream, b.AttemptID)
}

func (c *call) follow(ctx, streamCtx context.Context, stall *time.Timer, stream endpoint.Stream, attempt string) (int, error) {
	for {
		f, err := stream.Next(streamCtx)
		stall.Stop()
		if err != nil {
			return c.answer.tokens, ctx.Err()
		}
		switch next := c.answer.classifyFrame(attempt, f); next {
		case actionDrop:
			c.relay.counts.dropped.Add(1)
		case actionDeliver, actionEnd:
			chunk := c.answer.appendFrame(f)
			if chunk.Tokens > 0 {
				if err := c.sink.Write(ctx, chunk); err != nil {
					return c.answer.tokens, err
				}
			}
			if next == actionEnd {
				// The owner records the end of the answer, and
				// only that record confirms it.
				return c.answer.tokens, nil
			}
		default:
			return c.answer.tokens, nil
		}
		stall.Reset(c.relay.options.StallTimeout)
	}
}
