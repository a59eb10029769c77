package throttle

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/ownership"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// permitTimeout bounds a call to the owner of a limit. One way between two
	// failure domains takes a millisecond or two, and a host with a fifth of a
	// processor adds some more.
	permitTimeout = 80 * time.Millisecond
	// ownerRanks is the number of members that may grant permits of a limit.
	ownerRanks = 2
	// assumedMembers is the number of entries that is assumed until the members
	// are known.
	assumedMembers = 100
	// unaskedPause is the time until a request is considered again for a replica
	// for which this entry could not ask for a permit.
	unaskedPause = 300 * time.Millisecond
	// deniedCallsPerSecond and deniedCallsBurst bound the calls of an entry that
	// are denied, over all limits. With hundreds of limited replicas, an entry
	// could otherwise ask a different owner each time.
	deniedCallsPerSecond, deniedCallsBurst = 8, 20
	// localPart is the part of a limit that the entries use without permits if
	// each one's part of it is at least minLocalRate, in requests per second.
	localPart    = 0.9
	minLocalRate = 1.0
	// localBurst is the time in which an entry saves up its own part.
	localBurst = 2.0
	// localMemory is the time without requests after which an entry has saved up
	// nothing of its own part.
	localMemory = 5 * time.Second
)

// Peers connects an entry to the other entries.
type Peers interface {
	// Members returns the IDs of the members that are reachable now, including
	// this one.
	Members() []string
	// MemberCount returns the number of all members, or 0 before they were
	// first read.
	MemberCount() int
	// Permit calls Throttle.Grant at a peer.
	Permit(ctx context.Context, peer string, r peer.PermitRequest) (peer.PermitResult, error)
}

// Options configure a Throttle.
type Options struct {
	// ID is the ID of this entry.
	ID    string
	Peers Peers
	Log   *logrus.Entry
	// Count counts events: "limit", "limit ended", "permit", "denial", "no
	// owner" and "pause".
	Count func(event string)
	// Random returns a random number in [0, 1). It is called by one goroutine at a
	// time. If it is nil, that of math/rand/v2 is used.
	Random func() float64
}

// errBackedOff reports that an owner did not answer recently.
var errBackedOff = errors.New("owner is backed off after a failed call")

// Throttle holds the limits and pauses of replicas. It is safe for concurrent
// use.
type Throttle struct {
	opt    Options
	owners *ownership.Owners

	mu     sync.Mutex
	limits limits
	// pausedUntil holds the end of the pauses for which replicas asked this
	// entry.
	pausedUntil map[incarnation]time.Time
	// deniedCalls holds the calls to peers that may still be denied.
	deniedCalls rate.Bucket
	onBroadcast []func()
}

// New returns a Throttle without limits.
func New(o Options) *Throttle {
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return &Throttle{
		opt: o, limits: newLimits(), pausedUntil: make(map[incarnation]time.Time),
		owners: ownership.New(time.Now, o.Peers.Members, o.Log.WithField("decides", "replica limits")),
	}
}

// Request is a request that needs a permit.
type Request struct {
	Class    Class
	Customer string
	// Alternatives is set if another replica accepts the request without a
	// permit.
	Alternatives bool
	// Within is how long the request can wait for a permit.
	Within time.Duration
}

// Decision is the result of a call for a permit.
type Decision struct {
	// OK is set if the request may be sent after Delay.
	OK    bool
	Delay time.Duration
	// By is the entry that decided. It is empty if the replica has no limit, or
	// if this entry used its own part of it.
	By string
	// Limit is the limit of the replica in requests per second, 0 if it has
	// none.
	Limit float64
}

// asks holds, by class, until when this entry doesn't ask for permits of a
// limit, and when one is expected to be available.
type asks struct {
	next, expected [classes]time.Time
}

// Limited reports whether a replica has a limit.
func (t *Throttle) Limited(r *replica.Replica) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits.current(incarnationOf(r)) != nil
}

// Block is the reason why a replica doesn't accept a request now.
type Block struct {
	// Until is the time until which the request can't be sent to the replica; the
	// zero time if it can.
	Until time.Time
	// Expected is the time at which the replica is expected to accept a request,
	// which may be earlier.
	Expected time.Time
	// Paused is set if the replica asked this entry for a pause. Otherwise its
	// limit is the reason.
	Paused bool
}

// BlockOf returns whether a request of a class can be sent to a replica now.
func (t *Throttle) BlockOf(r *replica.Replica, c Class) Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if paused := t.pausedUntil[incarnationOf(r)]; now.Before(paused) {
		return Block{Until: paused, Expected: paused, Paused: true}
	}
	if l := t.limits.current(incarnationOf(r)); l != nil && now.Before(l.asks.next[c]) {
		return Block{Until: l.asks.next[c], Expected: l.asks.expected[c]}
	}
	return Block{}
}

