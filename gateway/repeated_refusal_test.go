package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Guards against an earlier refusal of a replica being taken for the answer to a
// later request on the same connection, which would be refused although it runs, or
// run a second time.
func TestRefusalWrittenAgainIsNoAnswerToALaterRequest(t *testing.T) {
	for _, test := range []struct {
		name string
		// repeated is the header of the refusal that is written again.
		repeated string
		// answers is set if the answer follows, and status is what the client of
		// the later request gets.
		answers bool
		status  int
	}{
		{"with the ID of its request", "Id: q0\r\n", true, 200},
		{"with the ID of its request and no answer after it", "Id: q0\r\n", false, 502},
		{"without an ID", "", true, 200},
		{"without an ID and no answer after it", "", false, 502},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				runs := make(map[string]int)
				faulty := func(nc net.Conn, req *http.Request) bool {
					id := req.Header.Get("Id")
					if id == "q0" {
						_, err := fmt.Fprintf(nc, "HTTP/1.1 503 X\r\nId: q0\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nbad")
						return err == nil
					}
					mu.Lock()
					runs[id]++
					mu.Unlock()
					_, _ = io.WriteString(nc, "HTTP/1.1 503 X\r\n"+test.repeated+"Not-Run: 1\r\nContent-Length: 3\r\n\r\nbad")
					return test.answers && answerOK(nc, req)
				}
				e := newTestEntry(t, testConfiguration(), faulty)
				_, _, _ = e.get(t, "/once/x", "Id", "q0")
				e.addReplica(t, "r1", func(nc net.Conn, req *http.Request) bool {
					mu.Lock()
					runs[req.Header.Get("Id")]++
					mu.Unlock()
					return answerOK(nc, req)
				})
				for i := range 10 {
					id := fmt.Sprint("q", 1+i)
					before := len(e.received)
					resp, _, err := e.get(t, "/once/x", "Id", id)
					qt.Assert(t, err, qt.IsNil)
					mu.Lock()
					qt.Check(t, runs[id], qt.Equals, 1, qt.Commentf("%s ran %d times", id, runs[id]))
					mu.Unlock()
					if e.received[before][:2] == "r0" {
						qt.Check(t, resp.StatusCode, qt.Equals, test.status)
						return
					}
				}
				t.Fatal("the faulty replica got no request")
			})
		})
	}
}

// Guards against a refusal that doesn't name its request being taken for proof, on a
// new connection too. The client of a request that may be repeated gets its answer
// from the next replica.
func TestRefusalWithoutAnIDOnANewConnectionIsNoProof(t *testing.T) {
	for _, test := range []struct {
		path   string
		status int
	}{{"/once/x", 502}, {"/safe/x", 200}} {
		t.Run(test.path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				both := inTurn(func(nc net.Conn, _ *http.Request) bool {
					_, _ = io.WriteString(nc, "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nbad")
					return false
				}, answerOK)
				e := newTestEntry(t, testConfiguration(), both, both)
				resp, _, err := e.get(t, test.path)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, resp.StatusCode, qt.Equals, test.status)
			})
		})
	}
}

// Guards against answers being taken for those of a request that has no ID, for
// which any answer without one would do.
func TestRequestWithoutAnIDIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerOK)
		resp, _, err := e.get(t, "/once/x", "Id", "")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 400)
		qt.Check(t, e.receivedCount(), qt.Equals, 0)
	})
}
