package e2e

import (
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

// pause freezes the process, resume lets it go on.
func (p *process) pause()  { p.signal(syscall.SIGSTOP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v to %s: %v", s, p.name, err)
	}
}

// post sends a JSON body to a stand-in.
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

// question is one streamed question of a test.
type question struct {
	text   string
	tokens int
	reply  reply
	err    error
}

// ask sends n questions at once to an entry and returns when all have ended.
func ask(e *entry, n, tokens int) []*question {
	out := make([]*question, n)
	var work sync.WaitGroup
	for i := range out {
		out[i] = &question{text: fmt.Sprintf("question %d of %s", i, e.caller), tokens: tokens}
		work.Go(func() {
			req := newRequest(http.MethodPost, "http://"+e.caller+"/v1/chat/completions", customerKey, chatBody(out[i].text, true, tokens))
			out[i].reply, out[i].err = send(req)
		})
	}
	work.Wait()
	return out
}

func assertWhole(c *qt.C, questions []*question) {
	c.Helper()
	for _, q := range questions {
		c.Assert(q.err, qt.IsNil)
		c.Assert(q.reply.status, qt.Equals, http.StatusOK, qt.Commentf("%s", q.reply.body))
		c.Assert(q.reply.whole, qt.IsTrue)
		c.Assert(q.reply.text, qt.Equals, wantAnswer(q.text, q.tokens))
	}
}

// whileAsking runs f once the questions have been asked, and checks that all
// are answered whole.
func whileAsking(c *qt.C, e *entry, n, tokens int, f func()) {
	c.Helper()
	done := make(chan []*question)
	go func() { done <- ask(e, n, tokens) }()
	time.Sleep(500 * time.Millisecond)
	f()
	assertWhole(c, <-done)
}

func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 31, 2)
	whileAsking(c, s.entries[0], 8, 200, s.entries[0].terminate)
	s.entries[0].wait()
	assertWhole(c, ask(s.entries[1], 2, 20))
}

func TestReclaimedFailureDomainCutsNothing(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 32, 1)
	whileAsking(c, s.entries[0], 12, 300, func() {
		s.post(s.platform+"/admin/reclaim?failure_domain=midrand&notice=2s", "")
	})
}

func TestKilledEndpointHostsCutNothing(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 33, 1)
	whileAsking(c, s.entries[0], 12, 300, func() {
		s.post(s.platform+"/admin/kill?failure_domain=centurion", "")
	})
}

// order sends an order and returns its reply.
func order(e *entry, key, body string) (reply, error) {
	req := newRequest(http.MethodPost, "http://"+e.caller+"/services/"+service+"/orders", customerKey, body)
	req.Header.Set("Idempotency-Key", key)
	return send(req)
}

func TestOrderDuringTableOutageIsNotRun(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 34, 1)
	s.post(s.platform+"/faults", `{"table":{"outage":true}}`)
	r, err := order(s.entries[0], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
	c.Assert(s.records().Services[service].Executions[scoped("o-1")], qt.Equals, 0)
	// Attached work goes on with the last known template, for as long as its
	// peers or the table were heard within the bound.
	s.post(s.platform+"/faults", `{"table":{"outage":false}}`)
	eventually(t, "order after the outage", func() error {
		r, err := order(s.entries[0], "o-1", "{}")
		if err == nil && r.status != http.StatusOK {
			err = fmt.Errorf("status %d: %s", r.status, r.body)
		}
		return err
	})
	c.Assert(s.records().Services[service].Executions[scoped("o-1")], qt.Equals, 1)
}

func TestOrderOverAKilledEntryRunsAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 35, 2)
	s.post(s.platform+"/admin/faults/services", `{"slow_ns":1000000000}`)
	first := make(chan error)
	go func() {
		_, err := order(s.entries[0], "o-1", "{}")
		first <- err
	}()
	time.Sleep(300 * time.Millisecond)
	s.entries[0].kill()
	c.Assert(<-first, qt.IsNotNil)
	r, err := order(s.entries[1], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	// The first entry had begun to send: whether the service ran the order or
	// not, no one may say that it was not run, and no one sends it again.
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "may_have_run")
	time.Sleep(2 * time.Second)
	n := s.records().Services[service].Executions[scoped("o-1")]
	c.Assert(n <= 1, qt.IsTrue, qt.Commentf("executed %d times", n))
}

func TestPausedEntryRunsAnOrderAtMostOnce(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 36, 2)
	s.post(s.platform+"/faults", `{"table":{"latency_ns":400000000}}`)
	first := make(chan reply)
	go func() {
		r, _ := order(s.entries[0], "o-1", "{}")
		first <- r
	}()
	// The entry freezes while its claim is on the way, and wakes when another
	// entry has dealt with the same order.
	time.Sleep(200 * time.Millisecond)
	s.entries[0].pause()
	second, err := order(s.entries[1], "o-1", "{}")
	c.Assert(err, qt.IsNil)
	s.entries[0].resume()
	woken := <-first
	n := s.records().Services[service].Executions[scoped("o-1")]
	c.Assert(n <= 1, qt.IsTrue, qt.Commentf("executed %d times", n))
	if n == 1 {
		c.Assert(second.header.Get("X-Verdict"), qt.Not(qt.Equals), "not_run")
	}
	c.Logf("while paused: %d, woken: %d, executions: %d", second.status, woken.status, n)
}

func TestUnknownKeyRunsNothing(t *testing.T) {
	c := qt.New(t)
	s := startSystem(t, 37, 1)
	req := newRequest(http.MethodPost, "http://"+s.entries[0].caller+"/v1/chat/completions", "no-such-key", chatBody("q", true, 5))
	r, err := send(req)
	c.Assert(err, qt.IsNil)
	c.Assert(r.status, qt.Equals, http.StatusUnauthorized)
	c.Assert(r.header.Get("X-Verdict"), qt.Equals, "not_run")
	c.Assert(s.records().Totals.Attempts, qt.Equals, int64(0))
}
