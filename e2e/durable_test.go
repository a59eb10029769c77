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
	plan       = "a restock plan for the season"
	planTokens = 400
)

// planRequest is a durable request that is answered by 202 at once.
func planRequest(e *entry, key string, async bool) *http.Request {
	req := newRequest(http.MethodPost, "http://"+e.caller+"/v1/chat/completions", customerKey, chatBody(plan, true, planTokens))
	req.Header.Set("X-Request-Kind", "restock-plan")
	req.Header.Set("Idempotency-Key", key)
	if async {
		req.Header.Set("Prefer", "respond-async")
	}
	return req
}

// accept has a plan recorded and returns its ID.
func accept(c *qt.C, e *entry, key string) string {
	c.Helper()
	r, err := send(planRequest(e, key, true))
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", r.body))
	id := r.header.Get("X-Request-Id")
	c.Assert(r.header.Get("Location"), qt.Equals, "/v1/requests/"+id)
	return id
}

func stream(e *entry, id, key string, from int) (reply, error) {
	url := fmt.Sprintf("http://%s/v1/requests/%s/stream?from=%d", e.caller, id, from)
	return send(newRequest(http.MethodGet, url, key, ""))
}

// recordTimeout bounds the time from the end of an answer to its record: a
// commit, once more after the longest pause of the entry that records it.
const recordTimeout = 3 * time.Second

type requestStatus struct{ State, Text string }

// recorded returns the status of a request whose answer has been read to its
// end. Readers are not kept waiting for the record, so that for a moment it may
// still say that the request runs, but nothing else.
func recorded(c *qt.C, e *entry, id string) requestStatus {
	c.Helper()
	for deadline := time.Now().Add(recordTimeout); ; time.Sleep(pollPeriod) {
		r, err := send(newRequest(http.MethodGet, "http://"+e.caller+"/v1/requests/"+id, customerKey, ""))
		c.Assert(err, qt.IsNil)
		var status requestStatus
		c.Assert(json.Unmarshal([]byte(r.body), &status), qt.IsNil)
		if status.State != "running" || time.Now().After(deadline) {
			return status
		}
	}
}

func TestDurableRequestSurvivesItsEntry(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 38, 3)
	id := accept(c, s.entries[0], "plan-1")
	time.Sleep(time.Second)
	before := s.records().Totals
	s.entries[0].kill()

	r, err := stream(s.entries[1], id, customerKey, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(r.whole, qt.IsTrue)
	c.Assert(r.text, qt.Equals, wantAnswer(plan, planTokens))
	after := s.records().Totals
	c.Assert(after.PrefilledTokens, qt.Equals, before.PrefilledTokens, qt.Commentf("the engine's stream was not taken over"))
	c.Assert(after.Attempts, qt.Equals, before.Attempts)

	// The answer stays, whole and from an offset, at any entry.
	status := recorded(c, s.entries[2], id)
	c.Assert(status.State, qt.Equals, "done")
	c.Assert(status.Text, qt.Equals, r.text)
	rest, err := stream(s.entries[2], id, customerKey, 100)
	c.Assert(err, qt.IsNil)
	c.Assert(len(rest.text) > 0 && len(rest.text) < len(r.text), qt.IsTrue)
	c.Assert(r.text[len(r.text)-len(rest.text):], qt.Equals, rest.text)
}

func TestDurableRequestSurvivesEntryAndEndpoint(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 39, 2)
	id := accept(c, s.entries[0], "plan-1")
	time.Sleep(time.Second)
	s.entries[0].kill()
	// Every host with an engine that has worked goes as well.
	for host, attempts := range s.records().Attempts {
		if len(attempts) > 0 {
			s.post(s.platform+"/admin/kill?host="+host, "")
		}
	}
	r, err := stream(s.entries[1], id, customerKey, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(r.whole, qt.IsTrue)
	c.Assert(r.text, qt.Equals, wantAnswer(plan, planTokens))
}

func TestDurableRequestBelongsToItsCustomer(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 41, 2)
	id := accept(c, s.entries[0], "plan-1")
	for _, e := range s.entries {
		r, err := stream(e, id, otherKey, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(r.status, qt.Equals, http.StatusNotFound)
		c.Assert(r.text, qt.Equals, "")
	}
	// The same key joins the first request; another body under it is refused.
	c.Assert(accept(c, s.entries[1], "plan-1"), qt.Equals, id)
	req := newRequest(http.MethodPost, "http://"+s.entries[1].caller+"/v1/chat/completions", customerKey, chatBody("another plan", true, planTokens))
	req.Header.Set("X-Request-Kind", "restock-plan")
	req.Header.Set("Idempotency-Key", "plan-1")
	r, err := send(req)
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
}
