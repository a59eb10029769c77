package room

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// waitFraction is the fraction of an objective for which admitted requests may
	// wait on average. The longest of a hundred waits is about twice as long.
	waitFraction = 0.3
	// freeFraction is the fraction of the permitted waiting work below which
	// everything is admitted: replicas with so short queues have room, whatever the
	// estimate of their capacity is.
	freeFraction = 0.25
	// correctionTime is the time in seconds in which a deviation of the waiting work
	// from the permitted one is to be corrected. With less than the age of the view the
	// correction would oscillate.
	correctionTime = 1.5
	// floorFraction is the least served fraction of a class, relative to the mean. A
	// quarter is required; the rest is for random deviations.
	floorFraction = 0.32
	// floorRounds is the number of rounds in which the floor and the mean that it
	// depends on are computed.
	floorRounds = 4
	// defaultObjective is the objective of an urgency of which this entry has not seen
	// a request.
	defaultObjective = time.Second
)

// snapshot is what an allocation is computed from.
type snapshot struct {
	capacity Capacity
	// perReplica is the work per second that a replica of speed 1 accepts.
	perReplica float64
	// hold is the time in seconds that a request keeps its slot.
	hold       float64
	objectives map[int]time.Duration
	demand     peer.ServiceDemand
	// alone is set if the demand is this entry's, multiplied by the members.
	alone bool
	// confirmed is set if this entry itself has seen that work waits.
	confirmed bool
}

// allocation is the fraction of the demand that is served.
type allocation struct {
	alone bool
	// fractions is by urgency and customer, in [0, 1]. least is the least of an
	// urgency.
	fractions map[int]map[string]float64
	least     map[int]float64
	// room and asked are the work per second up to an urgency. Room is 0 where it is
	// not limited.
	room, asked map[int]float64
	// waiting is the work that waits, per replica, and drain the time until only the
	// permitted part of it does.
	waiting float64
	drain   time.Duration
	// total is the capacity, and perReplica that of a replica of speed 1.
	total, perReplica float64
	starting          float64
	startsIn          time.Duration
}

// fraction returns the served fraction of a customer at an urgency. A customer that no
// entry has reported is new, and small.
func (a *allocation) fraction(urgency int, customer string) float64 {
	if f, ok := a.fractions[urgency][customer]; ok {
		return f
	}
	return 1
}

// short reports whether any class is not served completely.
func (a *allocation) short() bool {
	for _, f := range a.least {
		if f < 1 {
			return true
		}
	}
	return false
}

// level is the demand of an urgency.
type level struct {
	urgency int
	classes map[string]peer.ClassDemand
	work    float64
	// limit is the work per second that may be served up to this level; below 0 if
	// there is no limit.
	limit float64
}

// allocate returns the allocation for a snapshot. It is a pure function.
func allocate(s snapshot) *allocation {
	a := &allocation{
		alone: s.alone, fractions: make(map[int]map[string]float64), least: make(map[int]float64),
		room: make(map[int]float64), asked: make(map[int]float64), perReplica: s.perReplica,
		total: s.perReplica * s.capacity.Replicas, starting: s.capacity.Starting * s.perReplica, startsIn: s.capacity.StartsIn,
	}
	levels := a.levels(s)
	short := slices.ContainsFunc(levels, func(l level) bool { return l.limit >= 0 })
	floor := 0.0
	for range floorRounds {
		a.share(levels, floor, short)
		floor = floorFraction * a.meanServed(levels)
	}
	if s.alone {
		for _, customers := range a.fractions {
			for name, f := range customers {
				customers[name] = max(f, minAloneFraction)
			}
		}
	}
	for urgency, customers := range a.fractions {
		a.least[urgency] = 1
		for _, f := range customers {
			a.least[urgency] = min(a.least[urgency], f)
		}
	}
	return a
}

