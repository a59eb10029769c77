package quota

import "time"

const (
	// minFallbackFraction and maxFallbackFraction bound the fraction of its
	// share that an entry hands out while peers are reachable but the owner
	// doesn't answer it. The owner hands out the global limit to the entries
	// that reach it, and the tolerance leaves little room for more.
	minFallbackFraction, maxFallbackFraction = 0.03, 0.3
	// fallbackSlope is the decrease of that fraction per unit of the customer's
	// demand, which is measured as a fraction of its limit. A customer far
	// below its limit can't exceed it, so entries may hand out more of their
	// shares.
	fallbackSlope = 1.5
	// peerDemandLag is the mean age of the demand that peers reported. It adds
	// up from half a period until the peer reports, half a period of
	// propagation, and half a period until the report is used here.
	peerDemandLag = 400 * time.Millisecond
	// maxDemandReports bounds the own demand reports that an entry retains.
	// They cover several times peerDemandLag.
	maxDemandReports = 8
)

// demandReport is the demand of a customer that this entry reported at a time.
type demandReport struct {
	at        time.Time
	perSecond float64
}

// reportedDemand returns the demand in the latest report at or before a time,
// or in the oldest report if all are later. All entries divide a limit by
// demands of the same time, so that demand that grows everywhere doesn't raise
// the sum of the shares.
func (cu *customer) reportedDemand(at time.Time) float64 {
	for i := len(cu.reports) - 1; i > 0; i-- {
		if !cu.reports[i].at.After(at) {
			return cu.reports[i].perSecond
		}
	}
	if len(cu.reports) == 0 {
		return 0
	}
	return cu.reports[0].perSecond
}

// Demand returns the demand of customers at this entry, in units per second, to
// be reported to the peers, and records it as reported now.
func (l *Limiter) Demand() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	out := make(map[string]float64, len(l.customers))
	for name, cu := range l.customers {
		perSecond := cu.demand.Rate(now)
		cu.reports = append(cu.reports, demandReport{now, perSecond})
		if len(cu.reports) > maxDemandReports {
			cu.reports = cu.reports[1:]
		}
		if perSecond > 0 {
			out[name] = perSecond
		}
	}
	return out
}

// Take takes units from this entry's local share of a limit. It returns 0 if it
// took them, or the time until they are available.
func (l *Limiter) Take(name string, units float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return 0
	}
	return min(cu.local.Take(l.now(), units), maxRetryAfter)
}

// Return puts back the units that a request took from the local share, because
// the request was not run.
func (l *Limiter) Return(name string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return
	}
	cu.local.Settle(l.now(), units, 0)
}

// capLocalFill caps the fill level of the local share at that of a new process.
func (l *Limiter) capLocalFill(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cu := l.customers[name]; cu != nil {
		cu.local.CapFill(l.now(), initialFill)
	}
}

// RecordDemand adds units to the demand of a customer that has a limit. It
// reports whether the customer has one.
func (l *Limiter) RecordDemand(name string, units float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	cu := l.customers[name]
	if cu == nil || cu.limit.PerSecond <= 0 {
		return false
	}
	cu.demand.Add(l.now(), units)
	return true
}

// fallbackFraction returns the fraction of its share that an entry hands out
// while another member owns the limit. The parameter is the customer's demand
// as a fraction of the limit.
func fallbackFraction(demandFraction float64) float64 {
	return min(max(1-fallbackSlope*demandFraction, minFallbackFraction), maxFallbackFraction)
}

// expectedDemand estimates the current demand of a customer over all entries.
// The reports of the others are old, so they are scaled by the growth of this
// entry's own demand since they were made.
func (cu *customer) expectedDemand(others float64, now time.Time) float64 {
	own, reported := cu.demand.Rate(now), cu.reportedDemand(now.Add(-peerDemandLag))
	growth := 1.0
	if reported > 0 {
		growth = max(1, own/reported)
	}
	return own + others*growth
}
