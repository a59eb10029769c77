package app_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/endpoint"
	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
	"github.com/coltsfootcleat/coltsfootcleat/prefix"
)

// stallBeyondWriteTimeout is longer than the timeout of one write to a client.
const stallBeyondWriteTimeout = 45 * time.Second

func longMessages() []endpoint.Message {
	return []endpoint.Message{{Role: "user", Content: "a plan for every shelf"}}
}

func longAnswer() string {
	prompt := prefix.Text(longMessages())
	return enginestandin.Answer("lm", "1", prompt, enginestandin.AnswerTokens(prompt, longTokens))
}

func longRequest(entry int, kind string) *http.Request {
	body, err := json.Marshal(map[string]any{"model": "lm", "stream": true, "messages": longMessages()})
	if err != nil {
		panic(err)
	}
	return newRequest(http.MethodPost, entryURL(entry, "/v1/chat/completions"), customerKey, string(body), "X-Request-Kind", kind)
}

// open sends a request over a connection of its own and reads the headers.
func (w *world) open(c *qt.C, req *http.Request) (net.Conn, *http.Response) {
	c.Helper()
	conn, err := w.network.Dialer(callerIP)(req.Context(), "tcp", req.URL.Host)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(req.Write(conn), qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	return conn, resp
}

// events reads the text of a stream and the ID of its last chunk. It calls
// pause at each chunk with the number of earlier chunks.
func events(resp *http.Response, pause func(n int)) (text string, last int, complete bool) {
	var b strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for n := 0; lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last, _ = strconv.Atoi(id)
			pause(n)
			n++
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), last, true
		}
		var event struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		_ = json.Unmarshal([]byte(data), &event)
		for _, choice := range event.Choices {
			b.WriteString(choice.Delta.Content)
		}
	}
	return b.String(), last, false
}

func noPause(int) {}

// TestAttachedClientStopsReading checks that an entry reads no more of an
// answer for a client that stopped reading than the buffers of the connections
// hold, and that the stream is cancelled once a write times out.
func TestAttachedClientStopsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, false)
		w.open(c, longRequest(1, "long"))
		time.Sleep(15 * time.Second)
		read := w.engineEvents.Load()
		c.Assert(read > 0, qt.IsTrue)
		time.Sleep(10 * time.Second)
		c.Assert(w.engineEvents.Load(), qt.Equals, read, qt.Commentf("the entry reads the engine's stream while its client does not read"))
		c.Assert(w.running(c), qt.Equals, 1)
		time.Sleep(stallBeyondWriteTimeout)
		c.Assert(w.running(c), qt.Equals, 0, qt.Commentf("the engine's stream was not cancelled"))
		c.Assert(w.engine.Attempts(), qt.HasLen, 1)
		c.Assert(w.engine.Totals().GeneratedTokens < longTokens, qt.IsTrue)
		c.Assert(w.entries[0].RelayCounts().Broken, qt.Equals, uint64(0))
	})
}

// TestAttachedClientPausesReading checks that a client that pauses gets its
// complete answer from one attempt, and that its pauses do not count as
// failures.
func TestAttachedClientPausesReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, false)
		_, resp := w.open(c, longRequest(1, "long"))
		text, _, complete := events(resp, func(n int) {
			if n%400 == 1 {
				time.Sleep(12 * time.Second)
			}
		})
		c.Assert(complete, qt.IsTrue)
		c.Assert(text, qt.Equals, longAnswer())
		c.Assert(w.engine.Attempts(), qt.HasLen, 1)
		counts := w.entries[0].RelayCounts()
		c.Assert(counts.Reread, qt.Equals, uint64(0))
		c.Assert(counts.Broken, qt.Equals, uint64(0))
	})
}

// TestClientDisconnectCancelsStream checks that the stream of an attached
// request is cancelled at the engine when its client disconnects.
func TestClientDisconnectCancelsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, false)
		conn, _ := w.open(c, longRequest(1, "long"))
		time.Sleep(2 * time.Second)
		c.Assert(w.running(c), qt.Equals, 1)
		c.Assert(conn.Close(), qt.IsNil)
		time.Sleep(time.Second)
		c.Assert(w.running(c), qt.Equals, 0)
		c.Assert(w.engine.Attempts(), qt.HasLen, 1)
	})
}

// TestDurableClientStopsReading checks that the client of a durable request
// loses its connection but not its answer.
func TestDurableClientStopsReading(t *testing.T) {
	for name, disconnect := range map[string]func(net.Conn){
		"stops":     func(net.Conn) {},
		"goes away": func(conn net.Conn) { _ = conn.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t, false)
				conn, resp := w.open(c, longRequest(1, "plan"))
				id := resp.Header.Get("X-Request-Id")
				c.Assert(resp.Header.Get("X-Durability"), qt.Equals, "durable")
				time.Sleep(time.Second)
				disconnect(conn)
				time.Sleep(10 * time.Second)
				c.Assert(w.running(c), qt.Equals, 1, qt.Commentf("the run ended with its client"))
				want := longAnswer()
				for entry := 1; entry <= 2; entry++ {
					for _, from := range []int{0, 100, 1000} {
						url := entryURL(entry, fmt.Sprintf("/v1/requests/%s/stream?from=%d", id, from))
						_, again := w.open(c, newRequest(http.MethodGet, url, customerKey, ""))
						text, _, complete := events(again, noPause)
						c.Assert(complete, qt.IsTrue)
						c.Assert(text, qt.Equals, prefix.Skip(want, from))
					}
				}
				if name == "stops" {
					time.Sleep(stallBeyondWriteTimeout)
					_, last, complete := events(resp, noPause)
					c.Assert(complete, qt.IsFalse, qt.Commentf("the client that stopped reading was never disconnected"))
					url := entryURL(2, "/v1/requests/"+id+"/stream")
					_, again := w.open(c, newRequest(http.MethodGet, url, customerKey, "", "Last-Event-ID", strconv.Itoa(last)))
					text, _, complete := events(again, noPause)
					c.Assert(complete, qt.IsTrue)
					c.Assert(text, qt.Equals, prefix.Skip(want, last))
				}
				c.Assert(w.engine.Attempts(), qt.HasLen, 1)
			})
		})
	}
}
