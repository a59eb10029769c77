package experiment

import (
	"context"

	"github.com/coltsfootcleat/coltsfootcleat/bench/workload"
	"github.com/coltsfootcleat/coltsfootcleat/settings"
)

// IdleDeployment is a deployment that runs without load, for manual requests.
type IdleDeployment struct {
	run *run
}

// StartIdle starts the deployment of a configuration without load. The caller
// must call Close.
func StartIdle(ctx context.Context, c Config) (*IdleDeployment, error) {
	if err := c.validate(); err != nil {
		return nil, err
	}
	r := &run{config: c}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	return &IdleDeployment{run: r}, nil
}

// Entries returns the settings of all entries.
func (d *IdleDeployment) Entries() []settings.Entry {
	var out []settings.Entry
	for i := range d.run.deployment.EntryCount() {
		out = append(out, d.run.deployment.Settings(i))
	}
	return out
}

// Mix returns the customers, with their API keys, and the classes of requests.
func (d *IdleDeployment) Mix() workload.Mix { return d.run.mix }

// Close stops the deployment.
func (d *IdleDeployment) Close() {
	d.run.clients.Close()
	d.run.deployment.Close(context.Background())
}
