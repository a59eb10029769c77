package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// ServiceVersion is a version of a service.
type ServiceVersion struct{ Service, Version string }

// Undecided returns the versions of ready replicas whose services had no order yet,
// as far as this entry knows, and that it hasn't cleared. A read of the orders and
// rows that begins afterwards decides on them.
func (g *Gate) Undecided(all map[string][]*replica.Replica) []ServiceVersion {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []ServiceVersion
	for name, ready := range all {
		s := g.serviceLocked(name)
		if s.governed() {
			continue
		}
		seen := make(map[string]bool, 1)
		for _, r := range ready {
			if !s.cleared[r.Version] && !s.withdrawn[r.Version] && !seen[r.Version] {
				seen[r.Version] = true
				out = append(out, ServiceVersion{name, r.Version})
			}
		}
	}
	return out
}

// Serves reports whether a replica of a cleared version of the service is ready.
func (g *Gate) Serves(name string, ready []*replica.Replica) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(name)
	return slices.ContainsFunc(ready, func(r *replica.Replica) bool { return s.cleared[r.Version] })
}

// Clear decides on undecided versions, given all orders and rows of a read that
// began after Undecided returned them.
func (g *Gate) Clear(now time.Time, undecided []ServiceVersion, orders []Order, rows map[string]Row) {
	for _, o := range orders {
		g.SetOrder(now, o)
	}
	for name, row := range rows {
		g.SetRow(name, row)
	}
	g.mu.Lock()
	for _, v := range undecided {
		if s := g.serviceLocked(v.Service); !s.governed() && !s.withdrawn[v.Version] {
			s.cleared[v.Version] = true
		}
	}
	g.mu.Unlock()
	g.loadedOnce.Do(func() { close(g.loaded) })
}

// SetOrder sets the order in force for a service.
func (g *Gate) SetOrder(now time.Time, o Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(o.Service)
	if s.order != nil && s.order.To == o.To {
		s.order.Duration = o.Duration
		return
	}
	s.order, s.orderAt, s.permits, s.often = &o, now, 0, false
	s.counts = counts{}
	s.sent, s.confirmed, s.confirmedBy = nil, nil, 0
	g.log.WithFields(logrus.Fields{"service": o.Service, "to": o.To, "duration_ms": o.Duration.Milliseconds()}).Info("rollout: order known.")
}

// DropOrder records that the order for a service was deleted.
func (g *Gate) DropOrder(name string) {
	ready := g.ready(name)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil {
		return
	}
	to := s.order.To
	others := slices.ContainsFunc(ready, func(r *replica.Replica) bool { return r.Version != to })
	if s.state == nil && !s.cleared[to] && (others || len(s.cleared) > 0) {
		s.withdrawn[to], s.lastWithdrawn = true, s.order
	}
	s.order, s.permits = nil, 0
	g.log.WithField("service", name).Info("rollout: order deleted.")
}

// SetOrders sets all orders that are in force.
func (g *Gate) SetOrders(now time.Time, orders []Order) {
	present := make(map[string]bool, len(orders))
	for _, o := range orders {
		present[o.Service] = true
		g.SetOrder(now, o)
	}
	g.mu.Lock()
	names := slices.Collect(maps.Keys(g.services))
	g.mu.Unlock()
	for _, name := range names {
		if !present[name] {
			g.DropOrder(name)
		}
	}
}

// Order returns the order in force for a service, and the time since this entry
// learnt of it.
func (g *Gate) Order(now time.Time, name string) (Order, time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil {
		return Order{}, 0, false
	}
	return *s.order, now.Sub(s.orderAt), true
}

// withdrawnOrder returns the last order for a service that was deleted before this entry
// knew a state of it.
func (g *Gate) withdrawnOrder(name string) (Order, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.lastWithdrawn == nil {
		return Order{}, false
	}
	return *s.lastWithdrawn, true
}

// Cleared returns the versions of a service that were ready before its first order.
func (g *Gate) Cleared(name string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.serviceLocked(name).cleared))
}

