package throttle

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/rate"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

const (
	// minRate is the rate at which a replica gets requests however low the limit
	// that it states, in requests per second. Without any, nothing would tell
	// that the limit has ended.
	minRate = 0.1
	// unstatedAnswers is the number of answers in a row that don't state a limit
	// any more after which it has ended.
	unstatedAnswers = 2
	// announcedChange is the relative change of a limit up to which it is not
	// announced to the other entries.
	announcedChange = 0.05
	// maxLimits bounds the incarnations whose limits are kept. endedRetention and
	// limitRetention are how long they are kept after the limit has ended, and
	// after it was last stated: the replica may be gone.
	maxLimits      = 4096
	endedRetention = 10 * time.Minute
	limitRetention = time.Hour
)

// incarnation identifies one incarnation of a replica.
type incarnation struct {
	id   string
	born int64
}

func incarnationOf(r *replica.Replica) incarnation { return incarnation{r.ID, r.Incarnation} }

// limit is what this entry holds of the limit of one incarnation.
type limit struct {
	incarnation
	// perSecond is 0 after the limit has ended.
	perSecond float64
	// version orders the values of a limit over all entries: each entry that
	// changes the value increases it.
	version uint64
	// statedAt is the time at which an answer last stated the value, or a peer
	// announced it. since is the start of the time in which this entry has known
	// of a limit.
	statedAt, since time.Time
	// unstated counts the answers in a row that didn't state the limit.
	unstated int
	// seq is the position of the value in the announcements.
	seq uint64

	asks  asks
	local rate.Bucket
	owner grants
}

// rate returns the requests per second that the limit permits.
func (l *limit) rate() float64 { return max(l.perSecond, minRate) }

func (l *limit) statement() peer.ReplicaLimit {
	return peer.ReplicaLimit{Endpoint: l.id, Incarnation: l.born, PerSecond: l.perSecond, Version: l.version}
}

// limits holds the limits by incarnation, and the order in which they changed.
type limits struct {
	byIncarnation map[incarnation]*limit
	// changed is sorted by seq.
	changed []*limit
	seq     uint64
}

func newLimits() limits { return limits{byIncarnation: make(map[incarnation]*limit)} }

// current returns the limit of an incarnation, or nil if it has none now.
func (s *limits) current(k incarnation) *limit {
	if l := s.byIncarnation[k]; l != nil && l.perSecond > 0 {
		return l
	}
	return nil
}

func (s *limits) getOrAdd(k incarnation) *limit {
	l := s.byIncarnation[k]
	if l == nil {
		s.makeRoom(time.Now())
		l = &limit{incarnation: k}
		s.byIncarnation[k] = l
	}
	return l
}

// makeRoom forgets old limits, and the oldest one if there are too many.
func (s *limits) makeRoom(now time.Time) {
	var oldest *limit
	for _, l := range s.byIncarnation {
		age := now.Sub(l.statedAt)
		switch {
		case age > limitRetention, age > endedRetention && l.perSecond == 0:
			s.drop(l)
		case oldest == nil || l.statedAt.Before(oldest.statedAt):
			oldest = l
		}
	}
	if len(s.byIncarnation) >= maxLimits {
		s.drop(oldest)
	}
}

func (s *limits) drop(l *limit) {
	s.unlog(l)
	delete(s.byIncarnation, l.incarnation)
}

func (s *limits) unlog(l *limit) {
	s.changed = slices.DeleteFunc(s.changed, func(x *limit) bool { return x == l })
}

// announce moves a limit to the end of the announcements.
func (s *limits) announce(l *limit) {
	s.unlog(l)
	s.seq++
	l.seq = s.seq
	s.changed = append(s.changed, l)
}

// set sets the value of a limit.
func (l *limit) set(perSecond float64, now time.Time) {
	if l.perSecond == 0 {
		l.since = now
	}
	l.perSecond, l.statedAt, l.unstated = perSecond, now, 0
}

