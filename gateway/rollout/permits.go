package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// Report takes a report and returns the reply.
func (c *Controller) Report(now time.Time, from string, r peer.RolloutReport, fence uint64) peer.RolloutReply {
	reply := peer.RolloutReply{Fence: fence, To: c.row.To, Stage: string(c.stage()), Stored: c.stage() == c.committed, Reason: c.row.Reason, Allowed: c.row.Allowed, Often: c.often(now)}
	if r.To != c.row.To || r.Requests < 0 || r.Returned < 0 || r.OldInFlight < 0 {
		return reply
	}
	key := reporter{from, r.Incarnation}
	last := c.reports[key]
	if last == nil && len(c.reports) >= maxReporters {
		return reply
	}
	if r.Base != 0 && (r.Base != c.kept(fence) || last == nil) {
		return peer.RolloutReply{Resend: true}
	}
	// In large deployments some entries learn of an order a second before the others.
	age := time.Duration(min(r.AgeMS, math.MaxInt32)) * time.Millisecond
	if base := now.Add(-age - orderLag); base.Before(c.base) && !base.Before(c.began.Add(-c.known-maxOrderLag)) {
		c.base = base
	}
	if Stage(r.Stage) == RolledBack && r.Reason != "" && r.Reason != Withdrawn && !c.row.Stage.Final() {
		// An earlier holder closed the version and was lost before it wrote the row.
		c.close(r.Reason)
		reply.Stage, reply.Reason, reply.Stored = string(c.stage()), c.row.Reason, false
	}
	if last == nil {
		last = &lastReport{returnedBefore: r.Returned, phase: phaseOf(from)}
		c.reports[key] = last
	} else if dt := now.Sub(last.at).Seconds(); dt > 0 {
		rate := float64(max(0, r.Requests-last.Requests)) / dt
		if last.perSecond == 0 {
			last.perSecond = rate
		}
		last.perSecond += rateWeight * (rate - last.perSecond)
		c.accrue(now, last, dt, r.Returned-last.Returned)
	}
	r.Routes = withChanges(last.Routes, r.Routes)
	last.RolloutReport, last.at, reply.Kept = r, now, c.kept(fence)
	if c.row.Stage != Trial {
		return reply
	}
	reply.Endpoints, reply.Once = c.endpoints(now), c.allowsOnce(now)
	reply.Turn = c.turn
	reply.Permits = c.grant(now, last)
	return reply
}

// kept identifies this controller in replies: what another one has, also of the same
// holder, may not be left out of a report.
func (c *Controller) kept(fence uint64) uint64 {
	if c.id == 0 {
		c.id = 1 + xxhash.Sum64String(fmt.Sprint(fence, c.began.UnixNano()))>>32
	}
	return c.id
}

// spent returns the number of requests that may have been sent with permits.
func (c *Controller) spent() int {
	sum := c.spentBefore
	for _, r := range c.reports {
		// An entry can't give back more than it got, whatever it reports.
		sum += r.granted - min(r.granted, max(0, r.Returned-r.returnedBefore))
	}
	return sum
}

// tried returns the number of permits that this holder handed out, or the number of
// answers that it knows of if that is higher. Permits of an earlier holder whose answers
// were lost are spent, but are no trial.
func (c *Controller) tried() int {
	return max(c.spent()-c.spentBefore, c.evidence.total.Answers)
}

func (c *Controller) requests() int {
	sum := 0
	for _, r := range c.reports {
		sum += r.Requests
	}
	return sum
}

// available returns the number of permits that may still be handed out.
func (c *Controller) available(now time.Time) int {
	n := c.bounds.permits(c.requests())
	if c.inFinalTrial(now) {
		future := futureShare * c.rate * max(0, c.left(now)).Seconds()
		n = max(n, min(c.bounds.permits(c.requests()+int(future)), c.bounds.mostPermits(c.requests())))
	}
	return n - c.spent()
}

// perReplica returns the permits per second for a replica on trial, which give it the
// load that a replica of the old version has.
func (c *Controller) perReplica() float64 {
	return fullLoad * c.rate / float64(max(1, c.replicas.Old))
}

// endpoints returns the number of replicas that permits are given out for: as many as
// get a full load from the permits that accrue, in bursts if need be, or all the time
// from those that accrue and are left until the verdict.
func (c *Controller) endpoints(now time.Time) int {
	left := max(minMove, c.left(now)-c.moveTime()).Seconds()
	if c.inFinalTrial(now) {
		left = finalTrial.Seconds() // given out faster than they would last
	}
	accrued := shareAim * c.bounds.Share * c.rate
	full := max(c.perReplica(), 0.001)
	n := max(int(math.Ceil(accrued/full)), int((accrued+max(0, float64(c.available(now)))/left)/full))
	return max(1, min(c.replicas.New, n))
}

