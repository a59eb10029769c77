package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// limitKnown is the time after which a limit that a replica names must hold.
	limitKnown = 3 * time.Second
	// A replica may get limitTolerance times what its limit allows in any
	// limitWindow, and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// minLimitUse is the part of a limit that must be used if there is demand.
	minLimitUse = 0.8
)

// arrivals counts the requests that reach a replica.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

// counted records each request of a script.
func (a *arrivals) counted(s script) script {
	return func(nc net.Conn, req *http.Request) bool {
		a.mu.Lock()
		a.times = append(a.times, time.Now())
		a.mu.Unlock()
		return s(nc, req)
	}
}

// after returns the number of arrivals after a time, and the most in any window
// that begins after it.
func (a *arrivals) after(t time.Time) (total, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, first := range a.times {
		if first.Before(t) {
			continue
		}
		total++
		n := 0
		for _, other := range a.times[i:] {
			if other.Sub(first) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return total, most
}

// Guards against entries that together send a replica more requests than the
// limit that it names in its answers.
func TestReplicaGetsNoMoreRequestsThanTheLimitItNames(t *testing.T) {
	const (
		entries   = 9
		perSecond = 50
		lasts     = 16 * time.Second
	)
	for _, limit := range []float64{0.4, 2.5, 8} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var limited arrivals
				answer := answerAfter(50 * time.Millisecond)
				f := newTestFleet(t, testConfiguration(), entries,
					limited.counted(withHeader(fmt.Sprintf("Limit: %v\r\n", limit), answer)), answer, answer)
				began := time.Now()
				var calls sync.WaitGroup
				var mu sync.Mutex
				sent, answered := 0, 0
				for i := 0; time.Since(began) < lasts; i++ {
					calls.Go(func() {
						resp, _, err := f[i%entries].get(t, "/once/x", "Id", fmt.Sprint("q", i))
						mu.Lock()
						defer mu.Unlock()
						sent++
						if err == nil && resp.StatusCode == http.StatusOK {
							answered++
						}
					})
					time.Sleep(time.Second / perSecond)
				}
				calls.Wait()
				got, most := limited.after(began.Add(limitKnown))
				allowed := int(limitTolerance*limit*limitWindow.Seconds()) + limitSlack
				t.Logf("%d requests in %v, allowed %d; %d of the limit's %.1f used; %d of %d answered",
					most, limitWindow, allowed, got, limit*(lasts-limitKnown).Seconds(), answered, sent)
				qt.Check(t, most <= allowed, qt.IsTrue, qt.Commentf("%d requests in %v, allowed %d", most, limitWindow, allowed))
				qt.Check(t, float64(got) >= minLimitUse*limit*(lasts-limitKnown).Seconds()-1, qt.IsTrue)
				qt.Check(t, answered, qt.Equals, sent)
			})
		})
	}
}

// Guards against requests to a replica that has turned one away and named the
// time for which it wants none from this entry.
func TestReplicaThatAsksForAPauseGetsNoRequestsUntilItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 3 * time.Second
		var paused arrivals
		turnAway := withHeader(fmt.Sprintf("Pause: %d\r\n", pause.Milliseconds()), answerStatus(503, "Not-Run: 1\r\n"))
		f := newTestFleet(t, testConfiguration(), 1, paused.counted(turnAway), answerOK)
		for i := range 60 {
			resp, _, err := f[0].get(t, "/once/x", "Id", fmt.Sprint("q", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			time.Sleep(pause / 60)
		}
		// More than two requests after half a second break the rule.
		qt.Assert(t, paused.times, qt.Not(qt.HasLen), 0)
		got, _ := paused.after(paused.times[0].Add(500 * time.Millisecond))
		qt.Check(t, got <= 2, qt.IsTrue, qt.Commentf("%d requests during the pause", got))
		// It gets requests again after the pause.
		time.Sleep(pause)
		for i := range 20 {
			_, _, _ = f[0].get(t, "/once/x", "Id", fmt.Sprint("later", i))
		}
		again, _ := paused.after(paused.times[0].Add(pause))
		qt.Check(t, again > 0, qt.IsTrue)
	})
}

// Guards against callers that wait or come back too soon while all replicas of
// a service pause.
func TestRequestIsRefusedAtOnceWhileAllReplicasPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turnAway := withHeader("Pause: 2000\r\n", answerStatus(503, "Not-Run: 1\r\n"))
		f := newTestFleet(t, testConfiguration(), 1, turnAway, turnAway)
		_, _, _ = f[0].get(t, "/once/x")
		began := time.Now()
		resp, _, err := f[0].get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
		qt.Check(t, time.Since(began) < 50*time.Millisecond, qt.IsTrue)
		wait, err := time.ParseDuration(resp.Header.Get("Retry-After") + "s")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, wait > 1500*time.Millisecond && wait < 3*time.Second, qt.IsTrue, qt.Commentf("%v", wait))
		qt.Check(t, f[0].receivedCount(), qt.Equals, 2)
	})
}

// Guards against a pause that counts as a failure of the replica, which would keep
// it out after its end.
func TestPauseIsNoFailureOfTheReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var turned atomic.Int64
		turnAwayFirst := func(nc net.Conn, req *http.Request) bool {
			if turned.Add(1) <= 3 {
				return withHeader("Pause: 300\r\n", answerStatus(503, "Not-Run: 1\r\n"))(nc, req)
			}
			return answerOK(nc, req)
		}
		f := newTestFleet(t, testConfiguration(), 1, turnAwayFirst)
		for i := range 3 {
			resp, _, err := f[0].get(t, "/once/x", "Id", fmt.Sprint("q", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			time.Sleep(400 * time.Millisecond)
		}
		resp, _, err := f[0].get(t, "/once/x", "Id", "last")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	})
}
