package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// longUpload is longer than what a connection buffers.
var longUpload = strings.Repeat("u", 1<<20)

// newEntryWithEarlyReplica returns an entry whose only replica answers as soon as the
// header of a request has arrived: with status 200, no length, and the given bytes. It
// then reads rest bytes of the request's body and closes the connection.
func newEntryWithEarlyReplica(t *testing.T, answer string, rest int64) *testEntry {
	e := newTestEntry(t, testConfiguration())
	const address = "10.0.1.1:80"
	e.acceptAt(t, address, func(nc net.Conn) {
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", req.Header.Get("Id"), answer)
		_, _ = io.CopyN(io.Discard, req.Body, rest)
	})
	e.set.Put(replica.Registration{ID: "r0", Service: "s", Addr: address, FailureDomain: "d", Slots: 4})
	return e
}

// Guards against the part of an answer that a replica sent before it closed its
// connection, in the middle of the request, reaching the client as a complete answer.
func TestAnswerIsIncompleteIfItsConnectionEndsWithinTheRequest(t *testing.T) {
	for _, test := range []struct{ name, path, part string }{
		{"nothing", "/once/x", ""},
		{"short part", "/once/x", "part"},
		{"long part", "/once/x", strings.Repeat("part", 64<<10)},
		{"repeatable request", "/safe/x", "part"},
		{"whole events", "/stream/x", eventText(1, 3)},
		{"whole events of a resumable stream", "/resume/x", eventText(1, 3)},
	} {
		for _, rest := range []int64{0, 100 << 10} {
			t.Run(fmt.Sprintf("%s/after %d bytes", test.name, rest), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					e := newEntryWithEarlyReplica(t, test.part, rest)
					resp, body, err := e.send(t, test.path, longUpload)
					qt.Assert(t, resp, qt.IsNotNil, qt.Commentf("%v", err))
					qt.Check(t, resp.StatusCode == http.StatusBadGateway || err != nil, qt.IsTrue, qt.Commentf("status %d with %d bytes as complete", resp.StatusCode, len(body)))
				})
			})
		}
	}
}

// Guards against a complete answer without a length being rejected because the replica
// began it before it had read the request.
func TestEarlyAnswerIsCompleteOnceTheRequestIsWritten(t *testing.T) {
	for _, test := range []struct{ path, answer string }{
		{"/once/x", "whole"},
		{"/once/x", strings.Repeat("whole", 64<<10)},
		{"/stream/x", eventText(1, 3)},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := newEntryWithEarlyReplica(t, test.answer, int64(len(longUpload)))
			resp, body, err := e.send(t, test.path, longUpload)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
			qt.Check(t, body == test.answer, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
		})
	}
}
