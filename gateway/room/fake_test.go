package room

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// policy is what the entries of a play do about admission.
type policy string

const (
	withRoom policy = "room"
	// current is the code without room: it refuses what would miss its deadline at the
	// chosen engine, and offers what an engine refuses to others.
	current policy = "current"
	// firstCome admits everything, to engines that ignore urgencies.
	firstCome policy = "first come"
)

// scenario is a load on the engines of deployment A.
type scenario struct {
	policy     policy
	entries    int
	seed       uint64
	load       float64
	burst      bool // x 2 from 5 to 15 s, on top of x 1.5 from 8 to 20 s
	large      bool // the second customer of 16 at x 6 from 5 to 20 s
	domainLost bool // from 9 to 28 s
	limited    bool // the limit of the largest customer is lowered to a third from 10 to 20 s
	frozen     bool // a third of the engines do nothing from 9 to 19 s, and are still registered
	impatient  float64
	// estimate is the ratio of the estimated to the true work.
	estimate float64
	fault    func(p *play, entry int, now float64, v *View)
}

const (
	engines, playEnd, playSlots, playQueue = 72, 32.0, 16, 33
	longWork, shortWork                    = 6610 / 101e3 * 1.15, 1800 / 101e3 * 1.15
	longHold, shortHold                    = 2.0, 0.15
)

// job is one request of a client.
type job struct {
	urgency, customer   int
	work, size, hold    float64
	objective, deadline float64
	inTime, late        float64
	sent                float64 // first
	tries               int
	// expected is set if the client was told to return within a third of its time left.
	expected  bool
	entry     int
	identity  uint64
	impatient bool
	ticket    *Ticket
	engine    *engine
	served    bool
}

type event struct {
	at float64
	do func()
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// play is a run of a scenario.
type play struct {
	scenario
	random  *rand.Rand
	now     float64
	events  events
	engines []*engine
	entry   []*Controller
	// Results.
	worth, possible              float64
	byCustomer, possibleBy       [16]float64
	asked, refused, firstRefused int
	askedBy, servedBy            counts
	errors, soonErrors           []float64
	refusalsAt                   [int(playEnd) + 20]int
	// came counts the clients that came back when they were told to, and cameInTime
	// those of them that were admitted then: later, and within 0.6 s.
	came, cameInTime [2]int
}

var playStart = time.Unix(1_000_000, 0)

func (p *play) time() time.Time { return playStart.Add(time.Duration(p.now * float64(time.Second))) }

func (p *play) after(seconds float64, do func()) { heap.Push(&p.events, event{p.now + seconds, do}) }

func newPlay(s scenario) *play {
	if s.load == 0 {
		s.load = 1
	}
	if s.estimate == 0 {
		s.estimate = 1
	}
	p := &play{scenario: s, random: rand.New(rand.NewPCG(s.seed, 0)), askedBy: counts{}, servedBy: counts{}}
	for range engines {
		p.engines = append(p.engines, &engine{ignoresUrgent: s.policy == firstCome})
	}
	for i := range s.entries {
		p.entry = append(p.entry, New(Options{
			Seed: uint64(i), Log: nolog.Or(nil), Capacity: func(string) Capacity { return p.capacity() },
			Expected: func(expected, actual time.Duration) {
				e := math.Abs(expected.Seconds()-actual.Seconds()) / actual.Seconds()
				p.errors = append(p.errors, e)
				if expected < time.Second {
					p.soonErrors = append(p.soonErrors, e)
				}
			},
		}))
	}
	return p
}

func (p *play) capacity() Capacity {
	n := 0
	for _, e := range p.engines {
		if !e.lost {
			n++
		}
	}
	c := Capacity{Replicas: float64(n), Slots: n * playSlots}
	if n < engines && p.now > 9 {
		c.Starting, c.StartsIn = float64(engines-n), time.Duration((28-p.now)*float64(time.Second))
	}
	return c
}

// plays holds the plays without a fault that have been run.
var plays = make(map[string]*play)

// run plays a scenario.
func (s scenario) run() *play {
	if s.fault != nil {
		return newPlay(s).run()
	}
	key := fmt.Sprint(s)
	if plays[key] == nil {
		plays[key] = newPlay(s).run()
	}
	return plays[key]
}

func (p *play) run() *play {
	for _, urgency := range []int{0, 2} {
		p.arrive(urgency)
	}
	if p.policy == withRoom {
		p.exchange()
	}
	if p.frozen {
		p.after(9, func() { p.freeze(true) })
		p.after(19, func() { p.freeze(false) })
	}
	if p.domainLost {
		p.after(9, func() { p.loseDomain(true) })
		p.after(28, func() { p.loseDomain(false) })
	}
	for p.events.Len() > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at > playEnd+15 {
			break
		}
		p.now = e.at
		e.do()
	}
	return p
}

