package relay

import (
	"context"
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
)

// adopt reads a stream that another entry started, from the answer's offset on.
// Nothing is recomputed while the engine retains the stream.
func (c *call) adopt(ctx context.Context, b Binding) (bool, error) {
	engine := c.relay.options.Client.Engine(b.Addr)
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.accepted = true
	c.result.Attempts++
	c.result.EndpointID = b.EndpointID
	stream, err := c.open(cancel, func() (endpoint.Stream, error) {
		return engine.Attach(streamCtx, b.StreamID, c.answer.tokens)
	})
	if err != nil {
		return false, fmt.Errorf("attach to %s: %w", b.EndpointID, err)
	}
	r := &runningStream{engine: engine, answer: c.answer, cancel: cancel, tokens: c.answer.tokens, started: true}
	r.choice = routing.Choice{}
	r.choice.Endpoint.ID = b.EndpointID
	r.choice.Endpoint.Addr = b.Addr
	r.choice.HostID = b.HostID
	c.relay.streams.add(r)
	defer c.relay.streams.remove(r)
	return c.read(ctx, streamCtx, r, stream, b)
}