// Acquire asks for a permit to send a request to a replica. Without one, the
// replica is blocked for the request's class for a while.
func (t *Throttle) Acquire(ctx context.Context, r *replica.Replica, q Request) Decision {
	t.mu.Lock()
	l := t.limits.current(incarnationOf(r))
	if l == nil {
		t.mu.Unlock()
		return Decision{OK: true}
	}
	perSecond, statement := l.perSecond, l.statement()
	local := t.takeLocalLocked(l, t.localRate(l.rate()))
	mayAsk := local || t.mayAskLocked(l, q.Class)
	t.mu.Unlock()
	switch {
	case local:
		t.opt.Count("permit")
		return Decision{OK: true, Limit: perSecond}
	case !mayAsk:
		return Decision{Limit: perSecond}
	}
	for _, owner := range t.owners.Ranked(ownerKey(r.ID), ownerRanks) {
		result, err := t.ask(ctx, owner, statement, q)
		if ctx.Err() != nil {
			return Decision{Limit: perSecond}
		}
		if err != nil || result.NotOwner {
			continue
		}
		return t.decided(l, owner, result, q.Class)
	}
	return t.decideAlone(l, q.Class)
}

// mayAskLocked reports whether this entry may ask for a permit. If too many of its
// calls were denied, it blocks the replica for a while instead.
func (t *Throttle) mayAskLocked(l *limit, c Class) bool {
	now := time.Now()
	t.deniedCalls.Resize(now, deniedCallsPerSecond, deniedCallsBurst)
	t.deniedCalls.AddTokens(now, 0)
	if t.deniedCalls.Tokens() >= 1 {
		return true
	}
	until := now.Add(unaskedPause)
	l.asks.next[c], l.asks.expected[c] = until, until
	return false
}

// ask asks one owner for a permit. It returns errBackedOff if the owner didn't
// answer recently.
func (t *Throttle) ask(ctx context.Context, owner string, s peer.ReplicaLimit, q Request) (peer.PermitResult, error) {
	if owner == t.opt.ID {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.grantLocked(t.opt.ID, incarnation{s.Endpoint, s.Incarnation}, q, time.Now()), nil
	}
	if !t.owners.Available(owner) {
		return peer.PermitResult{}, errBackedOff
	}
	callCtx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	result, err := t.opt.Peers.Permit(callCtx, owner, peer.PermitRequest{
		Limit: s, Class: int(q.Class), Customer: q.Customer, Alternatives: q.Alternatives, WithinMS: q.Within.Milliseconds(),
	})
	if err != nil && ctx.Err() == nil {
		t.owners.MarkUnreachable(owner, err)
	}
	return result, err
}

// decided applies the decision of an owner.
func (t *Throttle) decided(l *limit, owner string, result peer.PermitResult, c Class) Decision {
	if result.Newer != nil {
		t.Add(owner, *result.Newer)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d := Decision{OK: result.Granted, Delay: milliseconds(result.DelayMS), By: owner, Limit: l.perSecond}
	if d.OK {
		t.opt.Count("permit")
		return d
	}
	t.opt.Count("denial")
	now := time.Now()
	if owner != t.opt.ID {
		t.deniedCalls.Take(now, 1)
	}
	l.asks.next[c], l.asks.expected[c] = now.Add(milliseconds(result.AskInMS)), now.Add(milliseconds(result.WaitMS))
	return d
}

// decideAlone uses this entry's equal part of a limit whose owners don't answer.
func (t *Throttle) decideAlone(l *limit, c Class) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.opt.Count("no owner")
	if t.takeLocalLocked(l, l.rate()/float64(t.memberCount())) {
		return Decision{OK: true, Limit: l.perSecond}
	}
	until := time.Now().Add(unaskedPause)
	l.asks.next[c], l.asks.expected[c] = until, until
	return Decision{Limit: l.perSecond}
}

// takeLocalLocked takes a request from this entry's own part of a limit, given
// the rate of that.
func (t *Throttle) takeLocalLocked(l *limit, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	now := time.Now()
	if now.Sub(l.local.At) > localMemory {
		// All entries may come back to their parts at the same time.
		l.local = rate.PartlyFilled(now, 0)
	}
	l.local.Resize(now, perSecond, max(1, localBurst*perSecond))
	return l.local.Take(now, 1) <= 0
}

// localRate returns the rate at which this entry uses a limit without permits.
func (t *Throttle) localRate(perSecond float64) float64 {
	part := perSecond / float64(t.memberCount())
	if part < minLocalRate || t.memberCount() == 1 {
		return 0
	}
	return localPart * part
}

// ownerPart returns the part of a limit that its owner grants.
func (t *Throttle) ownerPart(perSecond float64) float64 {
	if t.localRate(perSecond) > 0 {
		return 1 - localPart
	}
	return 1
}

func (t *Throttle) memberCount() int {
	if n := t.opt.Peers.MemberCount(); n > 0 {
		return n
	}
	return assumedMembers
}

// reachesMost reports whether this entry reaches at least half of the members.
// If it doesn't, the others may have an owner of their own.
func (t *Throttle) reachesMost() bool { return 2*len(t.opt.Peers.Members()) >= t.memberCount() }

// Owner returns the member that grants the permits of a replica's limit.
func (t *Throttle) Owner(replica string) string {
	return t.owners.Ranked(ownerKey(replica), 1)[0]
}

// ownerKey is the key whose owners grant the permits of a replica's limit.
func ownerKey(replica string) string { return "limit/" + replica }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
