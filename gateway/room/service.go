package room

import (
	"cmp"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// meterTime is the time constant of rates. It smooths single requests over all
	// entries, and follows a burst within two reports.
	meterTime = 800 * time.Millisecond
	// defaultHold is the assumed time in seconds that a request keeps its slot.
	defaultHold = 0.05
	// holdWeight is the weight of one sample of that time.
	holdWeight = 0.02
	// calibrationTime is the time constant with which the capacity of a replica
	// follows the work that replicas accept while work waits.
	calibrationTime = 2 * time.Second
	// confirmFraction is the mean wait, as a fraction of the permitted one, that
	// confirms that room is short.
	confirmFraction = 0.5
	// waitPrior is the weight of a wait of 0 in the mean wait, so that a single long
	// wait of an entry with few requests confirms nothing.
	waitPrior = 0.5
	// minPerReplica and maxPerReplica bound the calibrated capacity.
	minPerReplica, maxPerReplica = 0.4, 2.0
	// maxExpected is the number of refusals whose expected times are compared with the
	// actual ones at the same time, and maxExpectedAge the time after which a
	// comparison ends.
	maxExpected    = 64
	maxExpectedAge = 10 * time.Second
	// objectiveTTL is how long an objective counts that no request has any more.
	objectiveTTL = 30 * time.Second
	// maxClasses bounds the classes of one service at one entry.
	maxClasses = 256
)

// meter is a decaying average of a rate.
type meter struct {
	perSecond float64
	at        time.Time
}

func (m *meter) rate(now time.Time) float64 {
	return m.perSecond * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterTime.Seconds())
}

func (m *meter) add(now time.Time, n float64) {
	m.perSecond, m.at = m.rate(now)+n/meterTime.Seconds(), now
}

type classKey struct {
	urgency  int
	customer string
}

type classMeters struct{ work, requests meter }

// service is the state of one service.
type service struct {
	classes  map[classKey]*classMeters
	waiting  map[int]float64
	waits    map[int]*waitMean
	inFlight int
	accepted meter
	// objectives are the least objectives by urgency, last seen at objectivesAt.
	objectives   map[int]time.Duration
	objectivesAt map[int]time.Time
	// hold is the time in seconds that a request keeps its slot.
	hold float64
	// perReplica is the calibrated capacity of a replica, as of calibratedAt.
	perReplica   float64
	calibratedAt time.Time

	capacity    Capacity
	allocation  *allocation
	allocatedAt time.Time
	// shortSince is the time from which room has been short, and viewShortSince that
	// from which it has been short by the view; zero if it isn't.
	shortSince, viewShortSince time.Time
	// tightAt is when more work than usual last waited.
	tightAt time.Time
	// confirmedAt is when this entry itself last saw that work waits.
	confirmedAt time.Time
	expected    []expectation
}

// expectation is the expected time until there is room for a refused request.
type expectation struct {
	request Request
	place   float64
	at      time.Time
	wait    time.Duration
}

func newService() *service {
	return &service{
		classes: make(map[classKey]*classMeters), waiting: make(map[int]float64), waits: make(map[int]*waitMean),
		objectives: make(map[int]time.Duration), objectivesAt: make(map[int]time.Time), hold: defaultHold, perReplica: 1,
	}
}

// workOf returns the work of a request in seconds of a replica.
func (s *service) workOf(r Request) float64 {
	if r.Work > 0 || s.capacity.Slots <= 0 {
		return r.Work
	}
	return s.hold * s.capacity.Replicas / float64(s.capacity.Slots)
}

// sawObjective records the objective of a request.
func (s *service) sawObjective(now time.Time, r Request) {
	old, expired := s.objectives[r.Urgency], now.Sub(s.objectivesAt[r.Urgency]) > objectiveTTL
	if r.Objective > 0 && (old == 0 || r.Objective <= old || expired) {
		s.objectives[r.Urgency], s.objectivesAt[r.Urgency] = r.Objective, now
	}
}

// asked counts a request as demand.
func (s *service) asked(now time.Time, r Request) {
	key := classKey{r.Urgency, r.Customer}
	m := s.classes[key]
	if m == nil {
		if len(s.classes) >= maxClasses {
			s.prune(now)
		}
		m = &classMeters{}
		s.classes[key] = m
	}
	m.work.add(now, r.Work)
	m.requests.add(now, 1)
}

// prune drops the classes without recent demand.
func (s *service) prune(now time.Time) {
	for key, m := range s.classes {
		if m.requests.rate(now) < 0.01 {
			delete(s.classes, key)
		}
	}
}

