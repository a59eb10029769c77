package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/config"
)

// drainTime is the time from the stop signal until the requests of an entry must
// have ended.
const drainTime = 7500 * time.Millisecond

// slowConfiguration is testConfiguration with a timeout beyond drainTime.
func slowConfiguration() *config.Configuration {
	c := testConfiguration()
	for i := range c.Routes {
		c.Routes[i].Timeout = 20 * time.Second
	}
	return c
}

// stop drains the entry and kills its client connections at the end of drainTime.
func (e *testEntry) stop() {
	e.handler.Drain(time.Now().Add(drainTime))
	time.AfterFunc(drainTime, func() { _ = e.server.Close() })
}

// startBody begins a request whose body is complete only after finish is called.
// finish returns the answer.
func (e *testEntry) startBody(t *testing.T, path string) (finish func() (*http.Response, error)) {
	nc, err := e.network.Dialer("10.0.0.2")(t.Context(), "tcp", e.host+":80")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = nc.Close() })
	_, err = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h\r\nId: q1\r\nPatience: 20000\r\nContent-Length: 4\r\n\r\nbo", path)
	qt.Assert(t, err, qt.IsNil)
	return func() (*http.Response, error) {
		_, _ = io.WriteString(nc, "dy")
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, resp.Body)
		return resp, err
	}
}

// Guards against a request being passed on late in the grace of a stop because it
// was accepted before its body had arrived.
func TestRequestWhoseBodyArrivesLateInAStopIsRefusedAsNotRun(t *testing.T) {
	for _, body := range []time.Duration{time.Second, 4 * time.Second, 7 * time.Second} {
		t.Run(body.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, slowConfiguration(), answerOK)
				finish := e.startBody(t, "/once/x")
				time.Sleep(time.Millisecond)
				e.stop()
				time.Sleep(body)
				resp, err := finish()
				qt.Assert(t, err, qt.IsNil)
				if body < 2*time.Second {
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
					return
				}
				qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
				qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "0.020")
				qt.Check(t, e.receivedCount(), qt.Equals, 0)
			})
		})
	}
}

// Guards against requests that are cut without an answer at the end of the grace of a
// stop.
func TestRequestsAreAnsweredBeforeAStopEnds(t *testing.T) {
	for _, test := range []struct {
		name, path string
		answer     script
		status     int
	}{
		{"runs too long", "/once/x", answerAfter(10 * time.Second), 502},
		{"runs too long and may be repeated", "/safe/x", answerAfter(10 * time.Second), 502},
		{"stream before its first event", "/stream/x", neverAnswer, 502},
		{"fails late", "/safe/x", inTurn(func(nc net.Conn, req *http.Request) bool {
			time.Sleep(5 * time.Second)
			return answerStatus(500, "")(nc, req)
		}, answerAfter(10*time.Second)), 500},
		{"refused late", "/once/x", func(nc net.Conn, req *http.Request) bool {
			time.Sleep(5 * time.Second)
			return answerStatus(503, "Not-Run: 1\r\n")(nc, req)
		}, 503},
		{"answered late", "/once/x", answerAfter(6 * time.Second), 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, slowConfiguration(), test.answer, test.answer)
				time.AfterFunc(10*time.Millisecond, e.stop)
				resp, _, err := e.get(t, test.path, "Patience", "20000")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, test.status)
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// Guards against a client that never completes its request holding a stop.
func TestUnfinishedRequestIsRefusedBeforeAStopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, slowConfiguration(), answerOK)
		finish := e.startBody(t, "/once/x")
		time.Sleep(time.Millisecond)
		e.stop()
		time.Sleep(drainTime - 50*time.Millisecond)
		qt.Check(t, e.handler.InFlight(), qt.Equals, 0)
		resp, err := finish()
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	})
}
