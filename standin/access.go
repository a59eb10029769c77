package standin

import enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"

// Engines returns the engines of all running hosts.
func (d *Deployment) Engines() []*enginestandin.Engine { return d.EnginesOf("") }

// EnginesOf returns the engines of the running hosts in a failure domain; ""
// means in all.
func (d *Deployment) EnginesOf(failureDomain string) []*enginestandin.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*enginestandin.Engine
	for _, m := range d.machines {
		if m.engine != nil && (failureDomain == "" || m.host.FailureDomain == failureDomain) {
			out = append(out, m.engine)
		}
	}
	return out
}

// PlainServices returns the plain services of all running hosts.
func (d *Deployment) PlainServices() []*enginestandin.Service {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*enginestandin.Service
	for _, m := range d.machines {
		for _, s := range m.services {
			out = append(out, s)
		}
	}
	return out
}
