package room

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// returnedFraction is the fraction of the time that a route gives by which the
	// time left of a returning request is less.
	returnedFraction = 0.005
	// givenWindow is the time after which the longest time that clients had expires, at
	// the latest after twice as long.
	givenWindow = time.Minute
)

// Class is a class of requests.
type Class struct {
	Customer string
	// Urgency is the customer's, else the route's. 0 is the most urgent.
	Urgency int
	Long    bool
	// Returning is set for requests that return after a refusal. Decide sets it by
	// the time left.
	Returning bool
}

// Request is a request that asks for room.
type Request struct {
	Class
	Service, Route string
	// Work is the engine time in seconds that the request takes; 0 for plain
	// services, whose work is learned from answers.
	Work float64
	// Objective is the latency objective, and Remaining the time that the client
	// waits.
	Objective, Remaining time.Duration
	// Identity returns a number that is equal for the attempts of one request. It is
	// called only while room is short. It may be nil.
	Identity func() uint64
}

// Decision is the decision on a request.
type Decision struct {
	Admit bool
	// RetryAfter is set if the request is refused.
	RetryAfter time.Duration
	// Room is the work per second that the service has room for, up to the urgency of
	// the request, and Asked the demand. Fraction is the fraction of the class that is
	// served, and Waiting the work that waits.
	Room, Asked, Fraction, Waiting float64
	// Age is that of the view. Alone is set if the view wasn't used.
	Age   time.Duration
	Alone bool
	// Place is the place of the request among a thousand equal ones. Those with the
	// lowest places are served.
	Place int
	// Returning is set if the request returned after a refusal.
	Returning bool
}

// Capacity is what the ready replicas of a service can do.
type Capacity struct {
	// Replicas is the number of ready replicas, each weighted with its speed relative
	// to 1.
	Replicas float64
	// Slots is the number of requests that they run at once.
	Slots int
	// Starting is the number of replicas that are expected to be ready in StartsIn.
	Starting float64
	StartsIn time.Duration
}

// Options configure a Controller.
type Options struct {
	// Capacity returns the capacity of a service.
	Capacity func(service string) Capacity
	// Expected is called with an expected time until there is room, and the actual
	// one. It may be nil.
	Expected func(expected, actual time.Duration)
	// Count counts a decision by its event. It may be nil.
	Count func(event string)
	// Seed seeds the places of requests without an identity.
	Seed uint64
	Log  *logrus.Entry
}

// Controller decides about admission. It is safe for concurrent use.
type Controller struct {
	opt Options

	mu       sync.Mutex
	random   *rand.Rand
	view     View
	viewAt   time.Time
	services map[string]*service
	// given is the longest time that clients had lately.
	given map[givenKey]given
}

// givenKey is by customer as well, so that a client with an unusual timeout doesn't make
// the requests of other customers look like returning ones.
type givenKey struct{ route, customer string }

// given is the longest time that clients had lately.
type given struct {
	// longest is that of this and the last window, latest that of this window, which
	// began at since.
	longest, latest time.Duration
	since           time.Time
}

// New returns a Controller.
func New(o Options) *Controller {
	return &Controller{
		opt: o, random: rand.New(rand.NewPCG(o.Seed, 1)),
		services: make(map[string]*service), given: make(map[givenKey]given),
	}
}

// Events of decisions.
const (
	// EventAdmitted counts the requests that are admitted because there is room for
	// all of their class.
	EventAdmitted = "admitted"
	// EventSelected and EventRefused count those that are admitted and refused while
	// room is short, EventReturned and EventRefusedAgain those that have returned.
	EventSelected     = "selected"
	EventRefused      = "refused"
	EventReturned     = "returned"
	EventRefusedAgain = "refused_again"
)

// event returns the event of a decision.
func (d Decision) event() string {
	switch {
	case d.Admit && d.Fraction >= 1:
		return EventAdmitted
	case d.Admit && d.Returning:
		return EventReturned
	case d.Admit:
		return EventSelected
	case d.Returning:
		return EventRefusedAgain
	default:
		return EventRefused
	}
}

// Decide decides whether a request is admitted. It is called once for each request,
// after its customer's limit has admitted it.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.decideLocked(now, r)
	if c.opt.Count != nil {
		c.opt.Count(d.event())
	}
	return d
}

func (c *Controller) decideLocked(now time.Time, r Request) Decision {
	s := c.serviceLocked(r.Service)
	elapsed := c.elapsedLocked(now, r)
	r.Returning = elapsed > 0
	r.Work = s.workOf(r)
	s.sawObjective(now, r)
	if !r.Returning {
		s.asked(now, r)
	}
	a := c.allocationLocked(now, r.Service, s)
	s.resolve(now, c.opt.Expected)
	fraction := a.fraction(r.Urgency, r.Customer)
	d := Decision{
		Room: a.room[r.Urgency], Asked: a.asked[r.Urgency], Waiting: a.waiting, Fraction: fraction,
		Age: now.Sub(c.viewAt), Alone: a.alone, Returning: r.Returning,
	}
	place := 0.0
	if d.Admit = fraction >= 1; !d.Admit {
		place = c.placeLocked(now, r, elapsed)
		d.Place, d.Admit = int(1000*place), admits(place, fraction, elapsed, r)
	}
	if d.Admit {
		if r.Returning {
			// A request that returns is demand once, when it was refused, unless it is
			// work now.
			s.asked(now, r)
		}
		return d
	}
	wait := expectedIn(place, fraction, elapsed, r, s.outlook(now, a))
	d.RetryAfter = spread(wait, c.random.Float64())
	s.expect(now, r, place, d.RetryAfter)
	return d
}

// elapsedLocked returns the time since the client first sent a request that returns,
// and 0 for a new one.
func (c *Controller) elapsedLocked(now time.Time, r Request) time.Duration {
	key := givenKey{r.Route, r.Customer}
	g := c.given[key]
	if now.Sub(g.since) > givenWindow {
		g = given{longest: g.latest, since: now}
	}
	g.longest, g.latest = max(g.longest, r.Remaining), max(g.latest, r.Remaining)
	c.given[key] = g
	elapsed := g.longest - r.Remaining
	if elapsed <= time.Duration(returnedFraction*float64(g.longest)) {
		return 0
	}
	return elapsed
}

// HasRoom reports whether all requests of an urgency are admitted, so that a request
// that a full replica refused may be offered to another one.
func (c *Controller) HasRoom(now time.Time, service string, urgency int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allocationLocked(now, service, c.serviceLocked(service))
	return a.least[urgency] >= 1
}

// RoomIn returns the time until the replicas of a service have worked off what waits
// beyond the objective of a request that replicas refused.
func (c *Controller) RoomIn(now time.Time, r Request) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceLocked(r.Service)
	a := c.allocationLocked(now, r.Service, s)
	s.waited(now, r.Urgency, r.Objective.Seconds())
	return spread(min(a.drain+minWait, r.Remaining/3), c.random.Float64())
}

func (c *Controller) serviceLocked(name string) *service {
	s := c.services[name]
	if s == nil {
		s = newService()
		c.services[name] = s
	}
	return s
}
