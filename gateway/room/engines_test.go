package room

// engine prefills one prompt at a time, the most urgent first.
type engine struct {
	lost, frozen  bool
	queue         []*job
	busy          bool
	running       int
	waiting       float64
	ignoresUrgent bool
}

func (p *play) freeze(frozen bool) {
	for i := 0; i < engines; i += 3 {
		e := p.engines[i]
		e.frozen = frozen
		p.start(e)
	}
}

func (p *play) loseDomain(lost bool) {
	for i := 0; i < engines; i += 3 {
		e := p.engines[i]
		e.lost = lost
		for _, j := range e.queue {
			p.end(j)
			p.offer(j) // the entry sends to another replica what has not run
		}
		e.queue, e.waiting = nil, 0
	}
}

// offer sends a job to the best of three engines that are ready.
func (p *play) offer(j *job) {
	remaining := j.deadline - (p.now - j.sent)
	for offers := 0; offers < 4; offers++ {
		var best *engine
		for range 3 {
			e := p.engines[p.random.IntN(engines)]
			if !e.lost && (best == nil || e.waiting < best.waiting) {
				best = e
			}
		}
		if best == nil {
			continue
		}
		if p.policy != firstCome && best.waiting+j.work > remaining {
			break
		}
		if len(best.queue)+best.running >= playSlots+playQueue {
			if p.policy == withRoom && !p.entry[j.entry].HasRoom(p.time(), "s", j.urgency) {
				break
			}
			continue
		}
		if p.policy == withRoom {
			j.ticket = p.entry[j.entry].Begin(p.time(), j.request(p))
		}
		j.engine = best
		best.waiting += j.work
		best.queue = append(best.queue, j)
		p.start(best)
		return
	}
	wait := 0.4
	if p.policy == withRoom {
		wait = p.entry[j.entry].RoomIn(p.time(), j.request(p)).Seconds()
	}
	p.refuse(j, wait)
}

func (p *play) start(e *engine) {
	if e.frozen || e.busy || len(e.queue) == 0 || e.running >= playSlots {
		return
	}
	next := 0
	for i, j := range e.queue {
		if !e.ignoresUrgent && j.urgency < e.queue[next].urgency {
			next = i
		}
	}
	j := e.queue[next]
	e.queue = append(e.queue[:next], e.queue[next+1:]...)
	e.busy = true
	e.running++
	p.after(j.work, func() {
		e.busy = false
		e.waiting -= j.work
		if j.ticket != nil {
			j.ticket.FirstToken(p.time())
		}
		p.answered(j)
		p.after(j.hold, func() {
			e.running--
			p.end(j)
			p.start(e)
		})
		p.start(e)
	})
}

func (p *play) end(j *job) {
	if j.ticket != nil {
		j.ticket.End(p.time(), j.served)
		j.ticket = nil
	}
}

func (p *play) answered(j *job) {
	j.served = true
	took := p.now - j.sent + 0.01
	gain := 0.0
	switch {
	case took <= j.objective:
		gain = j.inTime
	case took <= j.deadline:
		gain = j.late
	}
	p.worth += gain
	p.byCustomer[j.customer] += gain
	p.servedBy.add(j)
}

func (p *play) refuse(j *job, wait float64) {
	p.refused++
	if j.tries == 1 {
		p.firstRefused++
	}
	p.refusalsAt[int(p.now)]++
	left := j.deadline - (p.now - j.sent)
	j.expected = wait <= left/3
	switch {
	case j.impatient && j.tries < 4:
		p.after(0.005, func() { p.ask(j) })
	case !j.impatient && j.tries < 2:
		p.after(min(wait, left/3)+0.005, func() { p.ask(j) })
	}
}
