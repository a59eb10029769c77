package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/room"
	"github.com/coltsfootcleat/coltsfootcleat/internal/nolog"
	"github.com/coltsfootcleat/coltsfootcleat/peer"
)

// withRoom gives an entry an admission control whose service has room for a fraction
// of its demand. It returns the number of decisions by event.
func withRoom(e *testEntry, fraction float64) map[string]int {
	events := make(map[string]int)
	c := room.New(room.Options{
		Capacity: func(string) room.Capacity { return room.Capacity{Replicas: 1, Slots: 4} },
		Count:    func(event string) { events[event]++ }, Log: nolog.Or(nil),
	})
	c.SetView(time.Now(), room.View{Known: true, Members: 20, Services: map[string]peer.ServiceDemand{"s": {
		Waiting: map[int]float64{0: 0.3},
		Classes: map[int]map[string]peer.ClassDemand{0: {"": {Work: 1 / fraction, Requests: 9000}, "c": {Work: 1 / fraction, Requests: 9000}}},
	}}})
	e.handler.Room = func(config.Service) *room.Controller { return c }
	return events
}

// TestRequestWithoutRoomIsRefusedAtOnce guards against requests that reach a replica,
// or wait, although their service has no room for them.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		withRoom(e, 1e-3)
		for i := range 10 {
			began := time.Now()
			resp, _, err := e.send(t, "/safe/x", fmt.Sprint("body ", i))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
			wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, wait > 0, qt.IsTrue)
			qt.Check(t, time.Since(began) < 10*time.Millisecond, qt.IsTrue)
		}
		qt.Check(t, e.receivedCount(), qt.Equals, 0)
	})
}

// TestOnlyAsManyAsThereIsRoomForAreServed guards against decisions that ignore the
// fraction, and requests that are decided on twice.
func TestOnlyAsManyAsThereIsRoomForAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		events := withRoom(e, 1) // two customers with a demand of 1 each: a half is served
		for i := range 200 {
			_, _, err := e.send(t, "/safe/x", fmt.Sprint("body ", i))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Check(t, events[room.EventSelected]+events[room.EventRefused], qt.Equals, 200)
		qt.Check(t, e.receivedCount(), qt.Equals, events[room.EventSelected])
		qt.Check(t, e.receivedCount() > 40 && e.receivedCount() < 100, qt.IsTrue, qt.Commentf("%d", e.receivedCount()))
	})
}

// TestFullReplicaIsFollowedByAnotherOfferOnlyIfThereIsRoom guards against offers to
// replicas that are as full as the first one, and against refusals for a replica that
// is full by chance.
func TestFullReplicaIsFollowedByAnotherOfferOnlyIfThereIsRoom(t *testing.T) {
	full := answerStatus(http.StatusServiceUnavailable, "Not-Run: 1\r\n")
	for name, c := range map[string]struct {
		fraction float64
		offers   int
	}{"room elsewhere": {1000, 3}, "no room": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, testConfiguration(), full, full, full)
				events := withRoom(e, c.fraction)
				for i := range 5 {
					resp, _, err := e.send(t, "/safe/x", fmt.Sprint("body ", i))
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
					wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					qt.Check(t, err, qt.IsNil)
					qt.Check(t, wait > 0, qt.IsTrue)
				}
				admitted := events[room.EventSelected] + events[room.EventAdmitted]
				qt.Check(t, admitted > 0, qt.IsTrue)
				qt.Check(t, e.receivedCount(), qt.Equals, c.offers*admitted)
			})
		})
	}
}

// TestRequestOverItsLimitIsNotDecidedOn guards against demand that the limits of
// customers keep from the service anyway.
func TestRequestOverItsLimitIsNotDecidedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cfg := testConfiguration()
		cfg.Customers = []config.Customer{{Name: "c", Keys: []string{"k"}, PerSecond: 0.01, Burst: 1}}
		e := newTestEntry(t, cfg, answerOK)
		events := withRoom(e, 1000)
		limited := 0
		for i := range 20 {
			resp, _, err := e.send(t, "/safe/x", fmt.Sprint("body ", i), "Key", "k")
			qt.Assert(t, err, qt.IsNil)
			if resp.StatusCode == http.StatusTooManyRequests {
				limited++
			}
		}
		qt.Check(t, limited > 0, qt.IsTrue)
		qt.Check(t, events[room.EventAdmitted], qt.Equals, 20-limited)
	})
}
