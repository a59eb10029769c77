package experiment

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

// Held is a deployment that runs without load, for manual requests.
type Held struct {
	run *run
}

// Hold starts the deployment of a configuration without load. The caller must
// call Close.
func Hold(ctx context.Context, c Config) (*Held, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	r := &run{config: c}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	return &Held{run: r}, nil
}

// Entries returns the settings of all entries.
func (h *Held) Entries() []settings.Entry {
	var out []settings.Entry
	for i := range h.run.deployment.EntryCount() {
		out = append(out, h.run.deployment.Settings(i))
	}
	return out
}

// Mix returns the customers, with their API keys, and the classes of requests.
func (h *Held) Mix() workload.Mix { return h.run.mix }

// Close stops the deployment.
func (h *Held) Close() {
	h.run.clients.Close()
	h.run.deployment.Close(context.Background())
}
