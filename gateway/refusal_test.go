package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// refusals are answers that claim that a request hasn't run, as a replica writes
// them that runs the request. Each is written for the request with the given ID.
var refusals = []struct {
	name string
	head func(id string) string
}{
	{"no ID", func(string) string { return "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" }},
	{"empty ID", func(string) string { return "HTTP/1.1 503 X\r\nId:\r\nNot-Run: 1\r\n" }},
	{"ID of another request", func(string) string { return "HTTP/1.1 503 X\r\nId: other\r\nNot-Run: 1\r\n" }},
	{"own ID and another one", func(id string) string { return "HTTP/1.1 503 X\r\nId: " + id + "\r\nId: other\r\nNot-Run: 1\r\n" }},
	{"429 without an ID", func(string) string { return "HTTP/1.1 429 X\r\nNot-Run: 1\r\n" }},
	{"400 without an ID", func(string) string { return "HTTP/1.1 400 X\r\nNot-Run: 1\r\n" }},
	{"421 without an ID", func(string) string { return "HTTP/1.1 421 X\r\n" }},
	{"success that claims not to have run", func(id string) string { return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nNot-Run: 1\r\n" }},
	{"failure that claims not to have run", func(id string) string { return "HTTP/1.1 500 X\r\nId: " + id + "\r\nNot-Run: 1\r\n" }},
	{"timeout that claims not to have run", func(id string) string { return "HTTP/1.1 504 X\r\nId: " + id + "\r\nNot-Run: 1\r\n" }},
}

// positions are where a replica that runs a request writes a refusal.
var positions = []struct {
	name string
	// kept is set if the connection has served another request before.
	kept bool
	// write writes the refusal and, in most cases, the answer.
	write func(nc net.Conn, req *http.Request, refusal string) bool
}{
	{"before the answer", false, func(nc net.Conn, req *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, refusal)
		time.Sleep(5 * time.Millisecond)
		return answerOK(nc, req)
	}},
	{"before the answer on a kept connection", true, func(nc net.Conn, req *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, refusal)
		time.Sleep(5 * time.Millisecond)
		return answerOK(nc, req)
	}},
	{"in place of the answer", false, func(nc net.Conn, _ *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, refusal)
		return false
	}},
	{"in place of the answer on a kept connection", true, func(nc net.Conn, _ *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, refusal)
		return false
	}},
	{"after an informational answer", false, func(nc net.Conn, req *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, "HTTP/1.1 103 Early Hints\r\nId: "+req.Header.Get("Id")+"\r\n\r\n"+refusal)
		return answerOK(nc, req)
	}},
	{"after the answer to another request", false, func(nc net.Conn, req *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"+refusal)
		return answerOK(nc, req)
	}},
	{"without an end", false, func(nc net.Conn, _ *http.Request, refusal string) bool {
		_, _ = io.WriteString(nc, strings.TrimSuffix(refusal, "bad"))
		time.Sleep(50 * time.Millisecond)
		return false
	}},
}

// Guards against a request that a replica runs being answered with a status that
// promises that it hasn't run, or being run a second time, on the word of a refusal
// that isn't its own.
func TestRefusalThatIsNotProofIsNotBelieved(t *testing.T) {
	for _, refusal := range refusals {
		for _, position := range positions {
			for _, body := range []string{"body", strings.Repeat("x", 300<<10)} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", refusal.name, position.name, len(body)), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var mu sync.Mutex
						runs := make(map[string]int)
						run := func(req *http.Request) {
							mu.Lock()
							defer mu.Unlock()
							runs[req.Header.Get("Id")]++
						}
						faulty := func(nc net.Conn, req *http.Request) bool {
							id := req.Header.Get("Id")
							if id == "first" {
								return answerOK(nc, req)
							}
							run(req)
							return position.write(nc, req, refusal.head(id)+"Content-Length: 3\r\n\r\nbad")
						}
						e := newTestEntry(t, testConfiguration(), faulty)
						if position.kept {
							_, _, err := e.get(t, "/once/x", "Id", "first")
							qt.Assert(t, err, qt.IsNil)
						}
						e.addReplica(t, "r1", func(nc net.Conn, req *http.Request) bool {
							run(req)
							return answerOK(nc, req)
						})
						for i := range 6 {
							id := fmt.Sprint("q", i)
							resp, _, err := e.send(t, "/once/x", body, "Id", id)
							mu.Lock()
							ran := runs[id]
							mu.Unlock()
							qt.Check(t, ran <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, ran))
							if err == nil && ran > 0 {
								qt.Check(t, guaranteesNotRun(resp.StatusCode), qt.IsFalse, qt.Commentf("%s ran and got status %d", id, resp.StatusCode))
							}
						}
						time.Sleep(time.Second) // all replicas are done
					})
				})
			}
		}
	}
}

// Guards against a replica's failure being passed on with a status that promises to
// the client that its request hasn't run, although the replica doesn't claim that.
func TestFailureWithoutAClaimIsNotPassedOnAsARefusal(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/resume/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ran := answerStatus(status, "Seal: s\r\n")
					e := newTestEntry(t, testConfiguration(), ran, ran)
					resp, _, err := e.get(t, path)
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, guaranteesNotRun(resp.StatusCode), qt.IsFalse, qt.Commentf("status %d", resp.StatusCode))
					qt.Check(t, resp.Header.Get("Seal"), qt.Equals, "")
					qt.Check(t, resp.Header.Get("Retry-After"), qt.Equals, "")
				})
			})
		}
	}
}
