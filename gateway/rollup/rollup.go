package rollup

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// period is the time between two reports of an entry.
	period = 500 * time.Millisecond
	// MeanReportAge is the mean age of the loads in a sum on its arrival: half a
	// period at the aggregator, and for most of them half a period between two
	// aggregators.
	MeanReportAge = period
	// callTimeout bounds one exchange.
	callTimeout = 300 * time.Millisecond
	// reportTTL is how long a report counts after its arrival. An entry that
	// stops reporting has no requests in flight for long.
	reportTTL = 1500 * time.Millisecond
	// unansweredBackoff is how long an aggregator that did not answer gets no
	// calls.
	unansweredBackoff = 2 * time.Second
)

// Peers connects an entry to the other entries.
type Peers interface {
	// Aggregators returns the candidates of each failure domain, in the order
	// in which they are used. All entries with the same members get the same.
	Aggregators() map[string][]string
	// Exchange calls Rollup.Serve at a peer.
	Exchange(ctx context.Context, peer string, r peer.LoadReport) (peer.LoadSum, error)
}

// Options configure a Rollup.
type Options struct {
	ID            string
	FailureDomain string
	// Own returns the load of this entry.
	Own   func() peer.Load
	Peers Peers
	// Incarnation returns the incarnation of a registered replica. Speeds of other
	// incarnations are dropped. It may be nil, which drops all speeds.
	Incarnation func(replica string) (incarnation int64, ok bool)
	Log         *logrus.Entry
}

// Rollup reports this entry's load and holds the sum of all others. While this
// entry is an aggregator it also sums the reports of its failure domain. It is
// safe for concurrent use.
type Rollup struct {
	opt Options

	mu sync.Mutex
	// entries holds the reports of the entries of this failure domain, and
	// domains the sums of the other domains.
	entries, domains reports
	// others is the sum of the loads of all other entries as of updatedAt.
	others    peer.Load
	updatedAt time.Time
	// aggregates is set while this entry is the aggregator of its domain.
	aggregates bool
	// backoffUntil holds, by aggregator, the time until which it gets no calls.
	backoffUntil map[string]time.Time
	// entrySpeeds and domainSpeeds hold the reported samples of speeds as entries
	// and domains do, by sender.
	entrySpeeds, domainSpeeds map[string]speedReports
	// speeds is the sum of the samples of all other entries as of speedsAt. It is
	// replaced and never modified.
	speeds   map[string]peer.SpeedSamples
	speedsAt time.Time
	// domainSum and allSum are the sums over this failure domain and over all entries
	// as of summedAt.
	domainSum, allSum publication
	summedAt          time.Time
	// versions holds the last version of the speeds that an aggregator replied with,
	// by its ID.
	versions map[string]uint64
	// sent holds the samples that were reported to the aggregator sentTo.
	sent   speedReports
	sentTo string
}

// New returns a Rollup, which makes no calls before Run.
func New(o Options) *Rollup {
	return &Rollup{
		opt: o, entries: make(reports), domains: make(reports), backoffUntil: make(map[string]time.Time),
		entrySpeeds: make(map[string]speedReports), domainSpeeds: make(map[string]speedReports),
		domainSum: newPublication(), allSum: newPublication(), versions: make(map[string]uint64),
	}
}

// Others returns the sum of the loads of all other entries, and false if it is
// not known or too old. The result must not be modified.
func (r *Rollup) Others() (load peer.Load, age time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	age = time.Since(r.updatedAt)
	return r.others, age, age <= reportTTL
}

// Speeds returns the sum of the samples of speeds of all other entries, and nil if
// it has never been known. The result must not be modified.
func (r *Rollup) Speeds() (sum map[string]peer.SpeedSamples, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speeds, time.Since(r.speedsAt)
}

// Serve answers the report of an entry of this failure domain with the load of
// all other entries, or the call of an aggregator of another domain with the
// sum of this one.
func (r *Rollup) Serve(from string, q peer.LoadReport) peer.LoadSum {
	own := r.opt.Own()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if q.DomainOnly {
		if !r.aggregates {
			return peer.LoadSum{NotAggregator: true}
		}
		sum := r.entries.total("", now)
		add(sum, own, 1)
		reply := peer.LoadSum{Load: forAggregator(sum)}
		if q.KnownSpeeds > 0 {
			r.sumSpeedsLocked(own.Speeds, now)
			reply.Speeds, reply.SpeedsVersion = r.domainSum.since(q.KnownSpeeds, now)
		}
		return reply
	}
	r.entries[from] = report{load: q.Load, at: now}
	r.mergeSpeedsLocked(r.entrySpeeds, from, q.Speeds, now, maxReportWeight)
	if !r.aggregates && now.Sub(r.updatedAt) <= reportTTL {
		// Only the caller can't reach the aggregator. This entry's sum from
		// there contains the load of the caller.
		sum := newLoad()
		add(sum, r.others, 1)
		add(sum, own, 1)
		add(sum, q.Load, -1)
		return peer.LoadSum{Load: forEntry(sum)}
	}
	reply := peer.LoadSum{Load: r.sumLocked(from, own, now)}
	if q.KnownSpeeds > 0 {
		r.sumSpeedsLocked(own.Speeds, now)
		reply.Speeds, reply.SpeedsVersion = r.allSum.since(q.KnownSpeeds, now)
		reply.Speeds = without(reply.Speeds, r.entrySpeeds[from], now)
	}
	return reply
}