// Active returns the services with a roll-out that hasn't ended, or whose end isn't in
// the table, as far as this entry knows.
func (g *Gate) Active() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for name, s := range g.services {
		if s.reports() {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// anyOften reports whether the holder of one of the services wants reports often.
func (g *Gate) anyOften(names []string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.ContainsFunc(names, func(name string) bool {
		s := g.services[name]
		return s != nil && s.often
	})
}

// unfinished returns the services that a holder looks after: those with an order,
// whose status may not be written yet, and those with a roll-out that hasn't ended.
func (g *Gate) unfinished() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for name, s := range g.services {
		if s.order != nil || !s.final() || s.reports() || s.state == nil && s.lastWithdrawn != nil {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Report returns the report on a service's roll-out. Permits that were not used are
// given back.
func (g *Gate) Report(now time.Time, name, incarnation string) peer.RolloutReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(name)
	s.counts.returned += s.permits
	s.permits = 0
	s.sent = s.counts.clone()
	r := peer.RolloutReport{
		Service: name, Incarnation: incarnation, Requests: s.counts.requests,
		Returned: s.counts.returned, Routes: changedSince(s.confirmed, s.sent), Base: s.confirmedBy,
	}
	if s.order != nil {
		r.To, r.AgeMS = s.order.To, now.Sub(s.orderAt).Milliseconds()
	} else if s.state != nil {
		r.To = s.state.to
	}
	if s.state != nil && s.state.to == r.To {
		r.Stage = string(s.state.stage)
		if s.state.stage.Final() && !s.state.stored {
			r.Reason = s.state.reason
		}
	}
	for version, n := range s.inFlight {
		if version != r.To {
			r.OldInFlight += n
		}
	}
	return r
}

// Apply applies the reply to a report that was sent at a time. The permits lapse
// after ttl.
func (g *Gate) Apply(name string, reply peer.RolloutReply, sent time.Time, ttl time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(name)
	if reply.Resend {
		s.confirmed, s.confirmedBy = nil, 0
		return
	}
	if reply.NotHolder || !s.applyLocked(known{fence: reply.Fence, to: reply.To, stage: Stage(reply.Stage), reason: reply.Reason, allowed: reply.Allowed, stored: reply.Stored}, name, g.log) {
		return
	}
	s.often = reply.Often
	if reply.Kept != 0 {
		s.confirmed, s.confirmedBy = s.sent, reply.Kept
	}
	if s.state.stage == Trial {
		s.permits, s.permitsEnd = reply.Permits, sent.Add(ttl)
		s.endpoints, s.turn, s.once = reply.Endpoints, max(0, reply.Turn), reply.Once
	}
}

// SetRow applies a row of the table.
func (g *Gate) SetRow(name string, r Row) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serviceLocked(name).applyLocked(known{fence: r.Fence, to: r.To, stage: r.Stage, reason: r.Reason, allowed: r.Allowed, stored: true}, name, g.log)
}

// applyLocked replaces the known state unless it is a later one. It reports whether
// the given state is in force.
func (s *service) applyLocked(next known, name string, log *logrus.Entry) bool {
	old := s.state
	if next.to == "" || rank(next.stage) < 0 {
		return false
	}
	if old != nil {
		switch {
		case next.fence < old.fence:
			return false
		case next.to == old.to && old.reason != Withdrawn && rank(next.stage) < rank(old.stage):
			return false // a verdict is final
		case next.to != old.to && next.fence == old.fence && s.order != nil && old.to == s.order.To:
			return false // a reply to an earlier report came late
		}
	}
	s.state = &next
	if old == nil || old.to != next.to || old.stage != next.stage {
		s.permits = 0
		log.WithFields(logrus.Fields{
			"service": name, "to": next.to, "stage": next.stage, "reason": next.reason, "fence": next.fence, "allowed": next.allowed,
		}).Info("rollout: stage known.")
	}
	return true
}

// rank orders the stages of one order.
func rank(s Stage) int { return slices.Index([]Stage{Trial, Moving, Completed, RolledBack}, s) }
