package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Framings of an answer whose end is stated or, for framedByConnection, marked
// only by the close of the connection.
const (
	framedByLength     = "length"
	framedByChunks     = "chunks"
	framedByConnection = "connection"
)

// answerFramed sends body as a stream with the given framing, ends it properly
// and closes the connection in order.
func answerFramed(framing, body string) script {
	return func(nc net.Conn, req *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\nId: " + req.Header.Get("Id") + "\r\nContent-Type: text/event-stream\r\n"
		switch framing {
		case framedByLength:
			head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		case framedByChunks:
			head += "Transfer-Encoding: chunked\r\n"
			if body != "" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			body += "0\r\n\r\n"
		}
		_, _ = io.WriteString(nc, head+"\r\n"+body)
		return false
	}
}

// inTurn answers the first request with one script and all later ones with
// another, whichever replicas they are sent to.
func inTurn(first, later script) script {
	var sent atomic.Int64
	return func(nc net.Conn, req *http.Request) bool {
		if sent.Add(1) == 1 {
			return first(nc, req)
		}
		return later(nc, req)
	}
}

// Guards against a stream that its replica broke off reaching the client as if
// it were complete, although the replica's connection ended in order.
func TestStreamThatEndsWithinAnEventIsNotFramedAsComplete(t *testing.T) {
	whole := eventText(1, 3)
	for _, test := range []struct {
		name, body string
		status     int
		cut        bool
	}{
		{"complete", whole, 200, false},
		{"complete with a blank line more", whole + "\n", 200, false},
		{"complete with other line ends", strings.ReplaceAll(whole, "\n", "\r\n"), 200, false},
		{"ends within a field", whole + "id: 4\nda", 200, true},
		{"ends before the blank line", whole + "id: 4\ndata: x\n", 200, true},
		{"ends within a line end", strings.ReplaceAll(whole, "\n", "\r\n") + "id: 4\r\ndata: x\r\n\r", 200, true},
		{"ends within the first event", "id: 1\n", 502, false},
	} {
		for _, framing := range []string{framedByLength, framedByChunks, framedByConnection} {
			t.Run(test.name+"/"+framing, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEntry(t, testConfiguration(), answerFramed(framing, test.body))
					resp, body, err := e.get(t, "/stream/x")
					qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
					qt.Check(t, resp.StatusCode, qt.Equals, test.status)
					qt.Check(t, err != nil, qt.Equals, test.cut)
					switch {
					case test.cut:
						qt.Check(t, strings.HasPrefix(test.body, body), qt.IsTrue)
						qt.Check(t, strings.Contains(body, "id: 4"), qt.IsFalse)
					case test.status == http.StatusOK:
						qt.Check(t, body, qt.Equals, test.body)
					}
				})
			})
		}
	}
}

// Guards against a stream without any event counting as complete because its
// replica's connection ended.
func TestStreamThatEndsBeforeItsFirstEventIsNotFramedAsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerFramed(framedByConnection, ""))
		resp, _, err := e.get(t, "/stream/x")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway)
	})
}

// Guards against the half event of a broken stream being joined with the run
// that resumes it.
func TestStreamThatEndsWithinAnEventIsResumedAfterLastCompleteEvent(t *testing.T) {
	for _, framing := range []string{framedByLength, framedByChunks, framedByConnection} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				resumed := func(nc net.Conn, req *http.Request) bool {
					from, err := strconv.Atoi(req.Header.Get("Last"))
					qt.Check(t, err, qt.IsNil)
					return answerFramed(framedByConnection, eventText(from+1, 5))(nc, req)
				}
				both := inTurn(answerFramed(framing, eventText(1, 3)+"id: 4\nda"), resumed)
				e := newTestEntry(t, testConfiguration(), both, both)
				_, body, err := e.get(t, "/resume/x")
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, body, qt.Equals, eventText(1, 5))
				qt.Check(t, e.receivedCount(), qt.Equals, 2)
			})
		})
	}
}

// Guards against the failure of the replica that should resume a stream being
// joined to the stream's events, and ending it as complete.
func TestFailureOfResumingReplicaIsNotJoinedToStream(t *testing.T) {
	for _, status := range []int{500, 504, 400, 302} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				both := inTurn(answerEvents(3, false), answerStatus(status, ""))
				e := newTestEntry(t, testConfiguration(), both, both)
				_, body, err := e.get(t, "/resume/x")
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, body, qt.Equals, eventText(1, 3))
				qt.Check(t, e.receivedCount(), qt.Equals, 2)
			})
		})
	}
}

// Guards against bytes of a failure that reach the client in the middle of a stream
// that had begun, or end it as complete.
func TestFailureAfterAStreamHasBegunIsNotJoinedToIt(t *testing.T) {
	const failure = "HTTP/1.1 500 X\r\nId: q1\r\nContent-Length: 3\r\n\r\nbad"
	begun := eventText(1, 3)
	resumeWith := func(s script) script { return inTurn(answerEvents(3, false), s) }
	for _, test := range []struct {
		name, path string
		answer     script
	}{
		{"failure of the next replica", "/resume/x", resumeWith(answerStatus(500, ""))},
		{"refusal of the next replica", "/resume/x", resumeWith(answerStatus(503, "Not-Run: 1\r\n"))},
		{"next owner of the address", "/resume/x", resumeWith(answerStatus(421, "Not-Run: 1\r\n"))},
		{"refusal with a time", "/resume/x", resumeWith(withHeader("Pause: 2000\r\n", answerStatus(503, "Not-Run: 1\r\n")))},
		{"text of a failure as success", "/resume/x", resumeWith(answerFramed(framedByLength, "upstream failed"))},
		{"text of a failure as an event", "/resume/x", resumeWith(answerFramed(framedByLength, "upstream failed\n\n"))},
		{"JSON of a failure as an event", "/resume/x", resumeWith(answerFramed(framedByChunks, `{"error":"failed"}`+"\n\n"))},
		{"stream that begins anew", "/resume/x", resumeWith(answerFramed(framedByChunks, eventText(1, 5)))},
		{"head of a failure in the stream", "/stream/x", answerFramed(framedByConnection, begun+failure)},
		{"head of a failure within an event", "/stream/x", answerFramed(framedByConnection, begun+"id: 4\nda"+failure)},
		{"head of a failure in the resumed stream", "/resume/x", resumeWith(answerFramed(framedByConnection, failure))},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, testConfiguration(), test.answer, test.answer)
				resp, body, err := e.get(t, test.path)
				qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, body, qt.Equals, begun)
			})
		})
	}
}
