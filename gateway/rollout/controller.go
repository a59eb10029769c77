package rollout

import (
	"fmt"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// orderLag is the assumed time from an order until the first entry learnt of it, and
	// maxOrderLag bounds how much earlier than the holder an entry may have.
	orderLag, maxOrderLag = 300 * time.Millisecond, 5 * time.Second
	// withdrawGrace is the time for which an order must be missing to count as withdrawn.
	// A table that comes back from a copy may lack it until it is written again.
	withdrawGrace = 3 * time.Second
	// windowLength is the time between two judgements, and shortWindow that while reports
	// come often.
	windowLength, shortWindow = 500 * time.Millisecond, 50 * time.Millisecond
	// A verdict is due before the deadline by the time that moving the requests
	// takes: the duration divided by moveDivisor, within minMove and maxMove.
	moveDivisor      = 5
	minMove, maxMove = 3 * time.Second, 20 * time.Second
	// lastVerdict, with lastPeriods report periods, is the time before the deadline until
	// which a version that isn't proved when its verdict is due gets more permits.
	lastVerdict, lastPeriods = 1500 * time.Millisecond, 1.5
	// finalTrial is the last part of the trial before the verdict is due. In it and while
	// requests move, reports come often. In it, permits are given out for the requests
	// until the deadline as well, of which futureShare is counted on, because the verdict
	// is the last occasion to close the version before all requests reach it.
	finalTrial, futureShare = 2000 * time.Millisecond, 0.8
	// lastMove is the time before the deadline at which a version that is proved is
	// given up if too few of its replicas are ready.
	lastMove = time.Second
	// minCapacity is the share of the old version's slots that the new one needs
	// before the requests move.
	minCapacity = 0.6
	// A verdict is reached before it is due after minTrial and minAnswers.
	minTrial, minAnswers = 20 * time.Second, 300
	// leastAnswers is the number of answers without which no version is proved.
	leastAnswers = 15
	// takeoverPause is the longest time after a change of the holder without permits:
	// it waits for the reports of all live entries.
	takeoverPause = 1200 * time.Millisecond
	// reserveAhead is the time for which permits are reserved in the table, but at
	// least minReserve. What is reserved is lost if the holder changes.
	reserveAhead, minReserve = time.Second, 10
	// nearBurst is the share of the permits for a burst from which on they are reserved:
	// some seconds before the burst they would only be lost.
	nearBurst = 0.7
	// A turn, after which the permits are for other replicas of the new version, lasts
	// minTurn, but at least turnPeriods report periods, after one of which all entries
	// know it, and until a burst has ended. With turns, a replica that fails for a cause of
	// its own decides little.
	minTurn, turnPeriods = 3 * time.Second, 3
	// fullLoad is the load of a replica on trial relative to that of an old one. A part
	// of the permits expires unused.
	fullLoad = 1.3
	// rateWeight is the weight of a new sample of the request rate.
	rateWeight = 0.3
	// maxCarry bounds the permits that an entry accumulates between reports.
	maxCarry = 3
	// If permits for a full replica's load can't be given out all the time, they are saved
	// for bursts of burstLength, which takes a replica to that load, but not more than
	// burstShare of all permits until the verdict is due. The first firstPermits, and what
	// is left lastBurst before the verdict, are given out in bursts of minBurst.
	burstLength, burstShare = 1500 * time.Millisecond, 0.75
	firstPermits, minBurst  = 25, 3
	lastBurst               = 2 * time.Second
	// reportTTL is the age from which on a report no longer proves that its entry
	// has stopped using the old versions.
	reportTTL = 2500 * time.Millisecond
	// onceAfter is the time without an answer after which requests that may run only
	// once use permits: the service may have no others.
	onceAfter = 2 * time.Second
)

// reporter is an incarnation of an entry.
type reporter struct{ id, incarnation string }

type lastReport struct {
	peer.RolloutReport
	at time.Time
	// returnedBefore is the number of permits that had been returned when the first
	// report came, and granted what this holder gave out since.
	returnedBefore, granted int
	// perSecond is the rate of requests.
	perSecond, carry float64
	// phase is what carry begins with.
	phase float64
}