// sumLocked returns the load of all entries but one, including this one.
func (r *Rollup) sumLocked(except string, own peer.Load, now time.Time) peer.Load {
	sum := r.entries.total(except, now)
	add(sum, r.domains.total("", now), 1)
	add(sum, own, 1)
	return forEntry(sum)
}

// Run reports the load every period until ctx ends.
func (r *Rollup) Run(ctx context.Context) {
	wait := rand.N(period)
	for ctxtime.Sleep(ctx, wait) {
		wait = period
		aggregators := r.opt.Peers.Aggregators()
		if len(aggregators) == 0 {
			wait = 2 * period // the deployment is too small, or not yet known
			continue
		}
		r.step(ctx, aggregators)
	}
}

// step reports to the aggregator of this failure domain, or exchanges the sums
// of the domains if this entry is the first candidate that answers.
func (r *Rollup) step(ctx context.Context, aggregators map[string][]string) {
	own := r.opt.Own()
	speeds := own.Speeds
	for _, id := range aggregators[r.opt.FailureDomain] {
		if id == r.opt.ID {
			r.setAggregates(true)
			r.exchangeDomains(ctx, aggregators)
			return
		}
		own.Speeds = r.unsent(id, speeds, time.Now())
		sum, ok := r.exchange(ctx, id, peer.LoadReport{Load: own})
		if ok {
			r.setAggregates(false)
			r.update(sum)
			return
		}
		r.forgetSent()
	}
}

func (r *Rollup) setAggregates(v bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.aggregates = v
}

// exchangeDomains fetches the sums of the other failure domains.
func (r *Rollup) exchangeDomains(ctx context.Context, aggregators map[string][]string) {
	var calls sync.WaitGroup
	for domain, candidates := range aggregators {
		if domain == r.opt.FailureDomain {
			continue
		}
		calls.Go(func() {
			for _, id := range candidates {
				if sum, ok := r.exchange(ctx, id, peer.LoadReport{DomainOnly: true}); ok {
					r.mu.Lock()
					r.domains[domain] = report{load: sum, at: time.Now()}
					r.mergeSpeedsLocked(r.domainSpeeds, domain, sum.Speeds, time.Now(), math.Inf(1))
					r.mu.Unlock()
					return
				}
			}
		})
	}
	calls.Wait()
	r.mu.Lock()
	now := time.Now()
	sum := r.sumLocked("", peer.Load{}, now)
	if r.opt.Incarnation != nil {
		r.pruneSpeedsLocked(now)
		sum.Speeds = make(map[string]peer.SpeedSamples)
		r.addReports(sum.Speeds, r.entrySpeeds, now)
		r.addReports(sum.Speeds, r.domainSpeeds, now)
	}
	r.mu.Unlock()
	r.update(sum)
}

func (r *Rollup) update(sum peer.Load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.others, r.updatedAt = sum, time.Now()
	r.others.Speeds = nil
	if r.opt.Incarnation != nil {
		r.mergeSumLocked(sum.Speeds, r.updatedAt)
	}
}

// exchange calls an aggregator unless it is backed off. It returns false if
// there is no answer.
func (r *Rollup) exchange(ctx context.Context, id string, q peer.LoadReport) (peer.Load, bool) {
	r.mu.Lock()
	backedOff := time.Now().Before(r.backoffUntil[id])
	r.mu.Unlock()
	if backedOff {
		return peer.Load{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q.KnownSpeeds = r.knownSpeeds(id)
	sum, err := r.opt.Peers.Exchange(callCtx, id, q)
	switch {
	case err == nil && sum.NotAggregator:
		return peer.Load{}, false
	case err == nil:
		r.setKnownSpeeds(id, sum.SpeedsVersion)
		return sum.Load, true
	}
	if ctx.Err() == nil {
		r.opt.Log.WithError(err).WithField("member", id).Info("rollup: aggregator does not answer.")
		r.mu.Lock()
		r.backoffUntil[id] = time.Now().Add(unansweredBackoff)
		r.mu.Unlock()
	}
	return peer.Load{}, false
}