// observe applies what an answer stated, 0 for nothing, to a request that was
// sent at the given time. It reports whether the value has changed.
func (l *limit) observe(stated float64, sent, now time.Time) bool {
	lower := stated > 0 && (l.perSecond == 0 || stated < l.perSecond)
	switch {
	case stated == l.perSecond:
		l.statedAt, l.unstated = now, 0
		return false
	case lower:
	case sent.Before(l.statedAt):
		return false // may have been overtaken by the answer that stated the limit
	case stated == 0:
		if l.unstated++; l.unstated < unstatedAnswers {
			return false
		}
	}
	l.set(stated, now)
	return true
}

// merge applies what a peer announced, and reports whether it was new.
func (l *limit) merge(s peer.ReplicaLimit, now time.Time) bool {
	stricter := s.PerSecond > 0 && (l.perSecond == 0 || s.PerSecond < l.perSecond)
	if s.Version < l.version || s.Version == l.version && !stricter {
		return false
	}
	changed := s.PerSecond != l.perSecond
	l.version = s.Version
	if changed {
		l.set(s.PerSecond, now)
	}
	return changed
}

// Observe records what an answer of a replica stated: its limit in requests per
// second, or 0 if it stated none. sent is the time at which the request was sent.
// It reports whether the limit was known.
func (t *Throttle) Observe(r *replica.Replica, stated float64, sent time.Time) (known bool) {
	now := time.Now()
	t.mu.Lock()
	k := incarnationOf(r)
	l := t.limits.current(k)
	if l == nil && stated == 0 {
		t.mu.Unlock()
		return false
	}
	if l == nil {
		l = t.limits.getOrAdd(k)
	}
	before := l.perSecond
	if !l.observe(stated, sent, now) {
		t.mu.Unlock()
		return before == stated
	}
	var notify []func()
	if stated == 0 || before == 0 || math.Abs(stated-before) > announcedChange*before {
		l.version++
		t.limits.announce(l)
		notify = t.onBroadcast
		t.logChange(l, before, "answer")
	}
	t.mu.Unlock()
	for _, f := range notify {
		f()
	}
	return false
}

// logChange logs and counts a change of a limit.
func (t *Throttle) logChange(l *limit, before float64, source string) {
	fields := logrus.Fields{"replica": l.id, "born": l.born, "per_second": l.perSecond, "before": before, "version": l.version, "source": source}
	if l.perSecond == 0 {
		t.opt.Count("limit ended")
		t.opt.Log.WithFields(fields).WithField("lasted_ms", time.Since(l.since).Milliseconds()).Info("throttle: limit of a replica has ended.")
		return
	}
	t.opt.Count("limit")
	t.opt.Log.WithFields(fields).Info("throttle: replica has a limit.")
}

// OnBroadcast implements peer.LimitLog.
func (t *Throttle) OnBroadcast(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onBroadcast = append(t.onBroadcast, f)
}

// Add implements peer.LimitLog.
func (t *Throttle) Add(from string, s peer.ReplicaLimit) bool {
	t.mu.Lock()
	changed := t.mergeLocked(s, from)
	notify := t.onBroadcast
	t.mu.Unlock()
	if changed {
		for _, f := range notify {
			f()
		}
	}
	return changed
}

// mergeLocked applies the announcement of a peer, and reports whether it has to
// be passed on.
func (t *Throttle) mergeLocked(s peer.ReplicaLimit, from string) bool {
	if s.Endpoint == "" || s.PerSecond < 0 || math.IsNaN(s.PerSecond) || math.IsInf(s.PerSecond, 0) {
		return false
	}
	l := t.limits.getOrAdd(incarnation{s.Endpoint, s.Incarnation})
	before := l.perSecond
	if !l.merge(s, time.Now()) {
		return false
	}
	t.limits.announce(l)
	t.logChange(l, before, from)
	return true
}

// Since implements peer.LimitLog.
func (t *Throttle) Since(position uint64, limit int) ([]peer.ReplicaLimit, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := sort.Search(len(t.limits.changed), func(i int) bool { return t.limits.changed[i].seq > position })
	var out []peer.ReplicaLimit
	for _, l := range t.limits.changed[first:] {
		if len(out) >= limit {
			break
		}
		out = append(out, l.statement())
		position = l.seq
	}
	return out, position
}

var _ peer.LimitLog = (*Throttle)(nil)
