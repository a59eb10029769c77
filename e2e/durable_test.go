package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	planQuestion = "a restock plan for the season"
	planTokens   = 400
)

// planRequest returns a durable request. If async is set, the entry replies
// with 202 as soon as it has accepted the request.
func planRequest(e *entry, key string, async bool) *http.Request {
	req := newRequest(http.MethodPost, "http://"+e.clientAddr+"/v1/chat/completions", customerKey, chatBody(planQuestion, true, planTokens))
	req.Header.Set("X-Request-Kind", "restock-plan")
	req.Header.Set("Idempotency-Key", key)
	if async {
		req.Header.Set("Prefer", "respond-async")
	}
	return req
}

// submitPlan sends a durable request, asserts that it is accepted, and returns
// its ID.
func submitPlan(c *qt.C, e *entry, key string) string {
	c.Helper()
	r, err := send(planRequest(e, key, true))
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", r.body))
	id := r.header.Get("X-Request-Id")
	c.Assert(r.header.Get("Location"), qt.Equals, "/v1/requests/"+id)
	return id
}

// fetchStream reads the stream of a durable request from an offset to its end.
func fetchStream(e *entry, id, key string, from int) (reply, error) {
	url := fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", e.clientAddr, id, from)
	return send(newRequest(http.MethodGet, url, key, ""))
}

// recordTimeout bounds the time from the end of an answer until its final
// status is committed: one commit, and another one after the longest pause of
// the entry that records it.
const recordTimeout = 3 * time.Second

type requestStatus struct{ State, Text string }

// finalStatus returns the status of a request whose answer was read to its end.
// The end of an answer is sent before its status is committed, so the status
// may still be "running" for up to recordTimeout. No other status may precede
// the final one.
func finalStatus(c *qt.C, e *entry, id string) requestStatus {
	c.Helper()
	for deadline := time.Now().Add(recordTimeout); ; time.Sleep(pollPeriod) {
		r, err := send(newRequest(http.MethodGet, "http://"+e.clientAddr+"/v1/requests/"+id, customerKey, ""))
		c.Assert(err, qt.IsNil)
		var status requestStatus
		c.Assert(json.Unmarshal([]byte(r.body), &status), qt.IsNil)
		if status.State != "running" || time.Now().After(deadline) {
			return status
		}
	}
}

func TestDurableRequestSurvivesEntryCrash(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 38, 3)
	id := submitPlan(c, s.entries[0], "plan-1")
	time.Sleep(time.Second)
	before := s.records().Totals
	s.entries[0].kill()

	r, err := fetchStream(s.entries[1], id, customerKey, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(r.complete, qt.IsTrue)
	c.Assert(r.text, qt.Equals, wantAnswer(planQuestion, planTokens))
	after := s.records().Totals
	c.Assert(after.PrefilledTokens, qt.Equals, before.PrefilledTokens, qt.Commentf("the engine computed the prompt again instead of continuing its stream"))
	c.Assert(after.Attempts, qt.Equals, before.Attempts)

	// Any entry serves the complete answer, and the rest from an offset.
	status := finalStatus(c, s.entries[2], id)
	c.Assert(status.State, qt.Equals, "done")
	c.Assert(status.Text, qt.Equals, r.text)
	rest, err := fetchStream(s.entries[2], id, customerKey, 100)
	c.Assert(err, qt.IsNil)
	c.Assert(len(rest.text) > 0 && len(rest.text) < len(r.text), qt.IsTrue)
	c.Assert(r.text[len(r.text)-len(rest.text):], qt.Equals, rest.text)
}

func TestDurableRequestSurvivesEntryAndEndpointCrash(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 39, 2)
	id := submitPlan(c, s.entries[0], "plan-1")
	time.Sleep(time.Second)
	s.entries[0].kill()
	// Kill every host whose engine ran an attempt as well.
	for host, attempts := range s.records().Attempts {
		if len(attempts) > 0 {
			s.post(s.platform+"/admin/kill?host="+host, "")
		}
	}
	r, err := fetchStream(s.entries[1], id, customerKey, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(r.complete, qt.IsTrue)
	c.Assert(r.text, qt.Equals, wantAnswer(planQuestion, planTokens))
}

func TestDurableRequestBelongsToItsCustomer(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 41, 2)
	id := submitPlan(c, s.entries[0], "plan-1")
	for _, e := range s.entries {
		r, err := fetchStream(e, id, otherKey, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(r.status, qt.Equals, http.StatusNotFound)
		c.Assert(r.text, qt.Equals, "")
	}
	// The same key returns the first request; another body with the same key
	// is refused.
	c.Assert(submitPlan(c, s.entries[1], "plan-1"), qt.Equals, id)
	req := newRequest(http.MethodPost, "http://"+s.entries[1].clientAddr+"/v1/chat/completions", customerKey, chatBody("another plan", true, planTokens))
	req.Header.Set("X-Request-Kind", "restock-plan")
	req.Header.Set("Idempotency-Key", "plan-1")
	r, err := send(req)
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
}
