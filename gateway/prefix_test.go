package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer whose replica stopped at any byte and closed its
// connection in order reaching the client as a whole one, with an empty or a short
// body.
func TestAnswerThatStopsAtAnyByteIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Type: text/event-stream\r\n"
	events := eventText(1, 2)
	chunks := fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
	for _, test := range []struct{ name, answer string }{
		{"length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"},
		{"chunks and trailers", head + "Transfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" + chunks + "0\r\nA: b\r\nC: d\r\n\r\n"},
		{"after informational answers", "HTTP/1.1 103 Early Hints\r\nId: ID\r\nLink: x\r\n\r\nHTTP/1.1 102 X\r\n\r\n" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events},
		{"after the answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nno" + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(events)) + events},
		{"after the chunked answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n"},
		{"empty body", head + "Content-Length: 0\r\n\r\n"},
	} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s%s/kept=%v", test.name, path, kept), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						stop := 0
						e := newTestEntry(t, testConfiguration(), func(nc net.Conn, req *http.Request) bool {
							if req.Header.Get("Id") == "first" {
								return answerOK(nc, req)
							}
							_, _ = io.WriteString(nc, strings.ReplaceAll(test.answer, "ID", req.Header.Get("Id"))[:stop])
							return false
						})
						for ; stop < len(test.answer); stop++ {
							if kept {
								_, _, err := e.get(t, "/once/x", "Id", "first")
								qt.Assert(t, err, qt.IsNil)
							}
							resp, body, err := e.get(t, path, "Id", "II")
							whole := err == nil && resp.StatusCode == http.StatusOK
							qt.Check(t, whole, qt.IsFalse, qt.Commentf("stopped after %q: body %q", test.answer[:stop], body))
						}
						received := stop
						if kept {
							received *= 2
						}
						qt.Check(t, e.receivedCount(), qt.Equals, received)
						resp, _, err := e.get(t, path, "Id", "II")
						qt.Check(t, err == nil && resp.StatusCode == http.StatusOK, qt.IsTrue, qt.Commentf("the whole answer: %v", err))
					})
				})
			}
		}
	}
}
