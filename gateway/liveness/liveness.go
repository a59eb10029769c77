package liveness

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/ctxtime"
)

const (
	// portPeriod is how long the port of a suspect is watched, and watchPeriod how
	// long what the registry lists: a replica whose port is held for the next
	// process may take some time to start.
	portPeriod  = 2500 * time.Millisecond
	watchPeriod = 10 * time.Second
	// decideWithin is how long a request waits for the decision on its replica
	// before it is offered to the next one.
	decideWithin = 100 * time.Millisecond
	// dialTimeout bounds one look at the port. maxUnreachable looks in a row
	// without any reply show that the host is lost: single packets may be.
	dialTimeout    = 300 * time.Millisecond
	maxUnreachable = 3
	// linkProvenFor is how long before the first look an answer of another replica may
	// have come that shows that this entry's own link works. Connections over a lost
	// link break off only when keep-alives have failed for longer.
	linkProvenFor = time.Second
	// closedAtOnce is the life of a connection that shows that nothing answers at a
	// port which accepts it. closedPeriod is how long every connection must end so,
	// as a replica with many connections also resets further ones for a moment.
	closedAtOnce = 50 * time.Millisecond
	closedPeriod = time.Second
	// minPause and maxPause bound the time between two looks.
	minPause, maxPause = 2 * time.Millisecond, 200 * time.Millisecond
	// registryPeriod is the time between two looks at the registry while the port
	// accepts connections.
	registryPeriod = 50 * time.Millisecond
	// maxSuspects bounds the replicas that are watched at once.
	maxSuspects = 256
)

// sparsePauses are the times between looks if no answer had begun: most connections
// that end so are no crash, and each look takes one more.
var sparsePauses = [...]time.Duration{30 * time.Millisecond, 150 * time.Millisecond, 900 * time.Millisecond}

// Sign is what showed that a replica has crashed.
type Sign string

// Signs of a crash. Alive is the lack of any.
const (
	Alive       Sign = "none"
	Refused     Sign = "refused"
	Unreachable Sign = "unreachable"
	Closed      Sign = "closed"
	Replaced    Sign = "replaced"
)

// Registry reports which incarnations are registered and leaving. Implementations must be safe for
// concurrent use.
type Registry interface {
	// IsLeaving reports whether an incarnation is draining or gone, and SaidLeaving
	// whether it said so itself.
	IsLeaving(r *replica.Replica) bool
	SaidLeaving(r *replica.Replica) bool
	// IsReplaced reports whether the registry lists another incarnation in place of one
	// that never said that it was leaving.
	IsReplaced(r *replica.Replica) bool
}

// Options configure a Watcher.
type Options struct {
	// Dial opens a connection, as net.Dialer.DialContext does.
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	Registry Registry
	Log      *logrus.Entry
	// Count counts the decisions on suspects by their sign.
	Count func(sign string)
}

// Watcher watches suspects.
type Watcher struct {
	opt    Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	suspects map[suspectKey]*suspect
	// answeredAt is the time of the last answer of any replica.
	answeredAt time.Time
}

type suspectKey struct {
	id          string
	incarnation int64
	addr        string
}

// suspect is a replica that is being watched.
type suspect struct {
	replica *replica.Replica
	// decided is closed after sign is set.
	decided chan struct{}
	sign    Sign
	// onCrash holds what is called if the replica has crashed. answering is set if one
	// of the answers that it broke off had begun.
	onCrash   []func()
	answering bool
}

// New returns a Watcher. Close ends it.
func New(o Options) *Watcher {
	ctx, cancel := context.WithCancel(context.Background())
	return &Watcher{opt: o, ctx: ctx, cancel: cancel, suspects: make(map[suspectKey]*suspect)}
}

// Close stops watching. It returns when all goroutines have ended.
func (w *Watcher) Close() {
	w.cancel()
	w.wg.Wait()
}

