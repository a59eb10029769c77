package rollout

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// A play runs the gates of a fleet and the controller of one roll-out against
// replicas that are modelled by how they answer, in steps of tick.
const (
	tick     = 10 * time.Millisecond
	playTime = 14 * time.Second
	ordered  = 500 * time.Millisecond
)

// badness is how the new version is bad.
type badness struct {
	fails  float64
	slower float64
	// after is the time from which on it is bad, from the start of its replicas.
	after time.Duration
	// loaded restricts it to replicas with at least 0.7 of the load of an old one, and
	// route to one route.
	loaded bool
	route  string
}

// scenario is what happens in a play.
type scenario struct {
	entries, old int
	perSecond    float64
	bad          *badness
	// disturbed adds failing replicas, crashes, reclaims and entries that restart,
	// handovers besides entries that are cut off and changes of the holder.
	disturbed, handovers bool
	// bytes counts the bytes of reports and replies until the holder wants them often.
	bytes    bool
	duration time.Duration
}

type playEntry struct {
	gate            *Gate
	id, incarnation string
	reportAt        time.Time
	knowsAt         time.Time
	cutUntil        time.Time
}

type attempt struct {
	pass    Pass
	r       *replica.Replica
	a       Answer
	bad     bool
	entry   *playEntry
	crashed bool
}

// played is the outcome of a play.
type played struct {
	requests, exposed, badAnswers, lost, unknown int
	stage                                        Stage
	reason                                       string
	finalAt                                      time.Duration
	lastExposed, fiftieth                        time.Duration
	oldAtEnd                                     int
	bytes                                        int
	reported                                     time.Duration
	// moved is set if the requests began to move to the new version.
	moved bool
}

type play struct {
	scenario
	rnd      *rand.Rand
	now      time.Time
	start    time.Time
	replicas []*replica.Replica
	failing  map[string]float64
	recent   map[string]float64
	entries  []*playEntry
	ends     map[int64][]*attempt
	holder   *Controller
	table    Row
	fence    uint64
	// heldFrom is the time from which on there is a holder.
	heldFrom time.Time
	out      played
}

func runPlay(seed uint64, s scenario) played {
	p := &play{
		scenario: s, rnd: rand.New(rand.NewPCG(seed, 1)), start: time.Unix(1000, 0), ends: make(map[int64][]*attempt),
		failing: make(map[string]float64), recent: make(map[string]float64), fence: 1,
	}
	p.now = p.start
	for i := range s.old {
		p.add(fmt.Sprintf("old%d", i), "v1", time.Time{})
	}
	for i := range s.entries {
		p.entries = append(p.entries, p.newEntry(fmt.Sprint(i), "1", p.start.Add(ordered+time.Duration(p.rnd.IntN(300))*time.Millisecond)))
	}
	for p.now = p.start; p.now.Sub(p.start) < playTime+s.duration; p.now = p.now.Add(tick) {
		p.step()
		if p.out.finalAt > 0 && p.now.Sub(p.start) > p.out.finalAt+4*time.Second {
			break
		}
	}
	return p.out
}

func (p *play) add(id, version string, seen time.Time) {
	p.replicas = append(p.replicas, &replica.Replica{Registration: replica.Registration{ID: id, Service: "s", Version: version, Slots: 16, Incarnation: 1}, Seen: seen})
}

func (p *play) newEntry(id, incarnation string, knowsAt time.Time) *playEntry {
	e := &playEntry{id: id, incarnation: incarnation, knowsAt: knowsAt, reportAt: p.now.Add(time.Duration(p.rnd.Float64() * float64(reportPeriod(p.scenario.entries, false))))}
	e.gate = NewGate(func(string) []*replica.Replica { return p.replicas }, nolog.Or(nil))
	rows := map[string]Row{}
	if p.table.To != "" {
		rows["s"] = p.table
	}
	var orders []Order
	if p.now.After(p.start.Add(ordered)) {
		orders = []Order{p.order()}
	}
	e.gate.Clear(p.now, e.gate.Undecided(map[string][]*replica.Replica{"s": p.replicas}), orders, rows)
	return e
}

func (p *play) order() Order { return Order{Service: "s", To: "v2", Duration: p.duration} }

func (p *play) chance(perSecond float64) bool {
	return p.rnd.Float64() < perSecond*tick.Seconds()
}

