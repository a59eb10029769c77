package room

import "time"

// Ticket is one admitted request. Its methods are called from one goroutine.
type Ticket struct {
	c       *Controller
	service string
	urgency int
	work    float64
	begun   time.Time
	plain   bool
	// accepted is set once the first token has arrived, at acceptedAt.
	accepted   bool
	acceptedAt time.Time
	ended      bool
}

// Begin counts an admitted request as waiting.
func (c *Controller) Begin(now time.Time, r Request) *Ticket {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.serviceLocked(r.Service)
	t := &Ticket{c: c, service: r.Service, urgency: r.Urgency, work: s.workOf(r), begun: now, plain: r.Work <= 0}
	s.inFlight++
	s.waiting[t.urgency] += t.work
	return t
}

// FirstToken records that the first token, or the answer, has arrived.
func (t *Ticket) FirstToken(now time.Time) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.accepted || t.ended {
		return
	}
	t.accepted, t.acceptedAt = true, now
	s := t.c.serviceLocked(t.service)
	s.waiting[t.urgency] -= t.work
	s.accepted.add(now, t.work)
	t.confirm(now, s)
}

// confirm records how long the request has waited behind others.
func (t *Ticket) confirm(now time.Time, s *service) {
	s.waited(now, t.urgency, now.Sub(t.begun).Seconds()-t.work)
}

// End records the end of the request. answered is set if a replica answered it.
func (t *Ticket) End(now time.Time, answered bool) {
	t.c.mu.Lock()
	defer t.c.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	s := t.c.serviceLocked(t.service)
	s.inFlight--
	if !t.accepted {
		s.waiting[t.urgency] -= t.work
		t.confirm(now, s)
	}
	if s.inFlight == 0 {
		clear(s.waiting) // removes what rounding leaves
	}
	if !answered {
		return
	}
	held := now.Sub(t.begun).Seconds()
	if !t.plain {
		held = now.Sub(t.acceptedAt).Seconds()
	} else if s.allocation != nil && s.allocation.waiting > 2*t.work {
		return // the time contains that of a queue
	}
	s.hold += holdWeight * (held - s.hold)
}
