package room

import (
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// maxViewAge is the age from which a view is not used. Reports arrive twice a
	// second, so that two lost ones are bridged.
	maxViewAge = 2 * time.Second
	// maxUnconfirmed is how long the view may cause refusals while this entry itself
	// sees no waiting work.
	maxUnconfirmed = 2 * time.Second
	// refresh is the maximum age of an allocation. A loss of replicas acts within it.
	refresh = 50 * time.Millisecond
	// minAloneFraction is the least fraction that an entry without a view admits. Its
	// own few requests say little about the load of the replicas.
	minAloneFraction = 0.5
	// reportClasses is how long the demand by class is reported after work last waited.
	reportClasses = 3 * time.Second
)

// View is the demand at the other entries.
type View struct {
	// Age is the age of the reports in the view.
	Age time.Duration
	// Members is the number of entries, this one included.
	Members int
	// Known is false if there is no sum of the other entries.
	Known bool
	// Services is the sum over the other entries, by service.
	Services map[string]peer.ServiceDemand
}

// SetView replaces the view. A view that repeats the figures of the last one exactly
// is that of a reporter that is stuck, and keeps its time.
func (c *Controller) SetView(now time.Time, v View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.Members = v.Members
	if !v.Known || repeats(c.view, v) {
		return
	}
	c.view, c.viewAt = v, now.Add(-v.Age)
	for name, s := range c.services {
		// A shortage that only the view shows counts from now on, not from the next
		// request.
		s.allocatedAt = time.Time{}
		c.allocationLocked(now, name, s)
	}
}

// repeats reports whether a view has exactly the figures of the last one. Decaying
// averages of live entries differ in each report.
func repeats(last, v View) bool {
	for name, d := range v.Services {
		old, ok := last.Services[name]
		if !ok || old.Accepted != d.Accepted || old.InFlight != d.InFlight || len(old.Waiting) != len(d.Waiting) {
			return false
		}
		for urgency, w := range d.Waiting {
			if old.Waiting[urgency] != w {
				return false
			}
		}
	}
	return len(v.Services) > 0
}

// Report returns the demand at this entry, by service. It contains the demand by class
// only while work waits, to keep the reports of calm times small.
func (c *Controller) Report(now time.Time) map[string]peer.ServiceDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]peer.ServiceDemand, len(c.services))
	for name, s := range c.services {
		d := s.own(now)
		if len(c.allocationLocked(now, name, s).room) > 0 {
			s.tightAt = now
		}
		if now.Sub(s.tightAt) > reportClasses {
			d.Classes = nil
		}
		out[name] = d.Compact()
	}
	return out
}

// allocationLocked returns the current allocation of a service.
func (c *Controller) allocationLocked(now time.Time, name string, s *service) *allocation {
	capacity := c.opt.Capacity(name)
	if s.allocation != nil && now.Sub(s.allocatedAt) < refresh && capacity.Replicas == s.capacity.Replicas {
		return s.allocation
	}
	a := c.allocateLocked(now, name, s, capacity)
	s.install(now, capacity, a, c.opt.Log, name)
	return a
}

// allocateLocked computes an allocation from the view, or from this entry's own demand
// if there is no view that can be used.
func (c *Controller) allocateLocked(now time.Time, name string, s *service, capacity Capacity) *allocation {
	own := s.own(now)
	snap := snapshot{capacity: capacity, hold: s.hold, objectives: s.objectives, demand: own, perReplica: s.perReplica}
	if now.Sub(c.viewAt) < maxViewAge {
		snap.demand.Add(c.view.Services[name], 1)
		s.calibrate(now, snap)
		snap.perReplica = s.perReplica
		if a := allocate(snap); s.believes(now, a) {
			return a
		}
		own = s.own(now)
	}
	scaled := peer.ServiceDemand{}
	scaled.Add(own, float64(max(1, c.view.Members)))
	snap.demand, snap.alone, snap.confirmed = scaled, true, s.confirmed(now)
	return allocate(snap)
}