// Replicas counts the ready replicas of a service.
type Replicas struct {
	// New counts those of the ordered version, Old those of allowed versions, and
	// their slots.
	New, Old           int
	NewSlots, OldSlots int
}

// View is the state of the system at a step.
type View struct {
	// Order is the order in force, and HasOrder is false if it was deleted.
	Order    Order
	HasOrder bool
	Replicas Replicas
	// Live are the live entries.
	Live []string
}

// Controller decides on one order. Its methods are not safe for concurrent use.
type Controller struct {
	service string
	bounds  Bounds
	row     Row
	// base is the time of the order by this holder's clock, and began the time at
	// which this holder took over.
	base, began time.Time
	// known is the time since the order when this holder took over.
	known time.Duration
	// takenOver is set if an earlier holder may have given out permits, until all
	// live entries have reported.
	takenOver bool
	live      []string
	// id identifies the controller in replies; 0 before the first one.
	id       uint64
	reports  map[reporter]*lastReport
	evidence *evidence
	windowAt time.Time
	// trialSince is the time of the first answer of the new version.
	trialSince time.Time
	replicas   Replicas
	// committed is the stage in the table, and reserved the reservation there.
	committed Stage
	reserved  int
	// spentBefore is the number of permits that earlier holders may have given out.
	spentBefore int
	rate        float64
	bursting    bool
	// firstBurst is set in the burst of the first permits.
	firstBurst bool
	// turn selects the replicas on trial since turnAt.
	turn        int
	turnAt      time.Time
	movingSince time.Time
	// missingSince is the time since which the order is missing; zero if it is there.
	missingSince time.Time
}

// NewController continues an order with its row. sinceOrder is the time since the
// order, committed is set if the row is in the table.
func NewController(now time.Time, service string, b Bounds, row Row, committed bool, sinceOrder time.Duration) *Controller {
	elapsed := max(sinceOrder+orderLag, time.Duration(row.ElapsedMS)*time.Millisecond)
	c := &Controller{
		service: service, bounds: b, row: row, base: now.Add(-elapsed), known: elapsed, began: now, windowAt: now,
		reports: make(map[reporter]*lastReport), evidence: newEvidence(), spentBefore: row.Reserved,
	}
	if committed {
		c.committed, c.reserved, c.takenOver = row.Stage, row.Reserved, true
		c.evidence.restore(row.Evidence)
	}
	if row.Stage == Moving {
		c.movingSince = now
	}
	return c
}

// Row returns the row to be in the table.
func (c *Controller) Row() Row { return c.row }

// Committed records that a row is in the table.
func (c *Controller) Committed(r Row) {
	c.committed, c.reserved = r.Stage, r.Reserved
	c.row.Status = r.Status
}

// ReservedByOther records that an earlier holder, which didn't know of this one yet, has
// raised the reservation in the table. It may have handed out what it reserved.
func (c *Controller) ReservedByOther(before, now int) {
	if now > before {
		c.spentBefore += now - before
		c.row.Reserved = max(c.row.Reserved, now)
	}
}

// left returns the time until the deadline.
func (c *Controller) left(now time.Time) time.Duration {
	return time.Duration(c.row.DurationMS)*time.Millisecond - now.Sub(c.base)
}

// moveTime returns the time before the deadline at which the verdict is due.
func (c *Controller) moveTime() time.Duration {
	d := time.Duration(c.row.DurationMS) * time.Millisecond
	return min(d/2, max(minMove, min(maxMove, d/moveDivisor)))
}

// stage returns the stage that is sent to entries. A version is closed before the table
// confirms it, and opened only afterwards.
func (c *Controller) stage() Stage {
	if c.row.Stage == RolledBack || c.row.Stage == c.committed {
		return c.row.Stage
	}
	if c.row.Stage == Completed {
		return Moving
	}
	return Trial
}

// Step advances the roll-out. The caller commits Row if it has changed.
func (c *Controller) Step(now time.Time, v View) {
	c.replicas, c.live = v.Replicas, v.Live
	if v.HasOrder && v.Order.Duration > 0 {
		c.row.DurationMS = v.Order.Duration.Milliseconds()
	}
	c.updateRate()
	switch c.row.Stage {
	case Trial:
		c.stepTrial(now, v)
	case Moving:
		c.stepMoving(now, v)
	}
	c.row.ElapsedMS, c.row.Evidence = now.Sub(c.base).Milliseconds(), c.evidence.saved()
}