func (p *play) step() {
	since := p.now.Sub(p.start)
	if since >= ordered+2500*time.Millisecond && since < ordered+2500*time.Millisecond+time.Duration(p.old)*tick {
		p.add(fmt.Sprintf("new%d", int(since/tick)), "v2", p.now)
	}
	if p.disturbed {
		p.disturb()
	}
	for id := range p.recent {
		p.recent[id] *= math.Exp(-tick.Seconds())
	}
	for n := poisson(p.rnd, p.perSecond*tick.Seconds()); n > 0; n-- {
		p.request(p.entries[p.rnd.IntN(len(p.entries))])
	}
	for _, a := range p.ends[int64(since/tick)] {
		p.end(a, since)
	}
	delete(p.ends, int64(since/tick))
	p.control(since)
}

// control runs the holder and the reports.
func (p *play) control(since time.Duration) {
	for _, e := range p.entries {
		if !p.now.Before(e.knowsAt) {
			e.gate.SetOrder(e.knowsAt, p.order())
		}
	}
	if since < ordered || p.now.Before(p.heldFrom) {
		return
	}
	if p.holder == nil {
		row, committed := p.table, p.table.To != ""
		if !committed {
			row = Row{Allowed: []string{"v1"}}.next(p.order())
		}
		p.holder = NewController(p.now, "s", Bounds{0.1, 50, 5 * time.Second}, row, committed, since-ordered)
	}
	for _, e := range p.entries {
		if p.now.Before(e.reportAt) || p.now.Before(e.cutUntil) || len(e.gate.Active()) == 0 {
			continue
		}
		period := reportPeriod(p.scenario.entries, e.gate.anyOften([]string{"s"}))
		e.reportAt = p.now.Add(period)
		reply := p.report(e)
		if reply.Resend {
			e.gate.Apply("s", reply, p.now, 0)
			reply = p.report(e)
		}
		e.gate.Apply("s", reply, p.now, min(Bounds{Rollback: 5 * time.Second}.maxPermitLife(), time.Duration(permitLife*float64(period))))
	}
	period := stepPeriod
	if p.holder.often(p.now) {
		period = shortStep
	}
	if since%period < tick {
		p.stepHolder(since)
	}
}

// report sends a report to the holder.
func (p *play) report(e *playEntry) peer.RolloutReply {
	r := e.gate.Report(p.now, "s", e.incarnation)
	reply := p.holder.Report(p.now, e.id, r, p.fence)
	if p.bytes && !e.gate.anyOften([]string{"s"}) {
		p.out.bytes += bytesOfCall(r) + bytesOfCall(reply)
		p.out.reported = max(p.out.reported, p.now.Sub(p.start)-ordered)
	}
	return reply
}

// bytesOfCall returns the number of bytes of a request or a reply.
func bytesOfCall(v any) int {
	const envelope = 50 // of JSON-RPC, in the mean of request and reply
	text, _ := json.Marshal(v)
	return len(text) + envelope
}

func (p *play) stepHolder(since time.Duration) {
	v := View{Order: p.order(), HasOrder: true}
	for _, r := range p.replicas {
		if r.Version == "v2" {
			v.Replicas.New, v.Replicas.NewSlots = v.Replicas.New+1, v.Replicas.NewSlots+r.Slots
		} else {
			v.Replicas.Old, v.Replicas.OldSlots = v.Replicas.Old+1, v.Replicas.OldSlots+r.Slots
		}
	}
	for _, e := range p.entries {
		v.Live = append(v.Live, e.id)
	}
	p.holder.Step(p.now, v)
	if next := p.holder.Row(); !sameRow(next, p.table) {
		p.table = next
		p.holder.Committed(next)
	}
	p.out.moved = p.out.moved || p.table.Stage == Moving
	if p.table.Stage.Final() && p.out.finalAt == 0 {
		p.out.stage, p.out.reason, p.out.finalAt = p.table.Stage, p.table.Reason, since
		for _, ends := range p.ends {
			for _, a := range ends {
				if a.r.Version == "v1" && a.entry != nil && p.table.Stage == Completed {
					p.out.oldAtEnd++
				}
			}
		}
	}
}

