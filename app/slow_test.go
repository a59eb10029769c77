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

// longStall is longer than an entry waits for one write to a caller.
const longStall = 45 * time.Second

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

// events reads a stream's text and the ID of its last piece. pause is called
// at each piece with the number of those before.
func events(resp *http.Response, pause func(n int)) (text string, last int, whole bool) {
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

// TestAttachedReaderThatStops holds no more for its reader than the buffers of
// the connections, and ends with it.
func TestAttachedReaderThatStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, false)
		w.open(c, longRequest(1, "long"))
		time.Sleep(15 * time.Second)
		read := w.engineEvents.Load()
		c.Assert(read > 0, qt.IsTrue)
		time.Sleep(10 * time.Second)
		c.Assert(w.engineEvents.Load(), qt.Equals, read, qt.Commentf("the engine's stream is read while its reader does not read"))
		c.Assert(w.running(c), qt.Equals, 1)
		time.Sleep(longStall)
		c.Assert(w.running(c), qt.Equals, 0, qt.Commentf("the engine's stream was not cancelled"))
		c.Assert(w.engine.Attempts(), qt.HasLen, 1)
		c.Assert(w.engine.Totals().GeneratedTokens < longTokens, qt.IsTrue)
		c.Assert(w.entries[0].RelayCounts().Broken, qt.Equals, uint64(0))
	})
}

// TestAttachedReaderThatPauses gets its whole answer from one attempt: its
// pauses count against nobody.
func TestAttachedReaderThatPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, false)
		_, resp := w.open(c, longRequest(1, "long"))
		text, _, whole := events(resp, func(n int) {
			if n%400 == 1 {
				time.Sleep(12 * time.Second)
			}
		})
		c.Assert(whole, qt.IsTrue)
		c.Assert(text, qt.Equals, longAnswer())
		c.Assert(w.engine.Attempts(), qt.HasLen, 1)
		counts := w.entries[0].RelayCounts()
		c.Assert(counts.Reread, qt.Equals, uint64(0))
		c.Assert(counts.Broken, qt.Equals, uint64(0))
	})
}

// TestCallerThatGoesAway cancels the engine's stream of an attached request.
func TestCallerThatGoesAway(t *testing.T) {
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

// TestDurableReaderThatStops loses its connection but not its answer.
func TestDurableReaderThatStops(t *testing.T) {
	for name, goAway := range map[string]func(net.Conn){
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
				goAway(conn)
				time.Sleep(10 * time.Second)
				c.Assert(w.running(c), qt.Equals, 1, qt.Commentf("the run ended with its reader"))
				want := longAnswer()
				for entry := 1; entry <= 2; entry++ {
					for _, from := range []int{0, 100, 1000} {
						url := entryURL(entry, fmt.Sprintf("/v1/requests/%s/stream?from=%d", id, from))
						_, again := w.open(c, newRequest(http.MethodGet, url, customerKey, ""))
						text, _, whole := events(again, noPause)
						c.Assert(whole, qt.IsTrue)
						c.Assert(text, qt.Equals, prefix.Skip(want, from))
					}
				}
				if name == "stops" {
					time.Sleep(longStall)
					_, last, whole := events(resp, noPause)
					c.Assert(whole, qt.IsFalse, qt.Commentf("the stopped reader was never cut"))
					url := entryURL(2, "/v1/requests/"+id+"/stream")
					_, again := w.open(c, newRequest(http.MethodGet, url, customerKey, "", "Last-Event-ID", strconv.Itoa(last)))
					text, _, whole := events(again, noPause)
					c.Assert(whole, qt.IsTrue)
					c.Assert(text, qt.Equals, prefix.Skip(want, last))
				}
				c.Assert(w.engine.Attempts(), qt.HasLen, 1)
			})
		})
	}
}
