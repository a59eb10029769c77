package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// answerRaw sends the given bytes, with ID replaced by that of the request, and keeps the
// connection.
func answerRaw(text string) script {
	return func(nc net.Conn, req *http.Request) bool {
		_, err := io.WriteString(nc, strings.ReplaceAll(text, "ID", req.Header.Get("Id")))
		return err == nil
	}
}

// malformedAnswer is an answer of which no part may reach a client.
type malformedAnswer struct{ name, text string }

// answersWithoutStatus have a status below 100, which HTTP doesn't define.
var answersWithoutStatus = []malformedAnswer{
	{"status 000", "HTTP/1.1 000 X\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"status 000 without a body", "HTTP/1.1 000 X\r\nId: ID\r\nContent-Length: 0\r\n\r\n"},
	{"status 000 in chunks", "HTTP/1.1 000 X\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"status 000 and a line", "HTTP/1.1 000 X\r\nId: ID\r\nContent-Length: 5\r\n\r\nbad\r\n"},
	{"status 000 with an answer as its body", "HTTP/1.1 000 X\r\nId: ID\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"status 000 as a refusal", "HTTP/1.1 000 X\r\nId: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	{"status 000 to another request", "HTTP/1.1 000 X\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"status 099", "HTTP/1.1 099 X\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"status -00", "HTTP/1.1 -00 X\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"status +20", "HTTP/1.1 +20 X\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
}

// answersWithMalformedNames have a blank or a control byte in the name of a header field.
var answersWithMalformedNames = []malformedAnswer{
	{"blank in a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA B: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank after a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA : c\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank after the length", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length : 3\r\n\r\nbad"},
	{"blank after one of two lengths", "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\nContent-Length : 30\r\n\r\nbad"},
	{"blank after the transfer encoding", "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding : chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"blank before the first name", "HTTP/1.1 200 OK\r\n A: c\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"tab after a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA\t: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA\x01B: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"null byte in a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA\x00: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"carriage return in a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA\rB: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"delete byte in a name", "HTTP/1.1 200 OK\r\nId: ID\r\nA\x7f: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"empty name", "HTTP/1.1 200 OK\r\nId: ID\r\n: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank in a name of a refusal", "HTTP/1.1 503 X\r\nId: ID\r\nNot-Run: 1\r\nA B: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank in a name of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding : chunked\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank in a name of an informational answer", "HTTP/1.1 102 Processing\r\nA B: c\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
}

// answersWithFoldedLines have a header line that begins with a blank or a tab.
var answersWithFoldedLines = []malformedAnswer{
	{"blank before a name", "HTTP/1.1 200 OK\r\nId: ID\r\n A: c\r\nContent-Length: 3\r\n\r\nbad"},
	{"blank before the transfer encoding", "HTTP/1.1 200 OK\r\nId: ID\r\nA: c\r\n Transfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n"},
	{"tab before the length", "HTTP/1.1 200 OK\r\nId: ID\r\nA: c\r\n\tContent-Length: 3\r\n\r\nbad"},
	{"blank as the name", "HTTP/1.1 200 OK\r\nId: ID\r\nA: c\r\n : c\r\nContent-Length: 3\r\n\r\nbad"},
	{"folded line of an answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\n Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 3\r\n\r\nbad"},
	{"folded line after an informational answer", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: ID\r\nA: c\r\n Content-Length: 3\r\n\r\nbad"},
	{"folded line with other line ends", "HTTP/1.1 200 OK\nId: ID\nA: c\n Content-Length: 3\n\nbad"},
}

// checkMalformed checks that a client doesn't get a malformed answer, but without delay
// either a failure or, if the request may be repeated, the answer of another replica.
func checkMalformed(t *testing.T, answers []malformedAnswer) {
	const soon = 100 * time.Millisecond
	for _, test := range answers {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(test.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newTestEntry(t, testConfiguration(), answerRaw(test.text))
					began := time.Now()
					resp, body, err := e.get(t, path)
					qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusBadGateway, qt.Commentf("%q", body))
					qt.Check(t, time.Since(began) < soon, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				})
			})
		}
		t.Run(test.name+"/then another replica", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				both := inTurn(answerRaw(test.text), answerOK)
				e := newTestEntry(t, testConfiguration(), both, both)
				for range 2 {
					began := time.Now()
					resp, body, err := e.get(t, "/safe/x")
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
					qt.Check(t, body, qt.Equals, "good")
					qt.Check(t, time.Since(began) < soon, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
				}
				qt.Check(t, e.receivedCount(), qt.Equals, 3)
			})
		})
	}
}

// Guards against an answer without a valid status being skipped like an informational one,
// so that its body is parsed as the next answer.
func TestAnswerWithoutAValidStatusIsAFailure(t *testing.T) {
	checkMalformed(t, answersWithoutStatus)
}

// Guards against a malformed header line being ignored, although it may state where the
// body ends.
func TestAnswerWithAMalformedFieldNameIsAFailure(t *testing.T) {
	checkMalformed(t, answersWithMalformedNames)
}

// Guards against a header line that begins with a blank being joined with the line before,
// although it may state where the body ends.
func TestAnswerWithAFoldedLineIsAFailure(t *testing.T) {
	checkMalformed(t, answersWithFoldedLines)
}

// Guards against blank lines or indented lines of a body being taken for those of a header.
func TestBodyWithIndentedLinesIsRelayed(t *testing.T) {
	const text = "a\n b\n\n\tc\r\n d"
	synctest.Test(t, func(t *testing.T) {
		e := newTestEntry(t, testConfiguration(), answerRaw("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\n\n x"+
			"HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 12\r\n\r\n"+text))
		for range 2 {
			resp, body, err := e.get(t, "/once/x")
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, body, qt.Equals, text)
		}
	})
}