// own returns the demand at this entry.
func (s *service) own(now time.Time) peer.ServiceDemand {
	d := peer.ServiceDemand{
		Classes: make(map[int]map[string]peer.ClassDemand), Waiting: make(map[int]float64),
		InFlight: float64(s.inFlight), Accepted: s.accepted.rate(now),
	}
	for key, m := range s.classes {
		if d.Classes[key.urgency] == nil {
			d.Classes[key.urgency] = make(map[string]peer.ClassDemand)
		}
		d.Classes[key.urgency][key.customer] = peer.ClassDemand{Work: m.work.rate(now), Requests: m.requests.rate(now)}
	}
	for urgency, w := range s.waiting {
		d.Waiting[urgency] = max(0, w)
	}
	return d
}

// waitMean is the decaying mean of how long requests waited behind others.
type waitMean struct {
	seconds, weight float64
	at              time.Time
}

// waited records how long a request waited behind others. A mean of a good part of
// what is permitted confirms that room is short; single long waits occur at any load.
func (s *service) waited(now time.Time, urgency int, seconds float64) {
	m := s.waits[urgency]
	if m == nil {
		m = &waitMean{}
		s.waits[urgency] = m
	}
	k := math.Exp(-max(0, now.Sub(m.at).Seconds()) / maxUnconfirmed.Seconds())
	m.seconds, m.weight, m.at = m.seconds*k+max(0, seconds), m.weight*k+1, now
	objective := cmp.Or(s.objectives[urgency], defaultObjective).Seconds()
	if m.seconds/(m.weight+waitPrior) > confirmFraction*waitFraction*objective {
		s.confirmedAt = now
	}
}

// confirmed reports whether this entry itself has seen lately that work waits.
func (s *service) confirmed(now time.Time) bool { return now.Sub(s.confirmedAt) < maxUnconfirmed }

// believes reports whether an allocation from the view is used: a shortage that this
// entry has not seen itself for a time may be that of a reporter that is stuck.
func (s *service) believes(now time.Time, a *allocation) bool {
	if !a.short() {
		s.viewShortSince = time.Time{}
		return true
	}
	if s.viewShortSince.IsZero() {
		s.viewShortSince = now
	}
	return now.Sub(s.viewShortSince) < maxUnconfirmed || s.confirmed(now)
}

// calibrate updates the capacity of a replica by the work that replicas accept while
// work waits.
func (s *service) calibrate(now time.Time, snap snapshot) {
	elapsed := now.Sub(s.calibratedAt).Seconds()
	s.calibratedAt = now
	if snap.capacity.Replicas <= 0 || elapsed > 60 {
		return
	}
	weight := 1 - math.Exp(-elapsed/calibrationTime.Seconds())
	measured := snap.demand.Accepted / snap.capacity.Replicas
	if s.allocation != nil && s.allocation.drain > 0 || measured > s.perReplica {
		s.perReplica += weight * (measured - s.perReplica)
	} else if s.perReplica < 1 {
		s.perReplica += weight / 4 * (1 - s.perReplica)
	}
	s.perReplica = min(max(s.perReplica, minPerReplica), maxPerReplica)
}

// install replaces the allocation, and logs when room becomes short and when it is
// sufficient again.
func (s *service) install(now time.Time, c Capacity, a *allocation, log *logrus.Entry, name string) {
	s.capacity, s.allocation, s.allocatedAt = c, a, now
	short := a.short()
	if short == !s.shortSince.IsZero() {
		return
	}
	fields := logrus.Fields{
		"service": name, "replicas": c.Replicas, "capacity": a.total, "asked": a.asked, "room": a.room,
		"waiting_ms": int64(1000 * a.waiting), "alone": a.alone, "served": a.least,
	}
	if short {
		s.shortSince = now
		log.WithFields(fields).Warn("room: short.")
		return
	}
	log.WithFields(fields).WithField("short_ms", now.Sub(s.shortSince).Milliseconds()).Info("room: sufficient.")
	s.shortSince = time.Time{}
}

// outlook returns what is expected of the room of the service.
func (s *service) outlook(now time.Time, a *allocation) outlook {
	o := outlook{drain: a.drain, short: now.Sub(s.shortSince)}
	if a.starting > 0 && a.total > 0 {
		o.startsIn, o.gain = a.startsIn, 1+a.starting/a.total
	}
	return o
}

// expect records the expected time until there is room for a request.
func (s *service) expect(now time.Time, r Request, place float64, wait time.Duration) {
	if len(s.expected) < maxExpected && !r.Returning {
		s.expected = append(s.expected, expectation{r, place, now, wait})
	}
}

// resolve reports the actual times of expectations that have come true.
func (s *service) resolve(now time.Time, report func(expected, actual time.Duration)) {
	kept := s.expected[:0]
	for _, e := range s.expected {
		waited := now.Sub(e.at)
		fraction := s.allocation.fraction(e.request.Urgency, e.request.Customer)
		room := fraction >= 1 || admits(e.place, fraction, 0, e.request) || e.place < fraction && waited >= e.wait
		switch {
		case !room && waited < maxExpectedAge:
			kept = append(kept, e)
		case report != nil:
			report(e.wait, waited)
		}
	}
	s.expected = kept
}
