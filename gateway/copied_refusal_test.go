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