// request sends a request through an entry.
func (p *play) request(e *playEntry) {
	since := p.now.Sub(p.start)
	if since >= ordered && since < ordered+p.duration {
		p.out.requests++
	}
	e.gate.Enter("s")
	route, u := "long", p.rnd.Float64()
	if u > 0.15 {
		route = "short"
	}
	pass := e.gate.Pass(p.now, Attempt{Service: "s", Route: route})
	filter := pass.Filter()
	var candidates []*replica.Replica
	for _, r := range p.replicas {
		if filter == nil || filter(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		pass.Return()
		p.out.lost++
		return
	}
	// The less loaded one of two gets the request.
	r := candidates[p.rnd.IntN(len(candidates))]
	if o := candidates[p.rnd.IntN(len(candidates))]; p.recent[o.ID] < p.recent[r.ID] {
		r = o
	}
	pass.Begin(r)
	if pass.Check(p.now, r) != nil {
		pass.End(p.now, r, Answer{})
		p.out.lost++
		return
	}
	p.recent[r.ID]++
	p.send(e, pass, r, route, since)
}

func (p *play) send(e *playEntry, pass Pass, r *replica.Replica, route string, since time.Duration) {
	if r.Version == "v2" {
		p.out.lastExposed = since
		if p.out.stage != Completed && since < ordered+p.duration {
			p.out.exposed++
		}
		if !e.gate.governedForTest() {
			p.out.unknown++
		}
	}
	a := Answer{Result: Answered, First: math.Exp(0.6 * p.rnd.NormFloat64()), Pace: 0.01 * math.Exp(0.3*p.rnd.NormFloat64())}
	fails, bad := p.failing[r.ID]+0.001, false
	if b := p.bad; b != nil && r.Version == "v2" && p.now.Sub(r.Seen) >= b.after && (b.route == "" || b.route == route) &&
		(!b.loaded || p.recent[r.ID] >= 0.7*p.perSecond/float64(p.old)) {
		fails += b.fails
		if b.slower > 0 {
			a.First, a.Pace, bad = a.First*b.slower, a.Pace*b.slower, true
		}
	}
	if p.rnd.Float64() < fails {
		a, bad = Answer{Result: Failed}, true
	}
	took := time.Duration(0.15 * a.First * float64(time.Second))
	if a.Result == Failed {
		took = 50 * time.Millisecond
	}
	at := int64((since + min(took, 2*time.Second)) / tick)
	p.ends[at+1] = append(p.ends[at+1], &attempt{pass: pass, r: r, a: a, bad: bad && r.Version == "v2", entry: e})
}

func (p *play) end(a *attempt, since time.Duration) {
	if a.crashed {
		a.a = Answer{Result: Broken}
	}
	a.pass.End(p.now, a.r, a.a)
	if a.bad {
		if p.out.badAnswers++; p.out.badAnswers == 50 {
			p.out.fiftieth = since
		}
	}
}

// disturb lets replicas fail, crash and leave, entries restart and lose the holder, and
// the holder change.
func (p *play) disturb() {
	if p.chance(0.5) { // faults of single replicas
		for _, r := range p.replicas {
			p.failing[r.ID] = 0
			if p.rnd.IntN(4) == 0 {
				p.failing[r.ID] = 0.02
			}
		}
	}
	if p.chance(0.3) { // a crash
		p.crash(p.replicas[p.rnd.IntN(len(p.replicas))])
	}
	if p.chance(0.05) && p.old > 8 { // a reclaim of a quarter of the replicas
		kept := p.replicas[:0:0]
		for _, r := range p.replicas {
			if p.rnd.Float64() > 0.25 {
				kept = append(kept, r)
			}
		}
		p.replicas = kept
	}
	if p.chance(0.2) {
		i := p.rnd.IntN(len(p.entries))
		for _, ends := range p.ends {
			for _, a := range ends {
				if a.entry == p.entries[i] {
					a.entry = nil // killed with its requests
				}
			}
		}
		p.entries[i] = p.newEntry(p.entries[i].id, p.entries[i].incarnation+"'", p.now)
	}
	if !p.handovers {
		return
	}
	if p.chance(0.2) {
		p.entries[p.rnd.IntN(len(p.entries))].cutUntil = p.now.Add(1500 * time.Millisecond)
	}
	if p.chance(0.06) && p.holder != nil {
		p.holder, p.heldFrom, p.fence = nil, p.now.Add(1500*time.Millisecond), p.fence+1
	}
}

// crash breaks off all answers of a replica.
func (p *play) crash(r *replica.Replica) {
	next := int64(p.now.Sub(p.start)/tick) + 1
	var broken []*attempt
	for at, ends := range p.ends {
		kept := ends[:0:0]
		for _, a := range ends {
			if a.r == r {
				a.crashed = true
				broken = append(broken, a)
			} else {
				kept = append(kept, a)
			}
		}
		p.ends[at] = kept
	}
	p.ends[next] = append(p.ends[next], broken...)
}

// governedForTest reports whether the gate knows the order.
func (g *Gate) governedForTest() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.serviceLocked("s").governed()
}

// poisson returns a number with a Poisson distribution (Knuth's method).
func poisson(rnd *rand.Rand, mean float64) int {
	n, product, limit := 0, rnd.Float64(), math.Exp(-mean)
	for product > limit {
		n, product = n+1, product*rnd.Float64()
	}
	return n
}