// levels returns the levels of demand, the most urgent first, with their limits.
func (a *allocation) levels(s snapshot) []level {
	var out []level
	waiting, asked, drain := 0.0, 0.0, 0.0
	seen := make(map[int]bool)
	for urgency := range s.demand.Classes {
		seen[urgency] = true
	}
	for urgency := range s.demand.Waiting {
		seen[urgency] = true
	}
	urgencies := slices.Sorted(maps.Keys(seen))
	for i, urgency := range urgencies {
		l := level{urgency: urgency, classes: s.demand.Classes[urgency], limit: -1}
		for _, c := range l.classes {
			l.work += c.Work
		}
		waiting += max(0, s.demand.Waiting[urgency])
		asked += l.work
		if i == len(urgencies)-1 {
			waiting = max(waiting, slotBacklog(s))
		}
		permitted := permittedWork(s, urgency)
		if waiting > freeFraction*permitted && (!s.alone || s.confirmed) && s.capacity.Replicas > 0 {
			l.limit = max(0, a.total+(permitted-waiting)/correctionTime)
			a.room[urgency] = l.limit
		}
		if a.total > 0 {
			drain = max(drain, (waiting-permitted)/a.total)
		}
		a.asked[urgency] = asked
		out = append(out, l)
	}
	if s.capacity.Replicas > 0 {
		a.waiting = waiting / s.capacity.Replicas
	}
	a.drain = time.Duration(drain * float64(time.Second))
	return out
}

// permittedWork returns the work that may wait up to an urgency.
func permittedWork(s snapshot, urgency int) float64 {
	objective := cmp.Or(s.objectives[urgency], defaultObjective)
	return s.capacity.Replicas * (waitFraction*objective.Seconds() + s.perReplica*ownWork(s))
}

// ownWork returns the mean work of a request, which is in progress at each replica
// without being a queue.
func ownWork(s snapshot) float64 {
	work, requests := 0.0, 0.0
	for _, customers := range s.demand.Classes {
		for _, c := range customers {
			work, requests = work+c.Work, requests+c.Requests
		}
	}
	if requests <= 0 {
		return 0
	}
	return work / requests
}

// slotBacklog returns the work that waits for slots: the requests beyond the slots of
// all replicas.
func slotBacklog(s snapshot) float64 {
	slots := float64(s.capacity.Slots)
	if slots <= 0 {
		return 0
	}
	return max(0, s.demand.InFlight-slots) * s.hold * s.capacity.Replicas / slots
}

// share computes the fractions with a floor for each class. An urgency is served no
// better than the mean of a more urgent one.
func (a *allocation) share(levels []level, floor float64, short bool) {
	served, ceiling := 0.0, 1.0
	for i, l := range levels {
		available, limited := l.limit-served, l.limit >= 0
		// Room for the floors of the less urgent levels is set aside.
		reserved := 0.0
		for _, less := range levels[i+1:] {
			reserved += floor * less.work
		}
		fractions := make(map[string]float64, len(l.classes))
		cut := 1.0
		if limited {
			cut = waterLevel(l.classes, max(0, available-reserved), floor)
		}
		requests, servedRequests := 0.0, 0.0
		for name, c := range l.classes {
			f := 1.0
			if limited && c.Work > 0 {
				f = min(1, max(floor, cut/c.Work))
			}
			if short {
				f = min(f, ceiling)
			}
			fractions[name] = f
			served += f * c.Work
			requests, servedRequests = requests+c.Requests, servedRequests+f*c.Requests
		}
		a.fractions[l.urgency] = fractions
		if requests > 0 {
			ceiling = min(ceiling, servedRequests/requests)
		}
	}
}

// waterLevel returns the work per second that each customer gets at most, so that all
// of the available work is served: max-min fairness above a floor.
func waterLevel(classes map[string]peer.ClassDemand, available, floor float64) float64 {
	works := make([]float64, 0, len(classes))
	for _, c := range classes {
		works = append(works, c.Work)
	}
	slices.Sort(works)
	given := 0.0
	for i, w := range works {
		if share := (available - given) / float64(len(works)-i); w > share {
			return levelAboveFloor(works, available, floor, share)
		}
		given += w
	}
	if len(works) == 0 {
		return 0
	}
	return works[len(works)-1]
}

// levelAboveFloor lowers a level until the floors of the largest customers, which are
// above it, fit into the available work.
func levelAboveFloor(works []float64, available, floor, level float64) float64 {
	low, high := 0.0, level
	for range 20 {
		middle, sum := (low+high)/2, 0.0
		for _, w := range works {
			sum += max(min(w, middle), floor*w)
		}
		if sum > available {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// meanServed returns the served fraction of all requests.
func (a *allocation) meanServed(levels []level) float64 {
	requests, served := 0.0, 0.0
	for _, l := range levels {
		for name, c := range l.classes {
			requests += c.Requests
			served += a.fractions[l.urgency][name] * c.Requests
		}
	}
	if requests <= 0 {
		return 1
	}
	return served / requests
}
