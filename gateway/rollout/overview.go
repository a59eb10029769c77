package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// RouteOverview is the evidence on one route for operators. The sums are those of the
// sequential tests, of which badBound proves that the version is bad.
type RouteOverview struct {
	Answers  int     `json:"answers"`
	Failures float64 `json:"failures"`
	First    float64 `json:"first"`
	Pace     float64 `json:"pace"`
}

// Overview is a roll-out for operators.
type Overview struct {
	Service string `json:"service"`
	To      string `json:"to"`
	Stage   Stage  `json:"stage"`
	Reason  string `json:"reason,omitempty"`
	// LeftMS is the time until the deadline.
	LeftMS int64 `json:"left_ms,omitempty"`
	// Requests, Sent and Fraction are the requests of the service since the order,
	// the permits handed out for the new version, and their ratio.
	Requests int     `json:"requests,omitempty"`
	Sent     int     `json:"sent,omitempty"`
	Fraction float64 `json:"fraction,omitempty"`
	// NewReplicas and OldReplicas count the ready replicas.
	NewReplicas int                      `json:"new_replicas,omitempty"`
	OldReplicas int                      `json:"old_replicas,omitempty"`
	Routes      map[string]RouteOverview `json:"routes,omitempty"`
	// Holder is set if this entry controls the roll-out. Only then is more than the
	// stage known.
	Holder bool `json:"holder"`
}

// overview returns the roll-out for operators.
func (c *Controller) overview(now time.Time) Overview {
	o := Overview{
		Service: c.service, To: c.row.To, Stage: c.row.Stage, Reason: c.row.Reason, LeftMS: max(0, c.left(now).Milliseconds()),
		Requests: c.requests(), Sent: c.spent(), NewReplicas: c.replicas.New, OldReplicas: c.replicas.Old,
		Routes: make(map[string]RouteOverview), Holder: true,
	}
	if o.Requests > 0 {
		o.Fraction = float64(o.Sent) / float64(o.Requests)
	}
	for route, s := range c.evidence.scores {
		o.Routes[route] = RouteOverview{Answers: s.Answers, Failures: s.Failures, First: s.First, Pace: s.Pace}
	}
	return o
}

// fields returns the inputs of a decision for its log line.
func (c *Controller) fields(now time.Time) logrus.Fields {
	o, t := c.overview(now), c.evidence.total
	return logrus.Fields{
		"service": o.Service, "to": o.To, "stage": o.Stage, "reason": o.Reason, "left_ms": o.LeftMS, "requests": o.Requests, "sent": o.Sent,
		"new_replicas": o.NewReplicas, "old_replicas": o.OldReplicas, "answers": t.Answers, "failed": c.evidence.failed,
		"failures": t.Failures, "first": t.First, "pace": t.Pace, "reporters": len(c.reports),
	}
}

// Overviews returns the roll-outs that this entry knows, sorted by service.
func (k *Keeper) Overviews(now time.Time) []Overview {
	out := k.opt.Gate.overviews()
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, o := range out {
		if h := k.held[o.Service]; h != nil {
			out[i] = h.controller.overview(now)
		}
	}
	return out
}

// overviews returns what this entry knows of each roll-out.
func (g *Gate) overviews() []Overview {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := []Overview{}
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		s := g.services[name]
		switch {
		case s.state != nil:
			out = append(out, Overview{Service: name, To: s.state.to, Stage: s.state.stage, Reason: s.state.reason})
		case s.order != nil:
			out = append(out, Overview{Service: name, To: s.order.To, Reason: "state not known yet"})
		}
	}
	return out
}

// merge returns a row of the table with what this entry knows beyond it: the table
// may have been restored from an older copy.
func (g *Gate) merge(name string, r Row) Row {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.state == nil || s.state.to == "" {
		return r
	}
	st := s.state
	if r.To == "" {
		r = Row{To: st.to, Stage: st.stage, Reason: st.reason, Allowed: slices.Clone(st.allowed)}
		if s.order != nil && s.order.To == st.to {
			r.DurationMS = s.order.Duration.Milliseconds()
		}
	}
	if r.To == st.to && rank(st.stage) > rank(r.Stage) {
		r.Stage, r.Reason = st.stage, st.reason
	}
	if st.stage == RolledBack && st.reason != Withdrawn && !slices.Contains(r.Closed, st.to) {
		r.Closed = append(slices.Clone(r.Closed), st.to)
	}
	if st.stage == Completed {
		r.allow(st.to)
	}
	return r
}