// accrue adds the permits for a time to those that an entry gets next, and those that it
// had but could not use.
func (c *Controller) accrue(now time.Time, r *lastReport, dt float64, returned int) {
	if c.rate <= 0 || r.perSecond <= 0 {
		return
	}
	full := c.perReplica() * float64(c.endpoints(now))
	r.carry = min(maxCarry+full*dt, r.carry+full*dt*min(1, r.perSecond/c.rate)+float64(max(0, min(returned, r.granted))))
}

// phaseOf returns the part of a permit with which an entry begins, between 0 and 1. If
// all began with the same, all would get their first permits of a burst late and at once.
func phaseOf(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }

// grant hands out permits to an entry.
func (c *Controller) grant(now time.Time, r *lastReport) int {
	if c.awaitsReports(now) || !c.missingSince.IsZero() || c.committed != Trial || c.replicas.New == 0 || c.left(now) <= 0 {
		r.carry = r.phase
		return 0
	}
	available := min(c.available(now), c.reserved-c.spent())
	c.updateBurst(now, c.available(now))
	if !c.bursting {
		r.carry = r.phase
		return 0
	}
	n := max(0, min(int(r.carry), available))
	r.carry -= float64(int(r.carry))
	r.granted += n
	return n
}

// awaitsReports reports whether the reports of live entries are missing that would be
// evidence from before this holder took over.
func (c *Controller) awaitsReports(now time.Time) bool {
	if !c.takenOver {
		return false
	}
	if now.Sub(c.began) < takeoverPause {
		reported := make(map[string]bool, len(c.reports))
		for key := range c.reports {
			reported[key.id] = true
		}
		if len(c.live) == 0 || slices.ContainsFunc(c.live, func(id string) bool { return !reported[id] }) {
			return true
		}
	}
	c.takenOver = !c.windowAt.After(c.began) // the evidence is judged first
	return c.takenOver
}

// updateBurst begins a burst once enough permits are saved, and ends it when none are
// left.
func (c *Controller) updateBurst(now time.Time, available int) {
	switch {
	case available < 1, c.bursting && c.firstBurst && c.tried() >= firstPermits:
		c.bursting, c.firstBurst = false, false
	case float64(available) >= c.burstSize(now):
		c.startTurn(now)
		c.firstBurst = !c.bursting && c.tried() < firstPermits || c.bursting && c.firstBurst
		c.bursting = true
	}
}

// startTurn begins a turn if the last one has lasted long enough and, unless it has
// lasted twice as long, its burst has ended.
func (c *Controller) startTurn(now time.Time) {
	lasts := max(minTurn, turnPeriods*reportPeriod(len(c.live), false))
	if c.bursting {
		lasts *= 2
	}
	if now.Sub(c.turnAt) >= lasts {
		c.turn, c.turnAt = c.turn+1, now
	}
}

// burstSize returns the number of permits from which on a burst begins.
func (c *Controller) burstSize(now time.Time) float64 {
	left := c.left(now) - c.moveTime()
	if c.tried() < firstPermits || left <= lastBurst {
		return minBurst
	}
	all := c.bounds.permits(c.requests() + int(c.rate*left.Seconds()))
	return max(minBurst, min(c.perReplica()*burstLength.Seconds(), burstShare*float64(all)))
}

// allowsOnce reports whether requests that may run only once may use permits: the
// last ones to do so.
func (c *Controller) allowsOnce(now time.Time) bool {
	if c.evidence.total.Answers == 0 {
		return c.replicas.New > 0 && now.Sub(c.began) > takeoverPause+onceAfter
	}
	return c.evidence.total.Failures <= goodFloor/2
}

// reserve raises the reservation if it will be used up soon.
func (c *Controller) reserve(now time.Time) {
	if c.row.Stage != Trial || c.replicas.New == 0 {
		return
	}
	full := c.perReplica() * float64(c.endpoints(now))
	accrued := shareAim * c.bounds.Share * c.rate
	ahead := min(full, accrued+float64(c.available(now))) * reserveAhead.Seconds()
	spent := c.spent()
	n := max(minReserve, int(math.Ceil(ahead)))
	switch {
	case c.tried() < firstPermits:
		n = min(n, firstPermits)
	case !c.bursting && float64(c.available(now)) < nearBurst*c.burstSize(now):
		n = minReserve
	}
	if c.row.Reserved-spent < n/2 {
		c.row.Reserved = spent + n
	}
}
