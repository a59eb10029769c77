package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// crowd is the number of requests in progress at once.
	crowd = 300
	// bytesEach is what a replica writes before it waits: less than an entry accepts
	// for one event.
	bytesEach = 900 << 10
	// maxBytesHeld bounds what an entry holds of all of them together. A small
	// host has 184 MB.
	maxBytesHeld = 100 << 20
)

// Guards against an entry running out of memory because many replicas or clients send
// bytes without an end at once, each within its own bound.
func TestMemoryIsBoundedOverAllRequestsTogether(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: ID\r\n"
	block := strings.Repeat("x", 16<<10)
	for _, test := range []struct{ name, path, prefix, unit string }{
		{"events", "/stream/x", head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", block},
		{"headers", "/once/x", head, "A: " + block + "\r\n"},
		{"bodies", "/once/x", head + "Content-Length: 1000000000\r\n\r\n", block},
		{"trailers", "/once/x", head + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n", "A: " + block + "\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// open is what replicas have written on the connections that are open.
				var mu sync.Mutex
				open, most := 0, 0
				e := newTestEntry(t, testConfiguration(), func(nc net.Conn, req *http.Request) bool {
					_, _ = io.WriteString(nc, strings.ReplaceAll(test.prefix, "ID", req.Header.Get("Id")))
					for written := 0; ; {
						n, err := io.WriteString(nc, test.unit)
						mu.Lock()
						written += n
						open += n
						most = max(most, open)
						if err != nil {
							open -= written
						}
						mu.Unlock()
						if err == nil && written >= bytesEach {
							_, err = nc.Read(make([]byte, 1))
							mu.Lock()
							open -= written
							mu.Unlock()
						}
						if err != nil {
							return false
						}
					}
				})
				// No client reads its answer, so that nothing is passed on.
				var group sync.WaitGroup
				for i := range crowd {
					group.Go(func() { e.neverRead(t, test.path, fmt.Sprint("q", i)) })
				}
				group.Wait()
				qt.Check(t, most <= maxBytesHeld, qt.IsTrue, qt.Commentf("%d MB were held at once", most>>20))
				time.Sleep(time.Minute)
			})
		})
	}
}

// neverRead sends a request, and leaves after a second without reading the answer.
func (e *testEntry) neverRead(t *testing.T, path, id string) {
	nc, err := e.network.Dialer("10.0.0.2")(t.Context(), "tcp", e.host+":80")
	qt.Assert(t, err, qt.IsNil)
	_, _ = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: h\r\nId: %s\r\nPatience: 20000\r\nContent-Length: 0\r\n\r\n", path, id)
	time.Sleep(time.Second)
	_ = nc.Close()
}

// Guards against an entry running out of memory because many clients send long
// bodies at once, and against refusing more of them than needed.
func TestBodiesOfAllClientsTogetherAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		e := newTestEntry(t, testConfiguration(), func(nc net.Conn, req *http.Request) bool {
			<-release
			return answerOK(nc, req)
		})
		body := strings.Repeat("x", 4<<20)
		var accepted, refused atomic.Int64
		var group sync.WaitGroup
		for i := range crowd / 3 {
			group.Go(func() {
				resp, _, err := e.send(t, "/once/x", body, "Id", fmt.Sprint("q", i))
				switch {
				case err != nil:
				case resp.StatusCode == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					accepted.Add(1)
				}
			})
		}
		time.Sleep(500 * time.Millisecond)
		close(release)
		group.Wait()
		held := accepted.Load() * int64(len(body))
		qt.Check(t, held <= maxBytesHeld, qt.IsTrue, qt.Commentf("%d bodies of 4 MB at once", accepted.Load()))
		qt.Check(t, accepted.Load() >= 8, qt.IsTrue, qt.Commentf("%d bodies of 4 MB at once", accepted.Load()))
		qt.Check(t, accepted.Load()+refused.Load(), qt.Equals, int64(crowd/3))
		// All memory is free again.
		resp, _, err := e.send(t, "/once/x", body, "Id", "again")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, http.StatusOK)
	})
}
