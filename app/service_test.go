package app_test

import (
	"encoding/json"
	"net/http"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	enginestandin "github.com/coltsfootcleat/coltsfootcleat/endpoint/standin"
)

func (w *world) setServiceFaults(f enginestandin.ServiceFaults) {
	for _, s := range w.services {
		s.SetFaults(f)
	}
}

// order sends an order to an entry, and returns the reply of the service if
// there is one.
func (w *world) order(c *qt.C, entry int, customer, key, body string) (*http.Response, enginestandin.ServiceReply) {
	c.Helper()
	resp, text := w.send(c, newRequest(http.MethodPost, entryURL(entry, "/services/orders/orders"), customer, body, "Idempotency-Key", key))
	var reply enginestandin.ServiceReply
	c.Assert(json.Unmarshal([]byte(text), &reply), qt.IsNil)
	return resp, reply
}

// TestTwoCustomersWithTheSameKey checks that two customers with the same
// idempotency key get an execution and a reply each, also if their bodies
// differ.
func TestTwoCustomersWithTheSameKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, true)
		one, first := w.order(c, 1, customerKey, "k", `{"item":"wax"}`)
		two, second := w.order(c, 2, secondKey, "k", `{"item":"jars"}`)
		c.Assert(one.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(two.StatusCode, qt.Equals, http.StatusOK)
		c.Assert(first.Key, qt.Equals, "one/k")
		c.Assert(second.Key, qt.Equals, "two/k")
		c.Assert(first.Digest, qt.Not(qt.Equals), second.Digest)
		// A repeat gets the reply of its own customer again.
		for entry := 1; entry <= 2; entry++ {
			_, again := w.order(c, entry, customerKey, "k", `{"item":"wax"}`)
			c.Assert(again, qt.Equals, first)
			_, again = w.order(c, entry, secondKey, "k", `{"item":"jars"}`)
			c.Assert(again, qt.Equals, second)
		}
		c.Assert(w.services[0].Counts().Executions, qt.DeepEquals, map[string]int{"one/k": 1, "two/k": 1})
	})
}

func TestKeyReusedWithAnotherBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, true)
		w.order(c, 1, customerKey, "k", `{"item":"wax"}`)
		for entry := 1; entry <= 2; entry++ {
			resp, _ := w.order(c, entry, customerKey, "k", `{"item":"jars"}`)
			c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
			c.Assert(resp.Header.Get("X-Verdict"), qt.Equals, "not_run")
		}
		c.Assert(w.services[0].Counts().Calls, qt.Equals, 1)
	})
}

// TestLostReplyIsLookedUp checks that a call whose reply was lost is looked up
// by its key at the service.
func TestLostReplyIsLookedUp(t *testing.T) {
	tests := []struct {
		name   string
		lookup bool
		faults enginestandin.ServiceFaults
		// verdict is that of the repeated request; executions are counted after
		// it.
		verdict    string
		executions int
	}{
		{"executed", true, enginestandin.ServiceFaults{DieAfter: 1}, "ran", 1},
		{"executed, can't be asked", false, enginestandin.ServiceFaults{DieAfter: 1}, "may_have_run", 1},
		{"not executed", true, enginestandin.ServiceFaults{DieBefore: 1}, "may_have_run", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t, test.lookup)
				// The call of another customer with the same key must not be
				// found.
				other, _ := w.order(c, 1, secondKey, "k", "{}")
				c.Assert(other.StatusCode, qt.Equals, http.StatusOK)
				w.setServiceFaults(test.faults)
				resp, _ := w.order(c, 1, customerKey, "k", "{}")
				c.Assert(resp.Header.Get("X-Verdict"), qt.Equals, "may_have_run")
				w.setServiceFaults(enginestandin.ServiceFaults{})
				// One replica is down: the other one is queried.
				w.services[0].SetFaults(enginestandin.ServiceFaults{Dead: true})
				for entry := 1; entry <= 2; entry++ {
					resp, reply := w.order(c, entry, customerKey, "k", "{}")
					c.Assert(resp.Header.Get("X-Verdict"), qt.Equals, test.verdict)
					if test.verdict == "ran" {
						c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
						c.Assert(reply.Key, qt.Equals, "one/k")
					}
				}
				c.Assert(w.services[0].Executions("one/k"), qt.Equals, test.executions)
			})
		})
	}
}