// rate returns the factor of the demand at this time.
func (p *play) rate() float64 {
	f := p.load
	if p.burst && p.now > 5 && p.now < 15 {
		f *= 2
	}
	if p.burst && p.now > 8 && p.now < 20 {
		f *= 1.5
	}
	return f
}

// arrive sends requests of an urgency until the end. Customers have Zipf's law with
// exponent 1.2.
func (p *play) arrive(urgency int) {
	if p.now >= playEnd {
		return
	}
	weights, total := [16]float64{}, 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -1.2)
		if i == 1 && p.large && p.now > 5 && p.now < 20 {
			weights[i] *= 6
		}
		total += weights[i]
	}
	usual := 2.6 // about the sum of the usual weights
	perSecond := map[int]float64{0: 566, 2: 113}[urgency] * p.rate() * total / usual
	at := p.random.Float64() * total
	customer := 0
	for ; customer < 15 && at >= weights[customer]; customer++ {
		at -= weights[customer]
	}
	j := &job{urgency: urgency, customer: customer, sent: p.now, identity: p.random.Uint64(), impatient: p.random.Float64() < p.impatient}
	sizes := math.Exp(0.8*p.random.NormFloat64() - 0.32)
	if urgency == 0 {
		j.work, j.hold, j.objective, j.deadline, j.inTime, j.late = shortWork, shortHold, 0.4, 2.5, 2.8, 0.11
	} else {
		j.work, j.hold, j.objective, j.deadline, j.inTime, j.late = longWork*min(sizes, 8), longHold, 1.2, 12, 2.9, 0.44
		j.size = sizes
	}
	limited := p.limited && customer == 0 && p.now > 10 && p.now < 20 && p.random.Float64() > 1.0/3
	if !limited {
		p.asked++
		p.possible += j.inTime
		p.possibleBy[customer] += j.inTime
		p.askedBy.add(j)
		p.ask(j)
	}
	p.after(p.random.ExpFloat64()/perSecond, func() { p.arrive(urgency) })
}

// counts are numbers of requests by class and the second in which they were first sent.
type counts map[string]*[int(playEnd) + 1]float64

// in returns the number of requests of a class in some seconds.
func (c counts) in(class string, from, to int) float64 {
	sum := 0.0
	if c[class] != nil {
		for _, n := range c[class][from:to] {
			sum += n
		}
	}
	return sum
}

// add counts a job by its classes.
func (c counts) add(j *job) {
	classes := []string{
		"all", fmt.Sprint("urgency ", j.urgency), fmt.Sprint("customer ", j.customer),
		fmt.Sprint("impatient ", j.impatient),
	}
	if j.size > 2.0 {
		classes = append(classes, "largest tenth")
	} else if j.size > 1.2 {
		classes = append(classes, "fifth below")
	}
	for _, class := range classes {
		if c[class] == nil {
			c[class] = new([int(playEnd) + 1]float64)
		}
		c[class][int(j.sent)]++
	}
}

func (j *job) request(p *play) Request {
	return Request{
		Class:   Class{Customer: fmt.Sprint("customer-", j.customer), Urgency: j.urgency, Long: j.urgency == 2},
		Service: "s", Route: fmt.Sprint(j.urgency), Work: j.work / 1.15 * p.estimate,
		Objective: seconds(j.objective), Remaining: seconds(j.deadline - (p.now - j.sent)),
		Identity: func() uint64 { return j.identity },
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (p *play) ask(j *job) {
	j.entry = p.random.IntN(p.entries)
	j.tries++
	came := j.expected && j.tries == 2 && !j.impatient
	soon := 0
	if p.now-j.sent < 0.6 {
		soon = 1
	}
	if came {
		p.came[soon]++
	}
	if p.policy != withRoom {
		p.offer(j)
		return
	}
	c, r := p.entry[j.entry], j.request(p)
	if d := c.Decide(p.time(), r); !d.Admit {
		p.refuse(j, d.RetryAfter.Seconds())
		return
	}
	if came {
		p.cameInTime[soon]++
	}
	p.offer(j)
}

// exchange gives each entry the sum of the others, half a second old, twice a second.
func (p *play) exchange() {
	total := peer.ServiceDemand{}
	own := make([]peer.ServiceDemand, p.entries)
	for i, c := range p.entry {
		own[i] = c.Report(p.time())["s"]
		total.Add(own[i], 1)
	}
	p.after(0.5, func() {
		for i := range p.entry {
			others := peer.ServiceDemand{}
			others.Add(total, 1)
			others.Add(own[i], -1)
			v := View{Age: 500 * time.Millisecond, Members: p.entries, Known: true, Services: map[string]peer.ServiceDemand{"s": others.Compact()}}
			if p.fault != nil {
				p.fault(p, i, p.now, &v)
			}
			p.entry[i].SetView(p.time(), v)
		}
	})
	if p.now < playEnd+10 {
		p.after(0.5, p.exchange)
	}
}
