package admission

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// fakeClock is a clock that only advances when a test calls advance.
type fakeClock struct{ at time.Time }

func newClock() *fakeClock { return &fakeClock{at: time.Unix(0, 0)} }

func (f *fakeClock) now() time.Time          { return f.at }
func (f *fakeClock) advance(d time.Duration) { f.at = f.at.Add(d) }

func testTemplate(customers ...template.Customer) *template.Template {
	return &template.Template{
		Name: "t",
		Kinds: []template.Kind{
			{Name: "ask", Urgency: template.UrgencyUrgent, Model: "m"},
			{Name: "plan", Urgency: template.UrgencyPatient, Model: "m"},
		},
		Customers: customers,
	}
}

func TestBucketLimitsAndRecovers(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	ctl := New(Options{Now: clock.now})
	ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 100, BurstTokens: 200}))
	r := Request{Customer: "a", Kind: "ask", Tokens: 150}
	_, err := ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeLimited)
	c.Assert(verdict.RetryAfterOf(err), qt.Equals, time.Second)
	clock.advance(time.Second)
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
}

func TestDoneChargesActualUsage(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	ctl := New(Options{Now: clock.now})
	ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 100, BurstTokens: 200}))
	ticket, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "ask", Tokens: 200})
	c.Assert(err, qt.IsNil)
	ticket.Done(Usage{Tokens: 350, Cost: 2})
	ticket.Done(Usage{Tokens: 350, Cost: 2})
	c.Assert(ctl.Spend()["a"], qt.Equals, 2.0)
	_, err = ctl.Admit(context.Background(), Request{Customer: "a", Kind: "ask", Tokens: 50})
	c.Assert(verdict.RetryAfterOf(err), qt.Equals, 2*time.Second)
}

func TestRetryBudget(t *testing.T) {
	c := qt.New(t)
	ctl := New(Options{})
	ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 1e6, BurstTokens: 1e6}))
	granted := 0
	for range 100 {
		_, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "ask", Tokens: 1})
		c.Assert(err, qt.IsNil)
		if ctl.Retry("a") {
			granted++
		}
	}
	c.Assert(granted <= 21, qt.IsTrue, qt.Commentf("%d retries for 100 requests", granted))
	c.Assert(ctl.Retry("unknown"), qt.IsFalse)
}

func TestCostCeiling(t *testing.T) {
	c := qt.New(t)
	clock := newClock()
	ctl := New(Options{Now: clock.now})
	ctl.SetTemplate(testTemplate(template.Customer{Name: "a", Share: 1, TokensPerSecond: 1e6, BurstTokens: 1e6, CostPerHour: 5}))
	r := Request{Customer: "a", Kind: "ask", Tokens: 1}
	for range 2 {
		ticket, err := ctl.Admit(context.Background(), r)
		c.Assert(err, qt.IsNil)
		ticket.Done(Usage{Cost: 2.5})
		clock.advance(10 * time.Minute)
	}
	_, err := ctl.Admit(context.Background(), r)
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeLimited)
	wait := verdict.RetryAfterOf(err)
	c.Assert(wait > 0 && wait <= time.Hour, qt.IsTrue, qt.Commentf("%v", wait))
	clock.advance(wait)
	_, err = ctl.Admit(context.Background(), r)
	c.Assert(err, qt.IsNil)
}
