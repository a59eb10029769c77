package admission

import (
	"math"
	"time"

	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
)

const (
	// headroomMaxAge is how long a headroom is used before it is refreshed.
	headroomMaxAge = 50 * time.Millisecond
	// Fractions of all slots that patient and normal requests must leave
	// free for more urgent ones.
	patientReserve = 0.125
	normalReserve  = 0.0625
	// urgentOverdraft is the number of urgent requests that may wait at the
	// endpoints, as a fraction of all slots. The endpoints serve them
	// first.
	urgentOverdraft = 0.125
	// creditTime bounds how far a customer may exceed its share before its
	// urgent work loses precedence.
	creditTime = 2 * time.Second
)

// pool tracks the slots and the queue for the endpoints of one model. It is
// guarded by Controller.mu.
type pool struct {
	model    string
	queue    *fairQueue
	inFlight int
	// quota is the number of requests that this entry may always have in
	// flight, by rank: its local share of all slots. spare is the number of
	// requests that it may start beyond the quota, because the load reports
	// show free slots. Both are refreshed after headroomMaxAge.
	quota       [ranks]float64
	spare       [ranks]float64
	refreshedAt time.Time
	// startRate is the rate at which tokens are started.
	startRate rate.EWMA
	// timer triggers the next dispatch while requests wait.
	timer *time.Timer
}

func newPool(model string, now time.Time) *pool {
	return &pool{model: model, queue: newFairQueue(), startRate: rate.EWMA{At: now}}
}

// refreshHeadroom recomputes quota and spare unless they are recent enough.
// localShare is this entry's share of all slots.
func (p *pool) refreshHeadroom(now time.Time, opts *Options, localShare float64) {
	if !p.refreshedAt.IsZero() && now.Sub(p.refreshedAt) < headroomMaxAge {
		return
	}
	p.refreshedAt = now
	h, localShare := p.headroom(opts, localShare)
	total := float64(h.Total)
	var reserved [ranks]float64
	reserved[rankUrgent] = -math.Ceil(total * urgentOverdraft)
	reserved[rankNormal] = math.Floor(total * normalReserve)
	reserved[rankPatient] = math.Floor(total * patientReserve)
	for rank := range ranks {
		p.quota[rank] = math.Floor((total - reserved[rank]) * localShare)
		p.spare[rank] = h.spare(reserved[rank], localShare)
	}
}

// headroom returns the model's headroom and this entry's share of it. If the
// headroom is unknown, MaxInFlight bounds the requests of this entry, which
// shares the bound with no other entry.
func (p *pool) headroom(opts *Options, localShare float64) (Headroom, float64) {
	if opts.Headroom != nil {
		if h, ok := opts.Headroom(p.model); ok {
			return h, localShare
		}
	}
	return Headroom{Free: opts.MaxInFlight - p.inFlight, Total: opts.MaxInFlight}, 1
}

// spare returns how many streams this entry may start in the slots that the
// load reports show as free: its local share of these slots, less the streams
// that it has started since the reports. It rounds up; otherwise the last slots
// would stay empty when no entry's share of them amounts to a whole slot.
func (h *Headroom) spare(reserved, localShare float64) float64 {
	unseen := float64(h.Unseen)
	reported := float64(h.Free) + unseen
	return math.Ceil((reported-reserved)*localShare) - unseen
}

// hasSlot reports whether a request of the rank may start.
func (p *pool) hasSlot(rank int) bool {
	return float64(p.inFlight)+1 <= p.quota[rank] || p.spare[rank] >= 1
}

// acquire counts a started request.
func (p *pool) acquire(now time.Time, tokens float64) {
	p.inFlight++
	for i := range p.spare {
		p.spare[i]--
	}
	p.startRate.Add(now, tokens)
}

// release counts an ended request. It does not increase spare, so that an entry
// beyond its quota can't reuse the slot at once: the slot becomes free for all
// entries. Otherwise the entry with the most slots would gradually obtain all
// of them.
func (p *pool) release() { p.inFlight-- }

// rate returns the number of tokens started per second.
func (p *pool) rate(now time.Time) float64 { return p.startRate.Rate(now) }

// credit returns creditTime in the queue's virtual time: what one unit of share
// receives during creditTime when all customers are backlogged.
func (p *pool) credit(now time.Time, shares float64) float64 {
	return p.rate(now) * creditTime.Seconds() / shares
}

// wait estimates how long a new request waits before it starts: the time to
// serve its customer's queued work at the customer's fraction of the rate, but
// at most the time to serve all queued work that is as urgent.
func (p *pool) wait(now time.Time, rank int, customer string, share float64) time.Duration {
	perSecond := p.rate(now)
	if p.queue.waiting == 0 || perSecond <= 0 {
		return 0
	}
	own := p.queue.flow(customer, share).backlog(rank)
	fraction := share / p.queue.activeShare(customer, share)
	return rate.Seconds(min(own/(perSecond*fraction), p.queue.backlog(rank)/perSecond))
}
