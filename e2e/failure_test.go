package e2e

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// pause suspends the process and resume continues it.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// post sends a JSON body to a stand-in and fails the test unless the reply has
// status 200.
func (s *system) post(url, body string) {
	s.t.Helper()
	resp, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		s.t.Fatalf("POST %s: %s: %s", url, resp.Status, text)
	}
}

// question is a chat request of a test and its reply.
type question struct {
	text   string
	tokens int
	reply  reply
	err    error
}

// sendQuestions sends n streamed questions concurrently to an entry and returns
// once all have ended.
func sendQuestions(e *entry, n, tokens int) []*question {
	out := make([]*question, n)
	var work sync.WaitGroup
	for i := range out {
		out[i] = &question{text: fmt.Sprintf("question %d of %s", i, e.clientAddr), tokens: tokens}
		work.Go(func() {
			req := newRequest(http.MethodPost, "http://"+e.clientAddr+"/v1/chat/completions", customerKey, chatBody(out[i].text, true, tokens))
			out[i].reply, out[i].err = send(req)
		})
	}
	work.Wait()
	return out
}

// assertComplete asserts that each question got its complete and correct
// answer.
func assertComplete(c *qt.C, questions []*question) {
	c.Helper()
	for _, q := range questions {
		c.Assert(q.err, qt.IsNil)
		c.Assert(q.reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s", q.reply.body))
		c.Assert(q.reply.complete, qt.IsTrue)
		c.Assert(q.reply.text, qt.Equals, wantAnswer(q.text, q.tokens))
	}
}

// withQuestionsInFlight runs f while n questions are in flight, and asserts
// that all of them are answered completely.
func withQuestionsInFlight(c *qt.C, e *entry, n, tokens int, f func()) {
	c.Helper()
	done := make(chan []*question)
	go func() { done <- sendQuestions(e, n, tokens) }()
	time.Sleep(500 * time.Millisecond)
	f()
	assertComplete(c, <-done)
}

func TestPlannedEntryStopInterruptsNoStream(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 31, 2)
	withQuestionsInFlight(c, s.entries[0], 8, 200, s.entries[0].terminate)
	s.entries[0].wait()
	assertComplete(c, sendQuestions(s.entries[1], 2, 20))
}

func TestReclaimedFailureDomainInterruptsNoStream(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 32, 1)
	withQuestionsInFlight(c, s.entries[0], 12, 300, func() {
		s.post(s.platform+"/admin/reclaim?failure_domain=midrand&notice=2s", "")
	})
}

func TestKilledEndpointHostsInterruptNoStream(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 33, 1)
	withQuestionsInFlight(c, s.entries[0], 12, 300, func() {
		s.post(s.platform+"/admin/kill?failure_domain=centurion", "")
	})
}

// sendOrder sends an order with an idempotency key and returns the reply.
func sendOrder(e *entry, key, body string) (reply, error) {
	req := newRequest(http.MethodPost, "http://"+e.clientAddr+"/services/"+service+"/orders", customerKey, body)
	req.Header.Set("Idempotency-Key", key)
	return send(req)
}

func TestOrderDuringTableOutageIsNotRun(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 34, 1)
	s.post(s.platform+"/faults", `{"table":{"outage":true}}`)
	r, err := sendOrder(s.entries[0], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
	c.Assert(s.records().Services[service].Executions[scopedKey("o-1")], qt.Equals, 0)
	// While the table is unavailable, an entry runs attached requests (those
	// that last only as long as the connection) under its current template,
	// provided that it received a message from a peer or an answer of the table
	// within the staleness bound.
	s.post(s.platform+"/faults", `{"table":{"outage":false}}`)
	eventually(t, "order after the outage", func() error {
		r, err := sendOrder(s.entries[0], "o-1", "{}")
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	c.Assert(s.records().Services[service].Executions[scopedKey("o-1")], qt.Equals, 1)
}

func TestOrderRetriedAfterEntryCrashRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 35, 2)
	s.post(s.platform+"/admin/faults/services", `{"slow_ns":1000000000}`)
	first := make(chan error)
	go func() {
		_, err := sendOrder(s.entries[0], "o-1", "{}")
		first <- err
	}()
	time.Sleep(300 * time.Millisecond)
	s.entries[0].kill()
	c.Assert(<-first, qt.IsNotNil)
	r, err := sendOrder(s.entries[1], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	// The first entry had started to send the order, so the service may have
	// run it: the verdict must not be not_run, and no entry may send the order
	// again.
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "may_have_run")
	time.Sleep(2 * time.Second)
	n := s.records().Services[service].Executions[scopedKey("o-1")]
	c.Assert(n <= 1, qt.IsTrue, qt.Commentf("executed %d times", n))
}

func TestOrderRetriedDuringEntryPauseRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 36, 2)
	s.post(s.platform+"/faults", `{"table":{"latency_ns":400000000}}`)
	first := make(chan reply)
	go func() {
		r, _ := sendOrder(s.entries[0], "o-1", "{}")
		first <- r
	}()
	// The entry is paused while the commit of its claim is in flight, and
	// resumed after another entry has handled the same order.
	time.Sleep(200 * time.Millisecond)
	s.entries[0].pause()
	second, err := sendOrder(s.entries[1], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	s.entries[0].resume()
	resumed := <-first
	n := s.records().Services[service].Executions[scopedKey("o-1")]
	c.Assert(n <= 1, qt.IsTrue, qt.Commentf("executed %d times", n))
	if n == 1 {
		c.Assert(second.header.Get("X-Verdict"), qt.Not(qt.Equals), "not_run")
	}
	c.Logf("reply during the pause: %d, reply after the pause: %d, executions: %d", second.status, resumed.status, n)
}

// Guards against an entry that ends at once, without a drain and a line in its
// log, when its terminal or the job that started it goes away.
func TestHangupDoesNotEndAnEntry(t *testing.T) {
	s := startSystem(t, 42, 1)
	s.entries[0].signal(syscall.SIGHUP)
	eventually(t, "line about the signal", func() error {
		if !strings.Contains(s.entries[0].log.String(), "serve: settings reloaded.") {
			return errors.New("no such line")
		}
		return nil
	})
	r, err := sendOrder(s.entries[0], "o-1", "{}")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.status, qt.Equals, http.StatusOK)
}

func TestUnknownAPIKeyIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 37, 1)
	req := newRequest(http.MethodPost, "http://"+s.entries[0].clientAddr+"/v1/chat/completions", "no-such-key", chatBody("q", true, 5))
	r, err := send(req)
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusUnauthorized)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
	c.Assert(s.records().Totals.Attempts, qt.Equals, int64(0))
}
