package gateway_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/gateway/replica"
)

// Guards against a part that crashes replicas being cleared by what is no answer on
// it: a failure, or bytes that come before the answer.
func TestPartIsNotClearedByWhatIsNoAnswerOnIt(t *testing.T) {
	const begun = "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, test := range []struct {
		name string
		// between answers every second request with the part; nil if all crash.
		between script
		// beginning is what a replica writes before it crashes.
		beginning string
	}{
		{name: "status 500", between: answerStatus(500, ""), beginning: begun},
		{name: "status 404", between: answerStatus(404, ""), beginning: begun},
		{name: "status 503 without a claim", between: answerStatus(503, ""), beginning: begun},
		{name: "refusal", between: answerStatus(503, "Not-Run: 1\r\n"), beginning: begun},
		{name: "stream without an event", between: answerFramed(framedByLength, ""), beginning: begun},
		{name: "stream of comments", between: answerFramed(framedByLength, ": wait\n\n"), beginning: begun},
		{name: "stream that breaks off after an event", between: answerEvents(1, false), beginning: begun},
		{name: "stream whose end is that of its connection", between: answerFramed(framedByConnection, eventText(1, 2)), beginning: begun},
		{name: "comment before the crash", beginning: begun + "8\r\n: wait\n\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestEntry(t, testConfiguration())
				var mu sync.Mutex
				crashes, received := 0, 0
				for i := range 40 {
					id, host := fmt.Sprint("r", i), fmt.Sprintf("10.0.2.%d", i+1)
					l, err := e.network.Listen(host + ":80")
					qt.Assert(t, err, qt.IsNil)
					t.Cleanup(func() { l.Close() })
					answer := func(nc net.Conn, req *http.Request) bool {
						if !slices.Contains(strings.Fields(req.Header.Get("Parts")), crashingPart) {
							return answerEvents(3, true)(nc, req)
						}
						mu.Lock()
						received++
						spare := test.between != nil && received%2 == 0
						mu.Unlock()
						if spare {
							return test.between(nc, req)
						}
						_, _ = fmt.Fprintf(nc, test.beginning, req.Header.Get("Id"))
						time.Sleep(5 * time.Millisecond)
						mu.Lock()
						crashes++
						mu.Unlock()
						e.network.Kill(host)
						return false
					}
					go func() {
						for {
							nc, err := l.Accept()
							if err != nil {
								return
							}
							go e.serveConn(nc, answer)
						}
					}()
					e.set.Put(replica.Registration{ID: id, Service: "s", Addr: host + ":80", FailureDomain: "d", Slots: 4, Incarnation: 1})
				}
				for i := range 60 {
					_, _, _ = e.get(t, "/stream/x", "Parts", fmt.Sprintf("1 %s %d", crashingPart, 1000+i))
					time.Sleep(200 * time.Millisecond)
				}
				qt.Check(t, crashes <= maxCrashes+maxSendsAfter, qt.IsTrue, qt.Commentf("%d crashes of %d requests", crashes, received))
			})
		})
	}
}
