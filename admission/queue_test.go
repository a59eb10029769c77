package admission

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/coltsfootcleat/coltsfootcleat/template"
	"github.com/coltsfootcleat/coltsfootcleat/verdict"
)

// newFullController returns a controller whose only slot is in use, and the
// ticket that holds the slot.
func newFullController(c *qt.C, opts Options) (*Controller, *Ticket) {
	opts.MaxInFlight = 1
	ctl := New(opts)
	ctl.SetTemplate(testTemplate(unlimited("a", 1), unlimited("b", 1)))
	ticket, err := ctl.Admit(context.Background(), Request{Customer: "a", Kind: "plan", Urgency: template.UrgencyNormal, Tokens: 10})
	c.Assert(err, qt.IsNil)
	return ctl, ticket
}

func normal(customer string) Request {
	return Request{Customer: customer, Kind: "plan", Urgency: template.UrgencyNormal, Tokens: 10}
}

// TestRefusalIsNotRun checks that each way in which a request is refused, at
// once or while it waits, has the verdict NotRun, refunds its tokens and leaves
// no waiter behind.
func TestRefusalIsNotRun(t *testing.T) {
	tests := []struct {
		name     string
		request  func(*Request)
		cancel   time.Duration
		code     verdict.Code
		waited   time.Duration
		occupied int
	}{
		{"deadline passes in the queue", func(r *Request) { r.Deadline = time.Second }, 0, verdict.CodeDeadline, time.Second, 0},
		{"predicted wait exceeds the deadline", func(r *Request) {
			r.Deadline = time.Second
			r.PredictedWait = func() time.Duration { return 2 * time.Second }
		}, 0, verdict.CodeOverloaded, 0, 0},
		{"client cancels", func(*Request) {}, time.Second, verdict.CodeCancelled, time.Second, 0},
		{"queue is full", func(*Request) {}, 0, verdict.CodeOverloaded, 0, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctl, ticket := newFullController(c, Options{MaxQueue: 2})
				others, stop := context.WithCancel(context.Background())
				defer stop()
				var wg sync.WaitGroup
				for range test.occupied {
					wg.Go(func() { _, _ = ctl.Admit(others, normal("b")) })
				}
				synctest.Wait()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if test.cancel > 0 {
					ctx, cancel = context.WithTimeout(ctx, test.cancel)
					defer cancel()
				}
				r := normal("b")
				test.request(&r)
				before := ctl.customers["b"].bucket
				began := time.Now()
				_, err := ctl.Admit(ctx, r)
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				c.Assert(verdict.CodeOf(err), qt.Equals, test.code)
				c.Assert(time.Since(began), qt.Equals, test.waited)
				after := ctl.customers["b"].bucket
				c.Assert(after.Debt(), qt.Equals, before.Debt())
				c.Assert(after.Tokens() >= before.Tokens(), qt.IsTrue, qt.Commentf("tokens are refunded"))
				stop()
				wg.Wait()
				c.Assert(ctl.pools["m"].queue.waiting, qt.Equals, 0)
				ticket.Done(Usage{})
				c.Assert(ctl.pools["m"].inFlight, qt.Equals, 0)
			})
		})
	}
}

// TestLateStartIsRefused frees a slot after the predicted wait at the endpoint
// has grown so that the request would miss its deadline.
func TestLateStartIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctl, ticket := newFullController(c, Options{})
		predicted := 100 * time.Millisecond
		r := normal("b")
		r.Deadline = time.Second
		r.PredictedWait = func() time.Duration { return predicted }
		time.AfterFunc(500*time.Millisecond, func() {
			predicted = 900 * time.Millisecond
			ticket.Done(Usage{})
		})
		began := time.Now()
		_, err := ctl.Admit(context.Background(), r)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.CodeDeadline)
		c.Assert(time.Since(began), qt.Equals, 500*time.Millisecond)
	})
}

// TestOrderOfStart fills the only slot, queues requests of different customers
// and urgencies, and checks the order in which they start.
func TestOrderOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctl, ticket := newFullController(c, Options{})
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		submit := func(name string, r Request) {
			wg.Go(func() {
				tk, err := ctl.Admit(ctx, r)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
				time.Sleep(time.Millisecond)
				tk.Done(Usage{})
			})
			synctest.Wait()
		}
		r := normal("a")
		r.Urgency = template.UrgencyPatient
		submit("patient", r)
		submit("a1", normal("a"))
		submit("a2", normal("a"))
		submit("a3", normal("a"))
		submit("b1", normal("b"))
		r = normal("b")
		r.Resumed = true
		submit("resumed", r)
		ticket.Done(Usage{})
		wg.Wait()
		// Customer b has not used its share yet, so its request starts
		// before those of a.
		c.Assert(order, qt.DeepEquals, []string{"resumed", "b1", "a1", "a2", "a3", "patient"})
	})
}

// TestSlotFreedByOtherEntry checks that a waiting request starts when a slot
// becomes free although no request of this entry has ended.
func TestSlotFreedByOtherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var mu sync.Mutex
		h := Headroom{Free: -5, Total: 1}
		ctl := New(Options{MemberCount: 2, Headroom: func(string) (Headroom, bool) {
			mu.Lock()
			defer mu.Unlock()
			return h, true
		}})
		ctl.SetTemplate(testTemplate(unlimited("a", 1)))
		time.AfterFunc(time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			h.Free = 1
		})
		began := time.Now()
		r := normal("a")
		r.Deadline = time.Minute
		_, err := ctl.Admit(context.Background(), r)
		c.Assert(err, qt.IsNil)
		waited := time.Since(began)
		c.Assert(waited >= time.Second && waited <= time.Second+headroomMaxAge, qt.IsTrue, qt.Commentf("%v", waited))
	})
}

// TestSlotsBeyondQuotaAreNotReused checks that an entry with more requests in
// flight than its quota starts no others until it is below its quota again.
func TestSlotsBeyondQuotaAreNotReused(t *testing.T) {
	c := qt.New(t)
	p := newPool("m", time.Time{})
	p.quota = [ranks]float64{4, 3, 2}
	p.spare = [ranks]float64{5, 0, 0}
	for range 5 {
		c.Assert(p.hasSlot(rankUrgent), qt.IsTrue)
		p.acquire(time.Time{}, 1)
	}
	c.Assert(p.hasSlot(rankUrgent), qt.IsFalse)
	p.release()
	c.Assert(p.hasSlot(rankUrgent), qt.IsFalse)
	p.release()
	c.Assert(p.hasSlot(rankUrgent), qt.IsTrue)
	c.Assert(p.hasSlot(rankNormal), qt.IsFalse)
}
