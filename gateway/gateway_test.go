package gateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/quota"
	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

func TestAnswersToClientsOfFaultyReplicas(t *testing.T) {
	shed := answerStatus(503, "Not-Run: 1\r\n")
	for _, test := range []struct {
		name  string
		path  string
		first script
		// second is the script of another replica, nil if there is none.
		second script
		status int
		body   string
		cut    bool
		runs   int
	}{
		{"answer", "/once/x", answerOK, nil, 200, "good", false, 1},
		{"own failure is passed on", "/once/x", answerStatus(500, ""), answerStatus(500, ""), 500, "bad", false, 1},
		{"own failure of a repeatable request", "/safe/x", answerStatus(500, ""), answerStatus(500, ""), 500, "bad", false, 2},
		{"no answer, may not be repeated", "/once/x", closeUnanswered, closeUnanswered, 502, "", false, 1},
		{"no answer, may be repeated", "/safe/x", closeUnanswered, closeUnanswered, 502, "", false, 2},
		{"full replicas", "/once/x", shed, shed, 503, "", false, 2},
		{"cut answer, may not be repeated", "/once/x", answerTruncated, answerTruncated, 502, "", false, 1},
		{"no answer before the timeout", "/once/x", neverAnswer, neverAnswer, 504, "", false, 1},
		{"stream", "/stream/x", answerEvents(3, true), nil, 200, eventText(1, 3), false, 1},
		{"stream breaks off", "/stream/x", answerEvents(3, false), answerEvents(3, false), 200, eventText(1, 3), true, 1},
		{"stream ends before its first event", "/stream/x", closeUnanswered, closeUnanswered, 502, "", false, 1},
		{"resumable stream that both break off", "/resume/x", answerEvents(3, false), answerEvents(3, false), 200, eventText(1, 3), true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scripts := []script{test.first}
				if test.second != nil {
					scripts = append(scripts, test.second)
				}
				e := newTestEntry(t, testConfiguration(), scripts...)
				resp, body, err := e.get(t, test.path)
				qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
				qt.Check(t, resp.StatusCode, qt.Equals, test.status)
				qt.Check(t, err != nil, qt.Equals, test.cut)
				if test.body != "" {
					qt.Check(t, body, qt.Equals, test.body)
				}
				qt.Check(t, e.receivedCount(), qt.Equals, test.runs)
				if guaranteesNotRun(resp.StatusCode) {
					qt.Check(t, resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
				}
			})
		})
	}
}

func TestFailedAnswerIsRelayedIfRetryBringsNoBetterOne(t *testing.T) {
	failed := answerStatus(500, "")
	for _, test := range []struct {
		name   string
		second script
		extra  float64
		status int
		runs   int
	}{
		{"no retry left", answerOK, 0, 500, 1},
		{"second replica closes the connection", closeUnanswered, 20, 500, 2},
		{"second replica is full", answerStatus(503, "Not-Run: 1\r\n"), 20, 500, 2},
		{"no second replica", nil, 20, 500, 1},
		{"second replica answers", answerOK, 20, 200, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, testConfiguration(), failed)
				e.handler.Retries = quota.NewRetryBudget(quota.RetryOptions{Extra: test.extra, Window: 10 * time.Second})
				if test.second != nil {
					e.addReplica(t, "r1", test.second)
				}
				// Either replica may be chosen first. Requests that the second
				// one answers directly don't exercise the retry and are
				// repeated.
				for i := 0; ; i++ {
					qt.Assert(t, i < 20, qt.IsTrue)
					before := e.receivedCount()
					resp, body, err := e.get(t, "/safe/x")
					qt.Assert(t, err, qt.IsNil)
					if !strings.HasPrefix(e.received[before], "r0") {
						continue
					}
					qt.Check(t, resp.StatusCode, qt.Equals, test.status)
					qt.Check(t, body, qt.Equals, map[int]string{200: "good", 500: "bad"}[test.status])
					qt.Check(t, e.receivedCount()-before, qt.Equals, test.runs)
					return
				}
			})
		})
	}
}

func TestStreamResumesAfterLastCompleteEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The replica that is chosen first aborts the stream after three
		// events; the other one sends all five.
		var mu sync.Mutex
		sent := 0
		both := func(nc net.Conn, req *http.Request) bool {
			mu.Lock()
			sent++
			first := sent == 1
			mu.Unlock()
			if first {
				return answerEvents(3, false)(nc, req)
			}
			return answerEvents(5, true)(nc, req)
		}
		e := newTestEntry(t, testConfiguration(), both, both)
		resp, body, err := e.get(t, "/resume/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 200)
		qt.Assert(t, body, qt.Equals, eventText(1, 5))
		qt.Assert(t, e.receivedCount(), qt.Equals, 2)
		qt.Assert(t, strings.HasSuffix(e.received[1], " q1 3"), qt.IsTrue, qt.Commentf("%v", e.received))
	})
}

func TestClientDisconnectCancelsRequestAtReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disconnected := make(chan struct{})
		e := newTestEntry(t, testConfiguration(), func(nc net.Conn, _ *http.Request) bool {
			_, _ = nc.Read(make([]byte, 1))
			close(disconnected)
			return false
		})
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.1:80/once/x", strings.NewReader("b"))
		qt.Assert(t, err, qt.IsNil)
		req.Host = "h"
		req.Header.Set("Id", "q1")
		_, err = e.client.Do(req)
		qt.Assert(t, err, qt.IsNotNil)
		began := time.Now()
		<-disconnected
		qt.Assert(t, time.Since(began) < 100*time.Millisecond, qt.IsTrue)
	})
}

func TestRequestsThatAreNotForwarded(t *testing.T) {
	keyed := func() *config.Configuration {
		c := testConfiguration()
		c.Customers = []config.Customer{{Name: "a", Keys: []string{"k"}, PerSecond: 1, Burst: 1}}
		return c
	}
	for _, test := range []struct {
		name   string
		config *config.Configuration
		age    time.Duration
		path   string
		header []string
		status int
	}{
		{"no configuration yet", nil, 0, "/once/x", nil, 503},
		{"no route", testConfiguration(), 0, "/other/x", nil, 404},
		{"no route by an old configuration", testConfiguration(), time.Minute, "/other/x", nil, 503},
		{"unknown key", keyed(), 0, "/once/x", []string{"Key", "other"}, 401},
		{"unknown key by an old configuration", keyed(), time.Minute, "/once/x", []string{"Key", "other"}, 503},
		{"malformed deadline", testConfiguration(), 0, "/once/x", []string{"Patience", "soon"}, 400},
		{"no replica", testConfiguration(), 0, "/once/x", nil, 503},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, test.config)
				e.age = test.age
				resp, _, err := e.get(t, test.path, test.header...)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, resp.StatusCode, qt.Equals, test.status)
			})
		})
	}
}

func TestDrainingEntryClosesClientConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.handler.Drain(time.Now().Add(drainTime))
		resp, body, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, body, qt.Equals, "good")
		qt.Assert(t, resp.Close, qt.IsTrue)
	})
}

func TestRequestWaitsUntilConfigurationIsLoaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, nil, answerOK)
		loaded := make(chan struct{})
		e.handler.Loaded = []<-chan struct{}{loaded}
		time.AfterFunc(150*time.Millisecond, func() {
			e.config.Offer(testConfiguration().Compile())
			close(loaded)
		})
		resp, body, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 200)
		qt.Assert(t, body, qt.Equals, "good")
	})
}

func TestRequestWaitsBrieflyIfConfigurationNeverLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, nil, answerOK)
		e.handler.Loaded = []<-chan struct{}{make(chan struct{})}
		began := time.Now()
		resp, _, err := e.get(t, "/once/x", "Patience", "800")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, time.Since(began), qt.Equals, 100*time.Millisecond)
	})
}

// Guards against requests that are accepted late in a drain and then cut off
// when the process is killed.
func TestRequestLateInDrainIsRefusedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.handler.Drain(time.Now().Add(drainTime))
		time.Sleep(2900 * time.Millisecond)
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "0.020")
		qt.Assert(t, resp.Close, qt.IsTrue)
		qt.Assert(t, e.receivedCount(), qt.Equals, 0)
	})
}

// Guards against refusals without Retry-After while the registry still lists
// crashed replicas.
func TestRefusalHasRetryAfterIfNoReplicaIsReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		e.set.Remove("r0")
		for i := range 5 {
			e.set.Put(replica.Registration{ID: fmt.Sprintf("dead%d", i), Service: "s", Addr: "10.0.9.9:80", FailureDomain: "d", Slots: 4})
		}
		resp, _, err := e.get(t, "/once/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, resp.StatusCode, qt.Equals, 503)
		qt.Assert(t, resp.Header.Get("Retry-After"), qt.Equals, "0.400")
	})
}
