package relay

import (
	"context"
	"fmt"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	"github.com/coltsfootcleat/coltsfootcleat/routing"
)

// moveAway moves a stream off its endpoint. With a KV migration the next
// attempt continues from the imported cache; if the migration fails, the answer
// is resumed from its text.
func (c *call) moveAway(ctx context.Context, r *runningStream, b Binding, m *Move) {
	c.exclude = append(c.exclude, b.EndpointID)
	c.relay.counts.moved.Add(1)
	if !m.MigrateKV {
		c.cancelStream(r.engine, b.StreamID)
		return
	}
	err := c.migrate(ctx, r.engine, b)
	if err != nil {
		c.log.WithError(err).WithField("endpoint", b.EndpointID).
			Warn("relay: KV migration failed; resuming the answer from its text.")
		c.cancelStream(r.engine, b.StreamID)
		return
	}
	c.relay.counts.migrated.Add(1)
}

// migrate exports the stream's KV cache, chooses an endpoint for the next
// attempt and imports the cache there.
func (c *call) migrate(ctx context.Context, from endpoint.Engine, b Binding) error {
	exportCtx, cancel := context.WithTimeout(ctx, c.relay.options.OrderTimeout)
	defer cancel()
	kv, err := from.Export(exportCtx, b.StreamID)
	if err != nil {
		return fmt.Errorf("export: %w", err)
	}
	choice, err := c.choose()
	if err != nil {
		return fmt.Errorf("choose target: %w", err)
	}
	importCtx, stop := context.WithTimeout(ctx, c.relay.options.StallTimeout)
	defer stop()
	name, err := c.relay.options.Client.Engine(choice.Endpoint.Addr).Import(importCtx, kv)
	if err != nil {
		c.relay.options.Fleet.Done(choice, routing.Outcome{Err: err})
		return fmt.Errorf("import on %s: %w", choice.Endpoint.ID, err)
	}
	c.kv, c.reserved = name, &choice
	return nil
}
