package standin

import (
	"time"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
)

// Records holds the attempts and calls that all endpoints have executed since
// the start, including the endpoints of stopped hosts.
type Records struct {
	Totals enginestandin.Totals `json:"totals"`
	// Attempts are by host ID.
	Attempts map[string][]enginestandin.Attempt `json:"attempts"`
	// Services are by service name, summed over all replicas.
	Services map[string]enginestandin.ServiceCounts `json:"services"`
	// Cost is the sum over all hosts of their running time multiplied by
	// their price.
	Cost float64 `json:"cost"`
}

// Records returns a snapshot of the records. Tests and checkers compare it with
// what the clients of the deployment received.
func (d *Deployment) Records() Records {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := Records{
		Attempts: make(map[string][]enginestandin.Attempt),
		Services: make(map[string]enginestandin.ServiceCounts),
	}
	now := time.Now()
	for _, m := range d.machines {
		r.add(m, now)
	}
	for _, m := range d.stopped {
		r.add(m, now)
	}
	for name, ledger := range d.ledgers {
		r.Services[name] = ledger.Counts()
	}
	return r
}

func (r *Records) add(m *machine, now time.Time) {
	r.Cost += m.cost(now)
	if m.engine == nil {
		return
	}
	r.Totals = r.Totals.Plus(m.engine.Totals())
	r.Attempts[m.host.ID] = m.engine.Attempts()
}