// Crashed watches a replica that broke off an answer, of which a byte had arrived if
// answering is set. onCrash is called once if the replica turns out to have crashed,
// on any goroutine and possibly after Crashed has returned. The result is true if
// that is known before ctx ends and before a request should wait no longer.
func (w *Watcher) Crashed(ctx context.Context, r *replica.Replica, answering bool, onCrash func()) bool {
	s := w.watch(r, answering, onCrash)
	if s == nil {
		return false
	}
	timer := time.NewTimer(decideWithin)
	defer timer.Stop()
	select {
	case <-s.decided:
		return s.sign != Alive
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Answered records that some replica has answered. It shows that this entry has not lost
// its links to all of them.
func (w *Watcher) Answered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt = time.Now()
}

func (w *Watcher) answeredSince(t time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answeredAt.After(t)
}

// Watch is like Crashed, but doesn't wait for the decision.
func (w *Watcher) Watch(r *replica.Replica, answering bool, onCrash func()) {
	w.watch(r, answering, onCrash)
}

// watch starts to watch a replica, unless it is being watched. It returns nil if
// the replica is leaving, or if there are too many suspects.
func (w *Watcher) watch(r *replica.Replica, answering bool, onCrash func()) *suspect {
	if w.opt.Registry.IsLeaving(r) {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	key := suspectKey{r.ID, r.Incarnation, r.Addr}
	if s := w.suspects[key]; s != nil {
		s.onCrash = append(s.onCrash, onCrash)
		s.answering = s.answering || answering
		return s
	}
	if len(w.suspects) >= maxSuspects || w.ctx.Err() != nil {
		w.opt.Log.WithFields(logrus.Fields{"replica": r.ID, "suspects": len(w.suspects)}).Warn("liveness: replica is not watched.")
		return nil
	}
	s := &suspect{replica: r, decided: make(chan struct{}), onCrash: []func(){onCrash}, answering: answering}
	w.suspects[key] = s
	w.wg.Go(func() { w.decide(key, s) })
	return s
}

// decide watches a suspect, and reports its crash.
func (w *Watcher) decide(key suspectKey, s *suspect) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(w.ctx, watchPeriod)
	defer cancel()
	sign := w.look(ctx, s)
	if sign == Alive {
		sign = w.awaitRegistry(ctx, s.replica)
	}
	w.mu.Lock()
	delete(w.suspects, key)
	s.sign = sign
	onCrash := s.onCrash
	w.mu.Unlock()
	w.opt.Count(string(sign))
	w.opt.Log.WithFields(logrus.Fields{
		"replica": s.replica.ID, "born": s.replica.Incarnation, "sign": sign, "ms": time.Since(began).Milliseconds(), "answers": len(onCrash),
	}).Warn("liveness: replica that broke off an answer.")
	if sign != Alive {
		for _, f := range onCrash {
			f()
		}
	}
	close(s.decided)
}

// look looks at a suspect until ctx ends, portPeriod has passed or there is a
// sign.
func (w *Watcher) look(ctx context.Context, s *suspect) Sign {
	ctx, cancel := context.WithTimeout(ctx, portPeriod)
	defer cancel()
	unreachable, sparse, firstLook := 0, 0, time.Now()
	var closedSince time.Time
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		switch {
		case w.opt.Registry.IsReplaced(s.replica):
			return Replaced
		case w.opt.Registry.IsLeaving(s.replica):
			return w.lookAtGone(ctx, s.replica)
		}
		began, answering := time.Now(), w.isAnswering(s)
		sign := w.lookAtPort(ctx, s.replica, answering)
		if sign != Unreachable {
			unreachable = 0
		}
		if sign != Closed {
			closedSince = time.Time{}
		}
		switch sign {
		case Refused:
			return Refused
		case Unreachable:
			if unreachable++; unreachable >= maxUnreachable && w.answeredSince(firstLook.Add(-linkProvenFor)) {
				return Unreachable
			}
		case Closed:
			if closedSince.IsZero() {
				closedSince = began
			}
			if time.Since(closedSince) >= closedPeriod && answering {
				return Closed
			}
		}
		next := pause
		if !answering && sign != Unreachable {
			if sparse == len(sparsePauses) {
				return Alive
			}
			next = sparsePauses[sparse]
			sparse++
		}
		if !w.pause(ctx, s.replica, next) {
			return Alive
		}
	}
}

// pause sleeps until a time has passed, the registry decides or ctx ends. It reports
// whether ctx goes on.
func (w *Watcher) pause(ctx context.Context, r *replica.Replica, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end) && !w.isDecided(r); {
		if !ctxtime.Sleep(ctx, min(time.Until(end), registryPeriod)) {
			return false
		}
	}
	return true
}

// isAnswering reports whether an answer that the suspect broke off had begun.
func (w *Watcher) isAnswering(s *suspect) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.answering
}

// awaitRegistry waits until the registry decides or ctx ends.
func (w *Watcher) awaitRegistry(ctx context.Context, r *replica.Replica) Sign {
	for {
		switch {
		case w.opt.Registry.IsReplaced(r):
			return Replaced
		case w.opt.Registry.IsLeaving(r):
			return w.lookAtGone(ctx, r)
		}
		if !ctxtime.Sleep(ctx, maxPause) {
			return Alive
		}
	}
}

// lookAtGone returns the sign of a replica that is leaving or that the registry has
// dropped. One that leaves may not say so, and serves for a while longer.
func (w *Watcher) lookAtGone(ctx context.Context, r *replica.Replica) Sign {
	if w.opt.Registry.SaidLeaving(r) {
		return Alive
	}
	if sign := w.lookAtPort(ctx, r, false); sign != Unreachable || w.answeredSince(time.Now().Add(-linkProvenFor)) {
		return sign
	}
	return Alive
}

// isDecided reports whether the registry has changed what it says of a suspect.
func (w *Watcher) isDecided(r *replica.Replica) bool {
	return w.opt.Registry.IsReplaced(r) || w.opt.Registry.IsLeaving(r)
}

// lookAtPort opens a connection. If it is accepted, lookAtPort returns as soon as
// the connection ends, with Closed if that is at once, ctx ends or the registry
// decides. A replica that may only have too many connections doesn't get to hold
// one more: without hold, lookAtPort returns after registryPeriod.
func (w *Watcher) lookAtPort(ctx context.Context, r *replica.Replica, hold bool) Sign {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := w.opt.Dial(dialCtx, "tcp", r.Addr)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case ctx.Err() != nil:
		return Alive
	case err != nil:
		return Unreachable
	}
	defer func() { _ = nc.Close() }()
	opened := time.Now()
	var b [1]byte
	for ctx.Err() == nil {
		_ = nc.SetReadDeadline(time.Now().Add(registryPeriod))
		_, err := nc.Read(b[:])
		var timeout net.Error
		if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
			if time.Since(opened) < closedAtOnce {
				return Closed
			}
			return Alive
		}
		if w.isDecided(r) || !hold {
			return Alive
		}
	}
	return Alive
}
