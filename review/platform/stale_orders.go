package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	// trafficStart is when traffic starts after the machines.
	trafficStart = 10 * time.Second
	// slowFactor and slowTime are the dose of cloud_slow in the site file.
	slowFactor = 50
	slowTime   = 5500 * time.Millisecond
	// slowStart is when the API turns slow after the start of the traffic, just
	// before the system adapts the orders to the first five seconds of it.
	slowStart = 4800 * time.Millisecond
	// stopDelay is the time from the first order after that to the planned stop of
	// its holder.
	stopDelay = 100 * time.Millisecond
	// longStream and shortStream are the numbers of events of a stream.
	longStream, shortStream = 66, 6
	// requestPause is the time between two requests of a service to an entry.
	requestPause = 600 * time.Millisecond
)

// modelServices are the services whose replicas the system orders.
var modelServices = []string{"drafter", "adviser", "translator"}

// staleOrders stops the holder of the autoscale duty, as planned, while it gives
// orders. The disruption is that the platform's API is slow then.
func staleOrders(w *world, trouble bool) ([]string, error) {
	w.configure()
	for _, service := range modelServices {
		for _, zone := range zones {
			for range 4 {
				if err := w.cloud.add(service, zone); err != nil {
					return nil, err
				}
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	defer clients.Wait()
	defer cancel()
	for i := range 3 {
		e := w.addEntry(i)
		if err := e.start(); err != nil {
			return nil, err
		}
		go e.probe(ctx)
	}
	time.Sleep(trafficStart)
	w.note("traffic starts")
	began := time.Now()
	for _, e := range w.entries {
		if !e.isReady() {
			return nil, fmt.Errorf("%s isn't ready", e.name)
		}
		for _, service := range modelServices {
			clients.Go(func() { e.traffic(ctx, &clients, service) })
		}
	}
	time.Sleep(slowStart)
	orders := make(chan string, 1)
	w.cloud.watch(func(k call) {
		if k.duty == "autoscale" {
			select {
			case orders <- k.holder:
			default:
			}
		}
	})
	if trouble {
		w.cloud.slow(slowFactor)
		time.AfterFunc(slowTime, func() { w.cloud.slow(1) })
	}
	select {
	case holder := <-orders:
		for _, e := range w.entries {
			if e.name == holder {
				time.Sleep(stopDelay)
				clients.Go(func() {
					e.terminate()
					time.Sleep(500 * time.Millisecond)
					if ctx.Err() == nil {
						_ = e.start()
					}
				})
			}
		}
	case <-time.After(slowTime):
		return nil, errors.New("no order was given in time")
	}
	time.Sleep(time.Until(began.Add(25 * time.Second)))
	return w.cloud.actsOutOfTurn(), nil
}

// traffic sends streams of a service to the entry while the balancer has it in
// rotation.
func (e *entry) traffic(ctx context.Context, clients *sync.WaitGroup, service string) {
	for n := 0; ctx.Err() == nil; n++ {
		if e.isReady() {
			r := request{
				id: fmt.Sprintf("%016x", 0x1c41d07be2000000+e.w.next()), path: "/" + service + "/2f",
				key: "key-huka270", events: longStream, deadline: 15 * time.Second,
			}
			if n%2 == 1 {
				r.events, r.deadline = shortStream, 3*time.Second
			}
			clients.Go(func() { e.send(r) })
		}
		time.Sleep(requestPause)
	}
}

func (c *cloud) watch(f func(call)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCall = f
}

// actsOutOfTurn returns the accepted calls of a duty that holders made in the order
// A, B, A within lease_ms, while both were in touch.
func (c *cloud) actsOutOfTurn() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var acts []call
	for _, k := range c.calls {
		if k.accepted && k.inTouch && k.duty == "autoscale" {
			acts = append(acts, k)
		}
	}
	var out []string
	for i, last := range acts {
		if text, found := outOfTurn(acts[:i], last); found {
			out = append(out, text)
		}
	}
	return out
}

// outOfTurn reports whether the holder of the last act acted before another one
// within lease_ms.
func outOfTurn(earlier []call, last call) (string, bool) {
	for i, first := range earlier {
		if first.holder != last.holder || last.at.Sub(first.at) > leaseLength {
			continue
		}
		for _, between := range earlier[i+1:] {
			if between.holder != last.holder {
				return fmt.Sprintf("%s acted with epoch number %d (%s), %v later %s with %d (%s), and %v after its first act %s again with %d (%s)",
					first.holder, first.fence, first.subject, between.at.Sub(first.at).Round(time.Millisecond), between.holder, between.fence, between.subject,
					last.at.Sub(first.at).Round(time.Millisecond), last.holder, last.fence, last.subject), true
			}
		}
	}
	return "", false
}
