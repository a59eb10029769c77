package admission

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// headroomAge is how long a look at the headroom is used.
	headroomAge = 50 * time.Millisecond
	// Parts of all places that are kept for more urgent kinds.
	patientReserve = 0.125
	normalReserve  = 0.0625
	// urgentOverdraft is the part of all places up to which urgent work may
	// wait at the endpoints, where it goes before the rest.
	urgentOverdraft = 0.125
	// creditTime is how far a customer's urgent work may run ahead of its
	// share.
	creditTime = 2 * time.Second
)

// pool is the admission to the endpoints of one model. It is guarded by the
// Controller.
type pool struct {
	model    string
	queue    *fairQueue
	inFlight int
	// quota is how many requests this entry may always have in flight, for
	// each rank: its part of all places. spare is what it may start beyond
	// that, because the reports show free places. Both are looked up again
	// after headroomAge.
	quota  [ranks]float64
	spare  [ranks]float64
	seenAt time.Time
	// started measures the tokens started.
	started rate.EWMA
	// timer looks for new room while requests wait.
	timer *time.Timer
}

func newPool(model string, now time.Time) *pool {
	return &pool{model: model, queue: newFairQueue(), started: rate.EWMA{At: now}}
}

// look takes a new look at the headroom, unless the last one is still good.
// part is this entry's part of what is free.
func (p *pool) look(now time.Time, opts *Options, part float64) {
	if !p.seenAt.IsZero() && now.Sub(p.seenAt) < headroomAge {
		return
	}
	p.seenAt = now
	h, part := p.headroom(opts, part)
	total := float64(h.Total)
	var reserved [ranks]float64
	reserved[rankUrgent] = -math.Ceil(total * urgentOverdraft)
	reserved[rankNormal] = math.Floor(total * normalReserve)
	reserved[rankPatient] = math.Floor(total * patientReserve)
	for rank := range ranks {
		p.quota[rank] = math.Floor((total - reserved[rank]) * part)
		p.spare[rank] = h.spare(reserved[rank], part)
	}
}

// headroom returns the model's headroom and this entry's part of it. Where it
// is unknown, the entry has a bound of its own.
func (p *pool) headroom(opts *Options, part float64) (Headroom, float64) {
	if opts.Headroom != nil {
		if h, ok := opts.Headroom(p.model); ok {
			return h, part
		}
	}
	return Headroom{Free: opts.MaxInFlight - p.inFlight, Total: opts.MaxInFlight}, 1
}

// spare returns the streams that an entry may start of those that the reports
// show as free: its part, less what it started since. It rounds up, so that
// the last places are not left empty because no entry has a whole one.
func (h *Headroom) spare(reserved, part float64) float64 {
	unseen := float64(h.Unseen)
	reported := float64(h.Free) + unseen
	return math.Ceil((reported-reserved)*part) - unseen
}

// hasRoom says whether a request of a rank may start.
func (p *pool) hasRoom(rank int) bool {
	return float64(p.inFlight)+1 <= p.quota[rank] || p.spare[rank] >= 1
}

// take counts a started request.
func (p *pool) take(now time.Time, tokens float64) {
	p.inFlight++
	for i := range p.spare {
		p.spare[i]--
	}
	p.started.Add(now, tokens)
}

// give counts an ended request. An entry beyond its quota may not use the
// place again at once: it goes back to all, else the entry that has most
// places would get all others too.
func (p *pool) give() { p.inFlight-- }

// rate returns the tokens started per second.
func (p *pool) rate(now time.Time) float64 { return p.started.Rate(now) }

// credit returns creditTime in the virtual time of the queue: what one unit
// of share gets meanwhile if everybody is busy.
func (p *pool) credit(now time.Time, shares float64) float64 {
	return p.rate(now) * creditTime.Seconds() / shares
}

// wait estimates how long a new request waits for its start: for the work of
// its customer before it at the customer's part of the rate, but not longer
// than for all work before it.
func (p *pool) wait(now time.Time, rank int, customer string, share float64) time.Duration {
	perSecond := p.rate(now)
	if p.queue.waiting == 0 || perSecond <= 0 {
		return 0
	}
	own := p.queue.flow(customer, share).backlog(rank)
	part := share / p.queue.activeShare(customer, share)
	return rate.Seconds(min(own/(perSecond*part), p.queue.backlog(rank)/perSecond))
}