func (c *Controller) updateRate() {
	c.rate = 0
	for _, r := range c.reports {
		c.rate += r.perSecond
	}
}

func (c *Controller) stepTrial(now time.Time, v View) {
	if !v.HasOrder {
		if c.missingSince.IsZero() {
			c.missingSince = now
		}
		if now.Sub(c.missingSince) >= withdrawGrace {
			c.end(RolledBack, Withdrawn)
		}
		return
	}
	c.missingSince = time.Time{}
	c.judge(now)
	if c.evidence.total.Answers > 0 && c.trialSince.IsZero() {
		c.trialSince = now
	}
	if reason, bad := c.evidence.bad(); bad {
		c.close(reason)
		return
	}
	if c.awaitsReports(now) {
		return
	}
	due := c.left(now) <= c.moveTime()
	early := !c.trialSince.IsZero() && now.Sub(c.trialSince) >= minTrial && c.evidence.provedEarly()
	if due || early {
		c.decide(now)
	}
	c.reserve(now)
}

// judge judges what was reported since the last window.
func (c *Controller) judge(now time.Time) {
	length := windowLength
	if c.often(now) {
		length = shortWindow
	}
	if d := now.Sub(c.windowAt); d >= length {
		c.windowAt = now
		c.evidence.window(totalsOf(c.reports), d)
	}
}

// often reports whether reports are due often: shortly before the verdict and while requests
// move, when a version that turns bad has to be closed soon.
func (c *Controller) often(now time.Time) bool {
	return c.row.Stage == Moving || c.inFinalTrial(now)
}

func (c *Controller) inFinalTrial(now time.Time) bool {
	return c.row.Stage == Trial && c.left(now) <= c.moveTime()+finalTrial
}

// decide reaches the verdict on a version against which there is no proof.
func (c *Controller) decide(now time.Time) {
	period := reportPeriod(len(c.live), true)
	last := c.left(now) <= min(lastVerdict+time.Duration(lastPeriods*float64(period)), c.moveTime())
	if reason, good := c.evidence.good(last); !good {
		if last {
			c.close(reason)
		}
		return
	}
	if float64(c.replicas.NewSlots) >= minCapacity*float64(c.replicas.OldSlots) && c.replicas.New > 0 {
		c.end(Moving, "version is proved")
		c.movingSince = now
		return
	}
	if c.left(now) <= lastMove {
		c.end(RolledBack, fmt.Sprintf("only %d replicas are ready, of %d of the old version", c.replicas.New, c.replicas.Old))
	}
}

// close ends the trial with the verdict that the version is bad.
func (c *Controller) close(reason string) {
	c.end(RolledBack, reason)
	if !slices.Contains(c.row.Closed, c.row.To) {
		c.row.Closed = append(slices.Clone(c.row.Closed), c.row.To)
	}
}

func (c *Controller) end(s Stage, reason string) { c.row.Stage, c.row.Reason = s, reason }

// stepMoving completes the roll-out once no entry uses the old versions any more. A
// version that turns out to be bad before is closed: the old replicas are still there.
func (c *Controller) stepMoving(now time.Time, v View) {
	c.judge(now)
	if reason, bad := c.evidence.badWhileMoving(); bad {
		c.close(reason)
		return
	}
	if c.committed != Moving {
		c.movingSince = now
		return
	}
	// A new incarnation of an entry proves that the one before has ended.
	newest := make(map[string]*lastReport)
	for key, r := range c.reports {
		if last := newest[key.id]; last == nil || r.at.After(last.at) {
			newest[key.id] = r
		}
	}
	moved := make(map[string]bool)
	for id, r := range newest {
		if now.Sub(r.at) <= reportTTL && !r.at.Before(c.movingSince) {
			moved[id] = r.Stage == string(Moving) && r.OldInFlight == 0
		}
	}
	for _, id := range v.Live {
		if !moved[id] {
			return
		}
	}
	for _, done := range moved {
		if !done {
			return
		}
	}
	if len(moved) > 0 && v.Replicas.New > 0 {
		c.end(Completed, c.row.Reason)
		c.row.allow(c.row.To)
	}
}
