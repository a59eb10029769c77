package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// copyingReplica answers the first request with each ID with first, and writes
// that answer once more on the same connection when the ID comes again, which it
// runs.
type copyingReplica struct {
	// first is the head of the first answer, with a verb for the ID. Its body is
	// "bad".
	first string
	// write writes the copy and the answer to the request that runs.
	write func(nc net.Conn, req *http.Request, copied string) bool

	mu sync.Mutex
	// seen holds the IDs that came on any connection, and answered those on each.
	seen     map[string]bool
	answered map[net.Conn]map[string]bool
	runs     map[string]int
}

func newCopyingReplica(first string, write func(net.Conn, *http.Request, string) bool) *copyingReplica {
	return &copyingReplica{first: first, write: write, seen: make(map[string]bool), answered: make(map[net.Conn]map[string]bool), runs: make(map[string]int)}
}

func (c *copyingReplica) answer(nc net.Conn, req *http.Request) bool {
	id := req.Header.Get("Id")
	copied := fmt.Sprintf(c.first, id) + "Content-Length: 3\r\n\r\nbad"
	c.mu.Lock()
	again, here := c.seen[id], c.answered[nc][id]
	c.seen[id] = true
	if c.answered[nc] == nil {
		c.answered[nc] = make(map[string]bool)
	}
	c.answered[nc][id] = true
	if again {
		c.runs[id]++
	}
	c.mu.Unlock()
	switch {
	case !again:
		_, err := io.WriteString(nc, copied)
		return err == nil
	case here:
		return c.write(nc, req, copied)
	default:
		return answerOK(nc, req)
	}
}

func (c *copyingReplica) runsOf(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// copyPositions are where a replica that runs a request writes the copy of an
// earlier answer.
var copyPositions = []struct {
	name  string
	write func(nc net.Conn, req *http.Request, copied string) bool
}{
	{"before the answer", func(nc net.Conn, req *http.Request, copied string) bool {
		_, _ = io.WriteString(nc, copied)
		return answerOK(nc, req)
	}},
	{"while the request runs", func(nc net.Conn, req *http.Request, copied string) bool {
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(nc, copied)
		time.Sleep(20 * time.Millisecond)
		return answerOK(nc, req)
	}},
	{"in place of the answer", func(nc net.Conn, _ *http.Request, copied string) bool {
		_, err := io.WriteString(nc, copied)
		return err == nil
	}},
	{"after an informational answer", func(nc net.Conn, req *http.Request, copied string) bool {
		_, _ = io.WriteString(nc, "HTTP/1.1 103 Early Hints\r\nId: "+req.Header.Get("Id")+"\r\n\r\n"+copied)
		return answerOK(nc, req)
	}},
}

// copiedAnswers are first answers to a request that the client sends again.
var copiedAnswers = []struct{ name, head string }{
	{"503", "HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\n"},
	{"429", "HTTP/1.1 429 X\r\nId: %s\r\nNot-Run: 1\r\n"},
	{"421", "HTTP/1.1 421 X\r\nId: %s\r\n"},
	{"408", "HTTP/1.1 408 X\r\nId: %s\r\nNot-Run: 1\r\n"},
	{"503 without a claim", "HTTP/1.1 503 X\r\nId: %s\r\n"},
	{"500", "HTTP/1.1 500 X\r\nId: %s\r\n"},
	{"404", "HTTP/1.1 404 X\r\nId: %s\r\n"},
	{"200", "HTTP/1.1 200 OK\r\nId: %s\r\n"},
}

// Guards against the copy of an earlier answer, a refusal among others, being taken
// for the answer to a request that is sent again under the same ID and runs.
func TestCopyOfAnEarlierAnswerIsNoAnswerToTheSameIDSentAgain(t *testing.T) {
	for _, first := range copiedAnswers {
		for _, position := range copyPositions {
			for _, path := range []string{"/once/x", "/safe/x"} {
				for _, between := range []int{0, 3} {
					t.Run(fmt.Sprintf("%s/%s%s/between=%d", first.name, position.name, path, between), func(t *testing.T) {
						synctest.Test(t, func(t *testing.T) {
							r := newCopyingReplica(first.head, position.write)
							e := newTestEntry(t, testConfiguration(), r.answer)
							_, _, err := e.get(t, path, "Id", "q")
							qt.Assert(t, err, qt.IsNil)
							for i := range between {
								_, _, err := e.get(t, path, "Id", fmt.Sprint("other", i))
								qt.Assert(t, err, qt.IsNil)
							}
							resp, body, err := e.get(t, path, "Id", "q")
							time.Sleep(time.Second) // the replica has written all
							qt.Assert(t, err, qt.IsNil)
							qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
							qt.Check(t, body, qt.Equals, "good")
							qt.Check(t, r.runsOf("q"), qt.Equals, 1)
						})
					})
				}
			}
		}
	}
}

// Guards against the head of an earlier stream being taken for that of the same ID sent again.
func TestCopyOfAStreamIsNoAnswerToTheSameIDSentAgain(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path[1:], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen, here := 0, map[net.Conn]int{}
				e := newTestEntry(t, testConfiguration(), func(nc net.Conn, req *http.Request) bool {
					seen++
					if here[nc]++; here[nc] > 1 {
						_ = answerEvents(1, true)(nc, req) // the copy
					}
					if seen == 1 {
						return answerEvents(1, true)(nc, req)
					}
					return answerEvents(3, true)(nc, req)
				})
				_, first, err := e.get(t, path)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, first, qt.Equals, eventText(1, 1))
				_, second, err := e.get(t, path)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, second, qt.Equals, eventText(1, 3))
			})
		})
	}
}

// Guards against the copy of a refusal being taken for the answer of the next replica at the
// same address: a process that started again under another ID, while the row of the one
// before is still there.
func TestCopyOfARefusalIsNoAnswerOfTheNextReplicaAtTheSameAddress(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x"} {
		t.Run(path[1:], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				runs, refusedOn, again := make(map[string]int), make(map[string]bool), 0
				e := newTestEntry(t, testConfiguration(), func(nc net.Conn, req *http.Request) bool {
					id := req.Header.Get("Id")
					refusal := fmt.Sprintf("HTTP/1.1 421 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 3\r\n\r\nbad", id)
					mu.Lock()
					defer mu.Unlock()
					here := fmt.Sprintf("%p %s", nc, id)
					if req.Header.Get("Replica") != "new" {
						refusedOn[here] = true
						_, err := io.WriteString(nc, refusal)
						return err == nil
					}
					runs[id]++
					if refusedOn[here] {
						again++
						_, _ = io.WriteString(nc, refusal)
					}
					return answerOK(nc, req)
				})
				addr := e.set.Current().All["r0"].Addr
				e.set.Put(replica.Registration{ID: "new", Service: "s", Addr: addr, FailureDomain: "d", Slots: 4})
				for i := range 20 {
					id := fmt.Sprint("q", i)
					resp, _, err := e.get(t, path, "Id", id)
					qt.Assert(t, err, qt.IsNil)
					mu.Lock()
					qt.Check(t, runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
					qt.Check(t, guaranteesNotRun(resp.StatusCode) && runs[id] > 0, qt.IsFalse, qt.Commentf("%s ran and got %d", id, resp.StatusCode))
					mu.Unlock()
				}
				t.Logf("%d requests came again on the connection of their refusal; %d refused", again, len(refusedOn))
			})
		})
	}
}
