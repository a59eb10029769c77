package liveness_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/liveness"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
	"github.com/coltsfootcleat/coltsfootcleat/internal/memnet"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
)

const (
	entryHost, replicaHost = "10.0.0.1", "10.0.1.1"
	replicaAddr            = replicaHost + ":80"
)

// world is a replica at a port, as a Watcher of one entry sees it.
type world struct {
	network  *memnet.Network
	listener net.Listener
	set      *replica.Set
	replica  *replica.Replica
	// open is how long the replica keeps connections open, a time.Duration.
	open atomic.Int64
}

func (w *world) register(incarnation int64, draining bool) {
	w.set.Put(replica.Registration{ID: "r", Service: "s", Addr: replicaAddr, Incarnation: incarnation, Draining: draining})
}

// serve accepts connections and closes each after a time.
func (w *world) serve() {
	for {
		nc, err := w.listener.Accept()
		if err != nil {
			return
		}
		time.AfterFunc(time.Duration(w.open.Load()), func() { _ = nc.Close() })
	}
}

func newWorld(t *testing.T, open time.Duration) *world {
	network := memnet.New()
	l, err := network.Listen(replicaAddr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	w := &world{network: network, listener: l, set: replica.NewSet(nolog.Or(nil))}
	w.open.Store(int64(open))
	go w.serve()
	w.register(1, false)
	w.replica = w.set.Current().All["r"]
	return w
}

func (w *world) watcher() *liveness.Watcher {
	return liveness.New(liveness.Options{Dial: w.network.Dialer(entryHost), Registry: w.set, Log: nolog.Or(nil), Count: func(string) {}})
}

func TestSuspectIsTakenForCrashedOnlyAtASign(t *testing.T) {
	for _, test := range []struct {
		name string
		// open is how long the replica keeps connections open.
		open time.Duration
		// then is what happens right after the answer has broken off.
		then func(w *world)
		// crashed is set if the replica must be taken for crashed, and at once if
		// the request must know.
		crashed, atOnce bool
		// cutOff is set if no other replica answers the entry either.
		cutOff bool
		// waiting is set if no byte of the answer had arrived.
		waiting bool
	}{
		{name: "port is closed", open: time.Minute, then: func(w *world) { w.network.Kill(replicaHost) }, crashed: true, atOnce: true},
		{name: "port closes later", open: time.Minute, then: func(w *world) {
			time.AfterFunc(time.Second, func() { w.network.Kill(replicaHost) })
		}, crashed: true},
		{name: "all hosts are out of reach", open: time.Minute, cutOff: true, then: func(w *world) { w.network.SetCut(entryHost, replicaHost, true) }},
		{name: "host is lost", open: time.Minute, then: func(w *world) { w.network.SetCut(entryHost, replicaHost, true) }, crashed: true},
		{name: "next incarnation is registered", open: time.Minute, then: func(w *world) {
			time.AfterFunc(5*time.Second, func() { w.register(2, false) })
		}, crashed: true},
		{name: "row is removed, port serves", open: time.Minute, then: func(w *world) {
			time.AfterFunc(3*time.Second, func() { w.set.Remove("r") })
		}},
		{name: "row is removed, port ends connections", open: time.Minute, then: func(w *world) {
			time.AfterFunc(2900*time.Millisecond, func() { w.open.Store(0) })
			time.AfterFunc(3*time.Second, func() { w.set.Remove("r") })
		}, crashed: true},
		{name: "row is removed, port is closed", open: time.Minute, then: func(w *world) {
			time.AfterFunc(2900*time.Millisecond, func() { w.network.Kill(replicaHost) })
			time.AfterFunc(3*time.Second, func() { w.set.Remove("r") })
		}, crashed: true},
		{name: "alive", open: time.Minute, then: func(*world) {}},
		{name: "port ends each connection at once", then: func(*world) {}, crashed: true},
		{name: "alive, resets further connections for a moment", then: func(w *world) {
			time.AfterFunc(800*time.Millisecond, func() { w.open.Store(int64(time.Minute)) })
		}},
		{name: "alive, link lost for a moment", open: time.Minute, then: func(w *world) {
			w.network.SetCut(entryHost, replicaHost, true)
			time.AfterFunc(500*time.Millisecond, func() { w.network.SetCut(entryHost, replicaHost, false) })
		}},
		{name: "no answer, port closes later", open: time.Minute, waiting: true, then: func(w *world) {
			time.AfterFunc(time.Second, func() { w.network.Kill(replicaHost) })
		}, crashed: true},
		{name: "no answer, host is lost", open: time.Minute, waiting: true, then: func(w *world) { w.network.SetCut(entryHost, replicaHost, true) }, crashed: true},
		{name: "no answer, next incarnation behind a port that ends connections", waiting: true, then: func(w *world) {
			time.AfterFunc(5*time.Second, func() { w.register(2, false) })
		}, crashed: true},
		{name: "no answer, alive with too many connections", waiting: true, then: func(*world) {}},
		{name: "drains and ends", open: time.Minute, then: func(w *world) {
			w.register(1, true)
			time.AfterFunc(500*time.Millisecond, func() { w.network.Kill(replicaHost) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, test.open)
				watcher := w.watcher()
				var crashes atomic.Int64
				test.then(w)
				if !test.cutOff {
					time.AfterFunc(500*time.Millisecond, watcher.Answered)
				}
				atOnce := watcher.Crashed(context.Background(), w.replica, !test.waiting, func() { crashes.Add(1) })
				qt.Check(t, atOnce, qt.Equals, test.atOnce)
				time.Sleep(15 * time.Second)
				qt.Check(t, crashes.Load() == 1, qt.Equals, test.crashed, qt.Commentf("%d", crashes.Load()))
				watcher.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against goroutines that outlive their entry.
func TestCloseEndsWatching(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Hour)
		watcher := w.watcher()
		crashed := false
		watcher.Crashed(context.Background(), w.replica, true, func() { crashed = true })
		began := time.Now()
		watcher.Close()
		qt.Check(t, time.Since(began) < time.Second, qt.IsTrue)
		qt.Check(t, crashed, qt.IsFalse)
	})
}

// Guards against watching taking a place for as long as it lasts at a replica that
// may have broken off a connection because it has too many.
func TestWatchHoldsNoConnectionOfAReplicaThatMayHaveTooMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const period = 2 * time.Second
		w := newWorld(t, time.Hour)
		var held atomic.Int64
		watcher := liveness.New(liveness.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := w.network.Dialer(entryHost)(ctx, network, addr)
			return &timedConn{Conn: nc, opened: time.Now(), held: &held}, err
		}, Registry: w.set, Log: nolog.Or(nil), Count: func(string) {}})
		watcher.Watch(w.replica, false, func() {})
		time.Sleep(period)
		watcher.Close()
		qt.Check(t, held.Load() > 0, qt.IsTrue)
		qt.Check(t, time.Duration(held.Load()) < period/2, qt.IsTrue, qt.Commentf("%v", time.Duration(held.Load())))
	})
}

// timedConn adds the time for which it was open.
type timedConn struct {
	net.Conn
	opened time.Time
	held   *atomic.Int64
}

func (c *timedConn) Close() error {
	c.held.Add(int64(time.Since(c.opened)))
	return c.Conn.Close()
}
