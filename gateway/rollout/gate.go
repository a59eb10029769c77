package rollout

import (
	"cmp"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// ErrClosed reports that the version of a replica may not be used, or no longer.
var ErrClosed = errors.New("version of the replica is closed")

// Gate says which versions requests may be sent to. A nil Gate allows all. It is
// safe for concurrent use.
type Gate struct {
	ready func(service string) []*replica.Replica
	log   *logrus.Entry

	mu       sync.Mutex
	services map[string]*service
	// cleared is closed once the versions that were ready at the start are decided.
	loaded     chan struct{}
	loadedOnce sync.Once
}

// service is what an entry knows of a service.
type service struct {
	// order is the order in force, nil if there is none, and orderAt the time at
	// which this entry learnt of it.
	order   *Order
	orderAt time.Time
	// state is the last known state of an order, nil if there is none.
	state *known
	// cleared holds the versions that were ready before the first order.
	cleared map[string]bool
	// withdrawn holds the versions of orders that were deleted before this entry knew a
	// state of them, and lastWithdrawn the last of these orders. The versions are used only
	// once a state allows them: they aren't proved, and no row says that there was an order.
	withdrawn     map[string]bool
	lastWithdrawn *Order
	// permits is the number of requests that may be sent to the ordered version
	// until permitsEnd, to that many of its replicas, which turn selects. once is set if requests that
	// may run only once may use them.
	permits    int
	permitsEnd time.Time
	endpoints  int
	turn       int
	once       bool
	// often is set if the holder wants reports in the shorter period.
	often  bool
	counts counts
	// sent is the evidence as of the last report. confirmed is what a holder has, which the
	// next report leaves out, and confirmedBy identifies its state.
	sent, confirmed map[string]peer.RolloutEvidence
	confirmedBy     uint64
	// inFlight counts the requests in progress by version.
	inFlight map[string]int
}

// known is the state of an order as a holder or the table stated it.
type known struct {
	fence   uint64
	to      string
	stage   Stage
	reason  string
	allowed []string
	// stored is set if the stage is in the table. Until then a new holder may know of
	// it only from the reports of the entries.
	stored bool
}

// NewGate returns a Gate that allows no version until it knows the orders. ready
// returns the replicas of a service that accept new work.
func NewGate(ready func(service string) []*replica.Replica, log *logrus.Entry) *Gate {
	return &Gate{ready: ready, log: log, services: make(map[string]*service), loaded: make(chan struct{})}
}

// Loaded returns a channel that is closed once the versions that were ready at the
// start are decided.
func (g *Gate) Loaded() <-chan struct{} { return g.loaded }

func (g *Gate) serviceLocked(name string) *service {
	s := g.services[name]
	if s == nil {
		s = &service{cleared: make(map[string]bool), withdrawn: make(map[string]bool), inFlight: make(map[string]int)}
		g.services[name] = s
	}
	return s
}

// governed reports whether there is or was an order for the service.
func (s *service) governed() bool { return s.order != nil || s.state != nil }

// final reports whether the newest order has ended.
func (s *service) final() bool {
	if s.state == nil {
		return s.order == nil
	}
	return s.state.stage.Final() && (s.order == nil || s.state.to == s.order.To && s.state.reason != Withdrawn)
}

// reports reports whether the entry reports to the holder: until it knows that the order
// has ended and that the table says so.
func (s *service) reports() bool {
	return s.governed() && (!s.final() || s.state != nil && !s.state.stored)
}

// allows reports whether a version may be used without a permit. newReady is set
// if replicas of the ordered version are ready.
func (s *service) allows(version string, newReady bool) bool {
	switch st := s.state; {
	case !s.governed():
		return s.cleared[version]
	case version == "":
		return false
	case st == nil && len(s.cleared) > 0:
		return s.cleared[version]
	case st == nil:
		return version != s.order.To // this entry started after the order
	case st.stage == Moving || st.stage == Completed:
		return version == st.to || !newReady && slices.Contains(st.allowed, version)
	default:
		return slices.Contains(st.allowed, version)
	}
}

// Pass is the decision on one attempt of a request. The zero Pass allows all.
type Pass struct {
	gate    *Gate
	service string
	route   string
	// allowed holds whether each version may be used, nil if all may.
	allowed map[string]bool
	// trial holds the replicas of the ordered version that the permit is for, nil
	// without a permit. The permit lapses at end.
	trial map[string]bool
	end   time.Time
}

// Attempt describes an attempt of a request.
type Attempt struct {
	Service, Route string
	// Again is set for retries and resumed streams, which use no permits.
	Again bool
	// Once is set for requests that may run only once.
	Once bool
}

// Enter counts a request that reached a service.
func (g *Gate) Enter(name string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.services[name]; s != nil && s.governed() && !s.final() {
		s.counts.requests++
	}
}

// Pass decides which replicas an attempt may be sent to. It takes a permit if there
// is one and the attempt may use it.
func (g *Gate) Pass(now time.Time, a Attempt) Pass {
	if g == nil {
		return Pass{}
	}
	ready := g.ready(a.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(a.Service)
	p := Pass{gate: g, service: a.Service, route: a.Route}
	if trial := s.takePermit(now, a, ready); trial != nil {
		p.trial, p.end = trial, s.permitsEnd
		return p
	}
	p.allowed = s.allowedOf(ready)
	return p
}

// takePermit takes a permit and returns the replicas that it is for, or nil.
func (s *service) takePermit(now time.Time, a Attempt, ready []*replica.Replica) map[string]bool {
	if s.permits == 0 || a.Again || a.Once && !s.once || !now.Before(s.permitsEnd) || s.state == nil || s.state.stage != Trial {
		return nil
	}
	trial := trialReplicas(ready, s.state.to, s.endpoints, s.turn)
	if len(trial) > 0 {
		s.permits--
	}
	return trial
}

// trialReplicas returns the n ready replicas of a version whose turn it is, the same
// at all entries, so that few replicas get the load that each will have to bear.
func trialReplicas(ready []*replica.Replica, version string, n, turn int) map[string]bool {
	var candidates []*replica.Replica
	for _, r := range ready {
		if r.Version == version {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(x, y *replica.Replica) int {
		return cmp.Compare(xxhash.Sum64String(x.ID), xxhash.Sum64String(y.ID))
	})
	n = min(max(1, n), len(candidates))
	out := make(map[string]bool, n)
	for i := range n {
		out[candidates[(turn*n+i)%len(candidates)].ID] = true
	}
	return out
}

// allowedOf returns whether each version of the replicas may be used without a
// permit, or nil if all may.
func (s *service) allowedOf(ready []*replica.Replica) map[string]bool {
	newReady := s.state != nil && slices.ContainsFunc(ready, func(r *replica.Replica) bool { return r.Version == s.state.to })
	out, all := make(map[string]bool, 2), true
	for _, r := range ready {
		if _, decided := out[r.Version]; !decided {
			out[r.Version] = s.allows(r.Version, newReady)
			all = all && out[r.Version]
		}
	}
	if all && !s.governed() {
		return nil
	}
	return out
}

// OnTrial reports whether the attempt has a permit for a version that isn't proved.
func (p Pass) OnTrial() bool { return p.trial != nil }

// Filter returns the function that reports whether a replica may be used, or nil if all
// may be.
func (p Pass) Filter() func(*replica.Replica) bool {
	switch {
	case p.trial != nil:
		return func(r *replica.Replica) bool { return p.trial[r.ID] }
	case p.allowed != nil:
		return func(r *replica.Replica) bool { return p.allowed[r.Version] }
	default:
		return nil
	}
}

// Return gives back a permit that was not used.
func (p Pass) Return() {
	if p.trial == nil {
		return
	}
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.gate.serviceLocked(p.service).counts.returned++
}

// Check returns an error if the chosen replica may no longer be used. It is called just
// before the request is sent.
func (p Pass) Check(now time.Time, r *replica.Replica) error {
	if p.gate == nil {
		return nil
	}
	ready := p.gate.ready(p.service)
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	s := p.gate.serviceLocked(p.service)
	if p.trial != nil && s.state != nil && s.state.stage == Trial && s.state.to == r.Version && now.Before(p.end) {
		return nil
	}
	newReady := s.state != nil && slices.ContainsFunc(ready, func(o *replica.Replica) bool { return o.Version == s.state.to })
	if !s.allows(r.Version, newReady) {
		return ErrClosed
	}
	return nil
}

// Counts reports whether a replica counts as capacity of its service: that of a
// version which may be used without a permit.
func (g *Gate) Counts(r *replica.Replica) bool {
	ready := g.ready(r.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.serviceLocked(r.Service)
	newReady := s.state != nil && slices.ContainsFunc(ready, func(o *replica.Replica) bool { return o.Version == s.state.to })
	return s.allows(r.Version, newReady)
}
